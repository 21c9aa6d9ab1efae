package gladestream

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

func TestWatchdogAllowsGraceAfterProcessPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		w := newWatchdog(time.Second, func() { calls.Add(1) })
		w.deadline.Store(time.Now().Add(-time.Minute).UnixNano())
		w.fire()
		qt.Assert(t, calls.Load(), qt.Equals, int32(0))
		time.Sleep(2 * time.Second)
		qt.Assert(t, calls.Load(), qt.Equals, int32(1))
	})
}

func TestFailureTrackerAvoidsSilentDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		all := []gladeapi.BackendServer{
			{ID: "a1", FailureDomain: "a"}, {ID: "a2", FailureDomain: "a"}, {ID: "a3", FailureDomain: "a"},
			{ID: "b1", FailureDomain: "b"}, {ID: "b2", FailureDomain: "b"},
		}
		servers := func() []gladeapi.BackendServer { return all }
		var x failureTracker
		x.recordToken(&all[0], time.Now())
		time.Sleep(time.Millisecond)
		x.recordFailure(&all[0])
		c.Assert(x.enginesToAvoid(servers), qt.DeepEquals, []string{"a1"})
		x.recordFailure(&all[1])
		c.Assert(x.enginesToAvoid(servers), qt.Contains, "a3")
		c.Assert(x.enginesToAvoid(servers), qt.Not(qt.Contains), "b1")
		time.Sleep(time.Millisecond)
		x.recordToken(&all[2], time.Now())
		c.Assert(x.enginesToAvoid(servers), qt.Not(qt.Contains), "a3")
		x.recordToken(&all[0], time.Now())
		c.Assert(x.enginesToAvoid(servers), qt.DeepEquals, []string{"a2"})
		time.Sleep(2 * avoidTime)
		c.Assert(x.enginesToAvoid(servers), qt.HasLen, 0)
	})
}
