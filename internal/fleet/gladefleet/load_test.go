package gladefleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Deployments whose servers state no work time must be served exactly as before: with the same random numbers, reports of
// three figures and measured answer times must change no choice, of engines and of plain servers.
func TestThreeFiguresChangeNoChoice(t *testing.T) {
	c := qt.New(t)
	run := func(reports bool) (chosen []string) {
		random := rand.New(rand.NewPCG(1, 2))
		table := newSeededTable(4, random.Float64)
		for i := range 300 {
			now := start.Add(time.Duration(i) * 20 * time.Millisecond)
			k := choose(c, table, Requirements{Prompt: i % 2 * 5000, Session: uint64(i % 2 * i)}, now)
			chosen = append(chosen, k.ID+k.Reason)
			if i%3 > 0 {
				k.Release()
			}
			if reports {
				table.RecordLoad(k.ID, LoadReport{Running: 12, Waiting: i, Slots: 12}, now)
				table.RecordAnswerTime(k.ID, time.Duration(i)*time.Millisecond, true, now)
				c.Assert(table.MarkFull(k.ID, now), qt.Equals, time.Duration(0))
			}
		}
		return chosen
	}
	c.Assert(run(true), qt.DeepEquals, run(false))
}

// Many VMs hear the same figures: one engine is idle and the others are busy. If all of them chose the idle one, it would
// be the busiest a moment later.
func TestVMsThatHearTheSameFigureSpread(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	chosen := map[string]int{}
	const vms = 400
	for range vms {
		table := newSeededTable(16, random.Float64)
		for id := range table.servers {
			report := LoadReport{Running: 6, Waiting: 1, Slots: 12, WorkPercent: 150}
			if id == "shubra-3" {
				report = LoadReport{Slots: 12, WorkPercent: 100}
			}
			table.RecordLoad(id, report, start)
		}
		chosen[choose(c, table, Requirements{Prompt: 5000}, start.Add(5*time.Millisecond)).ID]++
	}
	c.Assert(chosen["shubra-3"] > vms/16, qt.IsTrue, qt.Commentf("%v", chosen)) // it is preferred
	c.Assert(chosen["shubra-3"] < vms*2/5, qt.IsTrue, qt.Commentf("%v", chosen))
}

// What waits on a slow engine takes longer there. What a report says is nearly forgotten after some seconds, and absurd
// figures count no more than the bounds.
func TestReportsOfEnginesAgeAndAreBounded(t *testing.T) {
	c := qt.New(t)
	table := newSeededTable(1, func() float64 { return 0.5 })
	e := table.servers["shubra-0"]
	table.SetPeerShares("vm-2", map[string]Share{"shubra-0": {Runs: 2, Prompt: 5000}})
	table.RecordLoad("shubra-0", LoadReport{Running: 1 << 40, Waiting: 3, Slots: 12, WorkPercent: 1e6}, start)
	c.Assert(e.reported.work(0), qt.Equals, maxWork)
	c.Assert(e.uncounted(0), qt.Equals, float64(maxReportedShare*12-2))
	cost := func(now time.Time) float64 { return table.engineCost(e, 0, 5000, math.Inf(1), now) }
	fresh, aged := cost(start), cost(start.Add(time.Minute))
	c.Assert(fresh > 4*e.load(), qt.IsTrue)
	c.Assert(aged-e.load()-spreadTokens*math.Ln2 < 100, qt.IsTrue, qt.Commentf("%v", aged))
	table.SetPeerShares("vm-2", map[string]Share{"shubra-0": {Runs: 60}}) // the counts now contain what was reported
	c.Assert(e.uncounted(0), qt.Equals, 0.0)
	for range 20 { // the average follows figures that change quickly
		table.RecordLoad("shubra-0", LoadReport{Slots: 12, WorkPercent: 100}, start.Add(time.Second))
	}
	c.Assert(e.reported.work(0) < 1.01, qt.IsTrue)
}

// A server that refused a request must get none while it works off its queue, even if the others are slower. If all are
// full, the one that has room first is tried.
func TestFullServersAreLeftOut(t *testing.T) {
	c := qt.New(t)
	table := newTestTable(1)
	for i, id := range []string{"shubra-0", "giza-0", "helwan-0"} {
		table.RecordLoad(id, LoadReport{Running: 12, Waiting: 6, Slots: 12, WorkPercent: 100}, start)
		table.RecordAnswerTime(id, time.Duration(1+i)*100*time.Millisecond, true, start)
	}
	until := table.MarkFull("shubra-0", start)
	c.Assert(until > 30*time.Millisecond && until < maxFullTime, qt.IsTrue, qt.Commentf("%v", until))
	c.Assert(table.FullUntil(testService, nil, start).IsZero(), qt.IsTrue)
	for range 50 {
		c.Assert(chooseOnce(c, table, start), qt.Not(qt.Equals), "shubra-0")
	}
	table.MarkFull("giza-0", start)
	table.MarkFull("helwan-0", start)
	c.Assert(table.FullUntil(testService, nil, start), qt.Equals, start.Add(until))
	c.Assert(chooseOnce(c, table, start), qt.Equals, "shubra-0")
	c.Assert(table.FullUntil(testService, nil, start.Add(until)).IsZero(), qt.IsTrue)
}

