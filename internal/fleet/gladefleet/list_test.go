package gladefleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// listHistory gives two VMs the same lists of the store, and each what only it learns of the servers.
type listHistory struct {
	*qt.C
	random *rand.Rand
	now    time.Time
	vms    [2]*Table
	// started are the start times of the servers' processes, by identifier.
	started map[string]int64
}

// list gives both VMs one change of the list, and reports whether each of them took it for one.
func (h *listHistory) list(id string) (changed [2]bool) {
	removed := h.random.IntN(4) == 0
	s := Server{ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Started: h.started[id], Slots: 5 + h.random.IntN(2), Leaving: h.random.IntN(2) == 0}
	for i, t := range h.vms {
		if removed {
			t.Remove(id, h.now, 0)
		} else {
			changed[i] = t.Put(s, h.now)
		}
	}
	return changed
}

// learn lets one VM learn something of a server that is not in the list.
func (h *listHistory) learn(id string) {
	t := h.vms[h.random.IntN(2)]
	switch h.random.IntN(5) {
	case 0, 1:
		t.MarkLeaving(id, h.started[id], h.now)
	case 2:
		t.MarkAnswered(id, h.now, h.now)
		t.MarkFailed(id, h.now)
	case 3:
		t.RecordInstance(id, fmt.Sprintf("%s-successor-%d", id, h.started[id]))
	case 4:
		t.MarkReplaced(id)
	}
}

// Guards against a VM that takes a change of the list for none, or its list for another one, because of what it has learned elsewhere: it
// reads the store for its failure domain, and the other VMs are told only what it takes for changes.
func TestListIsTheSameWhateverElseIsKnown(t *testing.T) {
	for seed := range uint64(2000) {
		h := &listHistory{
			C: qt.New(t), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), started: map[string]int64{"x": 1, "y": 1, "z": 1},
		}
		for i := range h.vms {
			h.vms[i] = New(Config{FailureDomain: "a", DrainBound: 2 * time.Second, AddressReuse: 2 * time.Second, BootTime: func() time.Time { return h.now }})
		}
		for range 40 {
			id := []string{"x", "y", "z"}[h.random.IntN(3)]
			switch h.random.IntN(6) {
			case 0, 1:
				h.learn(id)
			case 2:
				h.started[id] += int64(h.random.IntN(2))
			default:
				changed := h.list(id)
				h.Assert(changed[0], qt.Equals, changed[1], qt.Commentf("seed %d, server %s", seed, id))
				h.Assert(h.vms[0].Digest(), qt.Equals, h.vms[1].Digest(), qt.Commentf("seed %d, server %s", seed, id))
				whole := uint64(0)
				for _, s := range h.vms[0].List() {
					whole ^= s.digest()
				}
				h.Assert(h.vms[0].Digest(), qt.Equals, max(1, whole), qt.Commentf("seed %d, server %s", seed, id))
				h.Assert(h.vms[0].List(), qt.DeepEquals, h.vms[1].List(), qt.Commentf("seed %d, server %s", seed, id))
			}
			h.now = h.now.Add(time.Duration(h.random.IntN(500)) * time.Millisecond)
		}
	}
}

// Guards against a VM that starts without the store and does not get from another VM what that one knows beyond the list.
func TestUnlistedKnowledgeIsPassedOn(t *testing.T) {
	c := qt.New(t)
	teller := New(Config{FailureDomain: "shubra", AddressReuse: 2 * time.Second, BootTime: func() time.Time { return start }})
	for _, domain := range []string{"giza", "helwan", "shubra"} {
		teller.Put(testServer(domain, 0), start)
	}
	asker, leaves := newTestTable(1), testServer("giza", 0)
	c.Assert(teller.MarkLeaving(leaves.ID, leaves.Started, start), qt.IsTrue)
	teller.MarkAnswered("shubra-0", start, start)
	teller.MarkFailed("shubra-0", start)
	_, recognised := teller.RecordInstance("shubra-0", "new")
	c.Assert(recognised, qt.IsTrue)
	for _, s := range teller.Unlisted() {
		asker.AddUnlisted(s, start)
	}
	known, _ := asker.Server(leaves.ID)
	c.Assert(known.Leaving, qt.IsTrue)
	_, found := asker.Server("new")
	c.Assert(found, qt.IsTrue)
	c.Assert(asker.Digest(), qt.Equals, newTestTable(1).Digest())
}
