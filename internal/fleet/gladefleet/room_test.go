package gladefleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// memory is what an engine of the tests holds: eight runs of 5,000 tokens of prompt and 1,000 of output.
const memory = 55_000

// fillRuns are the runs after which such an engine takes nothing more.
const fillRuns = 8

func need(i int, room Room) Need {
	return Need{Service: engines, Prompt: 5000, Tokens: 6000, Session: uint64(i + 1), Room: room}
}

// Pattern: generations come faster than they end.  Engines that are filled beyond their memory drop runs and read their
// prompts again, so that in the end fewer are served than there is room for.
func TestFullEnginesTakeNothingNew(t *testing.T) {
	c := qt.New(t)
	table := pool(2)
	room := Room{Memory: memory}
	var taken []*Taken
	for i := 0; ; i++ {
		k, err := table.Choose(need(i, room), start)
		if err != nil {
			c.Assert(errors.Is(err, ErrFull), qt.IsTrue)
			break
		}
		taken = append(taken, k)
	}
	for _, e := range table.servers {
		c.Assert(e.filled() <= memory, qt.IsTrue)
		c.Assert(e.runs, qt.Equals, fillRuns)
	}
	// A long prompt gets the next free room like a short one.
	taken[3].Release()
	long := need(99, room)
	long.Prompt, long.Tokens = 9000, 10_000
	k, err := table.Choose(long, start)
	c.Assert(err, qt.IsNil)
	c.Assert(k.ID, qt.Equals, taken[3].ID)
}

// Pattern: other VMs have filled the engines; this VM has nothing there itself.
func TestPeersRunsAndCopiesTakeRoom(t *testing.T) {
	c := qt.New(t)
	for name, full := range map[string]Share{
		"runs": {Runs: 8, Memory: 48_000}, "copies": {Copies: 48_000}, "slots": {Runs: 12},
	} {
		table := pool(1)
		table.SetPeer("vm-2", map[string]Share{"shubra-0": full, "giza-0": full, "helwan-0": full})
		_, err := table.Choose(need(1, Room{Memory: memory}), start)
		c.Assert(errors.Is(err, ErrFull), qt.IsTrue, qt.Commentf(name))
		table.SetPeer("vm-2", map[string]Share{"shubra-0": full, "helwan-0": full})
		c.Assert(choose(c, table, need(1, Room{Memory: memory}), start).ID, qt.Equals, "giza-0")
	}
}

// Pattern: all engines read prompts; one more in the queue would begin its answer too late.
func TestPromptsThatWouldWaitTooLongAreNotTaken(t *testing.T) {
	c := qt.New(t)
	table := pool(1)
	room := Room{Unread: 11_000}
	for i := range 6 {
		choose(c, table, need(i, room), start)
	}
	_, err := table.Choose(need(7, room), start)
	c.Assert(errors.Is(err, ErrFull), qt.IsTrue)
	// A prompt larger than the bound is read by an engine that reads nothing else.
	idle := pool(1)
	large := need(1, Room{Unread: 4000})
	choose(c, idle, large, start)
}

// Pattern: engines read 4,200 tokens a second beside the output of other runs; the bound on unread prompts needs that.
func TestSpeedIsMeasured(t *testing.T) {
	c := qt.New(t)
	table := pool(1)
	c.Assert(table.Speed(engines), qt.Equals, 0.0)
	now := start
	for i := range 50 {
		k := choose(c, table, Need{Prompt: 4200, Session: uint64(i)}, now)
		k.Reason = reasonNear // a session's engine may have read the prompt before
		now = now.Add(time.Second)
		k.Read(now)
		k.Release()
	}
	speed := table.Speed(engines)
	c.Assert(speed > 4100 && speed < 4300, qt.IsTrue, qt.Commentf("%v", speed))
}

// Pattern: at full load there is room for runs and none for copies; a copy must not push out a run.
func TestCopiesNeedRoom(t *testing.T) {
	c := qt.New(t)
	table := pool(1)
	room := Room{Memory: memory}
	run := server("shubra", 0)
	full := Share{Runs: 8, Memory: 48_000}
	table.SetPeer("vm-2", map[string]Share{"giza-0": full, "helwan-0": full})
	c.Assert(table.ChooseCopy(run, 6000, room, nil, start), qt.IsNil)
	c.Assert(table.CopyPlaces(run, nil, start), qt.IsTrue)
	c.Assert(table.ChooseCopy(run, 6000, Room{}, nil, start), qt.IsNotNil)
	// Where no other engine is left, no copy is to be had at all.
	c.Assert(table.CopyPlaces(run, []string{"giza-0", "helwan-0"}, start), qt.IsFalse)
}

