package gladequota

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

func bubble(t *testing.T, test func(c *qt.C)) {
	synctest.Test(t, func(t *testing.T) { test(qt.New(t)) })
}

// Guards against shares of a limit that are rounded for each VM: below one request a VM, rounding up breaks the limit and
// rounding down leaves the server idle.
func TestLimitHoldsForAnyNumberOfVMs(t *testing.T) {
	for _, vms := range []int{1, 2, 15, 320} {
		for _, limit := range []float64{0.5, 3, 6.3, 50} {
			t.Run(fmt.Sprintf("%d VMs, %g a second", vms, limit), func(t *testing.T) {
				run(t, vms, func(f *testFleet) {
					s := newServer(text(limit))
					began := time.Now()
					f.demand(s, max(70, 3*limit), contact+20*time.Second, f.anyVM)
					f.checkUse(s, limit, began.Add(contact))
				})
			})
		}
	}
}

// Guards against shares that stay with VMs without demand: the whole demand sits at one VM, and moves to another.
func TestLimitFollowsDemand(t *testing.T) {
	run(t, 15, func(f *testFleet) {
		s := newServer("6.3")
		began := time.Now()
		for i := range 5 {
			moved := time.Now()
			f.demand(s, 30, 5*time.Second, func() string { return f.names[(7*i+3)%15] })
			f.checkUse(s, 6.3, latest(moved.Add(time.Second), began.Add(contact)))
		}
		f.Check(s.most(began.Add(contact)) <= allowed(6.3), qt.IsTrue)
	})
}

// Guards against bursts and retry storms that exceed a limit while the VMs do not know of each other's sends.
func TestLimitHoldsInBursts(t *testing.T) {
	run(t, 40, func(f *testFleet) {
		s := newServer("2")
		began := time.Now()
		f.demand(s, 20, contact, f.anyVM)
		for range 10 {
			var all sync.WaitGroup
			for range 400 {
				vm := f.anyVM()
				all.Go(func() { _ = f.request(vm, s, Request{}) })
			}
			all.Wait()
			time.Sleep(time.Second)
		}
		f.checkUse(s, 2, began.Add(contact))
	})
}

// A limit that is lowered, raised and ended is followed, and the end is noticed without any demand.
func TestChangedLimitIsFollowed(t *testing.T) {
	run(t, 15, func(f *testFleet) {
		s := newServer("6")
		f.checks[s.ID] = s
		f.demand(s, 70, contact+window, f.anyVM)
		for _, limit := range []float64{1, 12, 0.5, 5} {
			s.name(text(limit))
			f.demand(s, 70, contact, f.anyVM)
			from := time.Now()
			f.demand(s, 70, 3*window, f.anyVM)
			f.checkUse(s, limit, from)
		}
		s.name()
		time.Sleep(checkAfter + checkAfter + time.Second)
		for _, vm := range f.names {
			f.Check(f.pool(vm).Limited(s.Server), qt.IsFalse, qt.Commentf("%s", vm))
		}
		from := time.Now()
		f.demand(s, 70, window, f.anyVM)
		f.Check(s.between(from, time.Now()) > 200, qt.IsTrue)
	})
}

// Guards against a limit of zero that never ends, since no request goes there whose answer could say so.
func TestEndOfZeroLimitIsNoticed(t *testing.T) {
	run(t, 15, func(f *testFleet) {
		s := newServer("0")
		f.checks[s.ID] = s
		began := time.Now()
		f.demand(s, 70, contact+10*time.Second, f.anyVM)
		f.Check(s.most(began.Add(contact)) <= allowed(0), qt.IsTrue)
		s.name()
		ended := time.Now()
		f.demand(s, 70, 2*checkAfter, f.anyVM)
		f.Check(s.between(ended, time.Now()) > 100, qt.IsTrue)
	})
}

// A limit that cannot be used neither ends one that was named before nor begins one.
func TestUnusableLimitsSayNothing(t *testing.T) {
	run(t, 3, func(f *testFleet) {
		s := newServer("many")
		f.demand(s, 70, time.Second, f.anyVM)
		f.Check(f.pool("vm-000").Limited(s.Server), qt.IsFalse)
		s.name("2")
		f.demand(s, 70, time.Second, f.anyVM)
		s.name("-5")
		began := time.Now()
		f.demand(s, 70, 10*time.Second, f.anyVM)
		f.checkUse(s, 2, began.Add(contact))
	})
}

