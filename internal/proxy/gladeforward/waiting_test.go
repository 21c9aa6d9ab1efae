package gladeforward

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladeline"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

// setRoutes gives the routes /stream/ and /once/ priorities and targets.
func (w *harness) setRoutes(stream, once int, streamTarget, onceTarget time.Duration) {
	r := w.forwarder.config.Release()
	for i := range r.Routes {
		switch r.Routes[i].Name {
		case "notes":
			r.Routes[i].Priority, r.Routes[i].Target = stream, streamTarget
		case "once":
			r.Routes[i].Priority, r.Routes[i].Target = once, onceTarget
		}
	}
}

// streamOf returns a generation as Handle would, for decisions without a caller.
func (w *harness) streamOf(path string) *stream {
	j := &job{Forwarder: w.forwarder, release: w.forwarder.config.Release(), call: gladesend.Call{Host: "h", Target: path, Key: "key", PromptTokens: 5000}}
	w.Assert(j.resolve(), qt.IsNil)
	j.service = "llm"
	j.capDeadline(time.Now().Add(testTimeout))
	return &stream{job: j}
}

// Where the routes of a service have one priority, the wait, the order and Retry-After must be what they were before the order by
// time, also while the prefill rate is known.
func TestEqualPrioritiesWaitAsBefore(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(1, eventPause, nil))
		w.recordPrefillRate(2500)
		w.setRoutes(3, 3, 4*time.Second, 10*time.Second)
		s := w.streamOf("/once/x")
		w.Assert(s.maxWait(), qt.Equals, 1250*time.Millisecond)
		w.Assert(s.meanFullRetryAfter(), qt.Equals, 2500*time.Millisecond)
		for range 50 {
			after := s.fullRetryAfter()
			w.Assert(after >= 1250*time.Millisecond && after <= 3750*time.Millisecond, qt.IsTrue)
		}
		need := s.requirements(s.roomLimits())
		w.Assert(s.queueRequest(need), qt.Equals, gladeline.Request{Rank: 6, Organisation: "lab", Cost: need.Tokens})
	})
}

// Both routes wait for one place: the urgent request must get it, although it arrived later.
func TestUrgentStreamTakesTheNextPlace(t *testing.T) {
	runTest(t, func(w *harness) {
		w.engine.Copies, w.engine.KVTokens = false, oneRunTokens
		w.serve("llm", "shubra", "a", streamEvents(2, 200*time.Millisecond, nil))
		w.recordPrefillRate(5000)
		w.setRoutes(0, 2, 4*time.Second, 10*time.Second)
		order := make(chan string, 3)
		start := func(id, path string) {
			go func() {
				w.call(http.MethodPost, path, map[string]string{testID: id})
				order <- id
			}()
			time.Sleep(100 * time.Millisecond)
		}
		start("first", "/once/x")
		start("other", "/once/x")
		start("urgent", "/stream/x")
		w.Assert([]string{<-order, <-order, <-order}, qt.DeepEquals, []string{"first", "urgent", "other"})
	})
}
