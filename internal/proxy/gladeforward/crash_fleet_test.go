package gladeforward

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

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
	// noticeDelay is how long a notice takes to the other VMs.
	noticeDelay = 5 * time.Millisecond
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
	// deadly are the prompt parts on which a server crashes.
	deadly map[string]bool
	// failures are the calls that were not served, by path.
	failures map[string]int
	// crashers crash the live servers, and domains are the failure domains of all servers, by identifier.
	crashers map[string]func()
	domains  map[string]string
	// cut are the VMs that are cut off from the other VMs.
	cut map[*harness]bool
	// loads is the number of loads of prompts.
	loads int
	// starts is the number of servers started.
	starts int
	// live is the number of servers that run, and fewest the smallest number since it was set.
	live, fewest int
}

// runCrashTest calls f in virtual time with VMs in the failure domains "shubra", "giza" and "helwan" in turn.
func runCrashTest(t *testing.T, vms int, f func(c *crashFleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := &crashFleet{
			C: qt.New(t), queueTime: time.Millisecond, runTime: 50 * time.Millisecond,
			crashes: map[string][]time.Time{}, sends: map[string][]time.Time{}, failures: map[string]int{},
			deadly: map[string]bool{}, cut: map[*harness]bool{}, crashers: map[string]func(){}, domains: map[string]string{},
		}
		network := &gladewire.Network{}
		for i := range vms {
			w := &harness{
				C: c.C, network: network, vm: fmt.Sprint("vm", i), domain: crashDomain(i),
				held: map[string]map[string]int{},
				suspects: gladesuspect.Config{
					MaxDeaths: 3, Window: 100 * time.Millisecond, MinGap: 30 * time.Millisecond, Progress: 2,
				},
			}
			toOthers := func(f func(*gladesuspect.Tracker)) {
				for _, o := range c.vms {
					if o != w && !c.isCut(o) && !c.isCut(w) {
						time.AfterFunc(noticeDelay, func() { f(o.forwarder.config.Suspects) })
					}
				}
			}
			w.suspects.OnHeld = func(h gladesuspect.HeldParts) {
				toOthers(func(t *gladesuspect.Tracker) { t.ImportHeld([]gladesuspect.HeldParts{h}) })
			}
			w.suspects.OnAnswered = func(a []gladesuspect.PartAnswer) {
				toOthers(func(t *gladesuspect.Tracker) { t.PartsAnsweredElsewhere(a) })
			}
			w.start()
			w.onDeath = func(d ServerDeath) {
				toOthers(func(t *gladesuspect.Tracker) { t.ServerDiedElsewhere(d.Loss()) })
			}
			c.vms = append(c.vms, w)
		}
		defer c.close()
		f(c)
	})
}

// isCut reports whether a VM is cut off from the other VMs.
func (c *crashFleet) isCut(w *harness) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[w]
}

func (c *crashFleet) close() {
	time.Sleep(30 * time.Second) // all requests and restarts are over
	for _, w := range c.vms {
		w.mu.Lock()
		closers := slices.Clone(w.closers) // servers that restart add to them
		w.mu.Unlock()
		for _, closer := range slices.Backward(closers) {
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
		delete(c.crashers, id)
		c.live--
		c.fewest = min(c.fewest, c.live)
		c.mu.Unlock()
	})
	c.mu.Lock()
	c.crashers[id] = crash
	c.domains[id] = domain
	c.mu.Unlock()
	c.vms[0].listen(id, func(rw http.ResponseWriter, r *http.Request) {
		path := c.crashKey(r)
		crashing := path != ""
		if crashing {
			c.record(c.sends, path)
		}
		select {
		case <-time.After(c.queueTime):
		case <-r.Context().Done():
			return
		}
		time.Sleep(c.runTime)
		if path = c.crashKey(r); path != "" {
			c.record(c.crashes, path)
			crash()
			abortConnection(rw, r)
		}
		if strings.HasPrefix(r.URL.Path, "/stream/") {
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

// crashKey returns the key of a crashing request in sends and crashes: its path, or the deadly part of its prompt. It returns an
// empty string for other requests.
func (c *crashFleet) crashKey(r *http.Request) string {
	if strings.Contains(r.URL.Path, "crash") {
		return r.URL.Path
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range strings.SplitSeq(r.Header.Get(testParts), ",") {
		if c.deadly[p] {
			return p
		}
	}
	return ""
}

func (c *crashFleet) record(times map[string][]time.Time, path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	times[path] = append(times[path], time.Now())
}

// crashServers crashes up to n live servers of a failure domain at once, whatever they run.
func (c *crashFleet) crashServers(domain string, n int) {
	c.mu.Lock()
	ids := slices.DeleteFunc(slices.Sorted(maps.Keys(c.crashers)), func(id string) bool { return c.domains[id] != domain })
	var crash []func()
	for _, id := range ids[:min(n, len(ids))] {
		crash = append(crash, c.crashers[id])
	}
	c.mu.Unlock()
	for _, f := range crash {
		f()
	}
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

// refuse makes a VM refuse a request, as another VM that has found that it crashes its servers.
func (w *harness) refuse(path string) {
	w.forwarder.config.Suspects.ImportRefused([]gladesuspect.Refused{{
		Fingerprint: fingerprintOf(path), Until: time.Now().Add(time.Minute), Servers: []string{"x", "y", "z"},
	}})
}