// Guards against a limit that outlives its process: one that starts again under the same identifier has named nothing.
func TestNewProcessHasNamedNothing(t *testing.T) {
	run(t, 5, func(f *testFleet) {
		s := newServer("1")
		f.demand(s, 70, contact, f.anyVM)
		f.Check(f.pool("vm-003").Limited(s.Server), qt.IsTrue)
		time.Sleep(time.Second)
		s.Started = time.Now().UnixMilli()
		s.name()
		f.Check(f.pool("vm-003").Limited(s.Server), qt.IsFalse)
		from := time.Now()
		f.demand(s, 70, window, f.anyVM)
		f.Check(s.between(from, time.Now()) > 250, qt.IsTrue)
	})
}

// A limit that a new process names before the VMs know of the restart holds for the new process.
func TestLimitOfNewProcessSurvivesItsListing(t *testing.T) {
	run(t, 5, func(f *testFleet) {
		s := newServer("1")
		f.demand(s, 70, contact, f.anyVM)
		started := time.Now().UnixMilli()
		time.Sleep(2 * time.Second)
		f.demand(s, 70, contact, f.anyVM)
		s.Started = started
		began := time.Now()
		f.demand(s, 70, 3*window, f.anyVM)
		f.checkUse(s, 1, began)
	})
}

// Guards against VMs that send without bound when the coordinator is lost, and against a rush when another one takes over.
func TestLimitHoldsWhileCoordinatorsAreLost(t *testing.T) {
	run(t, 9, func(f *testFleet) {
		s := newServer("3")
		began := time.Now()
		var all sync.WaitGroup
		all.Go(func() { f.demand(s, 70, 40*time.Second, f.anyVM) })
		time.Sleep(contact)
		for i := range 4 {
			f.stop(f.names[i])
			time.Sleep(4 * time.Second) // membership notices
			f.setLinks(func(string) []string { return f.names[i+1:] }, f.allConnected)
			time.Sleep(3 * time.Second)
		}
		all.Wait()
		got := s.most(began.Add(contact))
		f.Check(got <= allowed(3), qt.IsTrue, qt.Commentf("%d requests in %s", got, window))
		f.Check(s.between(began.Add(35*time.Second), began.Add(40*time.Second)) > 10, qt.IsTrue)
	})
}

// Guards against VMs that each take the whole limit for themselves while they are cut off from the others.
func TestVMsWithoutWordSendHalfTheLimitTogether(t *testing.T) {
	for _, vms := range []int{3, 15, 320} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			run(t, vms, func(f *testFleet) {
				s := newServer("6")
				f.demand(s, 70, contact, f.anyVM)
				f.setLinks(func(vm string) []string { return []string{vm} }, func(a, b string) bool { return a == b })
				cut := time.Now()
				f.demand(s, 70, 20*time.Second, f.anyVM)
				got := s.between(cut, time.Now())
				f.Check(got <= int(fallbackShare*6*20)+5, qt.IsTrue, qt.Commentf("%d requests in 20 s", got))
				f.Check(s.most(cut) <= allowed(6), qt.IsTrue)
			})
		})
	}
}

// The larger side of a cut goes on with the whole limit, the other VMs with their shares of half of it.
func TestLimitHoldsAcrossCuts(t *testing.T) {
	run(t, 9, func(f *testFleet) {
		s := newServer("3")
		began := time.Now()
		f.demand(s, 70, contact, f.anyVM)
		side := func(vm string) bool { return vm < "vm-004" }
		f.setLinks(func(vm string) []string {
			if side(vm) {
				return f.names[:4]
			}
			return f.names[4:]
		}, func(a, b string) bool { return side(a) == side(b) })
		f.demand(s, 70, 20*time.Second, f.anyVM)
		f.checkUse(s, 3, began.Add(contact))
	})
}

// A coordinator that is frozen delays the others once, and grants nothing for the time of its freeze afterwards.
func TestFrozenCoordinatorDelaysOnce(t *testing.T) {
	run(t, 9, func(f *testFleet) {
		s := newServer("3")
		began := time.Now()
		f.demand(s, 70, contact, f.anyVM)
		f.freeze("vm-000", true)
		var slowest time.Duration
		for range 20 {
			asked := time.Now()
			_ = f.request("vm-005", s, Request{})
			slowest = max(slowest, time.Since(asked))
			time.Sleep(10 * time.Millisecond)
		}
		f.Check(slowest <= askTimeout+time.Second/10, qt.IsTrue, qt.Commentf("%s", slowest))
		f.demand(s, 70, 10*time.Second, f.anyVM)
		f.freeze("vm-000", false)
		f.demand(s, 70, 10*time.Second, f.anyVM)
		f.Check(s.most(began.Add(contact)) <= allowed(3), qt.IsTrue)
	})
}

