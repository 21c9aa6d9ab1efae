package gladepeer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

func serveEcho(n *Node) {
	Handle(n, "echo", func(_ context.Context, _, text string) (string, error) { return text, nil })
}

// callTime returns how long a call of vm-1 by another node takes, at most a second.
func callTime(c *qt.C, n *Node) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(c.Context(), time.Second)
	defer cancel()
	began := time.Now()
	_, err := Call[string, string](ctx, n, "vm-1", "echo", "x")
	return time.Since(began), err
}

// Guards against calls to a VM that has returned after a loss of power going out on connections to its former process,
// which no end has closed, until the network gives them up.
func TestCallsReachVMBackAfterPowerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := &gladewire.Network{}
		first, closeFirst := startNode(c, w, "vm-0", "domain-0", "1", nil)
		old, closeOld := startNode(c, w, "vm-1", "domain-0", "1", nil)
		third, closeThird := startNode(c, w, "vm-2", "domain-0", "1", nil)
		serveEcho(old)
		time.Sleep(5 * time.Second)
		for _, n := range []*Node{first, third} {
			_, err := callTime(c, n)
			c.Assert(err, qt.IsNil)
		}
		w.PowerOff("vm-1")
		closeOld()
		time.Sleep(2 * time.Second)
		back, closeBack := startNode(c, w, "vm-1", "domain-0", "2", nil)
		serveEcho(back)
		for _, n := range []*Node{first, third} {
			for known := false; !known; {
				time.Sleep(10 * time.Millisecond)
				m := findMember(n, "vm-1")
				known = m != nil && m.Incarnation == "2"
			}
			took, err := callTime(c, n)
			c.Check(err, qt.IsNil)
			c.Check(took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		}
		for _, closeNode := range []func(){closeFirst, closeThird, closeBack} {
			closeNode()
		}
	})
}

// Guards against one silent connection failing call after call: the process at its other end was replaced under the same
// incarnation, or the network between them lost the connection.
func TestSilentConnectionIsReplacedAfterOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := &gladewire.Network{}
		first, closeFirst := startNode(c, w, "vm-0", "domain-0", "1", nil)
		old, closeOld := startNode(c, w, "vm-1", "domain-0", "1", nil)
		serveEcho(old)
		time.Sleep(5 * time.Second)
		_, err := callTime(c, first)
		c.Assert(err, qt.IsNil)
		w.PowerOff("vm-1")
		closeOld()
		back, closeBack := startNode(c, w, "vm-1", "domain-0", "1", func(cfg *Config) {
			cfg.Interval = time.Hour // it calls nobody
			cfg.Seeds = nil
		})
		serveEcho(back)
		_, err = callTime(c, first)
		c.Assert(eris.Is(err, ErrNoAnswer), qt.IsTrue)
		took, err := callTime(c, first)
		c.Check(err, qt.IsNil)
		c.Check(took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		closeFirst()
		closeBack()
	})
}

// A peer that is only slow keeps its connection: other answers come on it meanwhile.
func TestSlowHandlerKeepsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := &gladewire.Network{}
		nodes, closers := startNodes(c, w, 2, 1)
		serveEcho(nodes[1])
		Handle(nodes[1], "wait", func(ctx context.Context, _ string, _ int) (int, error) {
			select {
			case <-time.After(3 * time.Second):
			case <-ctx.Done():
			}
			return 7, nil
		})
		time.Sleep(5 * time.Second)
		answers := make(chan int, 1)
		go func() {
			n, err := Call[int, int](c.Context(), nodes[0], "vm-1", "wait", 0)
			c.Check(err, qt.IsNil)
			answers <- n
		}()
		ctx, cancel := context.WithTimeout(c.Context(), 1500*time.Millisecond)
		defer cancel()
		_, err := Call[int, int](ctx, nodes[0], "vm-1", "wait", 0)
		c.Check(eris.Is(err, ErrNoAnswer), qt.IsTrue)
		c.Check(<-answers, qt.Equals, 7)
		for _, closeNode := range closers {
			closeNode()
		}
	})
}
