package gladeforward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladebudget"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

func noBudget() *gladebudget.Budget {
	return gladebudget.New(gladebudget.Config{Window: 10 * time.Second, VMs: func() int { return 1 }})
}

const eventPause = 30 * time.Millisecond

func TestStreamComplete(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(20, eventPause, nil))
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.err, qt.IsNil)
		w.Assert(r.body, qt.Equals, eventText(1, 20))
		w.waitForCleanup()
		w.Assert(w.fleet.Shares(), qt.HasLen, 0)
	})
}

// All engines of a failure domain crash in the middle of streams.  Each stream must resume from its copy within the
// maximum pause.
func TestStreamResumesFromCopy(t *testing.T) {
	partialEvent := func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(rw, "id: 11\nda")
		abortConnection(rw, r)
	}
	for name, then := range map[string]http.HandlerFunc{"at an event": abortConnection, "within an event": partialEvent} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(w *harness) {
				w.serve("llm", "shubra", "a", streamEvents(10, eventPause, then))
				w.serve("llm", "giza", "b", streamEvents(20, eventPause, nil))
				r := w.call(http.MethodPost, "/stream/x", nil)
				w.Assert(r.err, qt.IsNil)
				w.Assert(r.body, qt.Equals, eventText(1, 20))
				w.Assert(r.header.Get(testSeal), qt.Equals, "a")
				w.Assert(w.serversRun(), qt.DeepEquals, []string{"a", "b"})
				first, second := w.run(0).header, w.run(1).header
				w.Assert(first.Get(testCopy), qt.Equals, "b:1")
				w.Assert(second.Get(testFrom), qt.Equals, "b:1/r1")
				w.Assert(second.Get(testLast), qt.Equals, "10")
				w.Assert(r.took < 20*eventPause+testGap, qt.IsTrue)
			})
		})
	}
}

// Engines become unreachable without resetting their connections, which hang.  The pause must stay within the route's
// limit.
func TestStreamMovesFromSilentEngine(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(10, eventPause, waitForCancel))
		w.serve("llm", "giza", "b", streamEvents(20, eventPause, nil))
		time.AfterFunc(10*eventPause+eventPause/2, func() { w.network.Cut("vm", "a") })
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, eventText(1, 20))
		w.Assert(r.took < 20*eventPause+testGap, qt.IsTrue, qt.Commentf("took %v", r.took))
	})
	// The run must also move on from an engine that accepts connections and sends nothing.
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(10, eventPause, waitForCancel))
		w.serve("llm", "giza", "b", streamEvents(20, eventPause, nil))
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, eventText(1, 20))
		w.Assert(r.took < 20*eventPause+testGap, qt.IsTrue, qt.Commentf("took %v", r.took))
		w.waitForCleanup()
		w.Assert(w.run(0).canceled, qt.IsTrue)
	})
}

// An engine accepts a run and stays mute, or sends comments only.  The run must go elsewhere once the prompts that wait
// there no longer explain it, and not be held until its time limit.
func TestStreamLeavesEngineWithoutFirstEvent(t *testing.T) {
	comments := func(rw http.ResponseWriter, r *http.Request) { repeatUntilClosed(": x\n\n", time.Second)(rw, r) }
	for name, mute := range map[string]http.HandlerFunc{"mute": waitForCancel, "comments": comments} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(w *harness) {
				w.serve("llm", "shubra", "a", mute)
				w.serve("llm", "giza", "b", streamEvents(20, eventPause, nil))
				r := w.call(http.MethodPost, "/stream/x", nil)
				w.Assert(r.err, qt.IsNil)
				w.Assert(r.body, qt.Equals, eventText(1, 20))
				w.Assert(r.took < minPrefillWait+time.Second, qt.IsTrue, qt.Commentf("took %v", r.took))
				w.waitForCleanup()
				w.Assert(w.run(0).canceled, qt.IsTrue)
			})
		})
	}
	// A server with many prompts to process gets the time that they need.
	runTest(t, func(w *harness) {
		slow := func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(5 * time.Second)
			streamEvents(20, eventPause, nil)(rw, r)
		}
		w.serve("llm", "shubra", "a", slow)
		w.recordPrefillRate(2000) // 5,000 tokens need 2.5 s
		w.serve("llm", "giza", "b", streamEvents(20, eventPause, nil))
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, eventText(1, 20))
		w.Assert(w.serversRun(), qt.DeepEquals, []string{"a"})
	})
}

