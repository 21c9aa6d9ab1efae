package gladedecider

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
)

// raise decides like stay, and asks for all traffic at once while nothing else has been decided.
func raise(in gladerollout.Input) gladerollout.Decision {
	d := stay(in)
	if d.Reason == "" && in.StoreCurrent && d.Status.Share < 1 {
		d.Status.Share, d.Reason = 1, "evidence"
	}
	return d
}

// revert decides like stay, and finds the target bad.
func revert(in gladerollout.Input) gladerollout.Decision {
	d := stay(in)
	if d.Reason == "" && d.Status.State == gladerollout.InProgress {
		d.Status.State, d.Status.Share, d.Stop, d.Reason = gladerollout.Reverted, 0, true, "failures"
	}
	return d
}

// Guards against several VMs that claim an order together: each write costs a call and makes all of them read.
func TestOneCandidateClaimsOrder(t *testing.T) {
	runWorld(t, 3, func(w *world) {
		w.put("v2")
		advance(6 * time.Second)
		all := w.statuses()
		w.Assert(all, qt.HasLen, 1)
		w.Assert(all[0].Term, qt.Equals, int64(1))
		w.Assert(all[0].Decider, qt.Equals, all[0].vm)
		w.Assert(all[0].Share, qt.Equals, 0.1)
		attempts := 0
		for _, v := range w.vms {
			attempts += v.made().writes
		}
		w.Assert(attempts, qt.Equals, 1)
	})
}

// Guards against an order that nobody decides on after the death of its decider, and against a share that a new decider loses.
func TestDeciderIsReplacedAfterDeath(t *testing.T) {
	runWorld(t, 3, func(w *world) {
		w.put("v2")
		advance(3 * time.Second)
		before := w.last()
		w.decidingVM().kill()
		advance(silenceLimit + 2*candidateStagger)
		after := w.last()
		w.Assert(after.Decider, qt.Not(qt.Equals), before.Decider)
		w.Assert(after.Term, qt.Equals, before.Term+1)
		w.Assert(after.Share, qt.Equals, before.Share)
		advance(10 * time.Second)
		w.Assert(w.statuses(), qt.HasLen, 2)
		w.checkTerms()
	})
}

// Guards against a decider that was frozen and goes on with what it knew: another VM has decided since.
func TestThawedDeciderWritesNothing(t *testing.T) {
	for name, vms := range map[string]int{"replaced": 2, "not replaced": 1} {
		t.Run(name, func(t *testing.T) {
			runWorld(t, vms, func(w *world) {
				w.put("v2")
				advance(2 * time.Second)
				v := w.decidingVM()
				v.freeze()
				advance(5 * time.Second)
				w.Assert(w.last().Decider == v.name, qt.Equals, vms == 1)
				writes := v.made().writes
				w.set(func() { w.decide = raise })
				v.thaw()
				advance(settleTime - 100*time.Millisecond)
				w.Check(v.made().writes, qt.Equals, writes)
				w.Check(v.made().reads > 0, qt.IsTrue) // it has asked the store first
				advance(3 * time.Second)
				w.Check(w.last().Share, qt.Equals, 1.0) // whoever decides goes on
				w.Check(w.last().Decider == v.name, qt.Equals, vms == 1)
				w.checkTerms()
			})
		})
	}
}

// Guards against a restarted VM that takes the order that its status names it for as its own: it knows nothing of it.
func TestRestartedDeciderClaimsAgain(t *testing.T) {
	runWorld(t, 1, func(w *world) {
		w.put("v2")
		advance(time.Second)
		v := w.decidingVM()
		v.kill()
		again := w.startVM(v.name)
		w.set(func() { again.registry.List([]gladerollout.Rollout{w.order}, w.order.Revision, time.Now()) })
		advance(5 * time.Second)
		w.Assert(w.last().Term, qt.Equals, int64(2))
	})
}

