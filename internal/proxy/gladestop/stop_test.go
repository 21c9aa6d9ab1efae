package gladestop

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against margins that make a plan of a short grace period end before it begins.
func TestPlanTimesFollowEachOther(t *testing.T) {
	c := qt.New(t)
	began := time.Unix(1000, 0)
	for _, grace := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, time.Second, 8 * time.Second, time.Minute} {
		p := Plan{Began: began, Grace: grace}
		c.Check(p.AnswerBy().Before(began), qt.IsFalse)
		c.Check(p.ExitAt().Before(p.AnswerBy()), qt.IsFalse)
		c.Check(p.ExitAt().After(began.Add(grace)), qt.IsFalse)
	}
	p := &Plan{Began: began, Grace: 8 * time.Second}
	c.Check(p.CanFinish(began, p.AnswerBy().Sub(began)), qt.IsTrue)
	c.Check(p.CanFinish(began, p.AnswerBy().Sub(began)+1), qt.IsFalse)
	p = nil
	c.Check(p.CanFinish(began, time.Hour), qt.IsTrue)
}

// Guards against a foresight that trusts few requests as much as many, counts old ones, or leaves out those in progress.
func TestDurationsForesee(t *testing.T) {
	c := qt.New(t)
	d, now := NewDurations(), time.Unix(1000, 0)
	foreseen := func() time.Duration {
		takes, known := d.Foresee("r", now)
		c.Assert(known, qt.Equals, takes > 0)
		return takes
	}
	record := func(n int, length time.Duration) {
		for range n {
			r := d.Begin("r", now)
			now = now.Add(length)
			r.End(now, true)
		}
	}
	c.Check(foreseen(), qt.Equals, time.Duration(0))
	d.Begin("r", now).End(now, false) // no server ran it
	c.Check(foreseen(), qt.Equals, time.Duration(0))
	record(1, 10*time.Millisecond)
	c.Check(foreseen(), qt.Equals, 95*time.Millisecond)
	record(15, 20*time.Millisecond)
	c.Check(foreseen(), qt.Equals, 40*time.Millisecond)
	_, known := d.Foresee("other", now)
	c.Check(known, qt.IsFalse)

	slow := d.Begin("r", now)
	now = now.Add(2 * time.Second)
	c.Check(foreseen(), qt.Equals, 4*time.Second)
	slow.End(now, true)
	c.Check(foreseen() > 3*time.Second, qt.IsTrue)

	now = now.Add(window)
	record(16, 10*time.Millisecond)
	c.Check(foreseen() > 3*time.Second, qt.IsTrue) // the window before
	now = now.Add(window)
	record(16, 10*time.Millisecond)
	c.Check(foreseen(), qt.Equals, 17500*time.Microsecond)
	now = now.Add(3 * window)
	c.Check(foreseen(), qt.Equals, time.Duration(0))
}