// A prompt that takes 5 s to process must not cause a new connection to its server every 400 ms.
func TestLongPrefillCausesFewProbes(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(5 * time.Second)
			streamEvents(20, eventPause, nil)(rw, r)
		})
		w.recordPrefillRate(2000)
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, eventText(1, 20))
		probes := metrics.GetOrRegisterCounter("probes", w.forwarder.config.Metrics).Count()
		w.Assert(probes > 0 && probes <= 3, qt.IsTrue, qt.Commentf("%d probes", probes)) // after 0.4, 1.2 and 2.8 s
	})
}

// Servers crash one after the other.  If the server of the copy crashes before that of the run, a new copy must be
// made.
func TestLostCopyReplaced(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(60, eventPause, abortConnection))
		w.serve("llm", "giza", "b", streamEvents(80, eventPause, nil))
		time.AfterFunc(10*eventPause, func() {
			w.network.Kill("b")
			w.fleet.MarkFailed("b", time.Now())
			w.serve("llm", "helwan", "c", streamEvents(80, eventPause, nil))
		})
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, eventText(1, 80))
		w.Assert(w.serversRun(), qt.DeepEquals, []string{"a", "c"})
		w.Assert(w.run(1).header.Get(testFrom), qt.Equals, "a:1/handle-r1")
		w.Assert(w.copyCallList()[0], qt.Equals, "a:1 c:1")
		w.Assert(len(w.copyCallList()) > 2, qt.IsTrue) // the copy is updated
		w.waitForCleanup()
		w.Assert(w.freed, qt.HasLen, 0) // the run resumed from the copy
	})
}

// Copies made by call must be freed.  Unlike the copies that engines maintain themselves, they outlive their runs by
// seconds; they pile up on the engines, and full engines delay prompts.
func TestCopyMadeByCallFreed(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(60, eventPause, nil))
		w.serve("llm", "giza", "b", streamEvents(80, eventPause, nil))
		time.AfterFunc(10*eventPause, func() {
			w.network.Kill("b")
			w.fleet.MarkFailed("b", time.Now())
			w.serve("llm", "helwan", "c", streamEvents(80, eventPause, nil))
		})
		w.Assert(w.call(http.MethodPost, "/stream/x", nil).body, qt.Equals, eventText(1, 60))
		w.waitForCleanup()
		w.Assert(w.freed, qt.DeepEquals, []string{"a:1/handle-r1"})
	})
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(5, eventPause, nil))
		w.serve("llm", "giza", "b", streamEvents(5, eventPause, nil))
		w.Assert(w.call(http.MethodPost, "/stream/x", nil).body, qt.Equals, eventText(1, 5))
		w.waitForCleanup()
		w.Assert(w.freed, qt.HasLen, 0)
	})
}

func TestRefusedCopyRecomputesPrompt(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(10, eventPause, abortConnection))
		w.serve("llm", "giza", "b", func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(testFrom) != "" {
				notRunAnswer(rw, r)
				return
			}
			streamEvents(20, eventPause, nil)(rw, r)
		})
		w.serve("llm", "giza", "c", streamEvents(20, eventPause, nil))
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.err, qt.IsNil)
		w.Assert(r.body, qt.Equals, eventText(1, 20))
	})
}

// An engine that restarts a run sends events that the caller already has.  They must be skipped.
func TestEventsForwardedOnce(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(10, eventPause, abortConnection))
		restarted := func(rw http.ResponseWriter, r *http.Request) {
			r.Header.Del(testLast)
			streamEvents(20, eventPause, nil)(rw, r)
		}
		w.serve("llm", "giza", "b", restarted)
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, eventText(1, 20))
	})
}

func TestBrokenStreamNeverEndsCleanly(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(10, eventPause, abortConnection))
		w.serve("llm", "giza", "b", streamEvents(12, eventPause, abortConnection))
		w.forwarder.config.Budget = noBudget()
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.status, qt.Equals, http.StatusOK)
		w.Assert(r.err, qt.IsNotNil)
	})
	runTest(t, func(w *harness) { // the time limit also ends a stream that has begun
		w.serve("llm", "shubra", "a", streamEvents(1000, eventPause, nil))
		r := w.call(http.MethodPost, "/stream/x", map[string]string{testDeadline: "500"})
		w.Assert(r.err, qt.IsNotNil)
		w.Assert(r.took, qt.Equals, 500*time.Millisecond)
		w.waitForCleanup()
		w.Assert(w.run(0).canceled, qt.IsTrue)
	})
}

