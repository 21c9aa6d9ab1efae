package gladeforward

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

const (
	// partCrashes is the number of crashes on a part after which, and crashGrace, few requests with it may be sent.
	partCrashes = 5
	// promptTime is how long an engine of the test reads a prompt.
	promptTime = time.Second
)

// promptLoad is a series of requests with the same parts, each with a path of its own. "#" in a part stands for the number of
// the request.
type promptLoad struct {
	parts           string
	interval, total time.Duration
	// vms are the VMs that receive the load; none means all.
	vms []*harness
}

// promptResult is what came of one request of a load.
type promptResult struct {
	sentAt time.Time
	status int
}

// callPrompts sends a load to the VMs in turn and returns what came of it once all requests have ended.
func (c *crashFleet) callPrompts(l promptLoad) []promptResult {
	var calls sync.WaitGroup
	results := make([]promptResult, int(l.total/l.interval))
	c.mu.Lock()
	c.loads++
	load := c.loads
	c.mu.Unlock()
	vms := l.vms
	if len(vms) == 0 {
		vms = c.vms
	}
	for i := range results {
		w := vms[(i+load)%len(vms)]
		results[i].sentAt = time.Now()
		calls.Go(func() {
			results[i].status = w.call(http.MethodPost, fmt.Sprintf("/stream/prompt%d-%d", load, i), map[string]string{
				testID: fmt.Sprintf("prompt%d-%d", load, i), testParts: strings.ReplaceAll(l.parts, "#", fmt.Sprintf("%x", 0xabc000+i)),
			}).status
		})
		time.Sleep(l.interval)
	}
	calls.Wait()
	return results
}

// startEngines starts engines in all failure domains, which take promptTime before they answer.
func (c *crashFleet) startEngines(n int) {
	c.queueTime = promptTime
	for i := range n {
		c.start("llm", crashDomain(i))
	}
}

// assertPartStopped checks that few requests with a part reached engines after the crashes on it.
func (c *crashFleet) assertPartStopped(part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashes := c.crashes[part]
	c.Assert(len(crashes) > 0, qt.IsTrue, qt.Commentf("no crash on %s", part))
	late := 0
	for _, at := range c.sends[part] {
		if at.Sub(crashes[min(partCrashes, len(crashes))-1]) > crashGrace {
			late++
		}
	}
	c.Assert(late <= maxLateSends, qt.IsTrue, qt.Commentf("%s: %d late sends, %d crashes", part, late, len(crashes)))
	c.Logf("part %s: %d crashes, %d late sends", part, len(crashes), late)
}

// assertServed checks that all requests of a load were served, of those sent later than after the start of the load.
func (c *crashFleet) assertServed(name string, results []promptResult, after time.Duration) {
	failed, n := 0, 0
	for _, r := range results {
		if r.sentAt.Sub(results[0].sentAt) < after {
			continue
		}
		n++
		if r.status != http.StatusOK {
			failed++
		}
	}
	c.Assert(failed, qt.Equals, 0, qt.Commentf("%s: %d of %d not served", name, failed, n))
}

// Requests that share one part of their prompts, and no two of which are alike, crash the engines that answer them. They must be
// refused after a few crashes, wherever the part is, and requests that share all but that part must be served.
func TestPartThatCrashesServersIsRefused(t *testing.T) {
	for name, prompt := range map[string]struct{ crashing, sound string }{
		"first":             {"d1,b,#", "b,#"},
		"between":           {"a,d1,b", "a,b"},
		"last but one":      {"a,#,d1", "a,#"},
		"with its own only": {"#,d1", "#"},
		"on its own":        {"d1", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			runCrashTest(t, 6, func(c *crashFleet) {
				c.deadly["d1"] = true
				c.startEngines(36)
				var sound []promptResult
				var calls sync.WaitGroup
				calls.Go(func() {
					sound = c.callPrompts(promptLoad{parts: prompt.sound, interval: 400 * time.Millisecond, total: 20 * time.Second})
				})
				c.callPrompts(promptLoad{parts: prompt.crashing, interval: 250 * time.Millisecond, total: 20 * time.Second})
				calls.Wait()
				c.assertPartStopped("d1")
				c.assertServed("sound requests", sound, 2*crashGrace)
			})
		})
	}
}