// Guards against a write without an answer that is taken as failed or as done: it may be either, or still to come.
func TestWritesWithoutAnswer(t *testing.T) {
	for name, fault := range map[string]func(w *world){
		"carried out":      func(w *world) { w.losesAnswers = true },
		"carried out late": func(w *world) { w.delay = 900 * time.Millisecond },
		"not carried out":  func(w *world) { w.down = true },
	} {
		t.Run(name, func(t *testing.T) {
			runWorld(t, 2, func(w *world) {
				w.put("v2")
				advance(2 * time.Second)
				decider := w.last().Decider
				w.set(func() { w.decide = raise; fault(w) })
				advance(1200 * time.Millisecond)
				w.set(func() { w.losesAnswers, w.delay, w.down = false, 0, false })
				advance(4 * time.Second)
				w.Check(w.last().Share, qt.Equals, 1.0)
				w.Check(w.last().Decider, qt.Equals, decider)
				w.checkTerms()
				raised := 0
				for _, s := range w.statuses() {
					if s.Share == 1 {
						raised++
					}
				}
				w.Check(raised, qt.Equals, 1) // the same step is not taken twice
			})
		})
	}
}

// Guards against a claim without an answer that makes the VM claim again and again, or leaves the order to nobody.
func TestClaimWithoutAnswer(t *testing.T) {
	runWorld(t, 1, func(w *world) {
		w.set(func() { w.losesAnswers = true })
		w.put("v2")
		advance(2 * time.Second)
		w.set(func() { w.losesAnswers = false; w.decide = raise })
		advance(2 * time.Second)
		w.Assert(w.last().Term, qt.Equals, int64(1))
		w.Assert(w.last().Share, qt.Equals, 1.0)
	})
}

// Guards against a bad version that goes on because the store cannot be written: the notice must not wait for it.
func TestStopNeedsNoStore(t *testing.T) {
	runWorld(t, 2, func(w *world) {
		w.put("v2")
		advance(2 * time.Second)
		v := w.decidingVM()
		w.set(func() { w.down = true; w.decide = revert })
		advance(2 * decideInterval)
		w.Assert(len(v.made().stops) > 0, qt.IsTrue)
		w.Assert(v.made().stops[0].Target, qt.Equals, "v2")
		advance(6 * time.Second)
		w.Assert(w.last().State, qt.Equals, gladerollout.InProgress)
		w.Assert(len(v.made().stops), qt.Equals, maxStops)
		w.Check(v.made().writes <= 10, qt.IsTrue, qt.Commentf("%d writes", v.made().writes))
		// The evidence may look better by now; the target was stopped all the same.
		w.set(func() { w.down = false; w.decide = raise })
		advance(3 * time.Second)
		w.Assert(w.last().State, qt.Equals, gladerollout.Reverted)
		w.checkTerms()
	})
}

// Guards against a decider that is cut off from the store and keeps the order, and against two candidates that do not hear each
// other and replace each other all the time.
func TestDeciderWithoutStoreOrPeers(t *testing.T) {
	runWorld(t, 3, func(w *world) {
		w.put("v2")
		advance(2 * time.Second)
		v := w.decidingVM()
		w.set(func() { v.cut = true })
		advance(3 * time.Second)
		w.Assert(w.last().Decider, qt.Not(qt.Equals), v.name)
		w.Assert(w.last().Term, qt.Equals, int64(2))
		w.set(func() { v.cut = false })
		advance(5 * time.Second)
		w.Assert(w.last().Term, qt.Equals, int64(2))
	})
	runWorld(t, 2, func(w *world) {
		w.set(func() {
			for _, v := range w.vms {
				v.isolated = true
			}
		})
		w.put("v2")
		advance(30 * time.Second)
		w.checkTerms()
		w.Check(len(w.statuses()) <= 8, qt.IsTrue, qt.Commentf("%d terms in 30 s", len(w.statuses())))
	})
}

// Guards against a VM that takes over late because it lost a race for the claim, or because it reads the store only since its
// failure domain's reader, which decides, is silent.
func TestNextVMTakesOverInTime(t *testing.T) {
	runWorld(t, 2, func(w *world) {
		w.set(func() {
			for _, v := range w.vms {
				v.alone = true // each takes itself for the first candidate
			}
		})
		w.put("v2")
		advance(2 * time.Second)
		w.Assert(w.statuses(), qt.HasLen, 1)
		killed := time.Now()
		w.decidingVM().kill()
		advance(4 * time.Second)
		w.Assert(w.statuses()[1].at.Sub(killed) <= silenceLimit+2*decideInterval, qt.IsTrue)
	})
	runWorld(t, 2, func(w *world) {
		first, next := w.vms[0], w.vms[1]
		w.set(func() { next.demoted = true })
		w.put("v2")
		advance(2 * time.Second)
		killed := time.Now()
		first.kill()
		advance(time.Second)
		w.set(func() { next.demoted = false })
		advance(3 * time.Second)
		w.Assert(w.statuses()[1].at.Sub(killed) <= silenceLimit+2*decideInterval, qt.IsTrue)
	})
}

