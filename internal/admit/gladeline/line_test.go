package gladeline

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_000_000, 0)

// serveNext removes the next request from the queue as served and returns it.
func serveNext(c *qt.C, waiting *[]*Waiter, now time.Time) Request {
	for i, w := range *waiting {
		if w.IsNext(now) {
			w.Remove(true, now)
			*waiting = append((*waiting)[:i:i], (*waiting)[i+1:]...)
			return w.Request
		}
	}
	c.Fatal("no request is first in the queue")
	return Request{}
}

// A batch of less urgent requests fills the queue before urgent ones arrive.
func TestUrgentRequestsGoFirst(t *testing.T) {
	c := qt.New(t)
	l := New()
	var waiting []*Waiter
	for range 5 {
		waiting = append(waiting, l.Enqueue(Request{Rank: 4, Organisation: "batch", Cost: 1}, start))
	}
	waiting = append(waiting, l.Enqueue(Request{Rank: 0, Organisation: "clerks", Cost: 1}, start))
	c.Assert(serveNext(c, &waiting, start).Organisation, qt.Equals, "clerks")
	c.Assert(serveNext(c, &waiting, start).Organisation, qt.Equals, "batch")
}

// An organisation that sends ten times as many requests as two others must only delay itself.
func TestOrganisationsShareFairly(t *testing.T) {
	c := qt.New(t)
	l := New()
	var waiting []*Waiter
	for range 20 {
		waiting = append(waiting, l.Enqueue(Request{Organisation: "large", Cost: 5000}, start))
	}
	for range 2 {
		waiting = append(waiting, l.Enqueue(Request{Organisation: "a", Cost: 5000}, start), l.Enqueue(Request{Organisation: "b", Cost: 5000}, start))
	}
	got := map[string]int{}
	for range 6 {
		got[serveNext(c, &waiting, start).Organisation]++
	}
	c.Assert(got, qt.DeepEquals, map[string]int{"large": 2, "a": 2, "b": 2})
	// An organisation that was idle meanwhile has no credit.
	for range 3 {
		serveNext(c, &waiting, start)
	}
	for range 5 {
		waiting = append(waiting, l.Enqueue(Request{Organisation: "a", Cost: 5000}, start))
	}
	got = map[string]int{}
	for range 4 {
		got[serveNext(c, &waiting, start).Organisation]++
	}
	c.Assert(got, qt.DeepEquals, map[string]int{"large": 2, "a": 2})
}

// The prompts of one organisation are four times as long as those of another, and both must get the same room.
func TestFairnessIsByTokens(t *testing.T) {
	c := qt.New(t)
	l := New()
	var waiting []*Waiter
	for range 10 {
		waiting = append(waiting, l.Enqueue(Request{Organisation: "long", Cost: 8000}, start), l.Enqueue(Request{Organisation: "short", Cost: 2000}, start))
	}
	got := map[string]int{}
	for range 10 {
		got[serveNext(c, &waiting, start).Organisation]++
	}
	c.Assert(got, qt.DeepEquals, map[string]int{"long": 2, "short": 8})
}

// During overload, a request that cannot be served in time must be refused at once, unless it is more urgent than those
// that wait.
func TestExceededWaitIsDetected(t *testing.T) {
	c := qt.New(t)
	l := New()
	r := Request{Rank: 1, Organisation: "a", Cost: 1}
	now := start
	var waiting []*Waiter
	for range 10 {
		waiting = append(waiting, l.Enqueue(r, now))
	}
	c.Assert(l.ExceedsWait(r, 500*time.Millisecond, now), qt.IsFalse) // the rate is not known yet
	for range 6 {                                                     // two requests are served per second
		now = now.Add(500 * time.Millisecond)
		waiting = append(waiting, l.Enqueue(r, now))
		serveNext(c, &waiting, now)
	}
	c.Assert(l.Len(), qt.Equals, 10)
	c.Assert(l.ExceedsWait(r, time.Second, now), qt.IsTrue)
	c.Assert(l.ExceedsWait(r, 10*time.Second, now), qt.IsFalse)
	c.Assert(l.ExceedsWait(Request{Rank: 0}, time.Second, now), qt.IsFalse)
	for !l.Empty() {
		serveNext(c, &waiting, now)
	}
	c.Assert(l.ExceedsWait(r, time.Second, now), qt.IsFalse)
}

// Guards against a count of preceding requests that is not the order of service, or that joins the queue.
func TestAheadFollowsTheOrder(t *testing.T) {
	c := qt.New(t)
	l := New()
	for rank := range 4 {
		l.Enqueue(Request{Rank: rank, Organisation: "a"}, start)
	}
	c.Assert(l.Ahead(Request{Rank: 2, Organisation: "a"}), qt.Equals, 3)
	c.Assert(l.Ahead(Request{Rank: -1, Organisation: "b"}), qt.Equals, 0)
	c.Assert(l.Len(), qt.Equals, 4)
}
