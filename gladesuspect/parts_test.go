package gladesuspect

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Parts of the requests in these tests.
const (
	sharedPart = 0xa
	deadlyPart = 0xd
	otherPart  = 0xb
)

// crashOn records that a server crashed under a new request with those parts.
func crashOn(t *Tracker, fingerprint uint64, parts ...uint64) {
	v := t.RecordRun(Request{Fingerprint: fingerprint, Parts: parts}, server(int(fingerprint)), nil)
	v.ServerDied()
	time.Sleep(time.Second)
}

// answer records that a new request with those parts was answered.
func answer(t *Tracker, fingerprint uint64, parts ...uint64) {
	t.RecordRun(Request{Fingerprint: fingerprint, Parts: parts}, server(int(fingerprint)), nil).End(true)
}

func checkParts(t *Tracker, fingerprint uint64, parts ...uint64) error {
	_, err := t.Check(context.Background(), Request{Fingerprint: fingerprint, Parts: parts})
	return err
}

// Two parts were in all requests that crashed servers. Requests with one of them must be sent until it is known which it is, and
// then only those with the other one.
func TestPartIsHeldWithThoseThatCameWithIt(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3, Progress: 2})
		for f := range uint64(3) {
			c.Assert(checkParts(tracker, f+1, sharedPart, deadlyPart), qt.IsNil)
			crashOn(tracker, f+1, sharedPart, deadlyPart)
		}
		c.Assert(checkParts(tracker, 11, sharedPart, deadlyPart), qt.ErrorIs, ErrPoison)
		c.Assert(checkParts(tracker, 12, sharedPart, otherPart), qt.IsNil)
		c.Assert(checkParts(tracker, 13, deadlyPart, otherPart), qt.IsNil)
		answer(tracker, 12, sharedPart, otherPart)
		c.Assert(checkParts(tracker, 13, deadlyPart, otherPart), qt.ErrorIs, ErrPoison)
		c.Assert(checkParts(tracker, 14, sharedPart), qt.IsNil)
	})
}

// Requests with a part were answered before servers began to crash on it. It must be held all the same, but not before harmless requests
// had the time to be answered.
func TestPartThatWasAnsweredBeforeIsHeld(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3, Progress: 2})
		for f := range uint64(50) {
			answer(tracker, 100+f, sharedPart, deadlyPart)
			answer(tracker, 200+f, sharedPart, otherPart)
		}
		time.Sleep(time.Second)
		for f := range uint64(5) {
			c.Assert(checkParts(tracker, f+1, sharedPart, deadlyPart), qt.IsNil)
			crashOn(tracker, f+1, sharedPart, deadlyPart)
			answer(tracker, 300+f, sharedPart, otherPart)
		}
		c.Assert(checkParts(tracker, 11, deadlyPart), qt.ErrorIs, ErrPoison)
		c.Assert(checkParts(tracker, 12, sharedPart), qt.IsNil)
	})
}

// Several parts crash servers, each in requests with the same first part, which is harmless. The first part must not be held.
func TestPartSharedBySeveralDeadlyPartsIsNotHeld(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3, Progress: 2})
		answer(tracker, 100, sharedPart)
		for f := range uint64(12) {
			crashOn(tracker, f+1, sharedPart, deadlyPart+f%4)
			c.Assert(checkParts(tracker, 200+f, sharedPart), qt.IsNil)
			answer(tracker, 200+f, sharedPart)
		}
		for i := range uint64(4) {
			c.Assert(checkParts(tracker, 300+i, sharedPart, deadlyPart+i), qt.ErrorIs, ErrPoison)
		}
	})
}

// Failure domains are lost one after the other, with many requests that share a part. It must not be held.
func TestLostDomainsHoldNoPart(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3, Progress: 2})
		for domain := range uint64(2) {
			for i := range uint64(12) {
				f := 100*domain + i + 1
				tracker.RecordRun(Request{Fingerprint: f, Parts: []uint64{sharedPart}}, server(int(f)), nil).ServerDied()
			}
			time.Sleep(5 * time.Second)
		}
		c.Assert(checkParts(tracker, 1000, sharedPart), qt.IsNil)
	})
}

// A failure domain is lost, and then two servers crash one after the other, each time with requests that share a part. Only the crashes
// count, which are too few to hold the part.
func TestLostDomainIsNoDeathOnPart(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3, Progress: 2})
		for i := range 12 {
			if s := server(100 + i); i < 2 {
				tracker.RecordRun(Request{Fingerprint: uint64(101 + i), Parts: []uint64{sharedPart}}, s, nil).ServerDied()
			} else {
				tracker.ServerFailed(s)
			}
		}
		time.Sleep(2 * time.Second)
		for f := range uint64(2) {
			c.Assert(checkParts(tracker, f+1, sharedPart), qt.IsNil)
			crashOn(tracker, f+1, sharedPart)
		}
		c.Assert(checkParts(tracker, 11, sharedPart), qt.IsNil)
		crashOn(tracker, 12, sharedPart)
		c.Assert(checkParts(tracker, 13, sharedPart), qt.ErrorIs, ErrPoison)
	})
}

