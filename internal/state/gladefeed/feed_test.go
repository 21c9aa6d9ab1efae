package gladefeed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

// Pattern: a reader dies among many VMs; one takes over, the others wait for it, and nobody reads when it is heard.
func TestOneVMAfterTheOtherReads(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	feed := func(rank int) *Feed {
		f := &Feed{config: Config{Rank: func() int { return rank }}}
		f.hear(now.Add(-time.Hour))
		f.hear(now)
		return f
	}
	c.Assert(feed(0).Wanted(false, now), qt.IsTrue)
	second, third := feed(1), feed(2)
	c.Assert(second.Wanted(false, now.Add(silence)), qt.IsFalse)
	at := now.Add(silence + stagger + time.Millisecond)
	c.Assert(second.Wanted(false, at), qt.IsTrue)
	c.Assert(third.Wanted(false, at), qt.IsFalse)
	// The new reader is heard; a VM that reads goes on until it can trust it.
	third.hear(at)
	c.Assert(third.Wanted(false, at.Add(beat)), qt.IsFalse)
	resumed := at.Add(time.Hour)
	for d := time.Duration(0); d < trust; d += beat {
		third.hear(resumed.Add(d))
		c.Assert(third.Wanted(true, resumed.Add(d)), qt.IsTrue)
	}
	third.hear(resumed.Add(trust))
	c.Assert(third.Wanted(true, resumed.Add(trust)), qt.IsFalse)
}

func TestVMsThatStartTogetherWait(t *testing.T) {
	c := qt.New(t)
	f, closeFeed, err := New(Config{
		VM: "a", Address: "127.0.0.1:0", Patience: time.Minute, Rank: func() int { return 0 }, Peers: func() []string { return nil },
		Read: func() (Update, bool) { return Update{}, true }, OnUpdate: func(Update) {}, Log: hclog.NewNullLogger(),
	})
	c.Assert(err, qt.IsNil)
	defer closeFeed()
	c.Assert(f.Wanted(false, time.Now()), qt.IsFalse)
	c.Assert(f.Wanted(false, time.Now().Add(2*time.Minute)), qt.IsTrue)
}
