package gladeforward

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
)

// Copies of a request that crashes its servers come several times a second, so that servers of each failure domain crash
// together. The request must be refused all the same.
func TestCopiesOfCrashingRequestAreRefused(t *testing.T) {
	runCrashTest(t, 6, func(c *crashFleet) {
		c.queueTime = 300 * time.Millisecond
		for i := range 36 {
			c.start("llm", crashDomain(i))
		}
		var calls sync.WaitGroup
		calls.Go(func() { c.repeatOthers("/stream/note", 100*time.Millisecond, 12*time.Second) })
		c.repeat("/stream/crash", 75*time.Millisecond, 12*time.Second)
		calls.Wait()
		c.assertStopped("/stream/crash")
		c.assertOnlyRefused("/stream/crash")
	})
}

// Several requests crash their servers at the same time. None may hide the others.
func TestSeveralCrashingRequestsAreRefused(t *testing.T) {
	runCrashTest(t, 6, func(c *crashFleet) {
		c.queueTime = 700 * time.Millisecond
		for i := range 36 {
			c.start("llm", crashDomain(i))
		}
		paths := []string{"/stream/crash1", "/stream/crash2", "/stream/crash3"}
		var calls sync.WaitGroup
		for _, p := range paths {
			calls.Go(func() { c.repeat(p, 400*time.Millisecond, 15*time.Second) })
		}
		calls.Wait()
		for _, p := range paths {
			c.assertStopped(p)
		}
		c.assertOnlyRefused(paths...)
	})
}

// A service has one server in each failure domain, and each crash takes other requests with it. The request must be
// refused, and the others must be served once it is.
func TestCrashingRequestAmongOthersIsRefused(t *testing.T) {
	runCrashTest(t, 6, func(c *crashFleet) {
		for i := range 3 {
			c.start("app", crashDomain(i))
		}
		var calls sync.WaitGroup
		for i := range 8 {
			calls.Go(func() { c.repeat(fmt.Sprint("/safe/lookup", i), 60*time.Millisecond, 20*time.Second) })
		}
		c.repeat("/safe/crash", 500*time.Millisecond, 20*time.Second)
		calls.Wait()
		c.assertStopped("/safe/crash")
		c.assertOnlyRefused("/safe/crash")
		c.mu.Lock()
		clear(c.failures)
		c.mu.Unlock()
		for i := range 8 {
			c.repeat(fmt.Sprint("/safe/lookup", i), 60*time.Millisecond, 600*time.Millisecond)
		}
		c.Assert(c.failures, qt.HasLen, 0)
	})
}

// A request crashes two of the three servers of a service. It must not be sent to the last one while the others restart, so that
// other calls are served meanwhile, except those that run on a server as it crashes.
func TestCrashingRequestLeavesOneServer(t *testing.T) {
	for _, path := range []string{"/safe/crash", "/unsafe/crash"} {
		runCrashTest(t, 6, func(c *crashFleet) {
			for i := range 3 {
				c.start("app", crashDomain(i))
			}
			c.fewest = c.live
			var calls sync.WaitGroup
			calls.Go(func() { c.repeat("/unsafe/credit", c.runTime, 12*time.Second) })
			time.Sleep(2 * time.Second)
			c.repeat(path, 200*time.Millisecond, 10*time.Second)
			calls.Wait()
			c.assertStopped(path)
			c.assertOnlyRefused(path)
			c.Assert(c.fewest > 0, qt.IsTrue, qt.Commentf("%s: sends %v, crashes %v", path, c.sends[path], c.crashes[path]))
			lost := 2 * len(c.crashes[path]) // at most two calls run at a time
			c.Assert(c.failures["/unsafe/credit"] <= lost, qt.IsTrue, qt.Commentf("%d not served", c.failures["/unsafe/credit"]))
		})
	}
}

// All servers of a service fail at once while they run the same harmless lookup for several callers. It must be served once
// they are back.
func TestLookupOnLostServersIsServedAgain(t *testing.T) {
	runCrashTest(t, 6, func(c *crashFleet) {
		for i := range 3 {
			c.start("app", crashDomain(i))
		}
		var calls sync.WaitGroup
		calls.Go(func() { c.repeat("/safe/lookup", 20*time.Millisecond, 2*time.Second) })
		time.Sleep(time.Second)
		for i := range 3 {
			c.vms[0].network.Kill(fmt.Sprint("app-", i+1))
			time.AfterFunc(testRestartTime, func() { c.start("app", crashDomain(i)) })
		}
		calls.Wait()
		time.Sleep(testRestartTime)
		c.mu.Lock()
		clear(c.failures)
		c.mu.Unlock()
		c.repeat("/safe/lookup", 100*time.Millisecond, 3*time.Second)
		c.Assert(c.failures, qt.HasLen, 0)
	})
}