// VMs that start know nothing of a limit; they must not end it for the others, and keep it once they know it.
func TestVMsThatStartKeepLimits(t *testing.T) {
	run(t, 15, func(f *testFleet) {
		s := newServer("6.3")
		began := time.Now()
		var all sync.WaitGroup
		all.Go(func() { f.demand(s, 70, 30*time.Second, f.anyVM) })
		time.Sleep(contact)
		for i := range 15 { // the coordinator included
			var published []Notice
			for _, vm := range f.names {
				if p := f.pool(vm); p != nil {
					published = append(published, p.Published()...)
				}
			}
			f.start(f.names[i])
			f.pool(f.names[i]).Import(published)
			time.Sleep(1500 * time.Millisecond)
		}
		all.Wait()
		f.checkUse(s, 6.3, began.Add(contact))
	})
}

// Guards against less urgent requests that use up what more urgent ones need at other VMs.
func TestUrgentRequestsGoFirst(t *testing.T) {
	run(t, 9, func(f *testFleet) {
		s := newServer("6")
		f.demand(s, 70, contact, f.anyVM)
		served := countServed(f, s, []Request{{Rank: 1}, {Rank: 9}}, []float64{5, 40})
		f.Check(served[0] >= 0.7*5, qt.IsTrue, qt.Commentf("%.2f of 5 urgent requests a second", served[0]))
	})
}

// Guards against an organisation with many requests that leaves nothing to the others.
func TestOrganisationsShareLimitsFairly(t *testing.T) {
	run(t, 9, func(f *testFleet) {
		s := newServer("6")
		f.demand(s, 70, contact, f.anyVM)
		served := countServed(f, s, []Request{{Organisation: "large"}, {Organisation: "small"}}, []float64{60, 2.5})
		f.Check(served[1] >= 0.7*2.5, qt.IsTrue, qt.Commentf("%.2f of 2.5 a second", served[1]))
		f.Check(served[0]+served[1] >= minUse*6, qt.IsTrue, qt.Commentf("%.2f and %.2f", served[0], served[1]))
	})
}

// countServed sends kinds of requests at their rates for a while and returns how many of each were granted, per second.
func countServed(f *testFleet, s *testServer, kinds []Request, perSecond []float64) []float64 {
	const lasts = 20 * time.Second
	served := make([]float64, len(kinds))
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, r := range kinds {
		all.Go(func() {
			var requests sync.WaitGroup
			for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(time.Duration(float64(time.Second) / perSecond[i])) {
				vm := f.anyVM()
				requests.Go(func() {
					if f.request(vm, s, r) == nil {
						mu.Lock()
						served[i] += 1 / lasts.Seconds()
						mu.Unlock()
					}
				})
			}
			requests.Wait()
		})
	}
	all.Wait()
	return served
}

// Refused callers are told times at which there is room for them one after the other, not the same time.
func TestRetryAfterSpreadsCallers(t *testing.T) {
	run(t, 5, func(f *testFleet) {
		s := newServer("4")
		f.demand(s, 70, contact, f.anyVM)
		began := time.Now()
		var due []time.Duration
		for range 20 {
			err := f.request(f.anyVM(), s, Request{Final: true})
			var denied *DeniedError
			if errors.As(err, &denied) {
				due = append(due, time.Since(began)+denied.RetryAfter)
			}
		}
		f.Assert(len(due) >= 15, qt.IsTrue)
		for i := 1; i < len(due); i++ {
			gap := due[i] - due[i-1]
			f.Check(gap >= 150*time.Millisecond && gap <= 350*time.Millisecond, qt.IsTrue, qt.Commentf("%s after the one before", gap))
		}
		// Those who come back as told are served.
		served := 0
		for _, d := range due {
			time.Sleep(d - time.Since(began) + 2*linkDelay)
			if f.request(f.anyVM(), s, Request{Final: true}) == nil {
				served++
			}
		}
		f.Check(served >= len(due)-1, qt.IsTrue, qt.Commentf("%d of %d", served, len(due)))
	})
}

// A limit of nothing, or far more callers than it allows, gives times that are bounded and differ.
func TestRetryAfterIsBounded(t *testing.T) {
	run(t, 3, func(f *testFleet) {
		s := newServer("0")
		f.demand(s, 70, time.Second, f.anyVM)
		seen := map[time.Duration]bool{}
		for range 50 {
			var denied *DeniedError
			f.Assert(errors.As(f.request("vm-001", s, Request{Final: true}), &denied), qt.IsTrue)
			f.Check(denied.RetryAfter > 0 && denied.RetryAfter <= maxRetryAfter, qt.IsTrue)
			seen[denied.RetryAfter] = true
		}
		f.Check(len(seen) > 40, qt.IsTrue)
	})
}

