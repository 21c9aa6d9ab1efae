package gladeforward

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladequota"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

// fakeLimits denies requests to the servers in denied, and records what it was asked.
type fakeLimits struct {
	mu     sync.Mutex
	denied map[string]gladequota.DeniedError
	// granted and refused are the servers of the requests, in order, and last is the last request for each server.
	granted, refused []string
	last             map[string]gladequota.Request
	sent             []string
}

// limit lets the VM ask l before each send.
func (w *harness) limit(denied map[string]gladequota.DeniedError) *fakeLimits {
	l := &fakeLimits{denied: denied, last: map[string]gladequota.Request{}}
	for id := range denied {
		w.fleet.SetLimited(id, true, time.Now())
	}
	w.forwarder.config.Limits = Limits{
		Acquire: func(_ context.Context, s gladequota.Server, r gladequota.Request) error {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.last[s.ID] = r
			if d, ok := l.denied[s.ID]; ok {
				l.refused = append(l.refused, s.ID)
				return &d
			}
			l.granted = append(l.granted, s.ID)
			return nil
		},
		Sent: func(s gladequota.Server) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.sent = append(l.sent, s.ID)
		},
	}
	return l
}

func (l *fakeLimits) grants() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.granted)
}

func (l *fakeLimits) denials() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.refused)
}

func (l *fakeLimits) request(id string) gladequota.Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last[id]
}

var soon = gladequota.DeniedError{Wait: time.Second, RetryAfter: 1500 * time.Millisecond}

func retryAfter(c *qt.C, r response) time.Duration {
	s, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	c.Assert(err, qt.IsNil)
	return time.Duration(s * float64(time.Second))
}

// A server at its limit gets nothing; the request goes to another one, and the next ones do not ask again at once.
func TestRequestGoesElsewhereFromServerAtLimit(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("app", "shubra", "a", answerWith(http.StatusOK, "a"))
		w.serve("app", "giza", "b", answerWith(http.StatusOK, "b"))
		l := w.limit(map[string]gladequota.DeniedError{"a": soon})
		for range 5 {
			r := w.call(http.MethodPost, "/unsafe/x", nil)
			w.Check(r.body, qt.Equals, "b")
		}
		w.Check(w.serversRun(), qt.DeepEquals, []string{"b", "b", "b", "b", "b"})
		w.Check(l.denials(), qt.DeepEquals, []string{"a"})
		w.Check(l.request("a").Final, qt.IsFalse)
		time.Sleep(time.Second)
		w.Check(w.call(http.MethodPost, "/unsafe/x", nil).body, qt.Equals, "b")
		w.Check(l.denials(), qt.DeepEquals, []string{"a", "a"})
	})
}

// Guards against a request to a server that leaves between its choice and the send, while the VM asks for permission.
func TestServerThatLeavesBeforeTheSendGetsNothing(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x"} {
		runTest(t, func(w *harness) {
			for _, id := range []string{"a", "b"} {
				w.serve("app", "shubra", "app-"+id, answerWith(http.StatusOK, id))
				w.serve("llm", "shubra", "llm-"+id, streamEvents(3, eventPause, nil))
			}
			left := ""
			w.forwarder.config.Limits.Acquire = func(_ context.Context, s gladequota.Server, _ gladequota.Request) error {
				if left == "" {
					left = s.ID
					w.fleet.MarkLeaving(s.ID, s.Started, time.Now())
				}
				return nil
			}
			w.Check(w.call(http.MethodPost, path, nil).status, qt.Equals, http.StatusOK)
			w.Check(left, qt.Not(qt.Equals), "")
			w.Check(slices.Contains(w.serversRun(), left), qt.IsFalse, qt.Commentf("%s", path))
		})
	}
}

// If all servers are at their limits, a request is refused at once and has not run, whatever its kind. Its caller is told when
// there is room.
func TestRequestsRefusedAtOnceIfAllServersAreAtLimits(t *testing.T) {
	runTest(t, func(w *harness) {
		for _, id := range []string{"a", "b"} {
			w.serve("app", "shubra", id, answerWith(http.StatusOK, id))
			w.serve("llm", "shubra", "llm-"+id, streamEvents(3, eventPause, nil))
		}
		l := w.limit(map[string]gladequota.DeniedError{"a": soon, "b": soon, "llm-a": soon, "llm-b": soon})
		for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x"} {
			r := w.call(http.MethodPost, path, nil)
			w.Check(r.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", path))
			w.Check(retryAfter(w.C, r), qt.Equals, soon.RetryAfter)
			w.Check(r.took <= testTarget, qt.IsTrue, qt.Commentf("%s took %s", path, r.took))
		}
		w.Check(w.serversRun(), qt.HasLen, 0)
		w.Check(l.request("llm-a").Final || l.request("llm-b").Final, qt.IsTrue)
	})
}

