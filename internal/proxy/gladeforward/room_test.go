package gladeforward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

// oneRunTokens is a memory size that a single run with the tests' prompt of 5,000 tokens fills.
const oneRunTokens = 5500

// startStream sends a request for a generation in the background.
func (w *harness) startStream(id string) <-chan response {
	got := make(chan response, 1)
	go func() { got <- w.call(http.MethodPost, "/stream/x", map[string]string{testID: id}) }()
	return got
}

// More generations arrive than the engines have room for.  A request that finds no room must be refused without a run,
// and early enough for its caller to retry within the target time.
func TestStreamWithoutRoomRefusedSoon(t *testing.T) {
	runTest(t, func(w *harness) {
		w.engine.Copies, w.engine.KVTokens = false, oneRunTokens
		w.serve("llm", "shubra", "a", streamEvents(100, eventPause, nil))
		first := w.startStream("r1")
		time.Sleep(10 * time.Millisecond)
		second := <-w.startStream("r2")
		w.Assert(second.status, qt.Equals, http.StatusServiceUnavailable)
		w.Assert(second.took < testTarget/4, qt.IsTrue, qt.Commentf("took %v", second.took))
		after, err := strconv.ParseFloat(second.header.Get("Retry-After"), 64)
		w.Assert(err, qt.IsNil)
		w.Assert(after > 0 && after < testTarget.Seconds()/2, qt.IsTrue, qt.Commentf("%v s", after))
		r := <-first
		w.Assert(r.body, qt.Equals, eventText(1, 100))
		w.Assert(w.serversRun(), qt.DeepEquals, []string{"a"})
	})
}

// In a short burst, a place becomes free before the end of the wait.  The waiting request must get it.
func TestStreamStartsWhenRoomIsFreed(t *testing.T) {
	runTest(t, func(w *harness) {
		w.engine.Copies, w.engine.KVTokens = false, oneRunTokens
		w.serve("llm", "shubra", "a", streamEvents(2, time.Second, nil))
		for i := range w.forwarder.config.Release().Routes {
			w.forwarder.config.Release().Routes[i].Target = 5 * time.Second
		}
		first := w.startStream("r1")
		time.Sleep(1500 * time.Millisecond)
		second := <-w.startStream("r2")
		w.Assert(second.body, qt.Equals, eventText(1, 2))
		w.Assert((<-first).body, qt.Equals, eventText(1, 2))
	})
}

// Engines crash at full load.  A generation that has begun waits for room ahead of all new ones and must never be
// refused, because its caller already has a part of the answer.
func TestStartedStreamNotRefused(t *testing.T) {
	runTest(t, func(w *harness) {
		w.engine.Copies, w.engine.KVTokens = false, oneRunTokens
		w.serve("llm", "shubra", "a", streamEvents(10, eventPause, abortConnection))
		w.serve("llm", "giza", "b", streamEvents(20, eventPause, nil))
		full := map[string]gladefleet.Share{"b": {Runs: 1, Memory: oneRunTokens}}
		w.fleet.SetPeerShares("vm-2", full)
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, eventText(1, 20))
		w.Assert(w.serversRun(), qt.DeepEquals, []string{"a", "b"})
	})
}

// After crashes, no engine has room for a copy.  A run must wait for that room, because without a copy it would be lost
// in the next crash.
func TestStreamWaitsForCopyRoom(t *testing.T) {
	runTest(t, func(w *harness) {
		w.engine.KVTokens = oneRunTokens
		w.serve("llm", "shubra", "a", streamEvents(2, eventPause, nil))
		w.serve("llm", "giza", "b", streamEvents(2, eventPause, nil))
		w.serve("llm", "giza", "c", streamEvents(2, eventPause, nil))
		full := map[string]gladefleet.Share{"b": {Runs: 1, Memory: oneRunTokens}, "c": {Runs: 1, Memory: oneRunTokens}}
		w.fleet.SetPeerShares("vm-2", full)
		r := <-w.startStream("r1")
		w.Assert(r.body, qt.Equals, eventText(1, 2)) // no crash has been detected
		w.fleet.MarkFailed("c", time.Now())
		w.fleet.MarkHeard("c", time.Now())
		w.Assert((<-w.startStream("r2")).status, qt.Equals, http.StatusServiceUnavailable)
		w.fleet.SetPeerShares("vm-2", nil)
		w.Assert((<-w.startStream("r3")).status, qt.Equals, http.StatusOK)
		w.Assert(w.run(1).header.Get(testCopy), qt.Not(qt.Equals), "")
	})
}
