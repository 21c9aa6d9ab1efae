package gladepeer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

// Guards against exchanges that wait on a lost connection until their time limit of three intervals, in which facts do not spread to
// the VM at its other end.
func TestExchangeMovesFromLostConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := &gladewire.Network{}
		nodes, closers := startNodes(c, w, 2, 1)
		time.Sleep(9500 * time.Millisecond)
		w.Sever("vm-0", "vm-1")
		c.Assert(nodes[0].Publish("release", 2), qt.IsNil)
		time.Sleep(500*time.Millisecond + silenceLimit + 10*time.Millisecond) // the next interval begins after 500 ms
		c.Check(string(findMember(nodes[1], "vm-0").Facts["release"]), qt.Equals, "2")
		for _, closeNode := range closers {
			closeNode()
		}
	})
}

// Guards against several connections per exchange to a peer that is paused. Each exchange ends at its time limit of three intervals and
// leaves one connection to be replaced; only the first, on a connection older than Config.Suspicion, replaces one earlier as well.
func TestPausedPeerGetsFewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := &gladewire.Network{}
		var dials atomic.Int64
		first, closeFirst := startNode(c, w, "vm-0", "domain-0", "1", func(config *Config) {
			dial := config.Dial
			config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				dials.Add(1)
				return dial(ctx, network, address)
			}
		})
		_, closeSecond := startNode(c, w, "vm-1", "domain-0", "1", nil)
		time.Sleep(9500 * time.Millisecond)
		before := dials.Load()
		w.Pause("vm-1")
		time.Sleep(12 * time.Second) // exchanges begin after 0.5, 3.5, 6.5 and 9.5 s
		opened := dials.Load() - before
		c.Check(opened <= 4, qt.IsTrue, qt.Commentf("%d connections", opened))
		w.Resume("vm-1")
		time.Sleep(5 * time.Second)
		c.Check(memberNames(first), qt.HasLen, 1)
		closeFirst()
		closeSecond()
	})
}

// Guards against VMs that go on using connections to each other which the network has lost without a word, in the time until something
// changes: the cause that the day severed.toml plays. Both processes of each connection run on, so that neither has a new incarnation.
func TestSeveredConnectionsAreReplaced(t *testing.T) {
	const (
		vms = 6
		// quiet is the time between the loss and the change, and spread the time that the change may take.
		quiet  = 4500 * time.Millisecond
		spread = 2 * time.Second
	)
	for _, share := range []int{1, 2, 3} { // each, every second or every third connection
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := &gladewire.Network{}
				nodes, closers := startNodes(c, w, vms, 2)
				for _, n := range nodes {
					serveEcho(n)
				}
				time.Sleep(9 * time.Second)
				for a := range vms {
					for b := range a {
						if (a+b)%share == 0 {
							w.Sever(fmt.Sprintf("vm-%d", a), fmt.Sprintf("vm-%d", b))
						}
					}
				}
				time.Sleep(quiet)
				c.Assert(nodes[4].Publish("release", 2), qt.IsNil)
				time.Sleep(spread)
				unanswered := 0
				for i, n := range nodes {
					c.Check(memberNames(n), qt.HasLen, vms-1, qt.Commentf("vm-%d", i))
					if m := findMember(n, "vm-4"); i != 4 && c.Check(m, qt.IsNotNil, qt.Commentf("vm-%d", i)) {
						c.Check(string(m.Facts["release"]), qt.Equals, "2", qt.Commentf("vm-%d", i))
					}
					if i != 1 {
						_, err := callTime(c, n)
						if err != nil { // one call finds that a connection without other traffic is lost
							c.Check(err, qt.ErrorIs, ErrNoAnswer)
							unanswered++
						}
						took, err := callTime(c, n)
						c.Check(err, qt.IsNil, qt.Commentf("vm-%d", i))
						c.Check(took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("vm-%d: %v", i, took))
					}
				}
				t.Logf("%d first calls without an answer", unanswered)
				for _, closeNode := range closers {
					closeNode()
				}
			})
		})
	}
}
