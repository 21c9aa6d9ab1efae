package gladefeed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

func upToDate() time.Duration { return 0 }

func always(string) bool { return true }

// When the reader dies among many VMs, one VM must take over while the others wait. None reads while a reader is
// received.
func TestVMsTakeOverReadingInOrder(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	feed := func(rank int) *Feed {
		f := &Feed{config: Config{Rank: func() int { return rank }, Behind: upToDate, Precedes: always}, heard: map[string]time.Time{}}
		f.recordHeard("reader", now.Add(-time.Hour))
		f.recordHeard("reader", now)
		return f
	}
	c.Assert(feed(0).ShouldRead(false, now), qt.IsTrue)
	second, third := feed(1), feed(2)
	c.Assert(second.ShouldRead(false, now.Add(readerTimeout)), qt.IsFalse)
	at := now.Add(readerTimeout + takeoverStagger + time.Millisecond)
	c.Assert(second.ShouldRead(false, at), qt.IsTrue)
	c.Assert(third.ShouldRead(false, at), qt.IsFalse)
	// Once the new reader is received, a VM that reads continues until the reader has been up for minReaderUptime.
	third.recordHeard("reader", at)
	c.Assert(third.ShouldRead(false, at.Add(heartbeatInterval)), qt.IsFalse)
	resumed := at.Add(time.Hour)
	for d := time.Duration(0); d < minReaderUptime; d += heartbeatInterval {
		third.recordHeard("reader", resumed.Add(d))
		c.Assert(third.ShouldRead(true, resumed.Add(d)), qt.IsTrue)
	}
	third.recordHeard("reader", resumed.Add(minReaderUptime))
	c.Assert(third.ShouldRead(true, resumed.Add(minReaderUptime)), qt.IsFalse)
}

func TestVMsWaitAfterStart(t *testing.T) {
	c := qt.New(t)
	f, closeFeed, err := New(Config{
		VM: "a", Address: "127.0.0.1:0", StartupWait: time.Minute, Rank: func() int { return 0 }, Peers: func() []string { return nil },
		Progress: func() (Update, bool) { return Update{}, true }, Behind: upToDate, Precedes: always, OnUpdate: func(Update) {}, Log: hclog.NewNullLogger(),
	})
	c.Assert(err, qt.IsNil)
	defer closeFeed()
	c.Assert(f.ShouldRead(false, time.Now()), qt.IsFalse)
	c.Assert(f.ShouldRead(false, time.Now().Add(2*time.Minute)), qt.IsTrue)
}

// In a failure domain of fifty VMs each lost datagram would make its receiver request the whole list from the reader, whose
// link may have 10 Mbit/s.  The reader repeats its changes in the heartbeats of the next second, without a gap.
func TestHeartbeatsRepeatRecentChanges(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	f := &Feed{}
	beat := func(revision int64) Update { return f.withRecent(Update{Before: revision, Revision: revision}, now) }
	c.Assert(beat(3), qt.DeepEquals, Update{Before: 3, Revision: 3})
	f.addRecent(Update{Before: 3, Revision: 5, Changes: []Change{{Removed: "a"}}}, now)
	f.addRecent(Update{Before: 5, Revision: 5}, now)
	f.addRecent(Update{Before: 5, Revision: 6, Changes: []Change{{Removed: "b"}}}, now)
	c.Assert(beat(6), qt.DeepEquals, Update{Before: 3, Revision: 6, Changes: []Change{{Removed: "a"}, {Removed: "b"}}})
	c.Assert(beat(7), qt.DeepEquals, Update{Before: 7, Revision: 7})                    // a revision without changes of servers came after
	f.addRecent(Update{Before: 8, Revision: 9, Changes: []Change{{Removed: "c"}}}, now) // not the next
	c.Assert(beat(9), qt.DeepEquals, Update{Before: 8, Revision: 9, Changes: []Change{{Removed: "c"}}})
	f.addRecent(Update{Before: 9, Revision: 10, Changes: make([]Change, maxRepeatedChanges)}, now)
	c.Assert(beat(10).Before, qt.Equals, int64(9))
	f.addRecent(Update{Before: 10, Revision: 11, Changes: make([]Change, maxRepeatedChanges+1)}, now)
	c.Assert(beat(11), qt.DeepEquals, Update{Before: 11, Revision: 11})
	now = now.Add(repeatTime)
	f.addRecent(Update{Before: 11, Revision: 12, Changes: []Change{{Removed: "d"}}}, now)
	c.Assert(beat(12).Before, qt.Equals, int64(11))
	now = now.Add(repeatTime)
	c.Assert(beat(12), qt.DeepEquals, Update{Before: 12, Revision: 12})
}

