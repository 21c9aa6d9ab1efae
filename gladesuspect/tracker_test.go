package gladesuspect

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const (
	guilty   = 7
	innocent = 8
)

func server(i int) gladeapi.BackendServer {
	return gladeapi.BackendServer{ID: fmt.Sprint("e", i), FailureDomain: "shubra"}
}

func virtual(t *testing.T, f func(*qt.C)) {
	synctest.Test(t, func(t *testing.T) { f(qt.New(t)) })
}

func enter(c *qt.C, t *Tracker, fingerprint uint64, s gladeapi.BackendServer) *Visit {
	v, ok := t.Enter(fingerprint, s, false)
	c.Assert(ok, qt.IsTrue)
	return v
}

func judge(t *Tracker, fingerprint uint64) (Verdict, error) {
	return t.Judge(context.Background(), fingerprint)
}

func TestRefusesAfterTwoKillsAndRemembers(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{Memory: time.Minute})
		for i := range 2 {
			_, err := judge(tracker, guilty)
			c.Assert(err, qt.IsNil)
			v := enter(c, tracker, guilty, server(i))
			enter(c, tracker, uint64(100+i), server(i))
			v.Died()
		}
		_, err := judge(tracker, guilty)
		c.Assert(err, qt.ErrorIs, ErrPoison)
		c.Assert(tracker.Suspects(), qt.Equals, 0)
		other := New(Config{Memory: time.Minute})
		other.Import(tracker.Refused())
		_, err = judge(other, guilty)
		c.Assert(err, qt.ErrorIs, ErrPoison)
		time.Sleep(2 * time.Minute)
		_, err = judge(tracker, guilty)
		c.Assert(err, qt.IsNil)
	})
}

// A request that may not be repeated kills one server at each VM that its caller comes back to.
func TestDeathsAtOtherVMsCount(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{MaxKills: 3})
		for i := range 3 {
			_, err := judge(tracker, 1)
			c.Assert(err, qt.IsNil)
			tracker.DiedElsewhere(1, server(i))
			tracker.DiedElsewhere(1, server(i)) // told twice
			time.Sleep(5 * time.Second)
		}
		_, err := judge(tracker, 1)
		c.Assert(err, qt.ErrorIs, ErrPoison)
		_, err = judge(tracker, 2)
		c.Assert(err, qt.IsNil)
	})
}

func TestOneEngineDyingTwiceUnderTheSameTwoRequests(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{})
		for range 2 {
			a := enter(c, tracker, guilty, server(1))
			b := enter(c, tracker, innocent, server(1))
			a.Died()
			b.Died()
			time.Sleep(2 * time.Second)
		}
		for _, f := range []uint64{guilty, innocent} {
			v, err := judge(tracker, f)
			c.Assert(err, qt.IsNil)
			c.Assert(v.Suspect, qt.IsTrue)
		}
		alone := enter(c, tracker, guilty, server(1))
		_, ok := tracker.Enter(innocent, server(1), false)
		c.Assert(ok, qt.IsFalse)
		v, err := judge(tracker, innocent)
		c.Assert(err, qt.IsNil)
		c.Assert(v.Forbid, qt.DeepEquals, []string{"e1"})
		alone.Died()
		_, err = judge(tracker, guilty)
		c.Assert(err, qt.ErrorIs, ErrPoison)
		enter(c, tracker, innocent, server(1)).Leave(true)
		_, err = judge(tracker, innocent)
		c.Assert(err, qt.IsNil)
	})
}

func TestLossOfAFailureDomainIncriminatesNobody(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{})
		visits := make([]*Visit, 12)
		for i := range visits {
			visits[i] = enter(c, tracker, uint64(100+i), server(i))
		}
		for _, v := range visits {
			v.Died()
		}
		again := enter(c, tracker, 100, server(12))
		again.Died()
		for i := range visits {
			v, err := judge(tracker, uint64(100+i))
			c.Assert(err, qt.IsNil)
			c.Assert(v.Suspect, qt.IsFalse)
		}
	})
}

func TestLostFailureDomainAcquitsWhoSawTwoOfItsDeaths(t *testing.T) {
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
				enter(c, tracker, innocent, server(i)).Died()
			}
			_, err := judge(tracker, innocent)
			c.Assert(errors.Is(err, ErrPoison), qt.Equals, !lost)
			c.Assert(tracker.Suspects(), qt.Equals, 0)
		})
	}
}

func TestDeathsAfterProgressSpeakAgainstNobody(t *testing.T) {
	for _, test := range []struct {
		name string
		// tokens are what the runs had given when their servers died.
		tokens []int
		poison bool
	}{
		{"long runs that were merely there", []int{100, 200, 300}, false},
		{"a crash in the middle that repeats at once", []int{500, 0, 0}, true},
		{"a crash at the prompt", []int{0, 1}, true},
		{"a crash now and then at any place", []int{100, 100, 100, 100}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			virtual(t, func(c *qt.C) {
				tracker := New(Config{})
				for i, tokens := range test.tokens {
					_, err := judge(tracker, guilty)
					c.Assert(err, qt.IsNil)
					v := enter(c, tracker, guilty, server(i))
					v.Progress(tokens)
					v.Died()
				}
				_, err := judge(tracker, guilty)
				c.Assert(errors.Is(err, ErrPoison), qt.Equals, test.poison)
			})
		})
	}
}

func TestTwoPoisonRequestsAtOnceAreBothRefused(t *testing.T) {
	virtual(t, func(c *qt.C) {
		tracker := New(Config{})
		kills := 0
		for f := uint64(1); f <= 2; f++ {
			for {
				if _, err := judge(tracker, f); errors.Is(err, ErrPoison) {
					break
				}
				enter(c, tracker, f, server(kills)).Died()
				kills++
			}
		}
		c.Assert(kills <= 2*2*defaultMaxKills, qt.IsTrue, qt.Commentf("%d kills", kills))
	})
}

func Example() {
	tracker := New(Config{Window: time.Millisecond})
	for i := range 3 {
		if _, err := tracker.Judge(context.Background(), guilty); err != nil {
			fmt.Println(err)
			return
		}
		v, _ := tracker.Enter(guilty, server(i), false)
		v.Died()
	}
	// Output: 2 servers: backend servers died under this request
}
