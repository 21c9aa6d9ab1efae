package gladeroute

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
)

const pool = "glade-llm"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

func backends(n int, domains ...string) []gladeapi.BackendServer {
	all := make([]gladeapi.BackendServer, n)
	for i := range all {
		all[i] = gladeapi.BackendServer{
			ID: fmt.Sprintf("e%03d", i), Pool: pool, FailureDomain: domains[i%len(domains)], Incarnation: "1",
		}
	}
	return all
}

func newTable(t testing.TB, n int, domains ...string) *Table {
	table := &Table{FailureDomain: domains[0], Check: &gladecheck.Checker{
		OnBroken: func(i gladecheck.Invariant, m string) { t.Errorf("%s: %s", i, m) },
	}}
	table.SetServers(backends(n, domains...))
	return table
}

func choose(c *qt.C, t *Table, n gladeapi.Requirements) gladeapi.Choice {
	choice, err := t.Choose(pool, n)
	c.Assert(err, qt.IsNil)
	return choice
}

// spread makes n choices without releasing them and counts those of each server.
func spread(c *qt.C, t *Table, n int, need gladeapi.Requirements) map[string]int {
	counts := map[string]int{}
	for range n {
		counts[choose(c, t, need).Backend.ID]++
	}
	return counts
}

func TestOwnFailureDomainFirstThenSpill(t *testing.T) {
	c := qt.New(t)
	table := newTable(t, 12, "shubra", "helwan", "giza")
	for range 12 { // 3 on each of the 4 local servers
		c.Assert(choose(c, table, gladeapi.Requirements{}).Backend.FailureDomain, qt.Equals, "shubra")
	}
	remote := 0
	for range 36 {
		if choose(c, table, gladeapi.Requirements{}).Backend.FailureDomain != "shubra" {
			remote++
		}
	}
	c.Assert(remote >= 8, qt.IsTrue, qt.Commentf("%d of 36 spilled", remote))
}

func TestSamePrefixSharesServerUntilLoaded(t *testing.T) {
	c := qt.New(t)
	a, b := newTable(t, 12, "shubra"), newTable(t, 12, "shubra")
	n := gladeapi.Requirements{Blocks: []uint64{1, 2, 3, 4, 5}}
	first := choose(c, a, n).Backend.ID
	c.Assert(choose(c, b, n).Backend.ID, qt.Equals, first)
	n.Blocks[4] = 99 // after the 4 affinity blocks
	counts := spread(c, a, 59, n)
	c.Assert(counts[first] >= defaultAffinityFloor-1, qt.IsTrue)
	for id, count := range counts {
		c.Assert(count <= defaultAffinityFloor+1, qt.IsTrue, qt.Commentf("%s got %d of 60", id, count))
	}
}

func TestLeavingAndIncarnationsAreSticky(t *testing.T) {
	c := qt.New(t)
	table := newTable(t, 2, "shubra")
	leaving := backends(2, "shubra")
	leaving[0].Leaving = true
	table.SetServers(leaving)
	table.SetServers(backends(2, "shubra")[1:]) // e000 is missing for a while
	table.SetServers(backends(2, "shubra"))     // a stale list does not say that it leaves
	c.Assert(spread(c, table, 20, gladeapi.Requirements{})["e000"], qt.Equals, 0)
	next := backends(2, "shubra")
	next[0].Incarnation = "2"
	table.SetServers(next)
	c.Assert(spread(c, table, 40, gladeapi.Requirements{})["e000"] > 0, qt.IsTrue)
	table.SetLeaving([]Incarnation{{ID: "e000", Incarnation: "1"}}) // a late report about the former incarnation
	table.SetServers(backends(2, "shubra"))
	for _, b := range table.Backends() {
		c.Assert(b.Leaving, qt.IsFalse)
	}
	c.Assert(table.Backends()[0].Incarnation, qt.Equals, "2")
	table.SetLeaving([]Incarnation{{ID: "e000", Incarnation: "2"}, {ID: "e001", Incarnation: "1"}})
	_, err := table.Choose(pool, gladeapi.Requirements{})
	c.Assert(errors.Is(err, ErrNoBackend), qt.IsTrue)
}

func TestRecentFailureOutweighsReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(t, 3, "shubra")
		fail := func(o gladeapi.Outcome) {
			choose(c, table, gladeapi.Requirements{Avoid: []string{"e001", "e002"}}).Release(o)
		}
		fail(gladeapi.OutcomeFailed)
		table.UpdateLoad(gladeapi.LoadReport{Backend: "e000"}, 0) // an idle server by its report
		table.UpdateLoad(gladeapi.LoadReport{Backend: "e001", Running: 20}, 0)
		table.UpdateLoad(gladeapi.LoadReport{Backend: "e002", Running: 20}, 0)
		c.Assert(spread(c, table, 30, gladeapi.Requirements{})["e000"], qt.Equals, 0)
		time.Sleep(firstQuarantine)
		c.Assert(spread(c, table, 30, gladeapi.Requirements{})["e000"], qt.Equals, 1) // one probe
		fail(gladeapi.OutcomeStalled)
		fail(gladeapi.OutcomeStalled) // all others are avoided, so that the quarantined server is used
		time.Sleep(2 * firstQuarantine)
		c.Assert(spread(c, table, 30, gladeapi.Requirements{})["e000"], qt.Equals, 0) // the quarantine has grown
		time.Sleep(4 * firstQuarantine)
		fail(gladeapi.OutcomeDone)
		c.Assert(spread(c, table, 30, gladeapi.Requirements{})["e000"] > 1, qt.IsTrue)
	})
}

