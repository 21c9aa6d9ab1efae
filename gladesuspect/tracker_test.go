package gladesuspect

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const (
	poisonous = 7
	harmless  = 8
)

func server(i int) gladeapi.BackendServer {
	return gladeapi.BackendServer{ID: fmt.Sprint("e", i), FailureDomain: "shubra"}
}

func virtual(t *testing.T, f func(*qt.C)) {
	synctest.Test(t, func(t *testing.T) { f(qt.New(t)) })
}

func enter(c *qt.C, t *Tracker, fingerprint uint64, s gladeapi.BackendServer) *TrackedRun {
	v, ok := t.StartRun(Request{Fingerprint: fingerprint}, s, false)
	c.Assert(ok, qt.IsTrue)
	return v
}

func check(t *Tracker, fingerprint uint64) (Restrictions, error) {
	return t.Check(context.Background(), Request{Fingerprint: fingerprint})
}

func TestRefusesAfterTwoDeathsUntilExpiry(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{Retention: time.Minute})
		for i := range 2 {
			_, err := check(tracker, poisonous)
			c.Assert(err, qt.IsNil)
			v := enter(c, tracker, poisonous, server(i))
			enter(c, tracker, uint64(100+i), server(i))
			v.ServerDied()
		}
		_, err := check(tracker, poisonous)
		c.Assert(err, qt.ErrorIs, ErrPoison)
		c.Assert(tracker.SuspectCount(), qt.Equals, 0)
		other := New(Config{Retention: time.Minute})
		other.ImportRefused(tracker.Refused())
		_, err = check(other, poisonous)
		c.Assert(err, qt.ErrorIs, ErrPoison)
		time.Sleep(2 * time.Minute)
		_, err = check(tracker, poisonous)
		c.Assert(err, qt.IsNil)
	})
}

// A request that may not be repeated crashes one server for each VM to which its caller sends it again.
func TestDeathsAtOtherVMsCount(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3})
		for i := range 3 {
			_, err := check(tracker, 1)
			c.Assert(err, qt.IsNil)
			tracker.ServerDiedElsewhere(Loss{Fingerprint: 1, Server: server(i)})
			tracker.ServerDiedElsewhere(Loss{Fingerprint: 1, Server: server(i)}) // reported twice
			time.Sleep(5 * time.Second)
		}
		_, err := check(tracker, 1)
		c.Assert(err, qt.ErrorIs, ErrPoison)
		_, err = check(tracker, 2)
		c.Assert(err, qt.IsNil)
	})
}

// A server dies under requests of several VMs, which all report it. It is one death, and no loss of a failure domain.
func TestDeathReportedForSeveralRequestsIsOne(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3})
		for i := range 3 {
			_, err := check(tracker, poisonous)
			c.Assert(err, qt.IsNil)
			for j := range uint64(6) {
				tracker.ServerDiedElsewhere(Loss{Fingerprint: uint64(100*i) + 100 + j, Server: server(i)})
			}
			tracker.ServerDiedElsewhere(Loss{Fingerprint: poisonous, Server: server(i)})
			time.Sleep(5 * time.Second)
		}
		_, err := check(tracker, poisonous)
		c.Assert(err, qt.ErrorIs, ErrPoison)
	})
}

// A request is sent on a connection to a server that has just died. That is the same death.
func TestRunSentToDeadServerIsTheSameDeath(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3})
		dead := gladeapi.BackendServer{ID: "e1", Incarnation: "1", FailureDomain: "shubra"}
		for range 4 {
			enter(c, tracker, harmless, dead).ServerDied()
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(tracker.Evidence(harmless).Deaths, qt.Equals, 1)
	})
}

// Twelve servers of a failure domain are found down at once; few of them ran a request that had not begun. The loss counts
// against none.
func TestFailedServersClearRequestsOfTheirDomain(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3})
		v := enter(c, tracker, harmless, server(0))
		for i := range 12 {
			tracker.ServerFailed(server(i))
		}
		v.ServerDied()
		c.Assert(tracker.Evidence(harmless), qt.Equals, Evidence{Deaths: 1, LastDeath: time.Now()})
	})
}

// A harmless request runs on three servers that are lost at the same time. Those deaths do not follow one another.
func TestSimultaneousDeathsDoNotRefuse(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3})
		var runs []*TrackedRun
		for i := range 8 {
			runs = append(runs, enter(c, tracker, harmless, gladeapi.BackendServer{ID: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i)}))
		}
		time.Sleep(50 * time.Millisecond)
		for _, v := range runs {
			v.ServerDied()
		}
		_, err := check(tracker, harmless)
		c.Assert(err, qt.IsNil)
	})
}

// Other requests are sent again and die twice with the poison request. They must not hide it, nor be refused for it.
func TestOtherRequestsDyingTwiceDoNotHidePoison(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3})
		others := [][]uint64{{21, 22}, {21, 23}, {22, 23}}
		for i, with := range others {
			_, err := check(tracker, poisonous)
			c.Assert(err, qt.IsNil)
			v := enter(c, tracker, poisonous, server(i))
			for _, f := range with {
				tracker.ServerDiedElsewhere(Loss{Fingerprint: f, Server: server(i)})
			}
			v.ServerDied()
			time.Sleep(5 * time.Second)
		}
		for _, f := range []uint64{21, 22, 23} {
			_, err := check(tracker, f)
			c.Assert(err, qt.IsNil)
		}
		_, err := check(tracker, poisonous)
		c.Assert(err, qt.ErrorIs, ErrPoison)
	})
}

