package gladerollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a slow version that is not found, and at last proven by its few fast answers, because its callers leave before the
// first event.
func TestAbandonedRequestsShowSlowVersion(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	r := NewRecorder("a", 1)
	for at := time.Duration(0); at < 6*time.Second; at += 50 * time.Millisecond {
		u := r.Begin("chat", "v1", "r", "old", start.Add(at))
		u.FirstEvent(start.Add(at + time.Second))
		u.End(Succeeded, 10, start.Add(at+2*time.Second))
	}
	for at := time.Duration(0); at < 2*time.Second; at += 200 * time.Millisecond { // callers leave after 4.1 s of 8
		u := r.Begin("chat", "v2", "r", "new", start.Add(at))
		u.End(Abandoned, 0, start.Add(at+4100*time.Millisecond))
	}
	in := Input{
		Rollout: orderOf("v2", 2, Status{State: InProgress, Target: "v2", DurationS: 12, Share: 0.08, From: "v1"}), Elapsed: 6500 * time.Millisecond,
		Evidence: []Evidence{r.Evidence("chat", start.Add(6500*time.Millisecond))}, TargetServers: 2, OldServers: 2, StoreCurrent: true,
		CanaryShare: 0.1, CanarySlack: 50,
	}
	c.Assert(Decide(in).Status.State, qt.Equals, Reverted)
}
