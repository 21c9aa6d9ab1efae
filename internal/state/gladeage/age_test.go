package gladeage

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// A VM that gets each release later than the next one is announced is never at the newest version. Its age must still be
// that of the newest version that it has had.
func TestAgeUnderReleasesInQuickSuccession(t *testing.T) {
	c := qt.New(t)
	tracker := New(Config{})
	tracker.Apply(1, at(0))
	tracker.Confirm(1, at(0), at(0))
	for n := int64(1); n <= 20; n++ {
		now := at(time.Duration(n) * 100 * time.Millisecond)
		tracker.Confirm(n+1, now.Add(-20*time.Millisecond), now)
		tracker.Apply(n, now.Add(10*time.Millisecond))
		c.Assert(tracker.State(now.Add(50*time.Millisecond)).Age <= 170*time.Millisecond, qt.IsTrue)
	}
	s := tracker.State(at(5 * time.Second))
	c.Assert(s.Age, qt.Equals, 3120*time.Millisecond)
	c.Assert(s.Worst, qt.Equals, s.Age)
	c.Assert(s.Newest, qt.Equals, int64(21))
	c.Assert(s.Behind > 2900*time.Millisecond, qt.IsTrue)
	tracker.Apply(21, at(6*time.Second))
	c.Assert(tracker.State(at(6*time.Second)).Behind, qt.Equals, time.Duration(0))
}

// A reader that is older than this VM confirms nothing.
func TestOlderVersionConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	tracker := New(Config{})
	c.Assert(tracker.State(at(time.Hour)).Age, qt.Equals, time.Duration(0)) // no release yet
	tracker.Apply(5, at(0))
	tracker.Confirm(4, at(time.Second), at(time.Second))
	tracker.Learn(4, at(time.Second))
	s := tracker.State(at(2 * time.Second))
	c.Assert(s.Age, qt.Equals, 2*time.Second)
	c.Assert(s.Behind, qt.Equals, time.Duration(0))
	tracker.Apply(4, at(2*time.Second))
	c.Assert(tracker.State(at(2*time.Second)).Release, qt.Equals, int64(5))
}

// The number of confirmations kept is bounded; the newest one is among them.
func TestConfirmationsAreBounded(t *testing.T) {
	c := qt.New(t)
	tracker := New(Config{})
	tracker.Apply(1, at(0))
	for n := range 3 * maxPending {
		now := at(time.Duration(n) * time.Second)
		tracker.Confirm(int64(n+2), now, now)
	}
	c.Assert(tracker.pending, qt.HasLen, maxPending)
	last := at(time.Duration(3*maxPending-1) * time.Second)
	tracker.Apply(3*maxPending+1, last)
	c.Assert(tracker.State(last).Age, qt.Equals, time.Duration(0))
	c.Assert(tracker.pending, qt.HasLen, 0)
}

func TestAgeNearBoundIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	tracker := New(Config{Bound: 2 * time.Second, Log: hclog.New(&hclog.LoggerOptions{Output: &out})})
	tracker.Apply(1, at(0))
	check := func(d time.Duration) { tracker.Check(at(d), func() []any { return []any{"reading", false} }) }
	check(1400 * time.Millisecond)
	c.Assert(out.String(), qt.Equals, "")
	check(1500 * time.Millisecond)
	check(1600 * time.Millisecond)
	c.Assert(strings.Count(out.String(), "Release may be out of date."), qt.Equals, 1)
	c.Assert(strings.Contains(out.String(), "reading=false"), qt.IsTrue)
	tracker.Confirm(1, at(1700*time.Millisecond), at(1700*time.Millisecond))
	check(1700 * time.Millisecond)
	check(1800 * time.Millisecond)
	c.Assert(strings.Count(out.String(), "Release is known to be current."), qt.Equals, 1)
}
