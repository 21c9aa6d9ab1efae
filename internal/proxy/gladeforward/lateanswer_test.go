package gladeforward

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladestandin"
)

// rejectTwice rejects a request, and sends a second copy of the rejection before the next answer on the connection.
func rejectTwice(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Content-Length", "0")
	notRunAnswer(rw, r)
	_ = http.NewResponseController(rw).Flush()
	gladestandin.SendLater(r, fmt.Sprintf(
		"HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", testID, r.Header.Get(testID), testNotRun))
}

// inTurn handles the first requests by one handler each, and all others by the last.
func inTurn(handlers ...http.HandlerFunc) http.HandlerFunc {
	var received atomic.Int64
	return func(rw http.ResponseWriter, r *http.Request) {
		handlers[min(int(received.Add(1)), len(handlers))-1](rw, r)
	}
}

// Guards against a second run, and against a 503 for a stream that has run, where a server's late second rejection of a stream is taken for
// its answer to the next send of that stream.
func TestLateRejectionIsNoAnswerToNextSend(t *testing.T) {
	stream := streamEvents(5, eventPause, nil)
	for name, other := range map[string][]http.HandlerFunc{
		"other server is full":       {notRunAnswer},
		"other server rejects twice": {rejectTwice, stream},
	} {
		for _, path := range []string{"/once/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				runTest(t, func(w *harness) {
					var runs atomic.Int64
					counted := func(h http.HandlerFunc) http.HandlerFunc {
						return func(rw http.ResponseWriter, r *http.Request) {
							h(rw, r)
							if rw.Header().Get(testNotRun) == "" {
								runs.Add(1)
							}
						}
					}
					w.serve("llm", "shubra", "a", counted(inTurn(rejectTwice, stream)))
					w.serve("llm", "giza", "b", counted(inTurn(other...)))
					r := w.call(http.MethodPost, path, nil)
					w.waitForCleanup()
					w.Check(r.status, qt.Equals, http.StatusOK)
					w.Check(r.body, qt.Equals, eventText(1, 5))
					w.Check(runs.Load(), qt.Equals, int64(1), qt.Commentf("sent to %v", w.serversRun()))
				})
			})
		}
	}
}

// Guards against a second run, where the late second rejection of a request without an identifier is taken for the answer to another request.
func TestLateRejectionWithoutIdentifierIsNoAnswerToNextRequest(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("app", "shubra", "a", inTurn(rejectTwice, answerWith(http.StatusOK, "posted")))
		w.Check(w.call(http.MethodPost, "/unsafe/x", map[string]string{testID: ""}).status, qt.Equals, http.StatusServiceUnavailable)
		w.serve("app", "giza", "b", answerWith(http.StatusOK, "posted"))
		w.Check(w.call(http.MethodPost, "/unsafe/x", nil).status, qt.Equals, http.StatusOK)
		w.Check(w.serversRun(), qt.DeepEquals, []string{"a", "a"})
	})
}
