package gladeforward

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
)

// occupy takes nearly all memory for large requests and returns its hold.
func (w *harness) occupy(stage gladememory.Stage) *gladememory.Hold {
	h := w.memory.NewHold(func() {})
	w.Assert(h.Begin(stage, time.Now()), qt.IsNil)
	w.Assert(h.Grow(int(gladememory.Derive(0, 0).Large)-(1<<20), time.Now()), qt.IsNil)
	return h
}

// Guards against servers that are avoided, probed or held for crashed because this VM has no memory for their answers, and against a
// second run of a request whose answer was lost so.
func TestAnswerWithoutMemory(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("app", w.domain, "a1", answerWith(http.StatusOK, strings.Repeat("a", 4<<20)))
		other := w.occupy(gladememory.Held)
		for _, path := range []string{"/unsafe/x", "/safe/x"} {
			w.Assert(w.call(http.MethodPost, path, nil).status, qt.Equals, http.StatusBadGateway)
		}
		w.Assert(w.serversRun(), qt.DeepEquals, []string{"a1", "a1"})
		w.Assert(w.fleet.Usable("a1", time.Now()), qt.IsTrue)
		other.Release()
		w.Assert(w.call(http.MethodPost, "/unsafe/x", nil).status, qt.Equals, http.StatusOK)
		synctest.Wait()
		w.Assert(w.memory.Stats().Large, qt.Equals, int64(0))
	})
}

// Guards against answers that are lost although a caller that does not read its own will make room.
func TestAnswerWaitsForMemory(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("app", w.domain, "a1", answerWith(http.StatusOK, strings.Repeat("a", 4<<20)))
		w.occupy(gladememory.Answering)
		w.Assert(w.call(http.MethodPost, "/unsafe/x", nil).status, qt.Equals, http.StatusOK)
		w.Assert(w.memory.Stats().Evicted[gladememory.Answering], qt.Equals, int64(1))
	})
}
