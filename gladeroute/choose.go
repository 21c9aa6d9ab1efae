package gladeroute

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// The reasons that a Choice gives.
const (
	reasonAffinity = "holds the prefix"
	reasonBounded  = "next for the prefix, the first is loaded"
	reasonLoad     = "less loaded of two"
	reasonSuspects = "fewest suspects"
	reasonLeast    = "least loaded"
	reasonOnly     = "only one"
	reasonFailed   = "all failed lately"
)

// poolLoad sums up the servers of a pool that may run a request: the local ones are in the VM's own failure domain.
type poolLoad struct {
	localCount, remoteCount int
	localLoad, remoteLoad   float64
	// fallback is the quarantined server whose quarantine ends first.
	fallback *server
}

func (t *Table) choose(pool []*server, n *gladeapi.Requirements, now time.Time) (*server, string) {
	x := t.scan(pool, n, now)
	if x.localCount+x.remoteCount == 0 {
		return x.fallback, reasonFailed
	}
	all := x.localCount == 0 || x.remoteCount > 0 && x.exceedsSpill(t.spill())
	if all {
		x.localCount += x.remoteCount
		x.localLoad += x.remoteLoad
	}
	if len(n.Blocks) > 0 && !n.Resume && !n.Isolate {
		limit := math.Ceil(loadBoundFactor * (x.localLoad + 1) / float64(x.localCount))
		if s, reason := t.chooseByPrefix(pool, n, all, max(limit, t.affinityFloor())); s != nil {
			return s, reason
		}
	}
	if n.Isolate {
		return fewestSuspects(pool, all), reasonSuspects
	}
	if t.LeastLoaded {
		return leastLoaded(pool, all), reasonLeast
	}
	return t.lessLoadedOfTwo(pool, all, x.localCount)
}

// scan sets the load of each server that may run the request, and a negative load on every other one.
func (t *Table) scan(pool []*server, n *gladeapi.Requirements, now time.Time) poolLoad {
	var x poolLoad
	age, weight := t.reportAge(), t.reportWeight()
	for _, s := range pool {
		s.load = -1
		if !s.eligible(n, now) {
			continue
		}
		if s.quarantined(now) {
			if x.fallback == nil || s.quarantineEnd.Before(x.fallback.quarantineEnd) {
				x.fallback = s
			}
			continue
		}
		s.load = s.loadAt(now, age, weight)
		if s.local {
			x.localCount++
			x.localLoad += s.load
		} else {
			x.remoteCount++
			x.remoteLoad += s.load
		}
	}
	return x
}

// exceedsSpill reports whether the mean load of the local servers is more than spill above that of the remote ones.
func (x *poolLoad) exceedsSpill(spill float64) bool {
	return x.localLoad/float64(x.localCount) > x.remoteLoad/float64(x.remoteCount)+spill
}

// candidate reports whether the last scan admitted the server; remote servers count only with all.
func (s *server) candidate(all bool) bool {
	return s.load >= 0 && (all || s.local)
}

// chooseByPrefix returns the server with the highest rendezvous weight for the prefix among those below the load limit.
func (t *Table) chooseByPrefix(pool []*server, n *gladeapi.Requirements, all bool, limit float64) (*server, string) {
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

// lessLoadedOfTwo returns the less loaded of two random candidates. If each VM took the least loaded one, VMs with the
// same reports would all choose the same server.
func (t *Table) lessLoadedOfTwo(pool []*server, all bool, candidates int) (*server, string) {
	random := t.Random
	if random == nil {
		random = rand.IntN
	}
	a := random(candidates)
	b := a
	if candidates > 1 {
		b = (a + 1 + random(candidates-1)) % candidates
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

// fewestSuspects returns the candidate on which this VM runs the fewest suspects, and among equals the least loaded.
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

// mix is the 64-bit finaliser of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
