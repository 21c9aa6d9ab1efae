package gladeforward

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

const (
	// crashGrace is the time after the third crash within which a crashing request may still be sent.
	crashGrace = 3 * time.Second
	// maxLateSends is the number of sends allowed after that.
	maxLateSends = 3
	// testRestartTime is how long a crashed server needs to restart.
	testRestartTime = 1500 * time.Millisecond
	noticeDelay     = 5 * time.Millisecond
)

// crashFleet is several VMs, and servers that crash when they run a request whose path contains "crash".
type crashFleet struct {
	*qt.C
	vms []*harness
	// queueTime is how long a request waits at a server, and runTime how long a server works on it.
	queueTime, runTime time.Duration

	mu sync.Mutex
	// crashes are the times of the crashes, and sends those at which servers received the request, by path.
	crashes, sends map[string][]time.Time
	failures       map[string]int
	starts         int
	// live is the number of servers that run, and fewest the smallest number since a server crashed.
	live, fewest int
}

// runCrashTest calls f in virtual time with VMs in the failure domains "shubra", "giza" and "helwan" in turn.
func runCrashTest(t *testing.T, vms int, f func(c *crashFleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := &crashFleet{
			C: qt.New(t), queueTime: time.Millisecond, runTime: 50 * time.Millisecond,
			crashes: map[string][]time.Time{}, sends: map[string][]time.Time{}, failures: map[string]int{},
		}
		network := &gladewire.Network{}
		for i := range vms {
			w := &harness{
				C: c.C, network: network, vm: fmt.Sprint("vm", i), domain: crashDomain(i),
				held: map[string]map[string]int{}, suspects: gladesuspect.Config{MaxDeaths: 3, Window: 100 * time.Millisecond, MinGap: 30 * time.Millisecond, Progress: 2},
			}
			w.start()
			w.onDeath = func(d ServerDeath) {
				for _, o := range c.vms {
					if o != w {
						time.AfterFunc(noticeDelay, func() { o.forwarder.config.Suspects.ServerDiedElsewhere(d.Loss()) })
					}
				}
			}
			c.vms = append(c.vms, w)
		}
		defer c.close()
		f(c)
	})
}

func (c *crashFleet) close() {
	time.Sleep(30 * time.Second) // all requests and restarts are over
	for _, w := range c.vms {
		for _, closer := range slices.Backward(w.closers) {
			closer()
		}
	}
	time.Sleep(time.Second)
	synctest.Wait()
}

func crashDomain(i int) string { return []string{"shubra", "giza", "helwan"}[i%3] }

// start starts a server, which all VMs know.
func (c *crashFleet) start(service, domain string) {
	c.mu.Lock()
	c.starts++
	c.live++
	id := fmt.Sprint(service, "-", c.starts)
	c.mu.Unlock()
	crash := sync.OnceFunc(func() {
		time.AfterFunc(testRestartTime, func() {
			for _, w := range c.vms {
				w.fleet.Remove(id, time.Now(), 0)
			}
			c.start(service, domain)
		})
		c.vms[0].network.Kill(id)
		c.mu.Lock()
		c.live--
		c.fewest = min(c.fewest, c.live)
		c.mu.Unlock()
	})
	c.vms[0].listen(id, func(rw http.ResponseWriter, r *http.Request) {
		path := r.URL.Path
		crashing := strings.Contains(path, "crash")
		if crashing {
			c.record(c.sends, path)
		}
		select {
		case <-time.After(c.queueTime):
		case <-r.Context().Done():
			return
		}
		time.Sleep(c.runTime)
		if crashing {
			c.record(c.crashes, path)
			crash()
			abortConnection(rw, r)
		}
		if strings.HasPrefix(path, "/stream/") {
			streamEvents(20, eventPause, nil)(rw, r)
			return
		}
		answerWith(http.StatusOK, "")(rw, r)
	})
	for _, w := range c.vms {
		w.fleet.Put(gladefleet.Server{
			ID: id, Service: service, Address: id + ":1", FailureDomain: domain, Slots: 12, Started: time.Now().UnixMilli(),
		}, time.Now())
	}
}

func (c *crashFleet) record(times map[string][]time.Time, path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	times[path] = append(times[path], time.Now())
}

// repeat sends a request at an interval to the VMs in turn, and returns after the given time.
func (c *crashFleet) repeat(path string, interval, total time.Duration) {
	var calls sync.WaitGroup
	for i := range int(total / interval) {
		w := c.vms[i%len(c.vms)]
		calls.Go(func() {
			if r := w.call(http.MethodPost, path, map[string]string{testID: fmt.Sprint(path, i)}); r.err != nil || r.status != http.StatusOK {
				c.mu.Lock()
				c.failures[path]++
				c.mu.Unlock()
			}
		})
		time.Sleep(interval)
	}
	calls.Wait()
}

