package gladeforward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An engine that crashes closes its connections some milliseconds before its listener, so that the check right after the lost run finds it
// accepting connections. The crash must count all the same, and the request be refused after the third one.
func TestCrashCountsIfListenerClosesLater(t *testing.T) {
	runTest(t, func(w *harness) {
		for i := range 6 {
			id := fmt.Sprint("e", i)
			w.serve("llm", crashDomain(i), id, func(rw http.ResponseWriter, r *http.Request) {
				time.Sleep(time.Second)
				time.AfterFunc(5*time.Millisecond, func() { w.network.Kill(id) })
				abortConnection(rw, r)
			})
		}
		for range 3 {
			w.call(http.MethodPost, "/stream/x", nil)
			time.Sleep(2 * time.Second)
		}
		w.Assert(w.serversRun(), qt.HasLen, 3)
		w.Assert(w.reportedDeaths(), qt.HasLen, 3)
	})
}
