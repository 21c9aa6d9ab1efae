package gladefleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testService = "glade-llm"

// start is the time at which the tests begin.
var start = time.Unix(1_000_000, 0)

// newTestTable returns the table of a VM in shubra with perDomain servers in each of three failure domains.
func newTestTable(perDomain int) *Table {
	return newSeededTable(perDomain, rand.Float64)
}

// newSeededTable is newTestTable with a given source of random numbers, for tests that bound random samples.
func newSeededTable(perDomain int, random func() float64) *Table {
	t := New(Config{FailureDomain: "shubra", FailureDomains: 3, Random: random})
	for _, domain := range []string{"giza", "helwan", "shubra"} {
		for i := range perDomain {
			t.Put(testServer(domain, i), start)
		}
	}
	return t
}

func testServer(domain string, i int) Server {
	id := fmt.Sprintf("%s-%d", domain, i)
	return Server{ID: id, Service: testService, Address: id + ":1", FailureDomain: domain, Slots: 12, Started: 1}
}

func choose(c *qt.C, t *Table, n Requirements, now time.Time) *Reservation {
	n.Service = testService
	k, err := t.Choose(n, now)
	c.Assert(err, qt.IsNil)
	return k
}

// Two prompts on one engine take twice as long, so prompts that arrive while earlier ones are being prefilled must go
// to different engines.
func TestChooseSpreadsPromptsOverEngines(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(12)
	seen := map[string]int{}
	for i := range 12 {
		seen[choose(c, table, Requirements{Prompt: 5000, Session: uint64(i + 1)}, start).ID]++
	}
	c.Assert(seen, qt.HasLen, 12)
}

// VMs of one failure domain place prompts at the same moment and know each other's prompts only from the shares.
func TestChooseAvoidsServersWithPeerPrompts(t *testing.T) {
	c := qt.New(t)
	vms := []*Table{newTestTable(12), newTestTable(12), newTestTable(12)}
	seen := map[string]int{}
	for i := range 12 {
		vm := i % len(vms)
		seen[choose(c, vms[vm], Requirements{Prompt: 5000, Session: uint64(i + 1)}, start).ID]++
		for j, other := range vms {
			if j != vm {
				other.SetPeerShares(fmt.Sprint(vm), vms[vm].Shares())
			}
		}
	}
	c.Assert(seen, qt.HasLen, 12)
	vms[0].SetPeerShares("1", nil)
	vms[0].SetPeerShares("2", nil)
	c.Assert(vms[0].Statuses()[24].Load, qt.Equals, vms[0].servers["shubra-0"].load())
}

// When nearly all engines of a failure domain crash together, their runs must not move to the remaining engines there.
func TestChooseAvoidsCrashedFailureDomain(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(12)
	now := start.Add(time.Second)
	table.MarkFailed("shubra-0", now)
	table.MarkFailed("shubra-1", now.Add(5*time.Millisecond))
	now = now.Add(10 * time.Millisecond)
	for i := range 20 {
		k := choose(c, table, Requirements{Prompt: 5000, Session: uint64(i)}, now)
		c.Assert(k.FailureDomain, qt.Not(qt.Equals), "shubra")
		copied := table.ChooseCopy(k.Server, 5000, CapacityLimits{}, VersionRule{}, nil, now)
		c.Assert(copied.FailureDomain, qt.Not(qt.Equals), "shubra")
		c.Assert(copied.FailureDomain, qt.Not(qt.Equals), k.FailureDomain)
	}
	// A server that responds is healthy again at once, the others when the burst is over.
	table.MarkHeard("shubra-5", now)
	c.Assert(choose(c, table, Requirements{}, now).ID, qt.Equals, "shubra-5")
	later := now.Add(2 * burstWindow)
	c.Assert(choose(c, table, Requirements{Prompt: 1}, later).FailureDomain, qt.Equals, "shubra")
}

// The first two failures of a silent failure domain are detected on streams; its other servers then need a probe.
func TestFailReturnsSuspectsAfterBurst(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(4)
	for range 12 {
		choose(c, table, Requirements{Prompt: 5000}, start)
	}
	now := start.Add(time.Second)
	fresh, suspects := table.MarkFailed("shubra-0", now)
	c.Assert(fresh, qt.IsTrue)
	c.Assert(suspects, qt.HasLen, 0)
	table.MarkHeard("shubra-3", now)
	_, suspects = table.MarkFailed("shubra-1", now.Add(time.Millisecond))
	ids := make([]string, 0, len(suspects))
	for _, s := range suspects {
		ids = append(ids, s.ID)
	}
	c.Assert(ids, qt.DeepEquals, []string{"shubra-2"})
	_, suspects = table.MarkFailed("giza-0", now)
	c.Assert(suspects, qt.HasLen, 0)
	fresh, _ = table.MarkFailed("giza-0", now.Add(time.Millisecond))
	c.Assert(fresh, qt.IsFalse)
}

