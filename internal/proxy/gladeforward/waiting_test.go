package gladeforward

import (
	"net/http"
	"strconv"
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
		w.setRoutes(0, 3, 4*time.Second, 10*time.Second)
		w.forwarder.priorities.release = nil // the release was changed in place
		w.Assert(s.maxWait(), qt.Equals, 5500*time.Millisecond)
		w.Assert(w.streamOf("/stream/x").maxWait(), qt.Equals, time.Second)
	})
}

// A burst lasts longer than an eighth of the target. A request whose target permits it must wait for the place that becomes free.
func TestStreamWaitsAsLongAsItsTargetPermits(t *testing.T) {
	runTest(t, func(w *harness) {
		w.engine.Copies, w.engine.KVTokens = false, oneRunTokens
		w.serve("llm", "shubra", "a", streamEvents(2, time.Second, nil))
		w.recordPrefillRate(5000)
		w.setRoutes(0, 2, 4*time.Second, 10*time.Second)
		first := w.startStream("r1")
		time.Sleep(100 * time.Millisecond)
		second := make(chan response, 1)
		go func() { second <- w.call(http.MethodPost, "/once/x", map[string]string{testID: "r2"}) }()
		w.Assert((<-second).body, qt.Equals, eventText(1, 2))
		w.Assert((<-first).body, qt.Equals, eventText(1, 2))
	})
}

// The engines are full for longer than the target permits. A request must be refused while a retry can still meet the target, and
// must be told a time within which it does.
func TestRefusedStreamCanRetryInTime(t *testing.T) {
	runTest(t, func(w *harness) {
		w.engine.Copies, w.engine.KVTokens = false, oneRunTokens
		w.serve("llm", "shubra", "a", streamEvents(100, eventPause, nil))
		w.recordPrefillRate(5000)
		w.setRoutes(0, 2, 4*time.Second, 10*time.Second)
		first := w.startStream("r1")
		time.Sleep(10 * time.Millisecond)
		second := <-w.startStream("r2")
		w.Assert(second.status, qt.Equals, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(second.header.Get("Retry-After"), 64)
		w.Assert(err, qt.IsNil)
		latest := 4*time.Second - time.Duration(5000/w.fleet.PrefillRate("llm")*float64(time.Second))
		again := second.took + time.Duration(after*float64(time.Second))
		w.Assert(second.took >= 1900*time.Millisecond && again <= latest, qt.IsTrue, qt.Commentf("refused after %v, again after %v s", second.took, after))
		w.Assert((<-first).body, qt.Equals, eventText(1, 100))
	})
}

// Both routes wait for one place: the urgent request must get it, although it arrived later.
func TestUrgentStreamTakesTheNextPlace(t *testing.T) {
	runTest(t, func(w *harness) {
		w.engine.Copies, w.engine.KVTokens = false, oneRunTokens
		w.serve("llm", "shubra", "a", streamEvents(2, time.Second, nil))
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