// A request waits a moment where one of the servers has room again soon.
func TestPlainRequestWaitsForRoomThatComesSoon(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("app", "shubra", "a", answerWith(http.StatusOK, "a"))
		l := w.limit(map[string]gladequota.DeniedError{"a": {Wait: 10 * time.Millisecond, RetryAfter: 30 * time.Millisecond}})
		time.AfterFunc(20*time.Millisecond, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.denied = nil
		})
		r := w.call(http.MethodPost, "/unsafe/x", nil)
		w.Check(r.body, qt.Equals, "a")
		w.Check(r.took >= 30*time.Millisecond, qt.IsTrue)
	})
}

// Guards against kinds of sends that are not counted: each request that reaches a server was granted there.
func TestEveryKindOfSendIsGranted(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("app", "shubra", "a", notRunAnswer)
		w.serve("app", "giza", "b", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(testTarget) // a second send follows after half of the target
			answerWith(http.StatusOK, "b")(rw, r)
		})
		w.serve("app", "giza", "c", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(testTarget)
			answerWith(http.StatusInternalServerError, "c")(rw, r)
		})
		l := w.limit(nil)
		w.Check(w.call(http.MethodPost, "/safe/x", nil).status < http.StatusServiceUnavailable, qt.IsTrue)
		time.Sleep(time.Second)
		got, granted := w.serversRun(), l.grants()
		slices.Sort(got)
		slices.Sort(granted)
		w.Check(len(got) >= 3, qt.IsTrue, qt.Commentf("%q", got))
		w.Check(granted, qt.DeepEquals, got)
	})
	runTest(t, func(w *harness) {
		// The run breaks off, is resumed from its copy, moves on from there, and is copied by call.
		w.serve("llm", "shubra", "a", streamEvents(5, eventPause, abortConnection))
		var resumed atomic.Bool
		for _, id := range []string{"b", "c"} {
			w.serve("llm", "giza", id, func(rw http.ResponseWriter, r *http.Request) {
				if resumed.Swap(true) {
					streamEvents(40, eventPause, nil)(rw, r)
				} else {
					streamEvents(10, eventPause, abortConnection)(rw, r)
				}
			})
		}
		l := w.limit(nil)
		r := w.call(http.MethodPost, "/stream/x", map[string]string{testSession: "s", testLast: "0"})
		w.Check(r.status, qt.Equals, http.StatusOK)
		time.Sleep(time.Second)
		sends, queries := len(w.serversRun()), 1 // the cached prompts of the engine in the own domain
		w.mu.Lock()
		orders := len(w.copyCalls) + len(w.freed)
		w.mu.Unlock()
		w.Check(sends >= 3, qt.IsTrue)
		w.Check(l.grants(), qt.HasLen, sends+orders+queries)
	})
}

// A copy's server at its limit does not keep a generation from going on elsewhere.
func TestResumedStreamGoesElsewhereFromCopyAtLimit(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(5, eventPause, abortConnection))
		w.serve("llm", "giza", "b", streamEvents(20, eventPause, nil))
		w.serve("llm", "giza", "c", streamEvents(20, eventPause, nil))
		l := w.limit(nil)
		var copyServer string
		go func() {
			time.Sleep(2 * eventPause)
			l.mu.Lock()
			defer l.mu.Unlock()
			copyServer = w.run(0).header.Get(testCopy)[:1]
			w.fleet.SetLimited(copyServer, true, time.Now())
			l.denied = map[string]gladequota.DeniedError{copyServer: soon}
		}()
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Check(r.body, qt.Equals, eventText(1, 20))
		w.Check(l.denials(), qt.Contains, copyServer)
		w.Check(l.request(copyServer).Resumed, qt.IsTrue)
		w.Check(slices.Contains(w.serversRun(), copyServer), qt.IsFalse)
	})
}