// One request was lost with several servers. That says nothing of others that share a part with it.
func TestOneRequestHoldsNoPart(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3, Progress: 2})
		for i := range 5 {
			tracker.RecordRun(Request{Fingerprint: 1, Parts: []uint64{sharedPart}}, server(i), nil).ServerDied()
			time.Sleep(time.Second)
		}
		c.Assert(checkParts(tracker, 2, sharedPart), qt.IsNil)
		c.Assert(checkParts(tracker, 1, sharedPart), qt.ErrorIs, ErrPoison)
	})
}

func hold(c *qt.C, tracker *Tracker) {
	for f := range uint64(3) {
		crashOn(tracker, f+1, deadlyPart)
	}
	c.Assert(checkParts(tracker, 11, deadlyPart), qt.ErrorIs, ErrPoison)
}

// trial checks a request until it is sent as a trial, and returns its run.
func trial(c *qt.C, tracker *Tracker, fingerprint uint64, after time.Duration) *TrackedRun {
	r := Request{Fingerprint: fingerprint, Parts: []uint64{deadlyPart}}
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		v, err := tracker.Check(context.Background(), r)
		if err == nil {
			c.Assert(v.Trial, qt.IsTrue)
			c.Assert(time.Since(began) > after-time.Second, qt.IsTrue)
			break
		}
		c.Assert(time.Since(began) < after+time.Second, qt.IsTrue)
	}
	r.Trial = true
	_, err := tracker.Check(context.Background(), r) // as after a wait for room
	c.Assert(err, qt.IsNil)
	return tracker.RecordRun(r, server(int(fingerprint)), nil)
}

// Servers no longer die on a part that is held. One request must be sent as a trial, and its answer must release the part at all VMs.
func TestAnsweredTrialReleasesPart(t *testing.T) {
	virtual(t, func(c *qt.C) {
		other := New(Config{MaxDeaths: 3, Progress: 2})
		tracker := New(Config{
			MaxDeaths: 3, Progress: 2, OnHeld: func(h HeldParts) { other.ImportHeld([]HeldParts{h}) }, OnAnswered: other.PartsAnsweredElsewhere,
		})
		hold(c, tracker)
		time.Sleep(time.Millisecond)
		c.Assert(checkParts(other, 12, deadlyPart), qt.ErrorIs, ErrPoison)
		v := trial(c, tracker, 13, firstTrialDelay)
		c.Assert(checkParts(tracker, 14, deadlyPart), qt.ErrorIs, ErrPoison)
		c.Assert(checkParts(other, 14, deadlyPart), qt.ErrorIs, ErrPoison)
		for n := range 4 {
			v.Progress(n)
		}
		time.Sleep(time.Millisecond)
		c.Assert(checkParts(tracker, 15, deadlyPart), qt.IsNil)
		c.Assert(checkParts(other, 15, deadlyPart), qt.IsNil)
		other.ImportHeld([]HeldParts{{ID: 1, Parts: []uint64{otherPart}, Until: time.Now().Add(time.Hour)}})
		c.Assert(other.Held(), qt.HasLen, 1)
		c.Assert(tracker.Held(), qt.HasLen, 0)
	})
}

// A server dies under a trial. The part stays refused, and the next trial comes later.
func TestFailedTrialKeepsPartHeld(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3, Progress: 2})
		hold(c, tracker)
		trial(c, tracker, 13, firstTrialDelay).ServerDied()
		c.Assert(checkParts(tracker, 13, deadlyPart), qt.ErrorIs, ErrPoison)
		trial(c, tracker, 14, trialFactor*firstTrialDelay).ServerDied()
		c.Assert(checkParts(tracker, 14, deadlyPart), qt.ErrorIs, ErrPoison)
	})
}

// Two VMs start the same trial at the same moment. Only one of them may send it.
func TestSimultaneousTrialsAreOne(t *testing.T) {
	virtual(t, func(c *qt.C) {
		var vms [2]*Tracker
		for i := range vms {
			vms[i] = New(Config{MaxDeaths: 3, Progress: 2, OnHeld: func(h HeldParts) {
				time.Sleep(5 * time.Millisecond)
				vms[1-i].ImportHeld([]HeldParts{h})
			}})
		}
		hold(c, vms[0])
		time.Sleep(firstTrialDelay + time.Second)
		errs := make(chan error, len(vms))
		for i := range vms {
			go func() { errs <- checkParts(vms[i], uint64(20+i), deadlyPart) }()
		}
		refused := 0
		for range vms {
			if err := <-errs; errors.Is(err, ErrPoison) {
				refused++
			}
		}
		c.Assert(refused, qt.Equals, 1)
	})
}

