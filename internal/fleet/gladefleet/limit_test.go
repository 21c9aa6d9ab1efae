package gladefleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func limitTable(random float64, ids ...string) (*Table, time.Time) {
	now := time.Unix(1000, 0)
	t := New(Config{FailureDomain: "a", Random: func() float64 { return random }})
	for _, id := range ids {
		t.Put(Server{ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Slots: 6, Started: 1}, now)
	}
	return t, now
}

func chosen(t *Table, n Requirements, now time.Time) (id string, exhausted bool, err error) {
	n.Service = "s"
	k, err := t.Choose(n, now)
	if err != nil {
		return "", false, err
	}
	k.Release()
	return k.ID, k.Exhausted, nil
}

// A server at its limit is chosen only if no sound one is left, before those that are down; the one that has room first comes
// first.
func TestExhaustedServersComeAfterSoundOnes(t *testing.T) {
	c := qt.New(t)
	table, now := limitTable(0, "x", "y", "z")
	for i, id := range []string{"x", "y"} {
		table.SetLimited(id, true, now)
		table.MarkExhausted(id, now.Add(time.Duration(2-i)*time.Second))
	}
	id, exhausted, err := chosen(table, Requirements{}, now)
	c.Assert(err, qt.IsNil)
	c.Check(id, qt.Equals, "z")
	c.Check(exhausted, qt.IsFalse)
	c.Check(table.OnlyExhausted("s", now), qt.IsFalse)
	table.MarkFailed("z", now)
	id, exhausted, err = chosen(table, Requirements{}, now)
	c.Assert(err, qt.IsNil)
	c.Check(id, qt.Equals, "y")
	c.Check(exhausted, qt.IsTrue)
	c.Check(table.OnlyExhausted("s", now), qt.IsTrue)
	c.Check(table.HealthyServers("s", nil, now), qt.Equals, 2)
	_, _, err = chosen(table, Requirements{Waiting: true}, now)
	c.Check(err, qt.ErrorIs, ErrFull)
	id, exhausted, err = chosen(table, Requirements{Waiting: true}, now.Add(1500*time.Millisecond))
	c.Assert(err, qt.IsNil)
	c.Check(id, qt.Equals, "y")
	c.Check(exhausted, qt.IsFalse)
}

// A request that was denied by several servers goes to one without a limit.
func TestUnlimitedServersArePreferredOnRequest(t *testing.T) {
	c := qt.New(t)
	table, now := limitTable(0, "x", "y")
	table.SetLimited("x", true, now)
	k, err := table.Choose(Requirements{Service: "s", Avoid: []string{"x"}}, now) // y has more load
	c.Assert(err, qt.IsNil)
	defer k.Release()
	id, _, err := chosen(table, Requirements{}, now)
	c.Assert(err, qt.IsNil)
	c.Check(id, qt.Equals, "x")
	id, _, err = chosen(table, Requirements{Unlimited: true}, now)
	c.Assert(err, qt.IsNil)
	c.Check(id, qt.Equals, "y")
}

// Guards against all VMs sending their next requests to a server whose limit has just ended.
func TestShareGrowsAfterLimit(t *testing.T) {
	c := qt.New(t)
	random := 0.5
	now := time.Unix(1000, 0)
	table := New(Config{FailureDomain: "a", Random: func() float64 { return random }})
	for _, id := range []string{"x", "y"} {
		table.Put(Server{ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Slots: 6, Started: 1}, now)
	}
	k, err := table.Choose(Requirements{Service: "s", Avoid: []string{"x"}}, now)
	c.Assert(err, qt.IsNil)
	defer k.Release()
	table.SetLimited("x", true, now)
	table.SetLimited("x", false, now)
	for _, x := range []struct {
		after time.Duration
		want  string
	}{{0, "y"}, {returnTime / 3, "y"}, {2 * returnTime / 3, "x"}, {returnTime, "x"}} {
		id, _, err := chosen(table, Requirements{}, now.Add(x.after))
		c.Assert(err, qt.IsNil)
		c.Check(id, qt.Equals, x.want, qt.Commentf("%s after the end", x.after))
	}
	for _, waiting := range []bool{false, true} {
		id, _, err := chosen(table, Requirements{Avoid: []string{"y"}, Waiting: waiting}, now) // no other server is left
		c.Assert(err, qt.IsNil)
		c.Check(id, qt.Equals, "x")
	}
}

// A server that starts again has no limit, and copies are kept off servers that have one.
func TestLimitsOfRestartsAndCopies(t *testing.T) {
	c := qt.New(t)
	table, now := limitTable(0, "x", "y", "z")
	table.SetLimited("y", true, now)
	run, _ := table.Server("x")
	k := table.ChooseCopy(run, 1000, CapacityLimits{}, VersionRule{}, nil, now)
	c.Assert(k, qt.IsNotNil)
	c.Check(k.ID, qt.Equals, "z")
	table.MarkExhausted("y", now.Add(time.Hour))
	table.Put(Server{ID: "y", Service: "s", Address: "y:1", FailureDomain: "a", Slots: 6, Started: 2}, now)
	id, exhausted, err := chosen(table, Requirements{Avoid: []string{"x", "z"}}, now)
	c.Assert(err, qt.IsNil)
	c.Check(id, qt.Equals, "y")
	c.Check(exhausted, qt.IsFalse)
	at, ok := table.ServerAt("y:1")
	c.Check(ok, qt.IsTrue)
	c.Check(at.Started, qt.Equals, int64(2))
	c.Check(table.Usable("y", now), qt.IsTrue)
	c.Check(table.Usable("w", now), qt.IsFalse)
}
