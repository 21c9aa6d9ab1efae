package gladeforward

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
	for i := range results {
		w := c.vms[(i+load)%len(c.vms)]
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
				calls.Go(func() { sound = c.callPrompts(promptLoad{prompt.sound, 400 * time.Millisecond, 20 * time.Second}) })
				c.callPrompts(promptLoad{prompt.crashing, 250 * time.Millisecond, 20 * time.Second})
				calls.Wait()
				c.assertPartStopped("d1")
				c.assertServed("sound requests", sound, 2*crashGrace)
			})
		})
	}
}
