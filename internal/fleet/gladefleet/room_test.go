package gladefleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// engineMemory is the memory of a test engine in tokens. It takes eight runs of 5,000 prompt tokens and 1,000 output
// tokens.
const engineMemory = 55_000

// runsPerEngine is the number of such runs after which an engine accepts no more.
const runsPerEngine = 8

func requirements(i int, room CapacityLimits) Requirements {
	return Requirements{Service: testService, Prompt: 5000, Tokens: 6000, Session: uint64(i + 1), Limits: room}
}

// Engines filled beyond their memory evict runs and prefill their prompts again, so that under overload fewer requests
// complete than there is room for.
func TestFullEnginesAreNotChosen(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(2)
	room := CapacityLimits{Memory: engineMemory}
	var taken []*Reservation
	for i := 0; ; i++ {
		k, err := table.Choose(requirements(i, room), start)
		if err != nil {
			c.Assert(errors.Is(err, ErrFull), qt.IsTrue)
			break
		}
		taken = append(taken, k)
	}
	for _, e := range table.servers {
		c.Assert(e.usedMemory() <= engineMemory, qt.IsTrue)
		c.Assert(e.runs, qt.Equals, runsPerEngine)
	}
	// A long prompt gets the next free place just like a short one.
	taken[3].Release()
	long := requirements(99, room)
	long.Prompt, long.Tokens = 9000, 10_000
	k, err := table.Choose(long, start)
	c.Assert(err, qt.IsNil)
	c.Assert(k.ID, qt.Equals, taken[3].ID)
}

// Other VMs have filled the engines, and this VM has placed nothing there itself.
func TestPeerRunsAndCopiesUseRoom(t *testing.T) {
	c := qt.New(t)
	for name, full := range map[string]Share{
		"runs": {Runs: 8, Memory: 48_000}, "copies": {Copies: 48_000}, "slots": {Runs: 12},
	} {
		table := newTestTable(1)
		table.SetPeerShares("vm-2", map[string]Share{"shubra-0": full, "giza-0": full, "helwan-0": full})
		_, err := table.Choose(requirements(1, CapacityLimits{Memory: engineMemory}), start)
		c.Assert(errors.Is(err, ErrFull), qt.IsTrue, qt.Commentf(name))
		table.SetPeerShares("vm-2", map[string]Share{"shubra-0": full, "helwan-0": full})
		c.Assert(choose(c, table, requirements(1, CapacityLimits{Memory: engineMemory}), start).ID, qt.Equals, "giza-0")
	}
}

// All engines are prefilling prompts, and a further prompt would get its first token too late.
func TestPromptsBeyondPrefillLimitAreRejected(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(1)
	room := CapacityLimits{MaxPendingPrefill: 11_000}
	for i := range 6 {
		choose(c, table, requirements(i, room), start)
	}
	_, err := table.Choose(requirements(7, room), start)
	c.Assert(errors.Is(err, ErrFull), qt.IsTrue)
	// A prompt larger than the limit is accepted by an engine without other prompts.
	idle := newTestTable(1)
	large := requirements(1, CapacityLimits{MaxPendingPrefill: 4000})
	choose(c, idle, large, start)
}

// The limit on waiting prompts depends on the prefill rate. Here engines prefill 4,200 tokens per second while they
// generate the output of other runs.
func TestPrefillRateIsAveraged(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(1)
	c.Assert(table.PrefillRate(testService), qt.Equals, 0.0)
	now := start
	for i := range 50 {
		k := choose(c, table, Requirements{Prompt: 4200, Session: uint64(i)}, now)
		k.Reason = reasonLocal // the rate excludes prompts on a session's engine, which may have them cached
		now = now.Add(time.Second)
		k.PrefillDone(now)
		k.Release()
	}
	speed := table.PrefillRate(testService)
	c.Assert(speed > 4100 && speed < 4300, qt.IsTrue, qt.Commentf("%v", speed))
}

// At full load there is room for runs but none for copies, and a copy must not evict a run.
func TestChooseCopyNeedsFreeMemory(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(1)
	room := CapacityLimits{Memory: engineMemory}
	run := testServer("shubra", 0)
	full := Share{Runs: 8, Memory: 48_000}
	table.SetPeerShares("vm-2", map[string]Share{"giza-0": full, "helwan-0": full})
	c.Assert(table.ChooseCopy(run, 6000, room, VersionRule{}, nil, start), qt.IsNil)
	c.Assert(table.HasCopyCandidate(run, VersionRule{}, nil, start), qt.IsTrue)
	c.Assert(table.ChooseCopy(run, 6000, CapacityLimits{}, VersionRule{}, nil, start), qt.IsNotNil)
	// Without any other engine there is no candidate for a copy.
	c.Assert(table.HasCopyCandidate(run, VersionRule{}, []string{"giza-0", "helwan-0"}, start), qt.IsFalse)
}