// A server rejects a request that crashed others before. The rejection says nothing about the request.
func TestRejectionDoesNotClearCrashingRequest(t *testing.T) {
	for _, rejection := range []http.HandlerFunc{notRunAnswer, answerWith(http.StatusInternalServerError, "")} {
		runTest(t, func(w *harness) {
			crashes := 0
			serve := func(id string, h http.HandlerFunc) {
				w.serve("app", "shubra", id, h)
				for range 2 {
					w.call(http.MethodPost, "/unsafe/crash", nil)
					time.Sleep(time.Second)
				}
				w.network.Kill(id)
				w.fleet.Remove(id, time.Now(), 0)
				time.Sleep(3 * time.Second)
			}
			for i := range 6 {
				id := fmt.Sprint("crashing", i)
				serve(id, func(rw http.ResponseWriter, r *http.Request) {
					crashes++
					w.network.Kill(id)
					abortConnection(rw, r)
				})
				serve(fmt.Sprint("rejecting", i), rejection)
			}
			w.Assert(crashes, qt.Equals, 3)
		})
	}
}

// Another VM finds that a request crashes its servers while it runs here. It must not be sent to a second server.
func TestRefusalStopsRetries(t *testing.T) {
	runTest(t, func(w *harness) {
		h := func(rw http.ResponseWriter, r *http.Request) {
			w.refuse("/safe/x")
			abortConnection(rw, r)
		}
		w.serve("app", "shubra", "a", h)
		w.serve("app", "giza", "b", h)
		w.Assert(w.call(http.MethodPost, "/safe/x", nil).status, qt.Equals, http.StatusBadGateway)
		w.Assert(w.serversRun(), qt.HasLen, 1)
	})
}

// Another VM finds that a request crashes its servers while it waits for room here. It must not be sent.
func TestRefusalStopsWaitingRequest(t *testing.T) {
	runTest(t, func(w *harness) {
		w.engine.Copies, w.engine.KVTokens = false, oneRunTokens
		w.serve("llm", "shubra", "a", streamEvents(2, time.Second, nil))
		for i := range w.forwarder.config.Release().Routes {
			w.forwarder.config.Release().Routes[i].Target = 5 * time.Second
		}
		first := w.startStream("r1")
		time.Sleep(1500 * time.Millisecond)
		time.AfterFunc(100*time.Millisecond, func() { w.refuse("/stream/crash") })
		w.Assert(w.call(http.MethodPost, "/stream/crash", nil).status, qt.Equals, http.StatusBadGateway)
		w.Assert((<-first).body, qt.Equals, eventText(1, 2))
		w.Assert(w.serversRun(), qt.HasLen, 1)
	})
}

