package gladestandby

import (
	"testing"

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