// When a failure domain is cut off, either the run or its copy must be on this VM's side.
func TestRunOrCopyIsInOwnDomain(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(6)
	for i := range 40 {
		k := choose(c, table, Requirements{Prompt: 5000, Session: uint64(i)}, start)
		copied := table.ChooseCopy(k.Server, 5000, CapacityLimits{}, VersionRule{}, nil, start)
		c.Assert(copied.FailureDomain, qt.Not(qt.Equals), k.FailureDomain)
		c.Assert(slices.Contains([]string{k.FailureDomain, copied.FailureDomain}, "shubra"), qt.IsTrue)
	}
	// When the other domains are cut off, the own domain holds both, on two servers.
	for _, domain := range []string{"giza", "helwan"} {
		for i := range 6 {
			table.MarkFailed(testServer(domain, i).ID, start)
		}
	}
	k := choose(c, table, Requirements{Prompt: 5000}, start)
	copied := table.ChooseCopy(k.Server, 5000, CapacityLimits{}, VersionRule{}, nil, start)
	c.Assert(k.FailureDomain, qt.Equals, "shubra")
	c.Assert(copied.FailureDomain, qt.Equals, "shubra")
	c.Assert(copied.ID, qt.Not(qt.Equals), k.ID)
}

func TestLeavingAndGoneServersAreNotChosen(t *testing.T) {
	c := qt.New(t)
	table := New(Config{FailureDomain: "shubra"})
	s := testServer("shubra", 0)
	table.Put(s, start)
	s.Leaving = true
	table.Put(s, start)
	s.Leaving = false
	table.Put(s, start) // an old entry does not bring it back
	_, err := table.Choose(Requirements{Service: testService}, start)
	c.Assert(err, qt.ErrorIs, ErrNoServer)
	_, err = table.Reserve(s.ID, 0, start)
	c.Assert(err, qt.ErrorIs, ErrNoServer)
	s.Started = 2 // a restart does
	table.Put(s, start)
	choose(c, table, Requirements{}, start)
	table.Remove(s.ID, start, 0)
	_, err = table.Choose(Requirements{Service: testService}, start.Add(unlistedGrace))
	c.Assert(err, qt.ErrorIs, ErrNoServer)
}

// A crashed engine returns under a new identifier at its old address while its old entry is still listed.
func TestNewServerAtSameAddressReplacesOld(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(1)
	k := choose(c, table, Requirements{}, start)
	c.Assert(k.ID, qt.Equals, "shubra-0")
	successor := testServer("shubra", 0)
	successor.ID, successor.Started = "shubra-new", 2
	table.Put(successor, start)
	select {
	case <-k.Down():
	default:
		t.Fatal("the run on the replaced server was not notified")
	}
	c.Assert(table.Unavailable("shubra-0", start), qt.IsTrue)
	for range 10 {
		c.Assert(choose(c, table, Requirements{Prompt: 3000}, start).ID, qt.Not(qt.Equals), "shubra-0")
	}
	table.MarkReplaced("shubra-new")
	c.Assert(table.Unavailable("shubra-new", start), qt.IsTrue)
}

// A failed server is retried in the background and not by callers' requests.
func TestFailedServerIsRetriedInBackground(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(2)
	table.MarkFailed("shubra-0", start)
	c.Assert(table.DueForRetry(start.Add(initialOutage/2)), qt.HasLen, 0)
	due := table.DueForRetry(start.Add(initialOutage))
	c.Assert(due, qt.HasLen, 1)
	c.Assert(table.DueForRetry(start.Add(initialOutage)), qt.HasLen, 0)
	for range 5 {
		c.Assert(choose(c, table, Requirements{Prompt: 9000}, start.Add(initialOutage)).ID, qt.Not(qt.Equals), "shubra-0")
	}
	table.MarkHeard("shubra-0", start.Add(initialOutage))
	c.Assert(table.Unavailable("shubra-0", start.Add(initialOutage)), qt.IsFalse)
	c.Assert(choose(c, table, Requirements{}, start.Add(initialOutage)).ID, qt.Equals, "shubra-0")
}

// When many VMs are killed, their callers return through others. Their prompts are still cached on the engines that
// prefilled them.
func TestSessionReturnsToItsEngineUnlessLoaded(t *testing.T) {
	c := qt.New(t)
	first := choose(c, newTestTable(12), Requirements{Prompt: 5000, Session: 42}, start)
	table := newTestTable(12)
	again := choose(c, table, Requirements{Prompt: 5000, Session: 42}, start)
	c.Assert(again.ID, qt.Equals, first.ID)
	c.Assert(again.Reason, qt.Equals, reasonSession)
	c.Assert(choose(c, table, Requirements{Prompt: 5000, Session: 42}, start).ID, qt.Not(qt.Equals), first.ID)
}

