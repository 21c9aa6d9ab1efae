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

// simulatePlain runs 20 s of 220 requests per second, with bursts of 450, from 105 VMs, on three servers of six slots and four
// places in a queue, which need about 24, 33 and 45 ms.
func simulatePlain(seed uint64, reporting bool) (refusals, unserved int, served [3]int) {
	random := rand.New(rand.NewPCG(seed, 0))
	vms := make([]*Table, 105)
	for i := range vms {
		vms[i] = New(Config{FailureDomain: fmt.Sprint(i % 3), FailureDomains: 3, Random: random.Float64})
		for _, id := range []string{"0", "1", "2"} {
			vms[i].Put(Server{ID: id, Service: testService, FailureDomain: id, Slots: 6, Address: id}, start)
		}
	}
	var ends [3][]time.Time // of the requests on each server
	steps := map[time.Time][]func(now time.Time){}
	var send func(vm *Table, sends int, avoid []string, now time.Time)
	send = func(vm *Table, sends int, avoid []string, now time.Time) {
		k, err := vm.Choose(Requirements{Service: testService, Avoid: avoid}, now)
		if err != nil || sends == 4 {
			unserved++
			return
		}
		j := int(k.ID[0] - '0')
		work := []float64{0.8, 1.1, 1.5}[j] * (0.8 + 0.4*random.Float64())
		finish := func(now time.Time) {
			k.Release()
			if reporting {
				vm.RecordLoad(k.ID, LoadReport{Running: len(ends[j]), Slots: 6, WorkPercent: 100 * work}, now)
			}
		}
		if len(ends[j]) == 10 {
			refusals++
			finish(now)
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
		end := now
		if len(ends[j]) >= 6 {
			end = ends[j][len(ends[j])-6] // the order of ends is close to that of arrivals
		}
		end = end.Add(time.Duration(30*work) * time.Millisecond)
		ends[j] = append(ends[j], end)
		steps[end] = append(steps[end], func(end time.Time) {
			ends[j] = ends[j][1:]
			finish(end)
			vm.RecordAnswerTime(k.ID, end.Sub(now), true, end)
			served[j]++
		})
	}
	for ms := range 20_000 {
		now, rate := start.Add(time.Duration(ms)*time.Millisecond), 0.143
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

// Requests went from one full server to the next, and a slow server got as many as the others. With reports, work must go
// to servers by what they complete, and fewer requests must be refused.
func TestPlainWorkFollowsSpeed(t *testing.T) {
	c := qt.New(t)
	var refused, unserved [2]int
	var served [3]int
	for seed := range uint64(5) {
		for i := range 2 {
			r, u, s := simulatePlain(seed, i == 1)
			refused[i], unserved[i] = refused[i]+r, unserved[i]+u
			for j := range served {
				served[j] += i * s[j]
			}
		}
	}
	comment := qt.Commentf("without and with reports: refusals %v, unserved %v; served with reports %v", refused, unserved, served)
	t.Log(comment)
	c.Assert(4*refused[1] < 3*refused[0], qt.IsTrue, comment)
	c.Assert(2*unserved[1] < unserved[0], qt.IsTrue, comment)
	c.Assert(2*served[0] > 3*served[2], qt.IsTrue, comment)
}
