package gladeline

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_000_000, 0)

// next gives the request whose turn it is its room and returns it.
func next(c *qt.C, waiting *[]*Waiting, now time.Time) Request {
	for i, w := range *waiting {
		if w.First() {
			w.Leave(true, now)
			*waiting = append((*waiting)[:i:i], (*waiting)[i+1:]...)
			return w.Request
		}
	}
	c.Fatal("nobody is first")
	return Request{}
}

// Pattern: a batch of less urgent requests fills the line before urgent ones come.
func TestUrgentRequestsGoFirst(t *testing.T) {
	c := qt.New(t)
	l := New()
	var waiting []*Waiting
	for range 5 {
		waiting = append(waiting, l.Join(Request{Rank: 4, Organisation: "batch", Cost: 1}, start))
	}
	waiting = append(waiting, l.Join(Request{Rank: 0, Organisation: "clerks", Cost: 1}, start))
	c.Assert(next(c, &waiting, start).Organisation, qt.Equals, "clerks")
	c.Assert(next(c, &waiting, start).Organisation, qt.Equals, "batch")
}

// Pattern: one organisation sends ten times as much as two others; it waits for itself.
func TestOrganisationsTakeTurns(t *testing.T) {
	c := qt.New(t)
	l := New()
	var waiting []*Waiting
	for range 20 {
		waiting = append(waiting, l.Join(Request{Organisation: "large", Cost: 5000}, start))
	}
	for range 2 {
		waiting = append(waiting, l.Join(Request{Organisation: "a", Cost: 5000}, start), l.Join(Request{Organisation: "b", Cost: 5000}, start))
	}
	got := map[string]int{}
	for range 6 {
		got[next(c, &waiting, start).Organisation]++
	}
	c.Assert(got, qt.DeepEquals, map[string]int{"large": 2, "a": 2, "b": 2})
	// One that was idle meanwhile has saved nothing up.
	for range 3 {
		next(c, &waiting, start)
	}
	for range 5 {
		waiting = append(waiting, l.Join(Request{Organisation: "a", Cost: 5000}, start))
	}
	got = map[string]int{}
	for range 4 {
		got[next(c, &waiting, start).Organisation]++
	}
	c.Assert(got, qt.DeepEquals, map[string]int{"large": 2, "a": 2})
}

// Pattern: an organisation's prompts are four times as long as another's; both get the same room.
func TestTurnsCountTokens(t *testing.T) {
	c := qt.New(t)
	l := New()
	var waiting []*Waiting
	for range 10 {
		waiting = append(waiting, l.Join(Request{Organisation: "long", Cost: 8000}, start), l.Join(Request{Organisation: "short", Cost: 2000}, start))
	}
	got := map[string]int{}
	for range 10 {
		got[next(c, &waiting, start).Organisation]++
	}
	c.Assert(got, qt.DeepEquals, map[string]int{"long": 2, "short": 8})
}

// Pattern: overload lasts; who would only wait in vain is told at once, who is more urgent is not.
func TestHopelessWaitIsToldAtOnce(t *testing.T) {
	c := qt.New(t)
	l := New()
	r := Request{Rank: 1, Organisation: "a", Cost: 1}
	now := start
	var waiting []*Waiting
	for range 10 {
		waiting = append(waiting, l.Join(r, now))
	}
	c.Assert(l.Hopeless(r, 500*time.Millisecond, now), qt.IsFalse) // the pace is not known
	for range 6 {                                                  // two turns a second
		now = now.Add(500 * time.Millisecond)
		waiting = append(waiting, l.Join(r, now))
		next(c, &waiting, now)
	}
	c.Assert(l.Len(), qt.Equals, 10)
	c.Assert(l.Hopeless(r, time.Second, now), qt.IsTrue)
	c.Assert(l.Hopeless(r, 10*time.Second, now), qt.IsFalse)
	c.Assert(l.Hopeless(Request{Rank: 0}, time.Second, now), qt.IsFalse)
	for !l.Empty() {
		next(c, &waiting, now)
	}
	c.Assert(l.Hopeless(r, time.Second, now), qt.IsFalse)
}