func TestOneEngineDyingTwiceUnderTheSameTwoRequests(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{})
		for range 2 {
			a := enter(c, tracker, poisonous, server(1))
			b := enter(c, tracker, harmless, server(1))
			a.ServerDied()
			b.ServerDied()
			time.Sleep(2 * time.Second)
		}
		for _, f := range []uint64{poisonous, harmless} {
			v, err := check(tracker, f)
			c.Assert(err, qt.IsNil)
			c.Assert(v.Suspect, qt.IsTrue)
		}
		alone := enter(c, tracker, poisonous, server(1))
		_, ok := tracker.StartRun(Request{Fingerprint: harmless}, server(1), false)
		c.Assert(ok, qt.IsFalse)
		v, err := check(tracker, harmless)
		c.Assert(err, qt.IsNil)
		c.Assert(v.Forbid, qt.DeepEquals, []string{"e1"})
		alone.ServerDied()
		_, err = check(tracker, poisonous)
		c.Assert(err, qt.ErrorIs, ErrPoison)
		enter(c, tracker, harmless, server(1)).End(true)
		_, err = check(tracker, harmless)
		c.Assert(err, qt.IsNil)
	})
}

func TestFailureDomainLossCountsAgainstNoRequest(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{})
		runs := make([]*TrackedRun, 12)
		for i := range runs {
			runs[i] = enter(c, tracker, uint64(100+i), server(i))
		}
		for _, v := range runs {
			v.ServerDied()
		}
		again := enter(c, tracker, 100, server(12))
		again.ServerDied()
		for i := range runs {
			v, err := check(tracker, uint64(100+i))
			c.Assert(err, qt.IsNil)
			c.Assert(v.Suspect, qt.IsFalse)
		}
	})
}

func TestLostFailureDomainClearsRequestWithTwoDeaths(t *testing.T) {
	for _, lost := range []bool{true, false} {
		virtual(t, func(c *qt.C) {
			tracker := New(Config{
				Servers: func() []gladeapi.BackendServer {
					return []gladeapi.BackendServer{server(0), server(1), server(2), server(3)}
				},
				Down: func(_ context.Context, s gladeapi.BackendServer) bool {
					return lost || s.ID == "e0" || s.ID == "e1"
				},
			})
			for i := range 2 {
				enter(c, tracker, harmless, server(i)).ServerDied()
			}
			_, err := check(tracker, harmless)
			c.Assert(errors.Is(err, ErrPoison), qt.Equals, !lost)
			c.Assert(tracker.SuspectCount(), qt.Equals, 0)
		})
	}
}

func TestDeathsAfterProgressDoNotCount(t *testing.T) {
	for _, test := range []struct {
		name string
		// tokens are the tokens of each run when its server died.
		tokens []int
		poison bool
	}{
		{"after progress only", []int{100, 200, 300}, false},
		{"once after progress, then twice before any token", []int{500, 0, 0}, true},
		{"before or at the first token", []int{0, 1}, true},
		{"after progress, twice the limit", []int{100, 100, 100, 100}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			virtual(t, func(c *qt.C) {
				tracker := New(Config{})
				for i, tokens := range test.tokens {
					_, err := check(tracker, poisonous)
					c.Assert(err, qt.IsNil)
					v := enter(c, tracker, poisonous, server(i))
					v.Progress(tokens)
					v.ServerDied()
				}
				_, err := check(tracker, poisonous)
				c.Assert(errors.Is(err, ErrPoison), qt.Equals, test.poison)
			})
		})
	}
}

func TestTwoConcurrentPoisonRequestsAreRefused(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{})
		kills := 0
		for f := uint64(1); f <= 2; f++ {
			for {
				if _, err := check(tracker, f); errors.Is(err, ErrPoison) {
					break
				}
				enter(c, tracker, f, server(kills)).ServerDied()
				kills++
			}
		}
		c.Assert(kills <= 2*2*defaultMaxDeaths, qt.IsTrue, qt.Commentf("%d kills", kills))
	})
}

func Example() {
	tracker := New(Config{Window: time.Millisecond})
	for i := range 3 {
		if _, err := tracker.Check(context.Background(), Request{Fingerprint: poisonous}); err != nil {
			fmt.Println(err)
			return
		}
		v, _ := tracker.StartRun(Request{Fingerprint: poisonous}, server(i), false)
		v.ServerDied()
	}
	// Output: 2 servers: backend servers died under this request
}

// Copies of a poison request are checked at the same time. The refusal of the first must hold for all of them.
func TestChecksAtTheSameTimeAreAllRefused(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3})
		for i := range 3 {
			enter(c, tracker, poisonous, server(i)).ServerDied()
		}
		var passed atomic.Int32
		var checks sync.WaitGroup
		for range 10 {
			checks.Go(func() {
				if _, err := check(tracker, poisonous); err == nil {
					passed.Add(1)
				}
			})
		}
		checks.Wait()
		c.Assert(passed.Load(), qt.Equals, int32(0))
		c.Assert(tracker.Refused()[0].Servers, qt.HasLen, 3)
	})
}

// A retry begins within a millisecond of the loss of its first run, before the server is found down. The deaths follow one another all the
// same.
func TestRetryBeforeServerIsFoundDownFollowsItsDeath(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxDeaths: 3, MinGap: 30 * time.Millisecond})
		v := enter(c, tracker, poisonous, server(0))
		for i := range 3 {
			_, err := check(tracker, poisonous)
			c.Assert(err, qt.IsNil)
			time.Sleep(time.Second)
			lost, lostAt := v, time.Now()
			v = enter(c, tracker, poisonous, server(i+1))
			time.Sleep(time.Millisecond)
			tracker.ServerFailed(server(i))
			lost.ServerDiedAt(lostAt)
		}
		_, err := check(tracker, poisonous)
		c.Assert(err, qt.ErrorIs, ErrPoison)
	})
}