func TestLoadSpreadsAfterMassLoss(t *testing.T) {
	c := qt.New(t)
	counts := map[string]int{}
	random := rand.New(rand.NewPCG(1, 1)).IntN
	for range 14 { // VMs that have the same stale reports of the 24 servers left of 36
		table := newTable(t, 24, "shubra")
		table.Random = random
		for i := range 24 {
			table.UpdateLoad(gladeapi.LoadReport{Backend: fmt.Sprintf("e%03d", i), Running: 8 + i}, 0)
		}
		for id, n := range spread(c, table, 12, gladeapi.Requirements{Resume: true, Blocks: []uint64{7}}) {
			counts[id] += n
		}
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	c.Assert(most <= 3*14*12/24, qt.IsTrue, qt.Commentf("%v", counts)) // the least loaded server alone would get half of all
}

func TestReportsExpireAndSetTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(t, 2, "shubra")
		table.UpdateLoad(gladeapi.LoadReport{Backend: "e000", Running: 80, Targets: []string{"m@1"}}, 0)
		table.UpdateLoad(gladeapi.LoadReport{Backend: "e000", Incarnation: "0"}, 0) // of a former incarnation
		table.UpdateLoad(gladeapi.LoadReport{Backend: "e000"}, 10*time.Second)      // made before the first report
		c.Assert(spread(c, table, 10, gladeapi.Requirements{})["e000"], qt.Equals, 0)
		table.UpdateLoad(gladeapi.LoadReport{Backend: "e001", Targets: []string{"m@2"}}, 0)
		for version, id := range map[string]string{"1": "e000", "2": "e001"} {
			need := gladeapi.Requirements{Target: gladeapi.Target{Model: "m", Version: version}}
			c.Assert(choose(c, table, need).Backend.ID, qt.Equals, id)
		}
		_, err := table.Choose(pool, gladeapi.Requirements{Target: gladeapi.Target{Model: "m", Version: "3"}})
		c.Assert(errors.Is(err, ErrNoBackend), qt.IsTrue)
		time.Sleep(defaultReportAge)
		c.Assert(spread(c, table, 10, gladeapi.Requirements{})["e000"] > 0, qt.IsTrue)
	})
}

func TestSuspectsRunOnSeparateServers(t *testing.T) {
	c := qt.New(t)
	table := newTable(t, 3, "shubra")
	for range 2 { // e002 has the highest load, which would keep suspects off it
		choose(c, table, gladeapi.Requirements{Avoid: []string{"e000", "e001"}})
	}
	held := map[string]gladeapi.Choice{}
	for range 3 {
		choice := choose(c, table, gladeapi.Requirements{Isolate: true})
		held[choice.Backend.ID] = choice
	}
	c.Assert(held, qt.HasLen, 3)
	choose(c, table, gladeapi.Requirements{Isolate: true}) // more suspects than servers: they share a server
	held["e002"].Release(gladeapi.OutcomeDone)
	c.Assert(choose(c, table, gladeapi.Requirements{Isolate: true}).Backend.ID, qt.Equals, "e002")
}

// TestRandomOperations runs random sequences of server lists, reports, choices and releases, and checks that no leaving
// server is chosen.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		table := newTable(t, 6, "shubra", "helwan")
		left := map[Incarnation]bool{}
		var held []gladeapi.Choice
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			switch rapid.IntRange(0, 4).Draw(r, "step") {
			case 0:
				list := backends(6, "shubra", "helwan")
				for i := range list {
					list[i].Incarnation = rapid.SampledFrom([]string{"1", "2"}).Draw(r, "incarnation")
					list[i].Leaving = rapid.IntRange(0, 4).Draw(r, "leaving") == 0
					if list[i].Leaving {
						left[Incarnation{list[i].ID, list[i].Incarnation}] = true
					}
				}
				table.SetServers(list)
			case 1:
				table.UpdateLoad(gladeapi.LoadReport{Backend: "e001", Running: rapid.IntRange(0, 9).Draw(r, "running")}, 0)
			case 2:
				if len(held) > 0 {
					held[0].Release(gladeapi.Outcome(rapid.IntRange(0, 3).Draw(r, "outcome")))
					held = held[1:]
				}
			default:
				choice, err := table.Choose(pool, gladeapi.Requirements{Isolate: rapid.Bool().Draw(r, "isolate")})
				if err != nil {
					continue
				}
				held = append(held, choice)
				if left[Incarnation{choice.Backend.ID, choice.Backend.Incarnation}] {
					r.Fatalf("%s/%s was leaving", choice.Backend.ID, choice.Backend.Incarnation)
				}
			}
		}
	})
}

func benchmark(b *testing.B, n int, need gladeapi.Requirements) {
	table := newTable(b, n, "shubra", "helwan", "giza")
	b.ReportAllocs()
	for b.Loop() {
		choice, err := table.Choose(pool, need)
		if err != nil {
			b.Fatal(err)
		}
		choice.Release(gladeapi.OutcomeDone)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{36, 870} {
		b.Run(fmt.Sprintf("load/%d", n), func(b *testing.B) { benchmark(b, n, gladeapi.Requirements{}) })
		b.Run(fmt.Sprintf("prefix/%d", n), func(b *testing.B) { benchmark(b, n, gladeapi.Requirements{Blocks: []uint64{1, 2, 3, 4}}) })
	}
}