// Guards against a VM that goes on deciding after another one has taken over the reading of the store, and against a wait for
// its silence.
func TestFormerCandidateResigns(t *testing.T) {
	runWorld(t, 2, func(w *world) {
		w.put("v2")
		advance(2 * time.Second)
		v := w.decidingVM()
		demoted := time.Now()
		w.set(func() { v.demoted = true })
		advance(3 * time.Second)
		w.Assert(w.last().Decider, qt.Not(qt.Equals), v.name)
		w.Assert(w.statuses()[1].at.Sub(demoted) < 4*decideInterval, qt.IsTrue)
	})
}

// Guards against evidence of one order that counts for the next, and against a second order that is not decided on.
func TestTwoOrdersInARow(t *testing.T) {
	runWorld(t, 2, func(w *world) {
		reports := map[string]int{} // protected by w.mu
		counting := func(decide func(gladerollout.Input) gladerollout.Decision) {
			w.set(func() {
				w.decide = func(in gladerollout.Input) gladerollout.Decision {
					w.set(func() { reports[in.Rollout.Target] = len(in.Evidence) })
					return decide(in)
				}
			})
		}
		counting(stay)
		w.put("v2")
		advance(time.Second)
		for _, v := range w.vms {
			v.decider.Receive(Report{VM: "x", Sequence: 1, Service: service, Target: "v2"})
		}
		counting(revert)
		advance(time.Second)
		w.Assert(w.last().State, qt.Equals, gladerollout.Reverted)
		counting(raise)
		w.put("v3")
		advance(3 * time.Second)
		w.Assert(w.last().Target, qt.Equals, "v3")
		w.Assert(w.last().State, qt.Equals, gladerollout.InProgress)
		w.Assert(w.last().Share, qt.Equals, 1.0)
		w.set(func() {
			w.Assert(reports["v2"], qt.Equals, 1)
			w.Assert(reports["v3"], qt.Equals, 0)
		})
		w.checkTerms()
	})
}

// Guards against an order that ends because a new decider has not heard the VMs yet.
func TestNewDeciderWaitsForReports(t *testing.T) {
	runWorld(t, 2, func(w *world) {
		w.put("v2")
		advance(2 * time.Second)
		w.decidingVM().kill()
		taken := time.Time{} // protected by w.mu
		w.set(func() {
			w.decide = func(in gladerollout.Input) gladerollout.Decision {
				w.set(func() {
					if taken.IsZero() && in.Rollout.Status.Term == 2 {
						taken = time.Now()
					}
				})
				return revert(in)
			}
		})
		advance(5 * time.Second)
		w.Assert(w.last().State, qt.Equals, gladerollout.Reverted)
		second := w.statuses()[1].at
		w.set(func() { w.Assert(taken.Sub(second) >= settleTime-decideInterval, qt.IsTrue) })
	})
}

// Guards against a bad version that a new decider completes: the one that stopped it died before it wrote that, and some of the evidence
// is gone. The VMs use no target that was stopped, so there would be no more evidence either.
func TestNoticeOfDeadDeciderHolds(t *testing.T) {
	runWorld(t, 3, func(w *world) {
		w.put("v2")
		advance(2 * time.Second)
		v := w.decidingVM()
		w.set(func() { w.decide, v.cut = revert, true })
		advance(time.Second)
		stops := v.made().stops
		w.Assert(len(stops) > 0, qt.IsTrue)
		w.Assert(w.last().State, qt.Equals, gladerollout.InProgress)
		for _, o := range w.vms {
			if o != v {
				o.decider.HandleStop(Stop{Service: service, Target: "v2", DurationS: 1}) // of another order
				o.decider.HandleStop(stops[0])
			}
		}
		v.kill()
		w.set(func() { w.decide = raise })
		advance(silenceLimit + 2*candidateStagger + time.Second)
		w.Assert(w.last().State, qt.Equals, gladerollout.Reverted)
		w.Assert(w.last().Target, qt.Equals, "v2")
		for _, s := range w.statuses() {
			w.Check(s.Share < 1, qt.IsTrue, qt.Commentf("%+v", s))
		}
		w.checkTerms()
	})
}
