package gladefleet

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// plainDay is a simulation of VMs that send plain requests to a few servers in virtual time.
type plainDay struct {
	// prefer is set if VMs prefer servers to which they have an idle connection, which lasts for idle.
	prefer bool
	idle   time.Duration
	// rate is the number of requests per second of all VMs.
	rate float64

	random  *rand.Rand
	now     time.Time
	vms     []*Table
	idleAt  []map[string][]time.Time
	busy    map[string]int
	queues  map[string][]func()
	events  dayEvents
	opened  int
	sent    map[string]int
	latency []float64
}

type dayEvent struct {
	at time.Time
	do func()
}

type dayEvents []dayEvent

func (e dayEvents) Len() int           { return len(e) }
func (e dayEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e dayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *dayEvents) Push(x any)        { *e = append(*e, x.(dayEvent)) }
func (e *dayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	daySlots  = 6
	dayVMs    = 105
	dayLength = 40 * time.Second
	dayWork   = 30 * time.Millisecond
)

func (d *plainDay) after(wait time.Duration, do func()) {
	heap.Push(&d.events, dayEvent{d.now.Add(wait), do})
}

func (d *plainDay) run(c *qt.C) {
	d.random, d.now = rand.New(rand.NewPCG(5, 6)), start
	d.busy, d.queues, d.sent = map[string]int{}, map[string][]func(){}, map[string]int{}
	domains := []string{"giza", "helwan", "shubra"}
	for vm := range dayVMs {
		idle := map[string][]time.Time{}
		config := Config{FailureDomain: domains[vm%len(domains)], FailureDomains: 3, Random: d.random.Float64}
		if d.prefer {
			config.IdleConnection = func(address string) bool {
				list := idle[address]
				return len(list) > 0 && d.now.Sub(list[len(list)-1]) < d.idle
			}
		}
		table := New(config)
		for _, domain := range domains {
			s := testServer(domain, 0)
			s.Slots = daySlots
			table.Put(s, d.now)
			table.RecordLoad(s.ID, LoadReport{Slots: daySlots, WorkPercent: 100}, d.now)
		}
		d.vms, d.idleAt = append(d.vms, table), append(d.idleAt, idle)
		d.arrive(c, vm)
	}
	for end := start.Add(dayLength); len(d.events) > 0 && d.now.Before(end); {
		e := heap.Pop(&d.events).(dayEvent)
		d.now = e.at
		e.do()
	}
}

// arrive schedules the next request of a VM.
func (d *plainDay) arrive(c *qt.C, vm int) {
	d.after(time.Duration(d.random.ExpFloat64()*dayVMs/d.rate*float64(time.Second)), func() {
		d.send(c, vm)
		d.arrive(c, vm)
	})
}

func (d *plainDay) send(c *qt.C, vm int) {
	k, began := choose(c, d.vms[vm], Requirements{}, d.now), d.now
	d.sent[k.ID]++
	list := d.idleAt[vm][k.Address]
	if len(list) > 0 && d.now.Sub(list[len(list)-1]) < d.idle {
		d.idleAt[vm][k.Address] = list[:len(list)-1]
	} else {
		d.opened++
	}
	serve := func() {
		d.busy[k.ID]++
		d.after(time.Duration((0.6+0.8*d.random.Float64())*float64(dayWork)), func() {
			d.busy[k.ID]--
			k.Release()
			d.vms[vm].RecordLoad(k.ID, LoadReport{Running: d.busy[k.ID], Waiting: len(d.queues[k.ID]), Slots: daySlots, WorkPercent: 100}, d.now)
			d.vms[vm].RecordAnswerTime(k.ID, d.now.Sub(began), true, d.now)
			d.idleAt[vm][k.Address] = append(d.idleAt[vm][k.Address], d.now)
			d.latency = append(d.latency, d.now.Sub(began).Seconds())
			if queue := d.queues[k.ID]; len(queue) > 0 {
				d.queues[k.ID] = queue[1:]
				queue[0]()
			}
		})
	}
	if d.busy[k.ID] < daySlots {
		serve()
	} else {
		d.queues[k.ID] = append(d.queues[k.ID], serve)
	}
}