// Pattern: a failure domain crashes; at the same moment all VMs choose new places for what they had there.
func TestVMsSpreadAfterACrash(t *testing.T) {
	c := qt.New(t)
	const vms, runs, servers = 15, 10, 12
	copies := map[string]int{}
	for range vms {
		table := pool(servers)
		table.SetPeer("other", map[string]Share{"giza-0": {Copies: 1000}}) // most engines are a little fuller than one
		for i := 1; i < servers; i++ {
			table.SetPeer(fmt.Sprint(i), map[string]Share{fmt.Sprintf("giza-%d", i): {Copies: 9000}})
		}
		table.Fail("helwan-0", start)
		table.Fail("helwan-1", start)
		for range runs {
			copies[table.ChooseCopy(server("shubra", 0), 6000, Room{Memory: memory}, nil, start).ID]++
		}
	}
	for id, n := range copies {
		c.Assert(n < 4*vms*runs/servers, qt.IsTrue, qt.Commentf("%s has %d copies", id, n))
	}
}

// Pattern: an engine comes back empty; all VMs whose requests wait see it at the same moment.
func TestCrowdedClaimsAreGivenUp(t *testing.T) {
	c := qt.New(t)
	room := Room{Memory: memory, Unread: 11_000}
	const vms, rounds = 15, 200
	kept := 0
	for range rounds {
		table := pool(1)
		k := choose(c, table, need(1, room), start)
		table.SetPeer("others", map[string]Share{k.ID: {Runs: vms - 1, Prompt: 5000 * (vms - 1), Memory: 6000 * (vms - 1)}})
		for range vms {
			if !table.Crowded(k, room) {
				kept++
			}
		}
	}
	perRound := float64(kept) / rounds
	c.Assert(perRound > 1 && perRound < 4, qt.IsTrue, qt.Commentf("%v kept", perRound))
	table := pool(1)
	k := choose(c, table, need(1, room), start)
	c.Assert(table.Crowded(k, room), qt.IsFalse)
}

// Pattern: a fleet of a hundred VMs at full load.  What the VMs of other failure domains place at home is known half a
// second late, so that their servers are left to them as long as the own ones have room, and a part of the memory with
// them.
func TestWideFleetKeepsToItsDomain(t *testing.T) {
	c := qt.New(t)
	room := Room{Memory: memory}
	table := pool(2)
	table.SetWide(true)
	for i := range 2 * fillRuns {
		k := choose(c, table, need(i, room), start)
		c.Assert(k.FailureDomain, qt.Equals, "shubra")
		k.Read(start.Add(time.Second))
	}
	far := 0
	for ; ; far++ {
		k, err := table.Choose(need(far, room), start)
		if err != nil {
			c.Assert(errors.Is(err, ErrFull), qt.IsTrue)
			break
		}
		c.Assert(k.FailureDomain, qt.Not(qt.Equals), "shubra")
	}
	c.Assert(far > 0 && far < 4*fillRuns, qt.IsTrue, qt.Commentf("%d far away", far))
}

// Pattern: all VMs of a wide fleet see one engine elsewhere emptier than the others, for half a second.
func TestWideFleetSpreadsCopies(t *testing.T) {
	c := qt.New(t)
	const vms, servers = 30, 12
	copies := map[string]int{}
	for range vms {
		table := pool(servers)
		table.SetWide(true)
		for i := 1; i < servers; i++ {
			table.SetPeer("all of giza", map[string]Share{fmt.Sprintf("giza-%d", i): {Copies: 6000}})
		}
		copies[table.ChooseCopy(server("shubra", 0), 6000, Room{Memory: memory}, nil, start).ID]++
	}
	for id, n := range copies {
		c.Assert(n < vms/4, qt.IsTrue, qt.Commentf("%s has %d of %d copies", id, n, vms))
	}
}
