package gladerollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

func orderOf(target string, revision int64, s Status) Rollout {
	return Rollout{Service: "chat", Target: target, Duration: 12 * time.Second, Revision: revision, Status: s}
}

// Guards against an order that replaces one in progress: the servers of the unproven version would get all the requests that they
// attract, or after a return to the version in use, all requests of the service.
func TestReplacedOrderGetsNothing(t *testing.T) {
	trial := Status{State: InProgress, Target: "v2", DurationS: 12, Share: 0.08, From: "v1"}
	for _, v := range []struct {
		name, target string
		known        []Rollout
		want         gladefleet.VersionRule
	}{
		{"next version", "v3", []Rollout{orderOf("v2", 2, trial)}, gladefleet.VersionRule{Only: "v1"}},
		{"back to the version in use", "v1", []Rollout{orderOf("v2", 2, trial)}, gladefleet.VersionRule{Only: "v1"}},
		{"VM has started since", "v3", nil, gladefleet.VersionRule{Only: "v1"}},
		{"VM has started since, back", "v1", nil, gladefleet.VersionRule{Only: "v1"}},
	} {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			s := NewSelector(func() float64 { return 0 })
			if v.known != nil {
				s.Set(v.known, true)
			}
			replaced := orderOf(v.target, 3, trial)
			s.Set([]Rollout{replaced}, true)
			c.Assert(s.Choose("chat", "r", true), qt.Equals, v.want)

			// The first status of the new order names the version that was withdrawn, for VMs that start after it.
			begun := Decide(Input{Rollout: replaced, TargetServers: 2, OldServers: 2, StoreCurrent: true, CanaryShare: 0.1, CanarySlack: 50})
			next := orderOf(v.target, 4, begun.Status)
			s.Set([]Rollout{next}, true)
			c.Assert(s.Choose("chat", "r", true), qt.Equals, v.want)
			late := NewSelector(func() float64 { return 0 })
			late.Set([]Rollout{next}, true)
			c.Assert(late.Choose("chat", "r", true), qt.Equals, v.want)
		})
	}
}

// Guards against a VM that starts during an order that follows a reverted one: it would use the reverted version's servers, which
// drain for seconds.
func TestRevertedVersionStaysExcludedAfterStart(t *testing.T) {
	c := qt.New(t)
	reverted := Status{State: Reverted, Target: "v2", DurationS: 12, From: "v1"}
	begun := Decide(Input{Rollout: orderOf("v3", 3, reverted), TargetServers: 2, OldServers: 2, StoreCurrent: true, CanaryShare: 0.1, CanarySlack: 50})
	c.Assert(begun.Status.Withdrawn, qt.Equals, "v2")
	c.Assert(begun.Status.From, qt.Equals, "v1")
	s := NewSelector(func() float64 { return 0 })
	s.Set([]Rollout{orderOf("v3", 4, begun.Status)}, true)
	c.Assert(s.Choose("chat", "r", true), qt.Equals, gladefleet.VersionRule{Only: "v1"})
}

// Guards against a withdrawn version that stays excluded when it is ordered again.
func TestWithdrawnVersionOrderedAgain(t *testing.T) {
	c := qt.New(t)
	begun := Decide(Input{
		Rollout:       orderOf("v2", 5, Status{State: Reverted, Target: "v3", DurationS: 12, From: "v1", Withdrawn: "v2"}),
		TargetServers: 2, OldServers: 2, StoreCurrent: true, CanaryShare: 0.1, CanarySlack: 50,
	})
	c.Assert(begun.Status.Withdrawn, qt.Equals, "v3")
	s := NewSelector(func() float64 { return 0.99 })
	s.Set([]Rollout{orderOf("v2", 6, begun.Status)}, true)
	c.Assert(s.Choose("chat", "r", false).Only, qt.Equals, "v2")
	c.Assert(s.Choose("chat", "r", true), qt.Equals, gladefleet.VersionRule{Only: "v1"})
}

// Guards against an order that is replaced before its shares have changed once: without the old version's name, the replaced target
// would get requests.
func TestStatusNamesOldVersionAtOnce(t *testing.T) {
	c := qt.New(t)
	e := Evidence{VM: "a", Service: "chat", Versions: map[string]VersionEvidence{
		"v1": {Routes: map[string]ageCounts{"r": {0: {begun: 1}}}, Servers: serverCounts{}},
	}}
	in := Input{
		Rollout: orderOf("v2", 2, Status{State: InProgress, Target: "v2", DurationS: 12, Share: 0.08}), Elapsed: 400 * time.Millisecond,
		Evidence: []Evidence{e}, TargetServers: 2, OldServers: 2, StoreCurrent: true, CanaryShare: 0.1, CanarySlack: 50,
	}
	d := Decide(in)
	c.Assert(d.Status.From, qt.Equals, "v1")
	c.Assert(d.Status.Share, qt.Equals, 0.08)
	in.Rollout.Status = d.Status
	c.Assert(Decide(in).Reason, qt.Equals, "") // one write only
}