func TestListMissingMostServersIsNotTrusted(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(4)
	var servers []Server
	for _, s := range table.Statuses() {
		servers = append(servers, s.Server)
	}
	c.Assert(PossiblyExpired(table.Statuses(), servers)[testService], qt.IsFalse)
	c.Assert(PossiblyExpired(table.Statuses(), servers[4:])[testService], qt.IsFalse) // one failure domain has crashed
	c.Assert(PossiblyExpired(table.Statuses(), servers[:2])[testService], qt.IsTrue)
	c.Assert(PossiblyExpired(table.Statuses(), nil)[testService], qt.IsTrue)
	// Servers whose entries may have expired stay usable for the additional grace and no longer.
	for _, s := range servers {
		table.Remove(s.ID, start, time.Second)
	}
	choose(c, table, Requirements{}, start.Add(unlistedGrace))
	_, err := table.Choose(Requirements{Service: testService}, start.Add(unlistedGrace+time.Second))
	c.Assert(err, qt.ErrorIs, ErrNoServer)
}

func TestReleaseFreesReservations(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(1)
	k := choose(c, table, Requirements{Prompt: 5000}, start)
	copied := table.ChooseCopy(k.Server, 5000, CapacityLimits{}, VersionRule{}, nil, start)
	c.Assert(table.Shares(), qt.HasLen, 2)
	k.PrefillDone(start)
	c.Assert(table.Shares()[k.ID], qt.Equals, Share{Runs: 1})
	k.Release()
	copied.Release()
	c.Assert(table.Shares(), qt.HasLen, 0)
	(*CopyReservation)(nil).Release()
}

func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{36, 120, 870} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			table := newTestTable(servers / 3)
			b.ReportAllocs()
			for i := range b.N {
				k, err := table.Choose(Requirements{Service: testService, Prompt: 5000, Session: uint64(i)}, start)
				if err != nil {
					b.Fatal(err)
				}
				k.Release()
			}
		})
	}
}

// A server that sends bytes without end accepts connections, so that probes find it up.  It must be avoided for longer
// after each such answer, and be used as before once it answers well.
func TestOverrunQuarantinesServer(t *testing.T) {
	c := qt.New(t)
	table := New(Config{FailureDomain: "shubra", FailureDomains: 3})
	table.Put(testServer("shubra", 0), start)
	table.Put(testServer("giza", 0), start)
	now := start
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 16} {
		c.Assert(chooseOnce(c, table, now), qt.Equals, "shubra-0")
		c.Assert(table.RecordOverrun("shubra-0", now), qt.Equals, want*time.Second)
		c.Assert(table.RecordOverrun("shubra-0", now), qt.Equals, time.Duration(0)) // another request that was in progress
		table.MarkHeard("shubra-0", now)
		c.Assert(chooseOnce(c, table, now.Add(want*time.Second-1)), qt.Equals, "giza-0")
		now = now.Add(want * time.Second)
	}
	c.Assert(chooseOnce(c, table, now), qt.Equals, "shubra-0")
	table.RecordOutcome("shubra-0", false)
	c.Assert(table.RecordOverrun("shubra-0", now), qt.Equals, time.Second)
	// With no other server it is used all the same.
	table.Remove("giza-0", now, 0)
	c.Assert(chooseOnce(c, table, now.Add(unlistedGrace)), qt.Equals, "shubra-0")
}

// chooseOnce returns the server chosen for a plain request that then ends.
func chooseOnce(c *qt.C, t *Table, now time.Time) string {
	k := choose(c, t, Requirements{}, now)
	k.Release()
	return k.ID
}

// Services and failure domains whose names run together must not share their failures.
func TestFailuresKeptApartByServiceAndDomain(t *testing.T) {
	c := qt.New(t)
	table := New(Config{FailureDomain: "x", FailureDomains: 2})
	a := Server{ID: "a", Service: "s", FailureDomain: "bc", Address: "a:1", Slots: 1, Started: 1}
	b := Server{ID: "b", Service: "sb", FailureDomain: "c", Address: "b:1", Slots: 1, Started: 1}
	a2 := a
	a2.ID, a2.Address = "a2", "a2:1"
	for _, s := range []Server{a, a2, b} {
		table.Put(s, start)
	}
	table.MarkFailed("a", start)
	table.MarkFailed("a2", start)
	c.Assert(table.failures[a.domainKey()].isBurst(start), qt.IsTrue)
	c.Assert(table.failures[b.domainKey()].isBurst(start), qt.IsFalse)
}
