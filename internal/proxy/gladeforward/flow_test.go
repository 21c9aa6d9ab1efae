package gladeforward

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

// Events that were held up by a cut link, or while the VM was suspended, arrive in a burst and say nothing of when their
// server was running.
func TestEventFlowProvesRunningServer(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var f eventFlow
	steady := func(n int) (proven int) {
		for range n {
			now = now.Add(30 * time.Millisecond)
			if at := f.runningAt(now); !at.IsZero() {
				c.Assert(at, qt.Equals, now.Add(-maxEventDelay))
				proven++
			}
		}
		return proven
	}
	settling := int(flowSettleTime / (30 * time.Millisecond))
	c.Assert(steady(settling), qt.Equals, 0)
	c.Assert(steady(10) > 0, qt.IsTrue)
	now = now.Add(6 * time.Second) // the events of these seconds arrive at once
	for range 200 {
		c.Assert(f.runningAt(now).IsZero(), qt.IsTrue)
		now = now.Add(time.Millisecond)
	}
	c.Assert(steady(settling/2), qt.Equals, 0)
	c.Assert(steady(settling) > 0, qt.IsTrue)
}

// An engine crashes and restarts under a new identifier at its address, and the store is down.  The VM that had a stream
// on it must recognise it, use it and tell the other VMs.
func TestRestartedEngineRecognised(t *testing.T) {
	runTest(t, func(w *harness) {
		w.instances = map[string]string{}
		// The crash closes the listener together with the stream.  With an abort first and the kill at the same instant, the
		// probe sometimes came in between, connected, and rightly took the engine for running.
		w.serve("llm", "shubra", "a", streamEvents(60, eventPause, func(http.ResponseWriter, *http.Request) { w.network.Kill("a") }))
		w.serve("llm", "giza", "b", streamEvents(80, eventPause, nil))
		time.AfterFunc(60*eventPause+1200*time.Millisecond, func() {
			w.mu.Lock()
			w.instances["a:1"] = "a2"
			w.mu.Unlock()
			w.listen("a", streamEvents(80, eventPause, nil))
		})
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, eventText(1, 80))
		time.Sleep(time.Second)
		w.mu.Lock()
		successors := w.successors
		w.mu.Unlock()
		w.Assert(successors, qt.HasLen, 1)
		w.Assert(successors[0], qt.DeepEquals, gladefleet.Successor{
			Predecessor: "a",
			Server:      gladefleet.Server{ID: "a2", Service: "llm", Address: "a:1", FailureDomain: "shubra", Slots: 12, Started: 2},
		})
		w.Assert(w.fleet.Unavailable("a2", time.Now()), qt.IsFalse)
		w.Assert(w.fleet.Unavailable("a", time.Now()), qt.IsTrue)
	})
}
