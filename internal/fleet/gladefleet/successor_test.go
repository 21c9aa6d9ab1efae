package gladefleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A failure domain's engines crash while the store is down, and restart under new identifiers at their addresses.  A VM
// that had an answer from the old server within the time for which addresses are not reused knows the service of the new
// one; any later it could be of another service.
func TestSuccessorRecognisedWithinAddressReuse(t *testing.T) {
	for name, x := range map[string]struct {
		silence time.Duration
		leaving bool
		want    bool
	}{
		"soon": {1500 * time.Millisecond, false, true}, "too late": {2 * time.Second, false, false},
		"leaving": {time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := start
			table := New(Config{FailureDomain: "shubra", AddressReuse: 2 * time.Second, BootTime: func() time.Time { return now }})
			old := testServer("shubra", 0)
			table.Put(old, start)
			c.Assert(table.AwaitsSuccessor(old.ID), qt.IsFalse) // it has never answered
			table.MarkAnswered(old.ID, start, start)
			table.MarkAnswered(old.ID, time.Time{}, start) // an answer that may have been held up proves nothing
			if x.leaving {
				leaving := old
				leaving.Leaving = true
				table.Put(leaving, start)
			}
			table.MarkFailed(old.ID, start)
			now = start.Add(x.silence)
			s, ok := table.RecordInstance(old.ID, "new")
			c.Assert(ok, qt.Equals, x.want)
			c.Assert(table.Unavailable(old.ID, now), qt.IsTrue)
			if !x.want {
				_, err := table.Choose(Requirements{Service: testService}, now)
				c.Assert(err, qt.ErrorIs, ErrNoServer)
				return
			}
			c.Assert(choose(c, table, Requirements{}, now).ID, qt.Equals, "new")
			_, again := table.RecordInstance(old.ID, "new")
			c.Assert(again, qt.IsFalse)
			// The store's entry replaces what was recognised.
			listed := s.Server
			listed.Started, listed.Slots = old.Started+1200, 8
			c.Assert(table.Put(listed, now), qt.IsTrue)
			c.Assert(choose(c, table, Requirements{}, now).Slots, qt.Equals, 8)
		})
	}
}

func TestAdoptSuccessorOfKnownServer(t *testing.T) {
	c := qt.New(t)
	vms := []*Table{newTestTable(1), newTestTable(1)}
	s := Successor{Predecessor: "giza-0", Server: testServer("giza", 0)}
	s.Server.ID, s.Server.Started = "new", 2
	c.Assert(vms[0].Adopt(s), qt.IsTrue)
	c.Assert(vms[0].Adopt(s), qt.IsFalse)
	c.Assert(vms[0].Unavailable("giza-0", start), qt.IsTrue)
	c.Assert(vms[0].Unavailable("new", start), qt.IsFalse)
	// A notice that comes after the store's entry, or about an unknown server, changes nothing.
	listed := s.Server
	listed.ID, listed.Started = "newer", 3
	vms[1].Put(listed, start)
	c.Assert(vms[1].Adopt(s), qt.IsFalse)
	s.Predecessor = "unknown"
	c.Assert(vms[1].Adopt(s), qt.IsFalse)
}
