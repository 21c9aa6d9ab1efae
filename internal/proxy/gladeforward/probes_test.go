package gladeforward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

// Guards against a connection for each request that is slow in a burst, and against a server that is not probed although others of its
// failure domain failed after its last probe.
func TestProbesOfOneServerAreLimited(t *testing.T) {
	c := qt.New(t)
	l := probeLimiter{last: map[probeKey]time.Time{}}
	start := time.Unix(1000, 0)
	allowed := 0
	for ms := range 3000 {
		if l.allow("a", probeSilent, start.Add(time.Duration(ms)*time.Millisecond)) {
			allowed++
		}
	}
	c.Assert(allowed, qt.Equals, 3)
	now := start.Add(2500 * time.Millisecond)
	c.Assert(l.allow("b", probeSilent, now), qt.IsTrue)
	c.Assert(l.allow("a", probeDoubtful, now), qt.IsTrue)
	c.Assert(l.allow("a", probeDoubtful, now.Add(100*time.Millisecond)), qt.IsFalse)
	for range 3 { // a lost answer is looked into at once
		c.Assert(l.allow("a", probeDue, now), qt.IsTrue)
	}
	for n := range 2000 { // the servers of a large deployment over time
		l.allow(fmt.Sprint(n), probeSilent, start.Add(time.Duration(n)*100*time.Millisecond))
	}
	c.Assert(len(l.last) <= maxProbeTimes, qt.IsTrue, qt.Commentf("%d times", len(l.last)))
}

// Guards against probes of a plain server that answers other requests, and against a silent one that is never probed because another
// request had it probed just before.
func TestSlowPlainRequestsCauseFewProbes(t *testing.T) {
	for name, test := range map[string]struct {
		answers bool
		atLeast int64
		atMost  int64
	}{
		"others are answered": {true, 0, 0},
		"all are silent":      {false, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(w *harness) {
				w.serve("web", "shubra", "a", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
				w.fleet.RecordLoad("a", gladefleet.LoadReport{Running: 1, Slots: 4, WorkPercent: 100}, time.Now())
				server, _ := w.fleet.Server("a")
				w.fleet.MarkAnswered("a", time.Now(), time.Now())
				j := &job{Forwarder: w.forwarder, service: "web"}
				var stops []func()
				for range 20 { // each waits for 1.5 s
					stops = append(stops, j.watchSilence(&gladefleet.Reservation{Server: server}))
					time.Sleep(minSilence / 2)
					if test.answers {
						w.fleet.MarkAnswered("a", time.Now(), time.Now())
					}
				}
				for _, stop := range stops {
					stop()
				}
				probes := metrics.GetOrRegisterCounter("probes", w.forwarder.config.Metrics).Count()
				w.Logf("%d probes", probes)
				w.Assert(probes >= test.atLeast && probes <= test.atMost, qt.IsTrue, qt.Commentf("%d probes", probes))
			})
		})
	}
}

// Guards against a limit on probes where servers do not report how long work takes: crashed servers were found out later there, and
// the trouble days of two deployments were worth 0.02 less.
func TestProbesAreLimitedOnlyWithReports(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("web", "shubra", "a", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
		server, _ := w.fleet.Server("a")
		probe := func() bool {
			defer time.Sleep(100 * time.Millisecond) // until it has ended
			return w.forwarder.probe(server, probeSilent)
		}
		for range 3 {
			w.Assert(probe(), qt.IsTrue)
		}
		w.fleet.RecordLoad("a", gladefleet.LoadReport{Running: 1, Slots: 4, WorkPercent: 100}, time.Now())
		w.Assert(probe(), qt.IsTrue)
		w.Assert(probe(), qt.IsFalse)
	})
}