// prompts are loads that run at the same time.
type prompts struct {
	*crashFleet
	tasks sync.WaitGroup
	mu    sync.Mutex
	// sound are the results of the loads that must be served, by their parts.
	sound map[string][]promptResult
}

// callSound sends a load that must be served in the background.
func (p *prompts) callSound(parts string, interval, total time.Duration) {
	p.tasks.Go(func() {
		results := p.callPrompts(promptLoad{parts: parts, interval: interval, total: total})
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sound[parts] = results
	})
}

// callCrashing sends a load that crashes its engines in the background.
func (p *prompts) callCrashing(l promptLoad) { p.tasks.Go(func() { p.callPrompts(l) }) }

// finish waits for the loads and checks that the sound ones were served from a time on, and that only deadly parts are held.
func (p *prompts) finish(after time.Duration) {
	p.tasks.Wait()
	for parts, results := range p.sound {
		p.assertServed(parts, results, after)
	}
	for _, w := range p.vms {
		for _, h := range w.forwarder.config.Suspects.Held() {
			deadly := false
			for part := range p.deadly {
				deadly = deadly || slices.Contains(h.Parts, gladesend.PartID(part))
			}
			p.Assert(deadly, qt.IsTrue, qt.Commentf("%s holds %s", w.vm, gladesuspect.FormatParts(h.Parts)))
		}
	}
}

// runPromptTest calls f with VMs and 36 engines that crash on the deadly parts.
func runPromptTest(t *testing.T, vms int, deadly []string, f func(p *prompts)) {
	runCrashTest(t, vms, func(c *crashFleet) {
		for _, d := range deadly {
			c.deadly[d] = true
		}
		c.startEngines(36)
		f(&prompts{crashFleet: c, sound: map[string][]promptResult{}})
	})
}

// Several parts crash engines at the same time, in requests with the same first part as sound ones. Each must be stopped, and the first
// part must not be held.
func TestSeveralDeadlyPartsAreStopped(t *testing.T) {
	runPromptTest(t, 15, []string{"d1", "d2", "d3", "d4"}, func(p *prompts) {
		for d := range p.deadly {
			p.callCrashing(promptLoad{parts: "a," + d + ",b", interval: 600 * time.Millisecond, total: 20 * time.Second})
		}
		p.callSound("a,b", 300*time.Millisecond, 20*time.Second)
		p.callSound("a,#", 300*time.Millisecond, 20*time.Second)
		p.finish(2 * crashGrace)
		for d := range p.deadly {
			p.assertPartStopped(d)
		}
	})
}

// Very many requests with a deadly part are under way at all VMs when the fifth engine crashes. Those that have not begun must be ended,
// and no more than a few may be sent later.
func TestRequestsUnderWayAreStopped(t *testing.T) {
	runPromptTest(t, 15, []string{"d1"}, func(p *prompts) {
		p.callSound("a,#", 250*time.Millisecond, 20*time.Second)
		p.callCrashing(promptLoad{parts: "a,d1,#", interval: 20 * time.Millisecond, total: 20 * time.Second})
		p.finish(2 * crashGrace)
		p.assertPartStopped("d1")
	})
}

// Requests with a part ran well until engines began to crash on it. It must be stopped all the same.
func TestPartThatRanWellBeforeIsStopped(t *testing.T) {
	runPromptTest(t, 6, nil, func(p *prompts) {
		p.callCrashing(promptLoad{parts: "a,d1,b", interval: 250 * time.Millisecond, total: 30 * time.Second})
		p.callSound("a,b", 250*time.Millisecond, 30*time.Second)
		time.Sleep(8 * time.Second)
		p.crashFleet.mu.Lock()
		p.deadly["d1"] = true
		p.crashFleet.mu.Unlock()
		p.finish(8*time.Second + 2*crashGrace)
		p.assertPartStopped("d1")
	})
}

// A failure domain's engines are lost, and others crash one after the other, while engines crash on a part. The part must be stopped,
// and no other one may be held.
func TestDeadlyPartIsStoppedBesideOtherCrashes(t *testing.T) {
	runPromptTest(t, 6, []string{"d1"}, func(p *prompts) {
		p.callCrashing(promptLoad{parts: "a,d1,#", interval: 300 * time.Millisecond, total: 20 * time.Second})
		p.callSound("a,c,#", 200*time.Millisecond, 20*time.Second)
		p.callSound("e,#", 200*time.Millisecond, 20*time.Second)
		time.Sleep(1500 * time.Millisecond)
		p.crashServers(crashDomain(0), 12)
		for range 8 {
			time.Sleep(700 * time.Millisecond)
			p.crashServers(crashDomain(1), 1)
		}
		p.finish(4 * crashGrace)
		p.assertPartStopped("d1")
	})
}