// Guards against a promise that does not hold: a request that may have run is not refused for a limit.
func TestRequestThatMayHaveRunIsNotRefusedForLimit(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("app", "shubra", "a", abortConnection)
		w.serve("app", "giza", "b", answerWith(http.StatusOK, "b"))
		w.limit(map[string]gladequota.DeniedError{"b": soon})
		w.Check(w.call(http.MethodPost, "/safe/x", nil).status, qt.Equals, http.StatusBadGateway)
	})
	runTest(t, func(w *harness) {
		w.engine.Copies = false
		w.serve("llm", "shubra", "a", func(rw http.ResponseWriter, _ *http.Request) { abortConnection(rw, nil) })
		w.serve("llm", "giza", "b", streamEvents(5, eventPause, nil))
		w.limit(map[string]gladequota.DeniedError{"b": soon})
		w.Check(w.call(http.MethodPost, "/stream/x", nil).status, qt.Equals, http.StatusBadGateway)
	})
}

// A copy that is not made for want of room at the run's server says nothing about the copy's server.
func TestDeniedCopyIsTriedAgain(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(60, eventPause, nil))
		w.serve("llm", "giza", "b", streamEvents(60, eventPause, nil))
		l := w.limit(nil)
		go func() {
			time.Sleep(3 * eventPause)
			l.mu.Lock()
			l.denied = map[string]gladequota.DeniedError{"a": soon}
			l.mu.Unlock()
			w.fleet.MarkFailed("b", time.Now()) // the copy is lost
			w.fleet.MarkHeard("b", time.Now())
		}()
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Check(r.body, qt.Equals, eventText(1, 60))
	})
}

// backOff lets a server want no requests for some time.
func (w *harness) backOff(id string, lasts time.Duration) { w.fleet.BackOff(id, 1, lasts, time.Now()) }

// If all servers want no requests for a while, callers are told when the first of them does again, and nothing is sent there until
// then. One that ends soon is waited for.
func TestServersInBackoff(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("app", "shubra", "a", answerWith(http.StatusOK, "a"))
		w.serve("app", "giza", "b", answerWith(http.StatusOK, "b"))
		w.serve("llm", "shubra", "c", streamEvents(3, eventPause, nil))
		w.backOff("a", 3*time.Second)
		w.Check(w.call(http.MethodPost, "/unsafe/x", nil).body, qt.Equals, "b")
		w.backOff("b", 10*time.Second)
		w.backOff("c", 4*time.Second)
		for path, least := range map[string]time.Duration{"/unsafe/x": 3 * time.Second, "/safe/x": 3 * time.Second, "/stream/x": 4 * time.Second} {
			r := w.call(http.MethodPost, path, nil)
			w.Check(r.status, qt.Equals, http.StatusServiceUnavailable)
			after := retryAfter(w.C, r) + r.took
			w.Check(after >= least && after < 2*least, qt.IsTrue, qt.Commentf("%s: %s", path, after))
			w.Check(r.took < testTarget, qt.IsTrue)
		}
		w.Check(w.serversRun(), qt.DeepEquals, []string{"b"})
		time.Sleep(4500 * time.Millisecond)
		w.Check(w.call(http.MethodPost, "/unsafe/x", nil).body, qt.Equals, "a")
		w.Check(w.call(http.MethodPost, "/stream/x", nil).body, qt.Equals, eventText(1, 3))
		w.backOff("a", 20*time.Millisecond)
		w.Check(w.call(http.MethodPost, "/safe/x", nil).body, qt.Equals, "a")
	})
}

// A generation that has begun waits for an engine that wants requests again soon, though its caller could not be refused.
func TestBegunStreamWaitsForEngineInBackoff(t *testing.T) {
	runTest(t, func(w *harness) {
		w.engine.Copies = false
		w.serve("llm", "shubra", "a", func(rw http.ResponseWriter, r *http.Request) {
			w.backOff("b", 50*time.Millisecond)
			streamEvents(5, eventPause, abortConnection)(rw, r)
		})
		w.serve("llm", "giza", "b", streamEvents(20, eventPause, nil))
		w.Check(w.call(http.MethodPost, "/stream/x", nil).body, qt.Equals, eventText(1, 20))
	})
}

