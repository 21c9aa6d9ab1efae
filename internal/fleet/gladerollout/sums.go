package gladerollout

import (
	"maps"
	"slices"
	"time"
)

// sums are the reports of all VMs, added up for a decision.
type sums struct {
	routes map[string]*routeSums
	// from is the old version, empty if there are several.
	from string
	// used and failing count the target's servers that got requests and those that failed some.
	used, failing int
}

// routeSums are the requests of a route by class of age.
type routeSums struct{ target, old [classes]counts }

// classes is the number of classes of age.
const classes = 12

// sum adds up the reports on an order. Of a VM's earlier incarnations, the runs in progress ended with it. Targets of earlier orders that
// were withdrawn are nothing to compare with: their requests count as traffic only.
func sum(evidence []Evidence, r Rollout) *sums {
	s, target := &sums{routes: map[string]*routeSums{}}, r.Target
	latest := map[string]int64{}
	for _, e := range evidence {
		latest[e.VM] = max(latest[e.VM], e.Start)
	}
	servers := serverCounts{}
	old := references(evidence, r)
	for _, e := range evidence {
		for version, v := range e.Versions {
			for route, a := range v.Routes {
				s.add(route, a, part{e.Age, version == target, e.Start == latest[e.VM], old[version]})
			}
			if version != target {
				continue
			}
			for hash, k := range v.Servers {
				servers[hash] = serverCount{servers[hash].begun + k.begun, servers[hash].failed + k.failed}
			}
		}
	}
	if len(old) == 1 {
		for version := range old {
			s.from = version
		}
	}
	for _, k := range servers {
		s.used++
		if k.failed > 0 {
			s.failing++
		}
	}
	return s
}

// references returns the versions with which the target is compared: the only old one if the status names it and it has requests, else
// those that are not known to have been withdrawn.
func references(evidence []Evidence, r Rollout) map[string]bool {
	versions := map[string]bool{}
	for _, e := range evidence {
		for version := range e.Versions {
			versions[version] = version != r.Target && version != r.Status.Withdrawn
		}
	}
	if from := r.Status.From; versions[from] {
		return map[string]bool{from: true}
	}
	maps.DeleteFunc(versions, func(_ string, compared bool) bool { return !compared })
	return versions
}

// part describes the requests of one version in a report: the age of the report, whether the version is the target, whether the report is
// of the VM's latest incarnation, and whether the target is compared with the version.
type part struct {
	age                      time.Duration
	target, latest, compared bool
}

// add adds the requests of one report on a route. The report's own age moves them to older classes.
func (s *sums) add(route string, a ageCounts, p part) {
	r := s.routes[route]
	if r == nil {
		r = &routeSums{}
		s.routes[route] = r
	}
	for class, k := range a {
		at := ageBounds[class] + p.age
		if at >= window {
			continue
		}
		sum := &r.old[ageClass(at)]
		if p.target {
			sum = &r.target[ageClass(at)]
		}
		k := *k
		if !p.target && !p.compared {
			k = counts{begun: k.begun, inconclusive: k.begun}
		}
		if !p.latest {
			k.inconclusive += k.open.total()
			k.open = histogram{}
		}
		sum.merge(&k)
	}
}

// names returns the routes in a fixed order.
func (s *sums) names() []string { return slices.Sorted(maps.Keys(s.routes)) }

// span is a range of classes of age.
type span struct{ from, to int }

// within returns the classes of requests that began less than an age ago.
func within(age time.Duration) span { return between(0, age) }

// between returns the classes of requests that began at least from and less than to ago.
func between(from, to time.Duration) span {
	c := span{to: classes}
	for c.from < classes && ageBounds[c.from] < from {
		c.from++
	}
	for c.to > 0 && ageBounds[c.to-1] >= to {
		c.to--
	}
	return c
}

// total adds up classes of age.
func (c span) total(all *[classes]counts) counts {
	var t counts
	for i := c.from; i < c.to; i++ {
		t.merge(&all[i])
	}
	return t
}

// begun counts the requests of a route in both versions.
func (r *routeSums) begun(c span) int {
	t, o := c.total(&r.target), c.total(&r.old)
	return t.begun + o.begun
}

// rate returns a route's requests per second.
func (r *routeSums) rate() float64 {
	return float64(r.begun(between(rateFrom, rateTo))) / (rateTo - rateFrom).Seconds()
}

// exposure returns the requests to the target and to the service since the order was first seen.
func (s *sums) exposure(elapsed time.Duration) (target, all int) {
	c := within(elapsed)
	for _, r := range s.routes {
		t := c.total(&r.target)
		target += t.begun
		all += r.begun(c)
	}
	return target, all
}

// sinceAnswer returns how long ago the target's first answer came at the latest, zero if there was none.
func (s *sums) sinceAnswer(elapsed time.Duration) time.Duration {
	var d time.Duration
	for _, r := range s.routes {
		for i := within(elapsed).to - 1; i >= 0; i-- {
			if fastest, ok := r.target[i].first.lowest(); ok {
				d = max(d, ageBounds[i]-upperBound(fastest))
			}
		}
	}
	return d
}

// answered reports whether the target has given an answer since the order was first seen.
func (s *sums) answered(elapsed time.Duration) bool {
	for _, r := range s.routes {
		if t := within(elapsed).total(&r.target); t.first.total() > 0 {
			return true
		}
	}
	return false
}

// old reports whether any request went to another version than the target.
func (s *sums) old() bool {
	for _, r := range s.routes {
		if t := (span{0, classes}).total(&r.old); t.begun > 0 {
			return true
		}
	}
	return false
}
