package gladefleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A server that says that it leaves gets nothing, though the store still lists it as active, until another process has its
// place.
func TestServersOwnWordOfLeavingHolds(t *testing.T) {
	c := qt.New(t)
	table, now := limitTable(0, "x", "y")
	c.Check(table.MarkLeaving("x", 1, now), qt.IsTrue)
	c.Check(table.MarkLeaving("x", 1, now), qt.IsFalse)
	c.Check(table.MarkLeaving("w", 1, now), qt.IsFalse)
	entry := Server{ID: "x", Service: "s", Address: "x:1", FailureDomain: "a", Slots: 7, Started: 1}
	table.Put(entry, now) // the store's entry changes, and says nothing of it
	id, _, err := chosen(table, Requirements{}, now)
	c.Assert(err, qt.IsNil)
	c.Check(id, qt.Equals, "y")
	_, err = table.Reserve("x", 1, now)
	c.Check(err, qt.ErrorIs, ErrNoServer)
	entry.Started = 2
	table.Put(entry, now)
	c.Check(table.MarkLeaving("x", 1, now), qt.IsFalse) // a late word of the process before
	id, _, err = chosen(table, Requirements{Avoid: []string{"y"}}, now)
	c.Assert(err, qt.IsNil)
	c.Check(id, qt.Equals, "x")
}

// A server that wants no requests gets none, not even the resumed run whose copy it holds, and its share grows afterwards. VMs
// come back at different times.
func TestServerInBackoffGetsNothing(t *testing.T) {
	c := qt.New(t)
	table, now := limitTable(0.5, "x")
	c.Check(table.BackOff("x", 1, 10*time.Second, now), qt.IsTrue)
	c.Check(table.BackOff("x", 1, 5*time.Second, now), qt.IsFalse) // an older, shorter word
	c.Check(table.BackOff("w", 1, 5*time.Second, now), qt.IsFalse)
	_, _, err := chosen(table, Requirements{}, now.Add(9*time.Second))
	var backoff *BackoffError
	c.Assert(errors.As(err, &backoff), qt.IsTrue)
	c.Check(errors.Is(err, ErrNoServer), qt.IsTrue)
	c.Check(backoff.Until, qt.Equals, now.Add(10500*time.Millisecond))
	c.Check(table.BackoffEnd("s", now), qt.Equals, backoff.Until)
	_, err = table.Reserve("x", 1, now)
	c.Check(err, qt.ErrorIs, ErrNoServer)
	c.Check(table.Usable("x", now), qt.IsTrue)
	id, _, err := chosen(table, Requirements{}, now.Add(11*time.Second))
	c.Assert(err, qt.IsNil)
	c.Check(id, qt.Equals, "x")
	table.Put(Server{ID: "x", Service: "s", Address: "x:1", FailureDomain: "a", Slots: 6, Started: 2}, now)
	_, _, err = chosen(table, Requirements{}, now.Add(time.Second)) // a new process has said nothing
	c.Check(err, qt.IsNil)
	c.Check(table.BackOff("x", 1, 10*time.Second, now), qt.IsFalse)
}

// A service whose servers all leave is served by them for the part of their time that is safely within the bound, and refused
// afterwards. A server that stays comes before them.
func TestLeavingServersServeWhileThereIsNoOther(t *testing.T) {
	c := qt.New(t)
	const bound = 2 * time.Second
	put := func(table *Table, id string, leaving bool, at time.Time) {
		table.Put(Server{ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Slots: 6, Started: 1, Leaving: leaving}, at)
	}
	newTable := func() (*Table, time.Time) {
		table := New(Config{FailureDomain: "a", DrainBound: bound})
		now := time.Unix(1000, 0)
		put(table, "x", false, now)
		put(table, "y", false, now)
		return table, now
	}
	chosenAt := func(table *Table, at time.Time) string {
		id, _, _ := chosen(table, Requirements{}, at)
		return id
	}

	table, now := newTable() // by their own word
	table.MarkLeaving("x", 1, now)
	for range 20 {
		c.Assert(chosenAt(table, now), qt.Equals, "y")
	}
	table.MarkLeaving("y", 1, now)
	last := now.Add(bound - wordMargin)
	c.Assert(chosenAt(table, last.Add(-time.Millisecond)), qt.Not(qt.Equals), "")
	c.Assert(chosenAt(table, last), qt.Equals, "")
	_, err := table.Reserve("x", 1, now) // a copy is not taken there
	c.Assert(err, qt.ErrorIs, ErrNoServer)

	table, now = newTable() // as the store lists them, and again later
	for _, id := range []string{"x", "y"} {
		put(table, id, true, now)
		table.Put(Server{ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Slots: 5, Started: 1, Leaving: true}, now.Add(300*time.Millisecond))
	}
	last = now.Add(bound - listDelay)
	c.Assert(chosenAt(table, last.Add(-time.Millisecond)), qt.Not(qt.Equals), "")
	c.Assert(chosenAt(table, last), qt.Equals, "")

	table, now = newTable() // the store's word comes after their own
	for _, id := range []string{"x", "y"} {
		table.MarkLeaving(id, 1, now)
		put(table, id, true, now.Add(100*time.Millisecond))
	}
	c.Assert(chosenAt(table, now.Add(100*time.Millisecond+bound-listDelay)), qt.Equals, "")

	table = New(Config{FailureDomain: "a", DrainBound: bound}) // they left before this VM started
	put(table, "x", true, now)
	c.Assert(chosenAt(table, now), qt.Equals, "")

	table, now = newTable() // gone from the list
	table.Remove("x", now, 0)
	table.Remove("y", now, 0)
	c.Assert(chosenAt(table, now.Add(bound-listDelay-time.Millisecond)), qt.Not(qt.Equals), "")
	c.Assert(chosenAt(table, now.Add(bound-listDelay)), qt.Equals, "")
}

// A restarted server and one that asked for a backoff are no exception to what leaving and backoffs mean.
func TestLeavingServerThatCannotServeIsNotChosen(t *testing.T) {
	c := qt.New(t)
	table := New(Config{FailureDomain: "a", DrainBound: 2 * time.Second})
	now := time.Unix(1000, 0)
	server := Server{ID: "x", Service: "s", Address: "x:1", FailureDomain: "a", Slots: 6, Started: 1}
	table.Put(server, now)
	table.MarkLeaving("x", 1, now)
	table.BackOff("x", 1, time.Second, now)
	_, _, err := chosen(table, Requirements{}, now)
	c.Assert(err, qt.IsNotNil)
	server.Started = 2
	table.Put(server, now)
	id, _, err := chosen(table, Requirements{}, now)
	c.Assert(err, qt.IsNil)
	c.Assert(id, qt.Equals, "x")
	server.Leaving = true
	table.Put(server, now.Add(10*time.Second)) // its own time, not that of the process before
	_, _, err = chosen(table, Requirements{}, now.Add(10*time.Second))
	c.Assert(err, qt.IsNil)
}

func BenchmarkDigest(b *testing.B) {
	t := New(Config{FailureDomain: "a"})
	now := time.Unix(1000, 0)
	for n := range 870 {
		id := fmt.Sprintf("i-%08x", n)
		t.Put(Server{ID: id, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:8404", n/256, n%256), FailureDomain: "a", Slots: 6, Started: 1}, now)
	}
	for b.Loop() {
		t.Digest()
	}
}