// assertStopped checks that few sends of the request reached servers after its third crash.
func (c *crashFleet) assertStopped(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Assert(len(c.crashes[path]) >= 3, qt.IsTrue, qt.Commentf("%d crashes of %s", len(c.crashes[path]), path))
	late := 0
	for _, at := range c.sends[path] {
		if at.Sub(c.crashes[path][2]) > crashGrace {
			late++
		}
	}
	c.Assert(late <= maxLateSends, qt.IsTrue, qt.Commentf("%s: %d late sends, %d crashes", path, late, len(c.crashes[path])))
}

// assertOnlyRefused checks that no VM refuses any other requests than those.
func (c *crashFleet) assertOnlyRefused(paths ...string) {
	crashing := map[uint64]bool{}
	for _, p := range paths {
		crashing[fingerprintOf(p)] = true
	}
	for _, w := range c.vms {
		for _, r := range w.forwarder.config.Suspects.Refused() {
			c.Assert(crashing[r.Fingerprint], qt.IsTrue, qt.Commentf("%s refuses another request: %v", w.vm, r.Servers))
		}
	}
}

// fingerprintOf returns the fingerprint of a request that harness.call sends.
func fingerprintOf(path string) uint64 {
	var j job
	j.call.Method, j.call.Host, j.call.Target, j.call.Key, j.call.Body = http.MethodPost, "h", path, "key", []byte("body")
	return j.computeFingerprint()
}

// repeatOthers sends other requests, each once, at an interval.
func (c *crashFleet) repeatOthers(prefix string, interval, total time.Duration) {
	var calls sync.WaitGroup
	for i := range int(total / interval) {
		calls.Go(func() { c.repeat(fmt.Sprint(prefix, i), time.Millisecond, time.Millisecond) })
		time.Sleep(interval)
	}
	calls.Wait()
}

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

// A request crashes two of the three servers of a service. It must not be sent to the last one while the others restart.
func TestCrashingRequestLeavesOneServer(t *testing.T) {
	for _, path := range []string{"/safe/crash", "/unsafe/crash"} {
		runCrashTest(t, 6, func(c *crashFleet) {
			for i := range 3 {
				c.start("app", crashDomain(i))
			}
			c.fewest = c.live
			c.repeat(path, 200*time.Millisecond, 10*time.Second)
			c.assertStopped(path)
			c.Assert(c.fewest > 0, qt.IsTrue, qt.Commentf("%s: sends %v, crashes %v", path, c.sends[path], c.crashes[path]))
			// It is the last server that serves the others meanwhile.
			c.repeat("/safe/lookup", 100*time.Millisecond, 500*time.Millisecond)
			c.Assert(c.failures["/safe/lookup"], qt.Equals, 0)
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

// refuse makes a VM refuse a request, as another VM that has found that it crashes its servers.
func (w *harness) refuse(path string) {
	w.forwarder.config.Suspects.ImportRefused([]gladesuspect.Refused{{
		Fingerprint: fingerprintOf(path), Until: time.Now().Add(time.Minute), Servers: []string{"x", "y", "z"},
	}})
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

// A request that crashes its servers still waits at some of them when it is found out. It must be taken back, so that they
// live on.
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
		// Those of the first job, which learns of the deaths after the time of a probe.
		w.Assert(len(w.serversRun()) <= maxStreamSends, qt.IsTrue, qt.Commentf("%v", w.serversRun()))
		refused := w.forwarder.config.Suspects.Refused()
		w.Assert(refused, qt.HasLen, 1)
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

// Engines are cut off from the VM one after the other under a request that waits for its first event. The request must not be
// suspected.
func TestCutOffServersAreNoCrashes(t *testing.T) {
	runTest(t, func(w *harness) {
		for i := range 4 {
			id := fmt.Sprint("e", i)
			w.serve("llm", crashDomain(i), id, func(_ http.ResponseWriter, r *http.Request) {
				w.network.Cut(w.vm, id)
				<-r.Context().Done()
			})
		}
		w.serve("llm", "giza", "z", streamEvents(2, eventPause, nil))
		for range 4 {
			w.call(http.MethodPost, "/stream/x", nil)
		}
		w.Assert(len(w.serversRun()) > 4, qt.IsTrue)
		w.Assert(w.deaths, qt.HasLen, 0)
	})
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
		w.Assert(w.deaths, qt.HasLen, 2)
	})
}