func BenchmarkChooseWithReports(b *testing.B) {
	for _, prompt := range []int{0, 5000} {
		b.Run(fmt.Sprint("prompt", prompt), func(b *testing.B) {
			table := newTestTable(290)
			for id := range table.servers {
				table.RecordLoad(id, LoadReport{Running: 4, Slots: 12, WorkPercent: 120}, start)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				k, err := table.Choose(Requirements{Service: testService, Prompt: prompt, Session: uint64(i)}, start.Add(time.Millisecond))
				if err != nil {
					b.Fatal(err)
				}
				k.Release()
			}
		})
	}
}

// plainServer is a simulated plain server of six slots, which refuses what exceeds them and four that wait. Its elements
// are the times at which its requests end, in order.
type plainServer struct {
	work float64
	ends []time.Time
}

// simulatePlain runs 20 s of 220 requests per second, with bursts of 450, from 105 VMs, on three servers that need about
// 24, 33 and 45 ms. It returns the numbers of refusals, of unserved requests and of those served by each server.
func simulatePlain(seed uint64, reporting bool) (refusals, unserved int, served [3]int) {
	random := rand.New(rand.NewPCG(seed, 0))
	domains := []string{"shubra", "giza", "helwan"}
	var vms []*Table
	for i := range 105 {
		t := New(Config{FailureDomain: domains[i%3], FailureDomains: 3, Random: random.Float64})
		for j, domain := range domains {
			t.Put(Server{ID: fmt.Sprint(j), Service: testService, FailureDomain: domain, Slots: 6, Address: fmt.Sprint(j)}, start)
		}
		vms = append(vms, t)
	}
	servers := [3]plainServer{{work: 0.8}, {work: 1.1}, {work: 1.5}}
	steps := map[time.Time][]func(now time.Time){}
	var send func(vm *Table, sends int, avoid []string, now time.Time)
	send = func(vm *Table, sends int, avoid []string, now time.Time) {
		k, err := vm.Choose(Requirements{Service: testService, Avoid: avoid}, now)
		if err != nil || sends == maxSimulatedSends {
			unserved++
			return
		}
		var j int
		_, _ = fmt.Sscan(k.ID, &j)
		s, speed := &servers[j], servers[j].work*(0.8+0.4*random.Float64())
		report := func(now time.Time) {
			if reporting {
				vm.RecordLoad(k.ID, LoadReport{Running: min(6, len(s.ends)), Waiting: max(0, len(s.ends)-6), Slots: 6, WorkPercent: 100 * speed}, now)
			}
		}
		if len(s.ends) == 10 {
			refusals++
			report(now)
			k.Release()
			if vm.MarkFull(k.ID, now) == 0 {
				avoid = append(avoid, k.ID)
			}
			next := now.Add(time.Millisecond)
			if until := vm.FullUntil(testService, nil, now); until.Sub(now) < 30*time.Millisecond && until.After(next) {
				next = until.Truncate(time.Millisecond)
			}
			steps[next] = append(steps[next], func(now time.Time) { send(vm, sends+1, avoid, now) })
			return
		}
		begins := now
		if len(s.ends) >= 6 {
			begins = s.ends[len(s.ends)-6] // the order of ends is close to that of arrivals
		}
		end := begins.Add(time.Duration(30*speed) * time.Millisecond)
		s.ends = append(s.ends, end)
		steps[end] = append(steps[end], func(end time.Time) {
			s.ends = s.ends[1:]
			report(end)
			k.Release()
			vm.RecordAnswerTime(k.ID, end.Sub(now), true, end)
			served[j]++
		})
	}
	for ms := range 20_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		rate := 0.143
		if ms%4000 < 1000 {
			rate = 0.45
		}
		for p := random.ExpFloat64(); p < rate; p += random.ExpFloat64() {
			send(vms[random.IntN(len(vms))], 0, nil, now)
		}
		for _, step := range steps[now] {
			step(now)
		}
	}
	return refusals, unserved, served
}

const maxSimulatedSends = 4

// Requests went from one full server to the next, and a slow server got as many as the others. With reports, work must go
// to servers by what they complete, and fewer requests must be refused.
func TestPlainWorkFollowsSpeed(t *testing.T) {
	c := qt.New(t)
	var refused, refusedBefore, unserved, unservedBefore int
	var served [3]int
	for seed := range uint64(5) {
		r, u, s := simulatePlain(seed, true)
		rb, ub, _ := simulatePlain(seed, false)
		refused, refusedBefore, unserved, unservedBefore = refused+r, refusedBefore+rb, unserved+u, unservedBefore+ub
		for j := range served {
			served[j] += s[j]
		}
	}
	comment := qt.Commentf("refusals %d, before %d, unserved %d, before %d, served %v", refused, refusedBefore, unserved, unservedBefore, served)
	t.Log(comment)
	c.Assert(4*refused < 3*refusedBefore, qt.IsTrue, comment)
	c.Assert(2*unserved < unservedBefore, qt.IsTrue, comment)
	c.Assert(2*served[0] > 3*served[2], qt.IsTrue, comment)
}