func TestCallerDisconnectCancelsStream(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(1000, eventPause, nil))
		ctx, cancel := context.WithTimeout(w.Context(), time.Second)
		defer cancel()
		w.Assert(w.callContext(ctx, http.MethodPost, "/stream/x", nil).err, qt.IsNotNil)
		w.waitForCleanup()
		w.Assert(w.run(0).canceled, qt.IsTrue)
		w.Assert(w.fleet.Shares(), qt.HasLen, 0)
	})
}

// A VM is killed and its callers reconnect to another VM, which must find the engine that has cached the prompt.
func TestResumedStreamSentToPromptHolder(t *testing.T) {
	runTest(t, func(w *harness) {
		for _, id := range []string{"a", "b", "c", "d"} {
			w.serve("llm", "shubra", id, streamEvents(20, eventPause, nil))
		}
		w.held["c:1"] = map[string]int{"s7": 5000}
		r := w.call(http.MethodPost, "/stream/x", map[string]string{testLast: "8", testSession: "s7"})
		w.Assert(r.body, qt.Equals, eventText(9, 20))
		w.Assert(w.serversRun(), qt.DeepEquals, []string{"c"})
	})
}

// One request crashes each engine that starts to run it, and its caller repeats it.  It must be refused after a few
// deaths.
func TestCrashingRequestStopped(t *testing.T) {
	runTest(t, func(w *harness) {
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			domain := map[bool]string{true: "shubra", false: "giza"}[id < "d"]
			w.serve("llm", domain, id, func(rw http.ResponseWriter, r *http.Request) {
				time.Sleep(time.Second)
				go w.network.Kill(id)
				abortConnection(rw, r)
			})
		}
		header := map[string]string{testID: "poison"}
		for range 3 {
			w.call(http.MethodPost, "/stream/x", header)
			time.Sleep(2 * time.Second)
		}
		w.Assert(len(w.serversRun()) <= 4, qt.IsTrue, qt.Commentf("%v", w.serversRun()))
		w.mu.Lock()
		defer w.mu.Unlock()
		w.Assert(len(w.deaths) >= 3, qt.IsTrue)
	})
}

// The engines of a failure domain restart and refuse connections.  Such sends reach no server and must leave the retry
// budget alone, or the streams that broke off there find it empty.
func TestRefusedConnectionsLeaveRetryBudget(t *testing.T) {
	runTest(t, func(w *harness) {
		for _, id := range []string{"a", "b", "c", "d"} {
			w.fleet.Put(gladefleet.Server{ID: id, Service: "llm", Address: id + ":1", FailureDomain: "shubra", Slots: 12, Started: 1}, time.Now())
		}
		w.serve("llm", "giza", "e", streamEvents(20, eventPause, nil))
		w.forwarder.config.Budget = noBudget()
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.err, qt.IsNil)
		w.Assert(r.body, qt.Equals, eventText(1, 20))
	})
	// A retry that reached no server is returned to the budget.
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(10, eventPause, abortConnection))
		w.serve("llm", "giza", "b", streamEvents(20, eventPause, nil))
		w.fleet.Put(gladefleet.Server{ID: "c", Service: "llm", Address: "c:1", FailureDomain: "helwan", Slots: 12, Started: 1}, time.Now())
		time.AfterFunc(5*eventPause, func() { w.network.Kill("b") })
		w.forwarder.config.Budget = gladebudget.New(gladebudget.Config{Reserve: 2.5, Window: 10 * time.Second, VMs: func() int { return 1 }})
		w.call(http.MethodPost, "/stream/x", nil)
		counts := w.forwarder.config.Budget.Counts(time.Now())["llm"]
		w.Assert(counts.Retries, qt.Equals, len(w.serversRun())-1)
	})
	// Where no server accepts connections, the request is refused at once.
	runTest(t, func(w *harness) {
		for _, id := range []string{"a", "b", "c"} {
			w.fleet.Put(gladefleet.Server{ID: id, Service: "llm", Address: id + ":1", FailureDomain: "shubra", Slots: 12, Started: 1}, time.Now())
		}
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
		w.Assert(r.took < time.Second, qt.IsTrue)
	})
}

// An engine dies while it processes the prompt.  No engine has a copy of a run without events, so that the next send must
// not ask for one.
func TestRunWithoutEventsHasNoCopy(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", abortConnection)
		w.serve("llm", "giza", "b", streamEvents(20, eventPause, nil))
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, eventText(1, 20))
		w.Assert(w.run(0).header.Get(testCopy), qt.Equals, "b:1")
		w.Assert(w.run(1).header.Get(testFrom), qt.Equals, "")
	})
}