// A VM that is cut off from the others has only its own crashes to go by. It must stop the part too.
func TestCutOffVMStopsDeadlyPart(t *testing.T) {
	runPromptTest(t, 6, []string{"d1"}, func(p *prompts) {
		alone := p.vms[0]
		p.crashFleet.mu.Lock()
		p.cut[alone] = true
		p.crashFleet.mu.Unlock()
		p.callCrashing(promptLoad{parts: "a,d1,#", interval: 400 * time.Millisecond, total: 20 * time.Second, vms: p.vms[:1]})
		p.callSound("a,#", 400*time.Millisecond, 20*time.Second)
		p.finish(2 * crashGrace)
		p.assertPartStopped("d1")
	})
}

// A request with a deadly part waits for room, and another one is queued at an engine, when another VM holds the part. Neither may go on.
func TestHeldPartStopsWaitingAndQueuedRequests(t *testing.T) {
	runTest(t, func(w *harness) {
		w.engine.Copies, w.engine.KVTokens = false, oneRunTokens
		w.serve("llm", "shubra", "a", waitForCancel)
		for i := range w.forwarder.config.Release().Routes {
			w.forwarder.config.Release().Routes[i].Target = 5 * time.Second
		}
		statuses := make(chan int, 2)
		for _, path := range []string{"/stream/queued", "/stream/waiting"} {
			go func() { statuses <- w.call(http.MethodPost, path, map[string]string{testParts: "a,d1"}).status }()
			time.Sleep(50 * time.Millisecond)
		}
		w.hold("d1")
		got := []int{<-statuses, <-statuses}
		slices.Sort(got)
		w.Assert(got, qt.DeepEquals, []int{http.StatusBadGateway, http.StatusServiceUnavailable})
		w.Assert(w.serversRun(), qt.HasLen, 1)
		w.Assert(w.run(0).canceled, qt.IsTrue)
	})
}

// A generation with a part has begun when the part is held, and its engine crashes. It must not go on at another engine, from a copy or
// without one.
func TestHeldPartStopsResumedRun(t *testing.T) {
	for _, copies := range []bool{true, false} {
		runTest(t, func(w *harness) {
			w.engine.Copies = copies
			for i := range 4 {
				id := fmt.Sprint("e", i)
				w.serve("llm", crashDomain(i), id, streamEvents(10, eventPause, func(http.ResponseWriter, *http.Request) {
					w.hold("d1")
					w.network.Kill(id)
				}))
			}
			w.call(http.MethodPost, "/stream/x", map[string]string{testParts: "a,d1"})
			w.Assert(w.serversRun(), qt.HasLen, 1)
		})
	}
}

// A request is refused for the parts of its prompt. It has not run, and its caller is told when the next trial is due.
func TestHeldPartIsRefusedWithRetryAfter(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(3, eventPause, nil))
		w.hold("d1")
		r := w.call(http.MethodPost, "/stream/x", map[string]string{testParts: "a,d1"})
		w.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		w.Assert(err, qt.IsNil)
		w.Assert(after > 5 && after <= 6, qt.IsTrue, qt.Commentf("%v", after))
		w.Assert(w.serversRun(), qt.HasLen, 0)
		time.Sleep(time.Duration(after * float64(time.Second)))
		w.Assert(w.call(http.MethodPost, "/stream/y", map[string]string{testParts: "a,d1"}).body, qt.Equals, eventText(1, 3))
		w.Assert(w.call(http.MethodPost, "/stream/z", map[string]string{testParts: "a,d1"}).body, qt.Equals, eventText(1, 3))
	})
}

// hold makes a VM refuse requests with a part, as another VM that has found that engines crash on it.
func (w *harness) hold(part string) {
	w.forwarder.config.Suspects.ImportHeld([]gladesuspect.HeldParts{{
		ID: 1, Parts: []uint64{gladesend.PartID(part)}, Until: time.Now().Add(time.Minute), Deaths: 3,
	}})
}