// Resumed generations may use requests in advance, within the bound; repeats leave the last one to first sends.
func TestResumedAndRepeatedRequests(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newBucket(now)
	granted := func(r Request) bool {
		ok, _ := b.take(r, 1, now)
		return ok
	}
	c.Check(granted(Request{}), qt.IsFalse)
	c.Check(granted(Request{Resumed: true}), qt.IsTrue)
	c.Check(granted(Request{Resumed: true}), qt.IsTrue)
	c.Check(granted(Request{Resumed: true}), qt.IsFalse)
	now = now.Add(3500 * time.Millisecond)
	c.Check(granted(Request{Repeat: true}), qt.IsFalse)
	c.Check(granted(Request{}), qt.IsTrue)
	now = now.Add(10 * time.Second)
	c.Check(granted(Request{Repeat: true}), qt.IsTrue)
	c.Check(granted(Request{Repeat: true}), qt.IsFalse)
}

// Requests that reach a server without a grant count against its limit.
func TestSentRequestsCount(t *testing.T) {
	run(t, 3, func(f *testFleet) {
		s := newServer("2")
		f.demand(s, 20, 5*time.Second, f.anyVM)
		time.Sleep(5 * time.Second)
		for range 4 {
			f.pool("vm-002").Sent(s.Server)
		}
		f.Check(f.request("vm-001", s, Request{}), qt.ErrorIs, ErrLimited)
		time.Sleep(2 * time.Second)
		f.Check(f.request("vm-001", s, Request{}), qt.IsNil)
	})
}

// Guards against a limit of zero that leaves a debt of health checks, or promises far ahead, when it is raised.
func TestRaisedLimitTakesEffectSoon(t *testing.T) {
	run(t, 3, func(f *testFleet) {
		s := newServer("0")
		f.checks[s.ID] = s
		f.demand(s, 70, time.Second, f.anyVM)
		for range 50 {
			_ = f.request("vm-001", s, Request{Final: true})
		}
		time.Sleep(time.Minute)
		s.name("5")
		time.Sleep(checkAfter + time.Second)
		f.demand(s, 70, 2*time.Second, f.anyVM)
		var denied *DeniedError
		if errors.As(f.request("vm-001", s, Request{Final: true}), &denied) {
			f.Check(denied.RetryAfter < time.Second, qt.IsTrue, qt.Commentf("%s", denied.RetryAfter))
		}
		from := time.Now()
		f.demand(s, 70, window, f.anyVM)
		f.checkUse(s, 5, from)
	})
}

// Nothing is sent to other VMs while no server names a limit, and a change costs one message for each VM.
func TestMessagesGrowWithVMsOnly(t *testing.T) {
	for _, vms := range []int{40, 320} {
		run(t, vms, func(f *testFleet) {
			s := newServer()
			f.demand(s, 200, 5*time.Second, f.anyVM)
			f.Check(f.messages.Load(), qt.Equals, int64(0))
			s.name("2")
			f.demand(s, 1, 5*time.Second, f.anyVM)
			// A notice for each VM, and a few questions of those with requests.
			f.Check(f.messages.Load() <= int64(vms)+20, qt.IsTrue, qt.Commentf("%d messages for %d VMs", f.messages.Load(), vms))
		})
	}
}

// The state and its counts tell who coordinates what.
func TestStatesNameCoordinators(t *testing.T) {
	run(t, 3, func(f *testFleet) {
		s := newServer("2")
		f.demand(s, 20, time.Second, f.anyVM)
		states := f.pool("vm-001").States()
		f.Assert(states, qt.HasLen, 1)
		f.Check(states[0].Named, qt.IsTrue)
		f.Check(states[0].PerSecond, qt.Equals, 2.0)
		f.Check(states[0].Coordinator, qt.Equals, "vm-000")
		f.Check(states[0].OwnPerSecond, qt.Equals, 1.0/3)
		f.Check(f.pool("vm-000").Published(), qt.HasLen, 1)
		f.Check(f.pool("vm-001").Published(), qt.HasLen, 0)
	})
}

// Guards against a time to come back that is rounded to none, so that the caller is refused without Retry-After: a VM that reaches no
// coordinator may have room within a fraction of a millisecond.
func TestRefusalWithoutCoordinatorNamesATime(t *testing.T) {
	bubble(t, func(c *qt.C) {
		p, closePool := New(Config{
			Coordinator: func(Server) string { return "" }, VMs: func() int { return 1 }, Random: func() float64 { return 0.9999 },
			Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
		})
		defer closePool()
		s := Server{ID: "a"}
		p.Observe(s, []string{"2"}, time.Now(), time.Now())
		err := p.Acquire(c.Context(), s, Request{Final: true})
		var denied *DeniedError
		c.Assert(errors.As(err, &denied), qt.IsTrue)
		c.Assert(denied.RetryAfter >= minWait, qt.IsTrue, qt.Commentf("%s", denied.RetryAfter))
	})
}