// When a failure domain crashes, all VMs choose new places for their copies at the same moment.
func TestCopiesSpreadAfterCrash(t *testing.T) {
	c := qt.New(t)
	const vms, runs, servers = 15, 10, 12
	copies := map[string]int{}
	random := rand.New(rand.NewPCG(1, 1)).Float64
	for range vms {
		table := newSeededTable(servers, random)
		table.SetPeerShares("other", map[string]Share{"giza-0": {Copies: 1000}}) // one engine is less loaded than the others
		for i := 1; i < servers; i++ {
			table.SetPeerShares(fmt.Sprint(i), map[string]Share{fmt.Sprintf("giza-%d", i): {Copies: 9000}})
		}
		table.MarkFailed("helwan-0", start)
		table.MarkFailed("helwan-1", start)
		for range runs {
			copies[table.ChooseCopy(testServer("shubra", 0), 6000, CapacityLimits{Memory: engineMemory}, VersionRule{}, nil, start).ID]++
		}
	}
	for id, n := range copies {
		c.Assert(n < 4*vms*runs/servers, qt.IsTrue, qt.Commentf("%s has %d copies", id, n))
	}
}

// An engine restarts empty, and all VMs with waiting requests see it at the same moment.
func TestCrowdedReservationsAreReleased(t *testing.T) {
	c := qt.New(t)
	room := CapacityLimits{Memory: engineMemory, MaxPendingPrefill: 11_000}
	const vms, rounds = 15, 200
	kept := 0
	random := rand.New(rand.NewPCG(1, 1)).Float64
	for range rounds {
		table := newSeededTable(1, random)
		k := choose(c, table, requirements(1, room), start)
		table.SetPeerShares("others", map[string]Share{k.ID: {Runs: vms - 1, Prompt: 5000 * (vms - 1), Memory: 6000 * (vms - 1)}})
		for range vms {
			if !table.ShouldRelease(k, room) {
				kept++
			}
		}
	}
	perRound := float64(kept) / rounds
	c.Assert(perRound > 1 && perRound < 4, qt.IsTrue, qt.Commentf("%v kept", perRound))
	table := newTestTable(1)
	k := choose(c, table, requirements(1, room), start)
	c.Assert(table.ShouldRelease(k, room), qt.IsFalse)
}

// In a fleet of a hundred VMs at full load, the load from VMs of other failure domains is known half a second late.
// Each VM must use the servers of its own domain while they have room, and leave a part of the memory elsewhere to the
// VMs there.
func TestLargeFleetPrefersOwnDomain(t *testing.T) {
	c := qt.New(t)
	room := CapacityLimits{Memory: engineMemory}
	table := newTestTable(2)
	table.SetLargeFleet(true)
	for i := range 2 * runsPerEngine {
		k := choose(c, table, requirements(i, room), start)
		c.Assert(k.FailureDomain, qt.Equals, "shubra")
		k.PrefillDone(start.Add(time.Second))
	}
	far := 0
	for ; ; far++ {
		k, err := table.Choose(requirements(far, room), start)
		if err != nil {
			c.Assert(errors.Is(err, ErrFull), qt.IsTrue)
			break
		}
		c.Assert(k.FailureDomain, qt.Not(qt.Equals), "shubra")
	}
	c.Assert(far > 0 && far < 4*runsPerEngine, qt.IsTrue, qt.Commentf("%d far away", far))
}

// For half a second, all VMs of a large fleet see the same engine in another failure domain as the least loaded.
//
// The bound is far from the expected share of each engine. The numbers of VMs and copies are so large that chance does
// not reach it. A VM releases each copy before it places the next one, so that it sees the same loads again.
func TestLargeFleetSpreadsCopies(t *testing.T) {
	c := qt.New(t)
	const vms, servers = 120, 12
	allButOne := map[string]Share{}
	for i := range servers {
		allButOne[fmt.Sprintf("giza-%d", i)] = Share{Copies: 3000}
		allButOne[fmt.Sprintf("helwan-%d", i)] = Share{Copies: 3000}
	}
	delete(allButOne, "giza-0")
	var tables []*Table
	for range vms {
		table := newTestTable(servers)
		table.SetLargeFleet(true)
		tables = append(tables, table)
	}
	for name, test := range map[string]struct {
		loaded      map[string]Share
		copiesPerVM int
	}{
		"one engine is loaded":           {map[string]Share{"giza-11": {Copies: 6000}}, 1},
		"all engines but one are loaded": {allButOne, 10},
	} {
		copies := map[string]int{}
		for _, table := range tables {
			table.SetPeerShares("others", test.loaded)
			for range test.copiesPerVM {
				k := table.ChooseCopy(testServer("shubra", 0), 6000, CapacityLimits{Memory: engineMemory}, VersionRule{}, nil, start)
				copies[k.ID]++
				k.Release()
			}
		}
		all := vms * test.copiesPerVM
		for id, n := range copies {
			// No engine has more than a fifth of the copies.
			c.Assert(n <= all/5, qt.IsTrue, qt.Commentf("%s: %s has %d of %d copies", name, id, n, all))
		}
	}
}

// In a failure domain of fifty servers every VM asked every server for a resumed prompt.  The questions are bounded, and VMs agree
// on the servers that are asked.
func TestLocalServersOfASessionAreBounded(t *testing.T) {
	c := qt.New(t)
	first, second := newTestTable(50), newTestTable(50)
	asked := first.LocalServers(testService, 7, 12, start)
	c.Assert(asked, qt.HasLen, 12)
	c.Assert(second.LocalServers(testService, 7, 12, start), qt.DeepEquals, asked)
	c.Assert(first.LocalServers(testService, 8, 12, start), qt.Not(qt.DeepEquals), asked)
	c.Assert(first.LocalServers(testService, 7, 100, start), qt.HasLen, 50)
	preferred := choose(c, first, Requirements{Session: 7}, start)
	c.Assert(asked[0].ID, qt.Equals, preferred.ID)
}