// A request is refused while it is queued at servers. These runs must be cancelled before they crash their servers.
func TestRefusalEndsQueuedRuns(t *testing.T) {
	for _, path := range []string{"/stream/x", "/safe/x", "/unsafe/x"} {
		runTest(t, func(w *harness) {
			w.serve("llm", "shubra", "a", waitForCancel)
			w.serve("app", "shubra", "b", waitForCancel)
			time.AfterFunc(20*time.Millisecond, func() { w.refuse(path) })
			r := w.call(http.MethodPost, path, nil)
			w.Assert(r.status, qt.Equals, http.StatusBadGateway)
			w.Assert(r.took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", r.took))
			time.Sleep(time.Second)
			w.Assert(w.serversRun(), qt.HasLen, 1)
			w.Assert(w.run(0).canceled, qt.IsTrue)
		})
	}
}

// A request crashes each engine after its first event. It must be refused as one that crashes them before.
func TestCrashAfterFirstEventCounts(t *testing.T) {
	runTest(t, func(w *harness) {
		for i := range 12 {
			id := fmt.Sprint("e", i)
			w.serve("llm", crashDomain(i), id, func(rw http.ResponseWriter, r *http.Request) {
				from, _ := strconv.Atoi(r.Header.Get(testLast)) // zero if there is no such header
				streamEvents(from+1, eventPause, func(http.ResponseWriter, *http.Request) { w.network.Kill(id) })(rw, r)
			})
		}
		for range 4 {
			w.call(http.MethodPost, "/stream/crash", nil)
			time.Sleep(5 * time.Second)
		}
		w.Assert(w.serversRun(), qt.HasLen, 3)
	})
}

// A request crashes its second server while one that has crashed two runs beside it. That death counts too.
func TestCrashBesideSuspectCounts(t *testing.T) {
	runTest(t, func(w *harness) {
		tracker := w.forwarder.config.Suspects
		for i := range 2 {
			s := gladeapi.BackendServer{ID: fmt.Sprint("x", i), FailureDomain: "giza"}
			tracker.ServerDiedElsewhere(gladesuspect.Loss{Fingerprint: fingerprintOf("/unsafe/other"), Server: s})
			time.Sleep(5 * time.Second)
		}
		tracker.ServerDiedElsewhere(gladesuspect.Loss{
			Fingerprint: fingerprintOf("/unsafe/crash"), Server: gladeapi.BackendServer{ID: "y", FailureDomain: "giza"},
		})
		w.serve("app", "shubra", "a", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			if strings.Contains(r.URL.Path, "crash") {
				w.network.Kill("a")
			}
			abortConnection(rw, r)
		})
		var other sync.WaitGroup
		other.Go(func() { w.call(http.MethodPost, "/unsafe/other", nil) })
		time.Sleep(10 * time.Millisecond)
		w.call(http.MethodPost, "/unsafe/crash", nil)
		other.Wait()
		time.Sleep(time.Second)
		w.Assert(tracker.Evidence(fingerprintOf("/unsafe/crash")).Deaths, qt.Equals, 2)
	})
}

// One job sends a request that crashes its servers within milliseconds. It must stop at the third crash.
func TestOneJobCrashesThreeServers(t *testing.T) {
	runTest(t, func(w *harness) {
		for i := range 12 {
			id := fmt.Sprint("e", i)
			w.serve("llm", crashDomain(i), id, func(rw http.ResponseWriter, r *http.Request) {
				time.Sleep(10 * time.Millisecond)
				w.network.Kill(id)
				abortConnection(rw, r)
			})
		}
		w.Assert(w.call(http.MethodPost, "/stream/crash", nil).status, qt.Equals, http.StatusBadGateway)
		w.Assert(w.serversRun(), qt.HasLen, 3)
	})
}

// Engines are cut off from the VM one after the other under a request that waits for its first event, and the store may list
// them no longer. The request must not be suspected.
func TestCutOffServersAreNoCrashes(t *testing.T) {
	for _, listed := range []bool{true, false} {
		runTest(t, func(w *harness) {
			for i := range 4 {
				id := fmt.Sprint("e", i)
				w.serve("llm", crashDomain(i), id, func(_ http.ResponseWriter, r *http.Request) {
					w.network.Cut(w.vm, id)
					if !listed {
						w.fleet.Remove(id, time.Now().Add(-time.Minute), 0)
					}
					<-r.Context().Done()
				})
			}
			w.serve("llm", "giza", "z", streamEvents(2, eventPause, nil))
			for range 4 {
				w.call(http.MethodPost, "/stream/x", nil)
			}
			w.Assert(len(w.serversRun()) > 4, qt.IsTrue)
			w.Assert(w.reportedDeaths(), qt.HasLen, 0)
		})
	}
}

// A generation loses two engines before its first event. It is no longer suspected once the third one has sent many events.
func TestProgressClearsRequest(t *testing.T) {
	runTest(t, func(w *harness) {
		var runs atomic.Int32
		for i := range 6 {
			id := fmt.Sprint("e", i)
			w.serve("llm", crashDomain(i), id, func(rw http.ResponseWriter, r *http.Request) {
				if runs.Add(1) < 3 {
					w.network.Kill(id)
					return
				}
				streamEvents(40, eventPause, func(http.ResponseWriter, *http.Request) {
					w.Check(w.forwarder.config.Suspects.Evidence(fingerprintOf("/stream/x")).Deaths, qt.Equals, 0)
				})(rw, r)
			})
		}
		w.Assert(w.call(http.MethodPost, "/stream/x", nil).body, qt.Equals, eventText(1, 40))
		w.Assert(w.reportedDeaths(), qt.HasLen, 2)
	})
}