// Guards against the time for which a reader that cannot reach the store goes on counting as one, on top of the time that its
// watch takes to end. Another reader still counts.
func TestReaderThatLostTheStoreIsReplacedAtOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	f := &Feed{
		config: Config{Rank: func() int { return 1 }, Behind: upToDate, Precedes: always, OnUpdate: func(Update) {}}, heard: map[string]time.Time{},
	}
	f.receive(Update{VM: "a", Reading: true})
	f.receive(Update{VM: "b", Reading: true})
	c.Assert(f.ShouldRead(false, now), qt.IsFalse)
	f.receive(Update{VM: "a", Lost: true})
	c.Assert(f.ShouldRead(false, now), qt.IsFalse)
	f.receive(Update{VM: "b"}) // not a reader, and says nothing of itself
	c.Assert(f.ShouldRead(false, now), qt.IsFalse)
	f.receive(Update{VM: "b", Lost: true})
	c.Assert(f.ShouldRead(false, time.Now()), qt.IsTrue)
	c.Assert(f.LastHeard().IsZero(), qt.IsTrue)
	third := &Feed{config: f.config, heard: map[string]time.Time{}}
	third.config.Rank = func() int { return 3 }
	third.recordHeard("a", now)
	third.forget("a", now)
	c.Assert(third.ShouldRead(false, now.Add(takeoverStagger)), qt.IsFalse)
	c.Assert(third.ShouldRead(false, now.Add(2*takeoverStagger)), qt.IsTrue)
}

// Guards against readers that all stop for each other: the one that comes first among them goes on.
func TestReadersStopOnlyForOneThatPrecedesThem(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	feed := func(rank int) *Feed {
		precedes := func(vm string) bool { return vm < string(rune('a'+rank)) }
		return &Feed{config: Config{Rank: func() int { return rank }, Behind: upToDate, Precedes: precedes}, heard: map[string]time.Time{}}
	}
	second, third := feed(1), feed(2) // a, which precedes both, does not read
	for d := time.Duration(0); d < 2*minReaderUptime; d += heartbeatInterval {
		second.recordHeard("c", now.Add(d))
		third.recordHeard("b", now.Add(d))
	}
	end := now.Add(2 * minReaderUptime)
	c.Assert(second.ShouldRead(true, end), qt.IsTrue)
	c.Assert(third.ShouldRead(true, end), qt.IsFalse)
	third.forget("b", end) // it lost the store
	c.Assert(third.ShouldRead(true, end), qt.IsTrue)
}

// A VM that does not read, or knows of a newer release than its reader brings, does not count a sender as its reader.
func TestWhoIsHeardIsNotTakenForCurrent(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	behind := time.Duration(0)
	f := &Feed{
		config: Config{Rank: func() int { return 2 }, Behind: func() time.Duration { return behind }, Precedes: always, OnUpdate: func(Update) {}},
		heard:  map[string]time.Time{},
	}
	f.receive(Update{VM: "a"})
	c.Assert(f.ShouldRead(false, now), qt.IsTrue)
	f.receive(Update{VM: "a", Reading: true})
	c.Assert(f.ShouldRead(false, now), qt.IsFalse)
	behind = behindLimit
	c.Assert(f.ShouldRead(false, now), qt.IsFalse)
	behind = behindLimit + 3*takeoverStagger
	c.Assert(f.ShouldRead(false, now), qt.IsTrue)
}

// A change of the release that would keep the reader's link busy is left out, and the VMs ask for it.
func TestLargeChangeOfReleaseIsNotSent(t *testing.T) {
	c := qt.New(t)
	f := &Feed{config: Config{ReleaseBytes: 10_000, Log: hclog.NewNullLogger()}}
	change := &gladerelease.Change{Before: 1, Version: 2, RemovedRoutes: []string{"r"}}
	c.Assert(f.fits(change, 100), qt.IsTrue)
	c.Assert(f.fits(change, 1000), qt.IsFalse)
	change.RemovedRoutes = make([]string, 1000)
	c.Assert(f.fits(change, 100), qt.IsFalse)
	c.Assert(f.fits(change, 3), qt.IsTrue)
}