// Two VMs hold the same part by themselves. It is one set, with one trial at a time, and once it is released an older report of
// either VM does not hold it again.
func TestPartHeldAtTwoVMsIsOneSet(t *testing.T) {
	virtual(t, func(c *qt.C) {
		a, b := New(Config{MaxDeaths: 3, Progress: 2}), New(Config{MaxDeaths: 3, Progress: 2})
		hold(c, a)
		hold(c, b)
		first, second := a.Held(), b.Held()
		a.ImportHeld(second)
		b.ImportHeld(first)
		c.Assert(a.Held()[0].ID, qt.Equals, b.Held()[0].ID)
		time.Sleep(firstTrialDelay)
		v, err := a.Check(context.Background(), Request{Fingerprint: 20, Parts: []uint64{deadlyPart}})
		c.Assert(err, qt.IsNil)
		c.Assert(v.Trial, qt.IsTrue)
		b.ImportHeld(a.Held())
		c.Assert(checkParts(b, 21, deadlyPart), qt.ErrorIs, ErrPoison)
		for _, v := range []*Tracker{a, b} {
			v.PartsAnsweredElsewhere([]PartAnswer{{Part: deadlyPart}})
			v.ImportHeld(first)
			v.ImportHeld(second)
			c.Assert(v.Held(), qt.HasLen, 0)
		}
	})
}

// Servers die under a request that is refused by itself, and with them harmless requests whose first part is also in those with a deadly
// part, and was never answered before. Only the deadly part may be held.
func TestSharedPartLostForOtherCausesIsNotHeld(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3, Progress: 2})
		for f := range uint64(5) {
			s := server(int(1000 + f))
			v := tracker.RecordRun(Request{Fingerprint: 500}, s, nil)
			harmless := tracker.RecordRun(Request{Fingerprint: 600 + f, Parts: []uint64{sharedPart, otherPart}}, s, nil)
			v.ServerDied()
			harmless.ServerDied()
			time.Sleep(time.Second)
			if f > 1 {
				_, err := check(tracker, 500)
				c.Assert(err, qt.ErrorIs, ErrPoison)
			}
			if f < 3 {
				crashOn(tracker, f+1, sharedPart, deadlyPart)
			}
		}
		c.Assert(checkParts(tracker, 11, sharedPart, deadlyPart), qt.ErrorIs, ErrPoison)
		c.Assert(checkParts(tracker, 12, sharedPart, otherPart), qt.IsNil)
		c.Assert(tracker.Held(), qt.HasLen, 1)
	})
}

// A generation that began before its part crashed servers goes on from a copy of its run. That does not show that an answer can begin on
// the part.
func TestResumedRunDoesNotReleasePart(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3, Progress: 2})
		v := tracker.RecordRun(Request{Fingerprint: 50, Parts: []uint64{deadlyPart}, Resumed: true}, server(50), nil)
		hold(c, tracker)
		v.Progress(3)
		v.End(true)
		c.Assert(checkParts(tracker, 12, deadlyPart), qt.ErrorIs, ErrPoison)
	})
}

// A released part is still refused in the facts of VMs that have not heard of that yet. It must not be held again.
func TestReleasedSetIsNotHeldAgain(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3, Progress: 2})
		hold(c, tracker)
		stale := tracker.Held()
		tracker.PartsAnsweredElsewhere([]PartAnswer{{Part: deadlyPart}})
		tracker.ImportHeld(stale)
		c.Assert(checkParts(tracker, 12, deadlyPart), qt.IsNil)
	})
}

// Another VM has answered a part before servers died on it here, and this one has not. The others must be told, once.
func TestEarlierAnswersAreShared(t *testing.T) {
	virtual(t, func(c *qt.C) {
		reports := 0
		var vms [20]*Tracker
		for i := range vms {
			vms[i] = New(Config{MaxDeaths: 3, Progress: 2, OnAnswered: func(a []PartAnswer) {
				reports++
				for j := range vms {
					if j != i {
						vms[j].PartsAnsweredElsewhere(a)
					}
				}
			}})
		}
		for i := range len(vms) - 1 {
			answer(vms[i], uint64(100+i), sharedPart)
		}
		time.Sleep(time.Second)
		for i := range vms {
			vms[i].ServerDiedElsewhere(Loss{Fingerprint: 1, Parts: []uint64{sharedPart}, Server: server(1)})
		}
		time.Sleep(time.Second)
		c.Assert(reports, qt.Equals, 1)
		at := vms[len(vms)-1].parts.lastAnswer(sharedPart)
		c.Assert(time.Since(at).Round(time.Second), qt.Equals, 2*time.Second)
	})
}

// Servers die under requests with very many parts. What is remembered of them is bounded.
func TestPartLogIsBounded(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3, Progress: 2})
		for f := range uint64(2000) {
			parts := make([]uint64, 200)
			for i := range parts {
				parts[i] = f*1000 + uint64(i)
			}
			tracker.ServerDiedElsewhere(Loss{Fingerprint: f + 1, Parts: parts, Server: server(int(f))})
			answer(tracker, f+5000, parts...)
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(tracker.parts.refs <= maxPartRefs, qt.IsTrue)
		c.Assert(len(tracker.parts.byPart) <= maxPartRefs, qt.IsTrue)
		c.Assert(tracker.parts.answered.Len() <= maxAnsweredParts, qt.IsTrue)
		time.Sleep(time.Hour)
		tracker.Held()
		c.Assert(tracker.parts.byPart, qt.HasLen, 0)
		c.Assert(tracker.parts.refs, qt.Equals, 0)
	})
}
