package gladeline

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// timed returns a request that arrives now, is due after target and may wait for half of that.
func timed(rank int, organisation string, now time.Time, target time.Duration) Request {
	due := now.Add(target)
	return Request{Rank: rank, Organisation: organisation, Cost: 1, Times: Times{
		At: now, Target: due, Latest: due.Add(-target / 4), Raise: now.Add(target / 4),
	}}
}

// Where routes do not differ in priority, every decision must be the one of the queue without times.
func TestOrderWithoutTimesIsByRankOrganisationAndArrival(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := New()
		var waiting []*Waiter
		tokens, baseline := map[string]int{}, 0
		now := start
		for i := range rapid.IntRange(1, 40).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(r, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(r, "arrival") > 0 || len(waiting) == 0 {
				waiting = append(waiting, l.Enqueue(Request{
					Rank: rapid.IntRange(-1, 4).Draw(r, "rank"), Organisation: fmt.Sprint(rapid.IntRange(0, 2).Draw(r, "org")), Cost: 1 + i,
				}, now))
				continue
			}
			first := 0
			for j, w := range waiting {
				b := waiting[first]
				x, y := max(tokens[w.Organisation], baseline), max(tokens[b.Organisation], baseline)
				if w.Rank < b.Rank || w.Rank == b.Rank && x < y {
					first = j
				}
			}
			w := waiting[first]
			if !w.IsNext(now) {
				r.Fatalf("request %d is not next", w.sequence)
			}
			w.Remove(true, now)
			waiting = append(waiting[:first:first], waiting[first+1:]...)
			baseline = max(tokens[w.Organisation], baseline)
			tokens[w.Organisation] = baseline + w.Cost
			if len(waiting) == 0 {
				tokens, baseline = map[string]int{}, 0
			}
		}
	})
}

// Two routes of equal priority share the engines: the request that is due first must go first, unless it is late anyway.
func TestEqualPriorityGoesByTimeLeft(t *testing.T) {
	c := qt.New(t)
	l := New()
	late := l.Enqueue(timed(0, "a", start.Add(-4*time.Second), 4*time.Second), start)
	slow := l.Enqueue(timed(0, "a", start, 10*time.Second), start)
	fast := l.Enqueue(timed(0, "a", start, 4*time.Second), start)
	for _, w := range []*Waiter{fast, slow, late} {
		c.Assert(w.IsNext(start), qt.IsTrue, qt.Commentf("%d", w.sequence))
		w.Remove(true, start)
	}
}

// An organisation sends many requests at one moment; one of another organisation that is due in the same step must not wait for all.
func TestOrganisationsShareWithinAStep(t *testing.T) {
	c := qt.New(t)
	l := New()
	var waiting []*Waiter
	for range 6 {
		waiting = append(waiting, l.Enqueue(timed(0, "large", start, 4*time.Second), start))
	}
	l.Enqueue(timed(0, "large", start, 4*time.Second), start).Remove(true, start)
	waiting = append(waiting, l.Enqueue(timed(0, "small", start.Add(10*time.Millisecond), 4*time.Second), start))
	now := start.Add(100 * time.Millisecond)
	c.Assert(serveNext(c, &waiting, now).Organisation, qt.Equals, "small")
	c.Assert(serveNext(c, &waiting, now).Organisation, qt.Equals, "large")
}

// A less urgent request that has waited for half of its maximum wait must come before newer ones of the next priority that are due
// later, but not before those of a priority further up.
func TestAgeingRaisesByOnePriority(t *testing.T) {
	c := qt.New(t)
	l := New()
	old := l.Enqueue(timed(2, "a", start, 6*time.Second), start)
	now := start.Add(1400 * time.Millisecond)
	next := l.Enqueue(timed(0, "b", now, 6*time.Second), now)
	c.Assert(next.IsNext(now), qt.IsTrue)
	now = start.Add(1600 * time.Millisecond)
	c.Assert(old.IsNext(now), qt.IsTrue)
	further := l.Enqueue(timed(-1, "b", now, 6*time.Second), now)
	c.Assert(further.IsNext(now), qt.IsTrue)
}

// The urgent route alone could use all places. A raised request of the less urgent one must get a share of them, and no more.
func TestRaisedRequestGetsAShare(t *testing.T) {
	c := qt.New(t)
	l := New()
	less := l.Enqueue(timed(4, "a", start, 10*time.Second), start)
	now := start.Add(4 * time.Second)
	urgent := l.Enqueue(timed(0, "b", now, 4*time.Second), now)
	c.Assert(urgent.IsNext(now), qt.IsTrue) // no place was given lately
	l.RecordPlacement(0, now)
	c.Assert(less.IsNext(now), qt.IsTrue)
	l.RecordPlacement(4, now)
	for range agedShare {
		c.Assert(urgent.IsNext(now), qt.IsTrue)
		l.RecordPlacement(0, now)
	}
	l.RecordPlacement(0, now)
	c.Assert(less.IsNext(now), qt.IsTrue)
}