// Guards against a returned VM that precedes all others and does not read: neither a reader that it receives, nor the loss of the
// store by one, nor being up to date keeps it from reading from the end of its startup wait on. The reader of meanwhile stops for it.
func TestReturnedVMThatPrecedesAllReads(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	precedes := func(name string) func(string) bool { return func(vm string) bool { return vm < name } }
	first := &Feed{
		config:          Config{Rank: func() int { return 0 }, Behind: upToDate, Precedes: precedes("a")},
		startupDeadline: start, heard: map[string]time.Time{},
	}
	second := &Feed{
		config: Config{Rank: func() int { return 1 }, Behind: upToDate, Precedes: precedes("b")}, heard: map[string]time.Time{},
	}
	second.recordHeard("a", start.Add(-startupGap)) // it reads the store once at its start, and says what it has read
	for at := start.Add(-startupGap); at.Before(start); at = at.Add(heartbeatInterval) {
		first.recordHeard("b", at)
		c.Check(first.ShouldRead(false, at), qt.IsFalse)
		c.Check(second.ShouldRead(true, at), qt.IsTrue)
	}
	for d := time.Duration(0); d < 3*minReaderUptime; d += heartbeatInterval {
		at := start.Add(d)
		switch {
		case d < minReaderUptime:
			first.recordHeard("b", at)
		case d < 2*minReaderUptime:
			first.forget("b", at)
		}
		for _, reading := range []bool{false, true} {
			c.Check(first.ShouldRead(reading, at), qt.IsTrue, qt.Commentf("%v after the startup wait, reading %v", d, reading))
		}
		second.recordHeard("a", at)
		c.Check(second.ShouldRead(true, at), qt.Equals, d < minReaderUptime, qt.Commentf("%v", d))
	}
}

// startupGap is longer than the silence after which a reader counts anew.
const startupGap = 1200 * time.Millisecond

// A hundred VMs that start together, as after a power failure, must not all read the store because none has heard of a reader yet.
func TestVMsThatStartTogetherReadInOrder(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	feed := func(rank int) *Feed {
		config := Config{Rank: func() int { return rank }, Behind: upToDate, Precedes: always}
		return &Feed{config: config, startupDeadline: start, heard: map[string]time.Time{}}
	}
	c.Assert(feed(0).ShouldRead(false, start), qt.IsTrue)
	for rank := 1; rank < 100; rank++ {
		f := feed(rank)
		c.Assert(f.ShouldRead(false, start.Add(takeoverStagger)), qt.IsFalse)
		c.Assert(f.ShouldRead(false, start.Add((maxRank+1)*takeoverStagger)), qt.IsTrue) // nobody reads
	}
}

// While the store is unavailable to all, the VMs of a large failure domain must not all repeat the calls that fail.  A VM that
// receives nobody may itself be cut off from the others and waits no longer than before.
func TestFewVMsReadDuringAnOutage(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	reading := func(lost bool) int {
		n := 0
		for rank := range 50 {
			f := &Feed{config: Config{Rank: func() int { return rank }, Behind: upToDate, Precedes: always}, heard: map[string]time.Time{}}
			f.heard["stopped reader"] = now.Add(-heartbeatInterval)
			f.heard["reader"] = now
			if lost {
				f.forget("reader", now)
				f.forget("reader", now.Add(2*time.Second-heartbeatInterval)) // it says so in each heartbeat
			}
			if f.ShouldRead(false, now.Add(2*time.Second)) {
				n++
			}
		}
		return n
	}
	c.Assert(reading(true), qt.Equals, maxRank+3)
	c.Assert(reading(false), qt.Equals, 50)
}

// The first VMs in rank may all be cut off from the store.  The one that reaches it must be received, whatever its rank.
func TestOnlyReaderPublishesWhateverItsRank(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	f := &Feed{config: Config{Rank: func() int { return maxPublishers }, Precedes: always}, heard: map[string]time.Time{}}
	c.Assert(f.isOnlyReader(Update{Reading: true}, now), qt.IsTrue)
	c.Assert(f.isOnlyReader(Update{Lost: true}, now), qt.IsFalse)
	f.recordHeard("reader", now)
	c.Assert(f.isOnlyReader(Update{Reading: true}, now), qt.IsFalse)
}
