package gladefeed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

// When the reader dies among many VMs, one VM must take over while the others wait. None reads while a reader is
// received.
func TestVMsTakeOverReadingInOrder(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	feed := func(rank int) *Feed {
		f := &Feed{config: Config{Rank: func() int { return rank }}}
		f.recordHeard(now.Add(-time.Hour))
		f.recordHeard(now)
		return f
	}
	c.Assert(feed(0).ShouldRead(false, now), qt.IsTrue)
	second, third := feed(1), feed(2)
	c.Assert(second.ShouldRead(false, now.Add(readerTimeout)), qt.IsFalse)
	at := now.Add(readerTimeout + takeoverStagger + time.Millisecond)
	c.Assert(second.ShouldRead(false, at), qt.IsTrue)
	c.Assert(third.ShouldRead(false, at), qt.IsFalse)
	// Once the new reader is received, a VM that reads continues until the reader has been up for minReaderUptime.
	third.recordHeard(at)
	c.Assert(third.ShouldRead(false, at.Add(heartbeatInterval)), qt.IsFalse)
	resumed := at.Add(time.Hour)
	for d := time.Duration(0); d < minReaderUptime; d += heartbeatInterval {
		third.recordHeard(resumed.Add(d))
		c.Assert(third.ShouldRead(true, resumed.Add(d)), qt.IsTrue)
	}
	third.recordHeard(resumed.Add(minReaderUptime))
	c.Assert(third.ShouldRead(true, resumed.Add(minReaderUptime)), qt.IsFalse)
}

func TestVMsWaitAfterStart(t *testing.T) {
	c := qt.New(t)
	f, closeFeed, err := New(Config{
		VM: "a", Address: "127.0.0.1:0", StartupWait: time.Minute, Rank: func() int { return 0 }, Peers: func() []string { return nil },
		Progress: func() (Update, bool) { return Update{}, true }, OnUpdate: func(Update) {}, Log: hclog.NewNullLogger(),
	})
	c.Assert(err, qt.IsNil)
	defer closeFeed()
	c.Assert(f.ShouldRead(false, time.Now()), qt.IsFalse)
	c.Assert(f.ShouldRead(false, time.Now().Add(2*time.Minute)), qt.IsTrue)
}
