package gladerelay

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

// releaseBound is the time within which a release must be in force everywhere.
const releaseBound = 2 * time.Second

// errStore means that a VM cannot read the store.
var errStore = errors.New("no access to the store")

// relayVM is a VM with a membership and a relay.
type relayVM struct {
	release atomic.Pointer[gladerelease.Release]
	history gladerelease.History
	node    *gladepeer.Node
	relay   *Relay
	close   func()
}

// apply puts a release in force unless the one in force is as new.
func (v *relayVM) apply(r *gladerelease.Release, _ string) {
	if old := v.release.Load(); r != nil && (old == nil || old.Version < r.Version) {
		v.release.Store(r)
	}
}

func (v *relayVM) version() int64 {
	if r := v.release.Load(); r != nil {
		return r.Version
	}
	return 0
}

func startRelayVM(c *qt.C, w *gladewire.Network, name, domain string) *relayVM {
	h := w.Host(name)
	node, closeNode, err := gladepeer.New(gladepeer.Config{
		Self: gladeapi.EntryVM{
			Name: name, FailureDomain: domain, PeerAddress: name + ":1", Incarnation: fmt.Sprintf("%020d", time.Now().UnixNano()),
		},
		Seeds: []string{"vm-0:1", "vm-1:1"}, Interval: 400 * time.Millisecond, Suspicion: 4 * time.Second, Dial: h.Dial, Listen: h.Listen,
	})
	c.Assert(err, qt.IsNil)
	v := &relayVM{node: node}
	relay, closeRelay := New(Config{
		Node:  node,
		State: func() State { return State{Release: v.version(), Servers: 1} }, Release: v.release.Load, History: &v.history,
		Reading: func() bool { return false }, ReadRelease: func(context.Context) error { return errStore },
		Servers: func() Servers { return Servers{} }, OnRelease: v.apply, OnServers: func(Servers, string) {},
		OnNewest: func(int64) {}, Log: hclog.NewNullLogger(),
	})
	v.relay = relay
	v.close = func() {
		closeRelay()
		closeNode()
	}
	return v
}

// worstDelay puts a release in force at the first VM at each interval and returns the longest time until the second one had
// it.
func worstDelay(from, to *relayVM, interval, lasts time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	worst := time.Duration(0)
	next, began := time.Now(), time.Now()
	var pending []time.Time // when the versions after that of the second VM were put in force
	for ; time.Since(began) < lasts; time.Sleep(step) {
		if !time.Now().Before(next) {
			from.apply(newRelease(from.version()+1), "store")
			pending = append(pending, time.Now())
			next = next.Add(interval)
		}
		pending = pending[len(pending)-int(from.version()-to.version()):]
		if len(pending) > 0 {
			worst = max(worst, time.Since(pending[0]))
		}
	}
	return worst
}

func newRelease(version int64) *gladerelease.Release {
	r := &gladerelease.Release{Version: version}
	r.Index()
	return r
}

// Guards against a VM that falls further and further behind while releases follow each other faster than the time for which
// it leaves the newest one to its own watch.
func TestReleasesInQuickSuccessionReachVMThatHearsNoReader(t *testing.T) {
	for _, interval := range []time.Duration{time.Second, 350 * time.Millisecond, 250 * time.Millisecond, 150 * time.Millisecond, 40 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := &gladewire.Network{}
				from, to := startRelayVM(c, w, "vm-0", "a"), startRelayVM(c, w, "vm-1", "a")
				from.apply(newRelease(1), "store")
				time.Sleep(5 * time.Second)
				c.Assert(to.version(), qt.Equals, int64(1))
				worst := worstDelay(from, to, interval, 30*time.Second)
				c.Check(worst < releaseBound, qt.IsTrue, qt.Commentf("%v behind", worst))
				from.close()
				to.close()
			})
		})
	}
}
