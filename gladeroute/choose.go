package gladeroute

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// The reasons of choices.
const (
	reasonAffinity = "holds the prefix"
	reasonBounded  = "next for the prefix, the first is loaded"
	reasonLoad     = "less loaded of two"
	reasonApart    = "fewest suspects"
	reasonLeast    = "least loaded"
	reasonOnly     = "only one"
	reasonFailed   = "all failed lately"
)

// tally is what one look at a pool found.
type tally struct {
	near, far         int
	nearLoad, farLoad float64
	// fallback is the server whose quarantine ends first.
	fallback *server
}

func (t *Table) pick(pool []*server, n *gladeapi.Need, now time.Time) (*server, string) {
	x := t.look(pool, n, now)
	if x.near+x.far == 0 {
		return x.fallback, reasonFailed
	}
	all := x.near == 0 || x.far > 0 && x.spills(t.spill())
	if all {
		x.near += x.far
		x.nearLoad += x.farLoad
	}
	if len(n.Blocks) > 0 && !n.Resume && !n.Isolate {
		limit := math.Ceil(boundFactor * (x.nearLoad + 1) / float64(x.near))
		if s, reason := t.byPrefix(pool, n, all, max(limit, t.floor())); s != nil {
			return s, reason
		}
	}
	if n.Isolate {
		return fewestSuspects(pool, all), reasonApart
	}
	if t.LeastLoaded {
		return leastLoaded(pool, all), reasonLeast
	}
	return byLoad(pool, all, x.near)
}

// look marks the servers that may run the request with their loads, the others with a negative load.
func (t *Table) look(pool []*server, n *gladeapi.Need, now time.Time) tally {
	var x tally
	age, weight := t.reportAge(), t.reportWeight()
	for _, s := range pool {
		s.load = -1
		if !s.may(n) {
			continue
		}
		if s.failed(now) {
			if x.fallback == nil || s.until.Before(x.fallback.until) {
				x.fallback = s
			}
			continue
		}
		s.load = s.loadAt(now, age, weight)
		if s.near {
			x.near++
			x.nearLoad += s.load
		} else {
			x.far++
			x.farLoad += s.load
		}
	}
	return x
}

// spills reports whether the own failure domain's servers hold so much more than the others that these share it.
func (x *tally) spills(extra float64) bool {
	return x.nearLoad/float64(x.near) > x.farLoad/float64(x.far)+extra
}

func (s *server) candidate(all bool) bool {
	return s.load >= 0 && (all || s.near)
}

// byPrefix returns the server that the prefix hashes to, or the next one below the limit.
func (t *Table) byPrefix(pool []*server, n *gladeapi.Need, all bool, limit float64) (*server, string) {
	prefix := n.Blocks[min(len(n.Blocks), t.affinityBlocks())-1]
	var best *server
	var bestWeight, topWeight uint64
	for _, s := range pool {
		if !s.candidate(all) {
			continue
		}
		weight := mix(prefix ^ s.hash)
		topWeight = max(topWeight, weight)
		if s.load < limit && (best == nil || weight > bestWeight) {
			best, bestWeight = s, weight
		}
	}
	if bestWeight < topWeight {
		return best, reasonBounded
	}
	return best, reasonAffinity
}

// byLoad returns the less loaded of two random candidates, so that VMs with the same reports spread.
func byLoad(pool []*server, all bool, candidates int) (*server, string) {
	a := rand.IntN(candidates)
	b := a
	if candidates > 1 {
		b = (a + 1 + rand.IntN(candidates-1)) % candidates
	}
	var first, second *server
	for _, s := range pool {
		if !s.candidate(all) {
			continue
		}
		if a == 0 {
			first = s
		}
		if b == 0 {
			second = s
		}
		a--
		b--
	}
	switch {
	case first == second:
		return first, reasonOnly
	case second.load < first.load:
		return second, reasonLoad
	}
	return first, reasonLoad
}

// fewestSuspects returns the server on which this VM runs the fewest suspects, none if it can be.
func fewestSuspects(pool []*server, all bool) *server {
	var best *server
	for _, s := range pool {
		if !s.candidate(all) {
			continue
		}
		if best == nil || s.suspects < best.suspects || s.suspects == best.suspects && s.load < best.load {
			best = s
		}
	}
	return best
}

func leastLoaded(pool []*server, all bool) *server {
	var best *server
	for _, s := range pool {
		if s.candidate(all) && (best == nil || s.load < best.load) {
			best = s
		}
	}
	return best
}

// mix spreads the bits of a hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
