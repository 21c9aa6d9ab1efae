package gladeforward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestop"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

// testGrace is the grace period of a stop, from stopIn on.
const testGrace = 8 * time.Second

// stopIn begins a stop in which requests must have their answers after the given time.
func (w *harness) stopIn(left time.Duration) {
	plan := &gladestop.Plan{Grace: testGrace}
	plan.Began = time.Now().Add(left - plan.AnswerBy().Sub(plan.Began))
	w.stopPlan.Store(plan)
	time.AfterFunc(left, w.server.Interrupt)
}

// callBeforeStop makes enough calls to foresee how long the next one takes.
func (w *harness) callBeforeStop(path string) {
	for range 10 {
		w.Assert(w.call(http.MethodPost, path, nil).err, qt.IsNil)
	}
}

// Guards against calls of each length that a stopping VM passes on and cannot end, and against refusals of calls that it can.
func TestStoppingVMTakesOnlyWhatItCanEnd(t *testing.T) {
	const length = time.Second
	tests := map[string]struct {
		left, limit time.Duration
		known       bool
		status      int
	}{
		"known, in time":           {left: 3 * length, known: true, status: http.StatusOK},
		"known, too late":          {left: length + 100*time.Millisecond, known: true, status: http.StatusServiceUnavailable},
		"unknown":                  {left: unknownCallTime + 10*time.Millisecond, status: http.StatusOK},
		"unknown, too late":        {left: unknownCallTime - 10*time.Millisecond, status: http.StatusServiceUnavailable},
		"unknown, limit in time":   {left: 1500 * time.Millisecond, limit: 1490 * time.Millisecond, status: http.StatusOK},
		"unknown, limit too late":  {left: 1500 * time.Millisecond, limit: 1510 * time.Millisecond, status: http.StatusServiceUnavailable},
		"known, limit comes first": {left: length, known: true, limit: length / 2, status: http.StatusGatewayTimeout},
	}
	for name, x := range tests {
		for _, path := range []string{"/unsafe/x", "/safe/x"} {
			t.Run(name+path, func(t *testing.T) {
				runTest(t, func(w *harness) {
					w.serve("app", "shubra", "a", func(rw http.ResponseWriter, _ *http.Request) {
						time.Sleep(length)
						_, _ = io.WriteString(rw, "done")
					})
					if x.known {
						w.callBeforeStop(path)
					}
					before := len(w.serversRun())
					w.stopIn(x.left)
					header := map[string]string{}
					if x.limit > 0 {
						header[testDeadline] = strconv.FormatInt(x.limit.Milliseconds(), 10)
					}
					r := w.call(http.MethodPost, path, header)
					w.Assert(r.status, qt.Equals, x.status)
					w.Assert(r.err, qt.IsNil)
					if x.status == http.StatusServiceUnavailable {
						w.Assert(w.serversRun(), qt.HasLen, before)
						w.Assert(r.header.Get("Retry-After"), qt.Equals, "0.02")
					}
				})
			})
		}
	}
}

// Guards against 502 at the stop for a call on a sound server that takes longer than those before it by one pause of the process: calls
// that always take 20 ms were passed on until 35 ms before the last answers.
func TestPauseAtStopFailsNoShortCall(t *testing.T) {
	const pause = 110 * time.Millisecond // the longest one measured in a process with one VM beside load
	for _, length := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond} {
		for left := 10 * time.Millisecond; left <= 450*time.Millisecond; left += 30 * time.Millisecond {
			for _, path := range []string{"/unsafe/x", "/safe/x"} {
				runTest(t, func(w *harness) {
					takes := length
					w.serve("app", "shubra", "a", func(rw http.ResponseWriter, _ *http.Request) {
						time.Sleep(takes)
						_, _ = io.WriteString(rw, "done")
					})
					for range 3 {
						w.callBeforeStop(path)
					}
					before := len(w.serversRun())
					takes += pause
					w.stopIn(left)
					r := w.call(http.MethodPost, path, nil)
					w.Assert(r.err, qt.IsNil)
					if r.status == http.StatusServiceUnavailable {
						w.Assert(w.serversRun(), qt.HasLen, before)
						return
					}
					w.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s, calls of %s, stop in %s", path, length, left))
				})
			}
		}
	}
}

