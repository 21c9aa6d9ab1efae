package gladeforward

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

// A part is held while an engine runs a request with it for one VM, and a harmless request for another one. The run is ended, and the
// engine crashes on it all the same. Without a report of that run, the crash counts against the parts of the harmless request.
func TestCrashOfRefusedRunIsReported(t *testing.T) {
	runCrashTest(t, 2, func(c *crashFleet) {
		c.deadly["d1"] = true
		c.queueTime = 300 * time.Millisecond
		c.start("llm", crashDomain(0))
		var calls sync.WaitGroup
		for i, parts := range []string{"a,d1", "e,b"} {
			calls.Go(func() { c.vms[i].call(http.MethodPost, "/stream/"+parts, map[string]string{testParts: parts}) })
		}
		time.Sleep(c.queueTime + c.runTime/2)
		for _, w := range c.vms {
			w.hold("d1")
		}
		time.Sleep(c.runTime)
		c.mu.Lock()
		crashes := len(c.crashes["d1"])
		c.mu.Unlock()
		c.Assert(crashes, qt.Equals, 1)
		reported := slices.ContainsFunc(c.vms[0].reportedDeaths(), func(d ServerDeath) bool {
			return slices.Contains(d.Parts, gladesend.PartID("d1"))
		})
		c.Assert(reported, qt.IsTrue)
		calls.Wait()
	})
}