// spread returns the largest deviation of a server's requests from the mean, as a share of it, and the mean latency in milliseconds.
func (d *plainDay) spread() (deviation, latency float64) {
	total := 0
	for _, n := range d.sent {
		total += n
	}
	mean := float64(total) / 3
	for _, n := range d.sent {
		deviation = max(deviation, math.Abs(float64(n)-mean)/mean)
	}
	for _, l := range d.latency {
		latency += 1000 * l / float64(len(d.latency))
	}
	return deviation, latency
}

// Guards against the preference for idle connections that makes VMs crowd on one server, at the usual rate and in a burst.
func TestConnectionPreferenceKeepsLoadEven(t *testing.T) {
	for _, rate := range []float64{219, 480} {
		for _, idle := range []time.Duration{800 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprint(rate, " a second, idle for ", idle), func(t *testing.T) {
				c := qt.New(t)
				before, after := plainDay{rate: rate, idle: idle}, plainDay{rate: rate, idle: idle, prefer: true}
				before.run(c)
				after.run(c)
				deviationBefore, latencyBefore := before.spread()
				deviationAfter, latencyAfter := after.spread()
				c.Logf("requests %d, opened %d and %d, deviation %.3f and %.3f, latency %.1f and %.1f ms", len(before.latency),
					before.opened, after.opened, deviationBefore, deviationAfter, latencyBefore, latencyAfter)
				c.Check(after.opened < before.opened, qt.IsTrue)
				c.Check(deviationAfter <= deviationBefore+0.02, qt.IsTrue)
				c.Check(latencyAfter <= 1.03*latencyBefore, qt.IsTrue)
			})
		}
	}
}

// Guards against a preference in deployments whose servers state no work time: with the same random numbers, idle connections must change
// no choice there.
func TestConnectionsChangeNoChoiceWithoutWorkTimes(t *testing.T) {
	c := qt.New(t)
	run := func(idle func(string) bool) (chosen []string) {
		random := rand.New(rand.NewPCG(1, 2))
		table := newSeededTable(4, random.Float64)
		table.config.IdleConnection = idle
		for i := range 300 {
			now := start.Add(time.Duration(i) * 20 * time.Millisecond)
			k := choose(c, table, Requirements{Prompt: i % 2 * 5000, Session: uint64(i % 2 * i)}, now)
			chosen = append(chosen, k.ID+k.Reason)
			table.RecordLoad(k.ID, LoadReport{Running: 12, Waiting: i, Slots: 12}, now)
			if i%3 > 0 {
				k.Release()
			}
		}
		return chosen
	}
	c.Assert(run(func(address string) bool { return address == "shubra-1:1" }), qt.DeepEquals, run(nil))
}

// Guards against an idle connection that outweighs load: it decides between engines that differ by the random part of the choice, and
// an engine with one run more is left for others.
func TestIdleConnectionDecidesBetweenEqualEngines(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(7, 8))
	chosen := func(runs int) (n int) {
		for range 200 {
			table := newSeededTable(16, random.Float64)
			table.config.IdleConnection = func(address string) bool { return address == "shubra-3:1" }
			for id := range table.servers {
				table.RecordLoad(id, LoadReport{Slots: 12, WorkPercent: 100}, start)
			}
			table.SetPeerShares("vm", map[string]Share{"shubra-3": {Runs: runs, Prompt: runs * 5000}})
			if choose(c, table, Requirements{Prompt: 5000}, start.Add(5*time.Millisecond)).ID == "shubra-3" {
				n++
			}
		}
		return n
	}
	c.Assert(chosen(0), qt.Equals, 200)
	c.Assert(chosen(1), qt.Equals, 0)
}