// A server answers a stream in an encoding that is not its own.  Such an answer is not the server's: it reached the caller as a
// complete 200 without a body, and the generation was lost.
func TestEncodedStreamIsNoSuccess(t *testing.T) {
	encoded := func(status int) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Content-Encoding", "gzip")
			rw.WriteHeader(status)
			streamEvents(20, eventPause, nil)(rw, r)
		}
	}
	for name, status := range map[string]int{"success": http.StatusOK, "refusal": http.StatusNotFound, "failure": http.StatusInternalServerError} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(w *harness) {
				w.serve("llm", "shubra", "a", encoded(status))
				w.serve("llm", "giza", "b", streamEvents(20, eventPause, nil))
				r := w.call(http.MethodPost, "/stream/x", nil)
				w.Assert(r.err, qt.IsNil)
				w.Assert(r.status, qt.Equals, http.StatusOK)
				w.Assert(r.body, qt.Equals, eventText(1, 20))
				w.Assert(r.header.Get("Content-Encoding"), qt.Equals, "")
				w.Assert(w.serversRun(), qt.DeepEquals, []string{"a", "b"})
			})
			// No server sends anything else.
			runTest(t, func(w *harness) {
				w.serve("llm", "shubra", "a", encoded(status))
				r := w.call(http.MethodPost, "/stream/x", nil)
				w.Assert(r.err, qt.IsNil)
				w.Assert(r.status, qt.Equals, http.StatusBadGateway)
				w.Assert(r.header.Get("Content-Encoding"), qt.Equals, "")
				w.Assert(len(w.serversRun()) <= maxStreamSends, qt.IsTrue)
			})
			// The stream may not be repeated.
			runTest(t, func(w *harness) {
				w.serve("llm", "shubra", "a", encoded(status))
				w.serve("llm", "giza", "b", streamEvents(20, eventPause, nil))
				r := w.call(http.MethodPost, "/once/x", nil)
				w.Assert(r.err, qt.IsNil)
				w.Assert(r.status, qt.Equals, http.StatusBadGateway)
				w.Assert(r.header.Get("Content-Encoding"), qt.Equals, "")
				w.Assert(w.serversRun(), qt.DeepEquals, []string{"a"})
			})
		})
	}
}

func TestStoppingVMRefusesLongStreams(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(20, eventPause, nil))
		w.serve("app", "shubra", "b", answerWith(http.StatusOK, ""))
		w.callBeforeStop("/safe/x")
		w.stopIn(typicalStreamTime - time.Millisecond)
		w.Assert(w.call(http.MethodPost, "/stream/x", nil).status, qt.Equals, http.StatusServiceUnavailable)
		w.Assert(w.call(http.MethodGet, "/safe/x", nil).status, qt.Equals, http.StatusOK)
		w.Assert(w.serversRun(), qt.Not(qt.Contains), "a")
	})
}

func TestEventReaderSplitReads(t *testing.T) {
	c := qt.New(t)
	in := "weight-versions: 3\nid: 1\r\ndata: a\r\n\r\nid:2\ndata: b\n\n"
	for step := 1; step < len(in); step++ {
		r := eventReader{source: &chunkReader{in: in, step: step}}
		first, err := r.next()
		c.Assert(err, qt.IsNil)
		second, err := r.next()
		c.Assert(err, qt.IsNil)
		c.Assert([]int64{first.id, second.id}, qt.DeepEquals, []int64{1, 2})
		c.Assert(string(first.bytes)+string(second.bytes), qt.Equals, in)
		_, err = r.next()
		c.Assert(err, qt.Equals, io.EOF)
	}
}

// chunkReader reads a text in chunks of step bytes.
type chunkReader struct {
	in   string
	step int
}

func (s *chunkReader) Read(b []byte) (int, error) {
	if s.in == "" {
		return 0, io.EOF
	}
	n := copy(b[:min(s.step, len(b))], s.in)
	s.in = s.in[n:]
	return n, nil
}

// A failure domain crashes while the store is unavailable, so that all its entries name servers that no longer exist.
// Their 421 answers must not count as attempts.
func TestOutdatedEntriesDoNotUseUpTheAttempts(t *testing.T) {
	runTest(t, func(w *harness) {
		for i := range maxStreamSends + 2 {
			w.serve("llm", "shubra", fmt.Sprintf("old-%d", i), answerWith(http.StatusMisdirectedRequest, ""))
		}
		w.serve("llm", "giza", "z", streamEvents(20, eventPause, nil))
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.err, qt.IsNil)
		w.Assert(r.body, qt.Equals, eventText(1, 20))
	})
}
