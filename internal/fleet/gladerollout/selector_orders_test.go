package gladerollout

import (
	"fmt"
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

// Guards against a bad version that passes because the failures of versions withdrawn shortly before count as those of the old one.
func TestWithdrawnVersionsAreNoReference(t *testing.T) {
	for _, k := range []struct {
		name, from, withdrawn string
		earlier               []string
	}{
		{"after one order", "", "v2", []string{"v2"}},
		{"after two orders", "v1", "v3", []string{"v2", "v3"}},
		{"old version not seen lately", "v0", "v2", []string{"v2"}},
	} {
		t.Run(k.name, func(t *testing.T) {
			c, now := qt.New(t), origin.Add(20*time.Second)
			r := NewRecorder("vm", 1)
			send := func(version string, after time.Duration, requests, failed int) {
				for i := range requests {
					u := r.Begin("chat", version, "r", fmt.Sprint(version, "-", i%5), origin.Add(after))
					if i < failed {
						u.End(Failed, 0, origin.Add(after+100*time.Millisecond))
					} else {
						u.End(Succeeded, 0, origin.Add(after+100*time.Millisecond))
					}
				}
			}
			for i, version := range k.earlier {
				send(version, time.Duration(i)*4*time.Second, 60, 40)
			}
			send("v1", 6*time.Second, 40, 0)
			send("v1", 17*time.Second, 8, 0)
			send("v4", 17*time.Second, 20, 10)
			in := Input{
				Rollout: orderOf("v4", 3, Status{
					State: InProgress, Target: "v4", DurationS: 12, Share: 0.08, From: k.from, Withdrawn: k.withdrawn,
				}),
				Evidence: []Evidence{r.Evidence("chat", now)}, Elapsed: 5 * time.Second, TargetServers: 5, OldServers: 5, StoreCurrent: true,
				CanaryShare: 0.1, CanarySlack: 50,
			}
			d := Decide(in)
			c.Assert(d.Status.State, qt.Equals, Reverted, qt.Commentf("%+v", d))
			s := sum(in.Evidence, in.Rollout)
			c.Assert(s.from, qt.Equals, "v1")
			_, all := s.exposure(window)
			c.Assert(all, qt.Equals, 60*len(k.earlier)+68)
		})
	}
}

// Guards against a target on trial that gets all requests because it was taken for the version in use.
func TestVersionInUse(t *testing.T) {
	for _, k := range []struct {
		name, inUse string
		order       Rollout
		want        gladefleet.VersionRule
	}{
		{"the target", "v2", orderOf("v2", 1, Status{}), gladefleet.VersionRule{Only: "v2", Fallback: true}},
		{"the target, claimed", "v2", orderOf("v2", 1, Status{State: InProgress, Target: "v2", DurationS: 12}), gladefleet.VersionRule{Except: "v2"}},
		{"another one", "v1", orderOf("v2", 1, Status{}), gladefleet.VersionRule{Except: "v2"}},
		{"not known", "", orderOf("v2", 1, Status{}), gladefleet.VersionRule{Except: "v2"}},
		{"named by the status", "v2", orderOf("v2", 1, Status{State: Reverted, Target: "v3", DurationS: 12, From: "v1"}), gladefleet.VersionRule{Only: "v1"}},
		{"withdrawn before", "v2", orderOf("v2", 1, Status{State: Reverted, Target: "v2", DurationS: 9}), gladefleet.VersionRule{Except: "v2"}},
	} {
		t.Run(k.name, func(t *testing.T) {
			s := NewSelector(func() float64 { return 0 })
			s.SetInUse("chat", k.inUse)
			s.Set([]Rollout{k.order}, true)
			qt.Assert(t, s.Choose("chat", "r", true), qt.Equals, k.want)
		})
	}
}
