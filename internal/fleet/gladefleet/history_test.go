package gladefleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// historyBound is the DrainBound of the histories, and historyLapse the grace of entries that may only have expired.
	historyBound = 2 * time.Second
	historyLapse = 1500 * time.Millisecond
	// historyEvents is the number of events of one history, and historyPause the longest time between two.
	historyEvents = 25
	historyPause  = 900 * time.Millisecond
)

// history is what a VM was told of two servers of one service.
type history struct {
	table   *Table
	random  *rand.Rand
	now     time.Time
	servers map[string]*historyServer
	log     []string
}

// historyServer is one server of a history.
type historyServer struct {
	started int64
	// known reports that the VM knows this process, and leaving that it was told that the process leaves.
	known, leaving bool
	// told is when the VM was first told that the process leaves or is gone, zero before.
	told time.Time
	// never reports that the VM first knew the process as leaving.
	never bool
}

func newHistory(seed uint64) *history {
	return &history{
		table:  New(Config{FailureDomain: "a", DrainBound: historyBound}),
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		servers: map[string]*historyServer{"x": {started: 1}, "y": {started: 1}},
	}
}

// put lists a server: for the first time, by a reader, or by a peer.
func (h *history) put(id string, leaving bool) {
	m := h.servers[id]
	h.table.Put(Server{
		ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Slots: 5 + h.random.IntN(3), Started: m.started, Leaving: leaving,
	}, h.now)
	switch {
	case leaving && !m.known:
		m.never, m.told = true, h.now
	case leaving && m.told.IsZero():
		m.told = h.now
	case !leaving && !m.leaving:
		m.told = time.Time{} // a removal by mistake
	}
	m.known, m.leaving = true, m.leaving || leaving
}

// step makes one random event.
func (h *history) step() {
	id := []string{"x", "y"}[h.random.IntN(2)]
	m := h.servers[id]
	event := h.random.IntN(8)
	h.log = append(h.log, fmt.Sprintf("%v event %d of %s", h.now.Sub(time.Unix(1000, 0)), event, id))
	switch event {
	case 0:
		h.put(id, false)
	case 1, 2:
		h.put(id, true)
	case 3:
		if h.table.MarkLeaving(id, m.started, h.now) {
			m.known, m.leaving = true, true
			if m.told.IsZero() {
				m.told = h.now
			}
		}
	case 4, 5:
		h.table.Remove(id, h.now, time.Duration(event-4)*historyLapse)
		if m.known && m.told.IsZero() {
			m.told = h.now
		}
	case 6:
		h.table.MarkFailed(id, h.now)
	case 7:
		if h.table.MarkHeard(id, h.now); h.random.IntN(3) == 0 {
			*m = historyServer{started: m.started + 1} // another process, not known yet
		}
	}
}

// late returns the server that is chosen now although it must not be, if there is one.
func (h *history) late() string {
	for range 4 {
		k, err := h.table.Choose(Requirements{Service: "s"}, h.now)
		if err != nil {
			return ""
		}
		k.Release()
		m := h.servers[k.ID]
		if m.known && (m.never || !m.told.IsZero() && h.now.Sub(m.told) > historyBound) {
			return k.ID
		}
	}
	return ""
}

// Guards against a server that gets requests later than its bound after the VM was told that it leaves or is gone, whatever the VM is
// told afterwards, and against a VM that uses a server that it first knew as leaving.
func TestNothingIsSentLaterThanTheBound(t *testing.T) {
	c := qt.New(t)
	late, told := 0, 0
	for seed := range uint64(10000) {
		h := newHistory(seed)
		h.put("x", h.random.IntN(3) == 0)
		h.put("y", h.random.IntN(3) == 0)
		for range historyEvents {
			h.step()
			id := h.late()
			h.now = h.now.Add(time.Duration(h.random.Int64N(int64(historyPause))))
			if id == "" {
				id = h.late()
			}
			if id != "" {
				if late++; late == 1 {
					t.Logf("seed %d: %s is chosen at %v, told at %v\n%v", seed, id, h.now, h.servers[id].told, h.log)
				}
				break
			}
		}
		for _, m := range h.servers {
			if !m.told.IsZero() {
				told++
			}
		}
	}
	c.Check(late, qt.Equals, 0)
	c.Check(told > 1000, qt.IsTrue, qt.Commentf("%d", told))
}

// Guards against a second list, of a reader or a peer, that makes a VM use a server that it first knew as leaving.
func TestServerFirstKnownAsLeavingIsNeverUsed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	table := New(Config{FailureDomain: "a", DrainBound: historyBound})
	server := Server{ID: "x", Service: "s", Address: "x:1", FailureDomain: "a", Slots: 6, Started: 1, Leaving: true}
	stays := Server{ID: "y", Service: "s", Address: "y:1", FailureDomain: "a", Slots: 6, Started: 1}
	table.Put(stays, now)
	table.MarkFailed("y", now)
	for range 3 {
		table.Put(server, now)
		id, _, err := chosen(table, Requirements{}, now)
		c.Assert(err, qt.IsNil)
		c.Assert(id, qt.Equals, "y")
		now = now.Add(10 * time.Second)
		server.Slots--
	}
	server.Started++ // another process, which leaves too
	for range 2 {
		table.Put(server, now)
		id, _, err := chosen(table, Requirements{}, now)
		c.Assert(err, qt.IsNil)
		c.Assert(id, qt.Equals, "y")
	}
}

// Guards against a second grace for a server that was removed and is then listed as leaving.
func TestRemovalAndLeavingHaveOneGrace(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	table := New(Config{FailureDomain: "a", DrainBound: historyBound})
	server := Server{ID: "x", Service: "s", Address: "x:1", FailureDomain: "a", Slots: 6, Started: 1}
	table.Put(server, now)
	table.Remove("x", now, 0)
	server.Leaving = true
	table.Put(server, now.Add(400*time.Millisecond))
	_, _, err := chosen(table, Requirements{}, now.Add(table.listedGrace()-time.Millisecond))
	c.Assert(err, qt.IsNil)
	_, _, err = chosen(table, Requirements{}, now.Add(table.listedGrace()))
	c.Assert(err, qt.ErrorIs, ErrNoServer)

	table = New(Config{FailureDomain: "a", DrainBound: historyBound})
	server.Leaving = false
	table.Put(server, now)
	table.Remove("x", now, historyLapse) // it may only have expired
	table.Remove("x", now, 0)            // it has not
	_, _, err = chosen(table, Requirements{}, now.Add(table.listedGrace()))
	c.Assert(err, qt.ErrorIs, ErrNoServer)
	table.Put(server, now.Add(time.Second)) // it is back, and serves without a limit
	_, _, err = chosen(table, Requirements{}, now.Add(time.Hour))
	c.Assert(err, qt.IsNil)
}
