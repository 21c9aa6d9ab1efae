package gladestandby

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// A VM stops while it takes a generation over from another one. The run must end, as it would otherwise go on until its
// deadline with nobody to stop it.
func TestRunStartedAfterCloseIsStopped(t *testing.T) {
	c := qt.New(t)
	s, closeService := holder(t, Config{})
	closeService()
	stopped := false
	run := &gladestream.Run{Journal: gladestream.NewJournal(generation()), Stop: func() { stopped = true }}
	s.OnStart(run)
	c.Assert(stopped, qt.IsTrue)
	c.Assert(run.Journal.Abandoned(), qt.IsTrue)
}

// A service is closed while its runs go on.  Each run must end: one whose replication noticed the close before the close had
// looked at the run was forgotten, and looked for an engine until its deadline.  That order is rare, hence the many runs and rounds.
func TestCloseStopsEveryRun(t *testing.T) {
	const (
		rounds = 100
		runs   = 200
		// settle lets the runs begin to wait for tokens; without it the test passes, but finds less.
		settle = 2 * time.Millisecond
	)
	for range rounds {
		c := qt.New(t)
		s, closeService := holder(t, Config{})
		var stopped atomic.Int64
		journals := make([]*gladestream.Journal, runs)
		for i := range journals {
			g := generation()
			g.Key = strconv.Itoa(i)
			journals[i] = gladestream.NewJournal(g)
			s.OnStart(&gladestream.Run{Journal: journals[i], Stop: func() { stopped.Add(1) }})
		}
		time.Sleep(settle)
		closeService()
		c.Assert(stopped.Load(), qt.Equals, int64(runs))
		for _, j := range journals {
			c.Assert(j.Abandoned(), qt.IsTrue)
		}
	}
}

// Two runs of one key may overlap at a VM.  The close must end the earlier one too, which the later one has replaced.
func TestCloseStopsReplacedRun(t *testing.T) {
	c := qt.New(t)
	s, closeService := holder(t, Config{})
	var stopped atomic.Int64
	for range 2 {
		s.OnStart(&gladestream.Run{Journal: gladestream.NewJournal(generation()), Stop: func() { stopped.Add(1) }})
	}
	closeService()
	c.Assert(stopped.Load(), qt.Equals, int64(2))
}