// load is a drawn load on one queue, in which places become free at regular intervals.
type load struct {
	perSecond     int
	urgent, other float64 // arrivals in multiples of the places
	prefillRate   float64 // in tokens per ms
	random        *rand.Rand
}

// outcome counts the requests of one kind and the places that they got.
type outcome struct{ sent, served int }

func (o outcome) share() float64 { return float64(o.served) / float64(max(1, o.sent)) }

const (
	// warmUp is the time before outcomes count: the longest maximum wait, after which requests have aged.
	warmUp = 6 * time.Second
	// loadTime is the time for which outcomes count.
	loadTime = 30 * time.Second
)

// run serves the load for loadTime and returns the outcomes by kind: "urgent", "other" and, among the others, "large" (the largest
// tenth) and "small" (organisations of few requests).
func (d *load) run() map[string]outcome {
	const tick = 20 * time.Millisecond
	type pending struct {
		w     *Waiter
		until time.Time
		kinds []string
	}
	l, got, credit := New(), map[string]outcome{}, 0.0
	var waiting []pending
	arrive := func(now time.Time, rank int, target time.Duration, kinds ...string) {
		size := 3000 + d.random.ExpFloat64()*2000
		if rank > 0 && size > 3000+2000*2.3 { // the largest tenth
			kinds = append(kinds, "large")
		}
		organisation := "large"
		if rank > 0 && d.random.IntN(20) == 0 {
			organisation = fmt.Sprint("small", d.random.IntN(10))
			kinds = append(kinds, "small")
		}
		timing := Timing{Target: target, MinWait: target / 8, RetryAfter: target / 4, Prefill: time.Duration(size / d.prefillRate * float64(time.Millisecond))}
		due, wait := now.Add(target), timing.MaxWait()
		r := Request{Rank: rank, Organisation: organisation, Cost: int(size), Times: Times{
			At: now, Target: due, Latest: due.Add(-timing.Prefill), Raise: now.Add(wait / 2),
		}}
		for _, k := range kinds {
			if now.Sub(start) >= warmUp {
				got[k] = outcome{got[k].sent + 1, got[k].served}
			}
		}
		if !l.ExceedsWait(r, wait, now) {
			waiting = append(waiting, pending{l.Enqueue(r, now), now.Add(wait), kinds})
		}
	}
	perTick := float64(d.perSecond) * tick.Seconds()
	for now := start; now.Before(start.Add(warmUp + loadTime)); now = now.Add(tick) {
		for range d.arrivals(d.urgent * perTick) {
			arrive(now, 0, 4*time.Second, "urgent")
		}
		for range d.arrivals(d.other * perTick) {
			arrive(now, 4, 10*time.Second, "other")
		}
		credit = min(credit+perTick, 1+perTick)
		waiting = slices.DeleteFunc(waiting, func(p pending) bool {
			if now.Before(p.until) {
				return false
			}
			p.w.Remove(false, now)
			return true
		})
		for ; credit >= 1 && len(waiting) > 0; credit-- {
			next := 0
			for i := range waiting {
				if l.precedes(waiting[i].w, waiting[next].w, now) {
					next = i
				}
			}
			p := waiting[next]
			p.w.Remove(true, now)
			waiting = slices.Delete(waiting, next, next+1)
			l.RecordPlacement(p.w.Rank, now)
			for _, k := range p.kinds {
				if now.Sub(start) >= warmUp {
					got[k] = outcome{got[k].sent, got[k].served + 1}
				}
			}
		}
	}
	return got
}

// arrivals draws the number of arrivals of a Poisson process.
func (d *load) arrivals(mean float64) int {
	n := 0
	for t := d.random.ExpFloat64(); t < mean; t += d.random.ExpFloat64() {
		n++
	}
	return n
}

// Guards against an order in which the less urgent route, large requests or small organisations starve under any mixture of loads:
// the less urgent route gets a twelfth of the places or what it asks for, the largest tenth and small organisations are served
// half as often as their route.
func TestNoKindOfRequestStarves(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := load{
			perSecond: rapid.IntRange(8, 20).Draw(r, "places"), urgent: rapid.Float64Range(0.1, 1.6).Draw(r, "urgent"),
			other: rapid.Float64Range(0.3, 2.5).Draw(r, "other"), prefillRate: rapid.Float64Range(2, 5).Draw(r, "rate"),
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1)),
		}
		got := d.run()
		places := loadTime.Seconds() * float64(d.perSecond)
		if other := got["other"]; float64(other.served) < min(0.75*float64(other.sent), places/12) {
			r.Fatalf("less urgent route: %+v of %v places", other, places)
		}
		for _, kind := range []string{"large", "small"} {
			half := got["other"].share() / 2 * float64(got[kind].sent)
			if float64(got[kind].served) < half-2.5*math.Sqrt(half) { // less than chance explains
				r.Fatalf("%s: %+v of %+v", kind, got[kind], got["other"])
			}
		}
	})
}