// Orders for the copies of a run that goes on wait too while its engine wants no requests.
func TestNoOrdersToEngineInBackoff(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(60, eventPause, nil))
		w.serve("llm", "giza", "b", streamEvents(60, eventPause, nil))
		w.serve("llm", "giza", "c", streamEvents(60, eventPause, nil))
		go func() {
			time.Sleep(3 * eventPause)
			w.backOff("a", 10*time.Second)
			w.fleet.MarkFailed(w.run(0).header.Get(testCopy)[:1], time.Now()) // the copy is lost
		}()
		w.Check(w.call(http.MethodPost, "/stream/x", nil).body, qt.Equals, eventText(1, 60))
		w.Check(w.copyCallList(), qt.HasLen, 0)
	})
}

// Guards against a request that waits for one mute coordinator after the other.
func TestMuteCoordinatorsDelayOnce(t *testing.T) {
	runTest(t, func(w *harness) {
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			w.serve("app", "shubra", id, answerWith(http.StatusOK, id))
		}
		w.forwarder.config.Limits.Acquire = func(ctx context.Context, _ gladequota.Server, _ gladequota.Request) error {
			select { // as gladequota.Pool does for each server
			case <-ctx.Done():
			case <-time.After(150 * time.Millisecond):
			}
			return &soon
		}
		r := w.call(http.MethodPost, "/unsafe/x", nil)
		w.Check(r.status, qt.Equals, http.StatusServiceUnavailable)
		w.Check(r.took <= maxAskTime+testTarget, qt.IsTrue, qt.Commentf("%s", r.took))
	})
}

// Guards against a request that asks the same servers again and again: each denial ends soon, and the fleet does not know that the
// servers have limits.
func TestDenialsAreBounded(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("app", "shubra", "a", answerWith(http.StatusOK, "a"))
		l := w.limit(nil)
		l.denied = map[string]gladequota.DeniedError{"a": {RetryAfter: time.Second}}
		r := w.call(http.MethodPost, "/unsafe/x", nil)
		w.Check(r.status, qt.Equals, http.StatusServiceUnavailable)
		w.Check(retryAfter(w.C, r), qt.Equals, time.Second)
		w.Check(l.denials(), qt.HasLen, maxTries)
	})
}

// A request that one server rejected, while the others are at their limits, is told when there is room.
func TestRejectedRequestIsToldOfLimits(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("app", "shubra", "a", notRunAnswer)
		w.serve("app", "giza", "b", answerWith(http.StatusOK, "b"))
		w.limit(map[string]gladequota.DeniedError{"b": soon})
		r := w.call(http.MethodPost, "/unsafe/x", nil)
		w.Check(r.status, qt.Equals, http.StatusServiceUnavailable)
		w.Check(retryAfter(w.C, r), qt.Equals, soon.RetryAfter)
	})
}

// A generation whose prompt is cached at an engine at its limit goes to another one; the engine is not asked for its cached prompts
// either.
func TestPrefixHolderAtLimit(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(3, eventPause, nil))
		w.serve("llm", "giza", "b", streamEvents(3, eventPause, nil))
		w.held["a:1"] = map[string]int{"s": 5000}
		l := w.limit(map[string]gladequota.DeniedError{"a": soon})
		r := w.call(http.MethodPost, "/stream/x", map[string]string{testSession: "s", testLast: "0"})
		w.Check(r.body, qt.Equals, eventText(1, 3))
		w.Check(w.serversRun(), qt.DeepEquals, []string{"b"})
		w.Check(l.request("a").Repeat, qt.IsTrue)
	})
}

// If all servers of a large service have limits, a request tries several before it is refused, as one of them may have room.
func TestRequestTriesSeveralServersAtLimits(t *testing.T) {
	runTest(t, func(w *harness) {
		denied := map[string]gladequota.DeniedError{}
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			w.serve("app", "shubra", id, answerWith(http.StatusOK, id))
			denied[id] = soon
		}
		l := w.limit(denied)
		w.fleet.SetLimited("f", true, time.Now())
		l.mu.Lock()
		delete(l.denied, "f")
		l.mu.Unlock()
		// The others come first.
		w.fleet.SetPeerShares("vm-2", map[string]gladefleet.Share{"f": {Runs: 3}})
		w.Check(w.call(http.MethodPost, "/unsafe/x", nil).body, qt.Equals, "f")
		w.Check(l.denials(), qt.HasLen, 5)
	})
}