// Guards against a closed connection for a call that takes longer at the stop than those before it: its answer is complete and
// promises nothing.
func TestCallInterruptedByStopIsAnswered(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			runTest(t, func(w *harness) {
				silent := false
				answer := func(rw http.ResponseWriter, r *http.Request) {
					if silent {
						waitForCancel(rw, r)
						return
					}
					streamEvents(1, time.Millisecond, nil)(rw, r)
				}
				for _, id := range []string{"a", "b"} {
					w.serve("app", "shubra", "app-"+id, answer)
					w.serve("llm", "shubra", "llm-"+id, answer)
				}
				w.callBeforeStop(path)
				silent = true
				time.AfterFunc(10*time.Millisecond, func() { w.stopIn(time.Second) }) // the call has been sent
				r := w.call(http.MethodPost, path, nil)
				w.Assert(r.err, qt.IsNil)
				w.Assert(r.status, qt.Equals, http.StatusBadGateway)
				w.Assert(r.took <= time.Second+20*time.Millisecond, qt.IsTrue, qt.Commentf("%v", r.took))
			})
		})
	}
}

// A stream that is interrupted must not look complete: its caller resumes it elsewhere.
func TestStreamInterruptedByStopIsCutOff(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(1000, 20*time.Millisecond, nil))
		var r response
		done := make(chan struct{})
		go func() {
			defer close(done)
			r = w.call(http.MethodPost, "/stream/x", nil)
		}()
		time.Sleep(time.Second)
		w.stopIn(time.Second)
		<-done
		w.Assert(r.err, qt.IsNotNil)
		w.Assert(strings.HasPrefix(r.body, eventText(1, 20)), qt.IsTrue)
	})
}

// A request that waits for a release has not run when the VM stops, and the refusal says so.
func TestWaitingRequestIsRefusedAtStop(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("app", "shubra", "a", answerWith(http.StatusOK, ""))
		w.forwarder.config.AwaitRelease = func(ctx context.Context, _ time.Duration) (*gladerelease.Release, bool) {
			<-ctx.Done()
			return w.forwarder.config.Release(), false
		}
		w.stopIn(time.Second)
		r := w.call(http.MethodPost, "/none/x", nil)
		w.Assert(r.err, qt.IsNil)
		w.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
		w.Assert(w.serversRun(), qt.HasLen, 0)
	})
}

// Guards against a second send that a stopping VM cannot end, when a server fails or refuses the first.
func TestNothingIsSentAgainTooLate(t *testing.T) {
	tests := map[string]struct {
		answer http.HandlerFunc
		status int
	}{
		"failed":  {answerWith(http.StatusInternalServerError, ""), http.StatusInternalServerError},
		"cut":     {abortConnection, http.StatusBadGateway},
		"not run": {notRunAnswer, http.StatusServiceUnavailable},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(w *harness) {
				handler := answerWith(http.StatusOK, "")
				for _, id := range []string{"a", "b"} {
					w.serve("app", "shubra", id, func(rw http.ResponseWriter, r *http.Request) {
						time.Sleep(time.Second)
						handler(rw, r)
					})
				}
				w.callBeforeStop("/safe/x")
				time.Sleep(time.Second)
				before := len(w.serversRun())
				handler = x.answer
				w.stopIn(2500 * time.Millisecond)
				r := w.call(http.MethodPost, "/safe/x", nil)
				w.Assert(r.err, qt.IsNil)
				w.Assert(r.status, qt.Equals, x.status)
				w.Assert(len(w.serversRun())-before <= 2, qt.IsTrue) // the second is the one sent because the first is slow
			})
		})
	}
}
