package gladedecider

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
)

// sentTo is a report and the VM that it was sent to.
type sentTo struct {
	vm     string
	report Report
}

// Guards against evidence that goes to others than the decider or on after the order, and against a last report that is lost.
func TestReportsGoToDeciderWhileTheyChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		registry := NewRegistry(time.Second)
		recorder := gladerollout.NewRecorder("vm-x", 1)
		var mu sync.Mutex
		var sent []sentTo
		runs := 0
		take := func() []sentTo {
			mu.Lock()
			defer mu.Unlock()
			s := sent
			sent = nil
			return s
		}
		stop := StartReporter(ReporterConfig{
			VM: "vm-x", Start: 1, Registry: registry, Log: hclog.NewNullLogger(), Now: time.Now,
			Evidence: func(service string) gladerollout.Evidence { return recorder.Evidence(service, time.Now()) },
			Runs: func(string, string) (int, int) {
				mu.Lock()
				defer mu.Unlock()
				return runs, 0
			},
			Send: func(vm string, r Report) {
				mu.Lock()
				defer mu.Unlock()
				sent = append(sent, sentTo{vm, r})
			},
		})
		defer stop()
		registry.Put(rollout("v2", 1, ""), time.Now())
		advance(3 * time.Second)
		c.Assert(take(), qt.HasLen, 0) // nobody decides yet
		registry.Put(rollout("v2", 2, gladerollout.InProgress), time.Now())
		advance(5 * time.Second)
		first := take()
		c.Assert(first, qt.HasLen, 1+reportRepeats)
		for i, s := range first {
			c.Assert(s.vm, qt.Equals, "vm-a")
			c.Assert(s.report.Sequence, qt.Equals, int64(i+1))
		}
		next := rollout("v2", 3, gladerollout.InProgress)
		next.Status.Decider = "vm-b"
		registry.Put(next, time.Now())
		advance(reportInterval)
		c.Assert(take()[0].vm, qt.Equals, "vm-b")
		advance(5 * time.Second)
		take()
		mu.Lock()
		runs = 1 // the decider would forget a run that is not reported
		mu.Unlock()
		advance(5 * time.Second)
		c.Assert(len(take()) >= 9, qt.IsTrue)
		registry.Put(rollout("v2", 4, gladerollout.Complete), time.Now())
		advance(5 * time.Second)
		c.Assert(take(), qt.HasLen, 0)
	})
}

// Guards against reports that count twice or in the wrong order, and against runs of a VM that is gone.
func TestDeciderCountsLastReports(t *testing.T) {
	runWorld(t, 1, func(w *world) {
		var mu sync.Mutex
		var last gladerollout.Input
		w.set(func() {
			w.decide = func(in gladerollout.Input) gladerollout.Decision {
				mu.Lock()
				defer mu.Unlock()
				last = in
				return stay(in)
			}
		})
		input := func() gladerollout.Input {
			mu.Lock()
			defer mu.Unlock()
			return last
		}
		w.put("v2")
		advance(time.Second)
		d := w.vms[0].decider
		send := func(vm string, start, sequence int64, runs int) {
			d.Receive(Report{VM: vm, Start: start, Sequence: sequence, Service: service, Target: "v2", OldRuns: runs, OldRunsWithoutCopy: runs})
		}
		send("x", 1, 2, 5)
		send("x", 1, 1, 9) // late
		send("x", 0, 7, 9) // of an earlier process
		send("y", 1, 1, 2)
		send("y", 1, 1, 2)
		d.Receive(Report{VM: "z", Sequence: 1, Service: service, Target: "v1", OldRuns: 9}) // of another order
		advance(decideInterval)
		w.Assert(input().Evidence, qt.HasLen, 2)
		w.Assert(input().OldRuns, qt.Equals, 7)
		w.Assert(input().OldRunsWithoutCopy, qt.Equals, 7)
		advance(reportLife - time.Second)
		send("x", 1, 3, 4)
		advance(time.Second)
		w.Assert(input().OldRuns, qt.Equals, 4) // y is silent
		w.Assert(input().Evidence, qt.HasLen, 2)
		status := d.Statuses()[service]
		w.Assert(status.Deciding, qt.IsTrue)
		w.Assert(status.Reports, qt.Equals, 2)
	})
}
