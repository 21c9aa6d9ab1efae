package gladefront

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedatagram"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladefeed"
)

// silentVM is a member of the failure domain that tells the others what it has read, and whose calls go unanswered, as on a
// connection to its former process.
type silentVM struct {
	f      *testFleet
	asked  atomic.Int64
	socket *gladedatagram.Socket[gladefeed.Update]
	close  func()
}

func (f *testFleet) startSilentVM(host int) *silentVM {
	v := &silentVM{f: f}
	node, closeNode, err := gladepeer.New(gladepeer.Config{
		Self: gladeapi.EntryVM{
			Name: "vm-silent", FailureDomain: f.domain(host), PeerAddress: f.address(host, 7200), EntryAddress: f.address(host, 8000), Incarnation: "1",
		},
		Seeds: f.seeds, Interval: peerInterval, Suspicion: peerSuspicion, Log: hclog.NewNullLogger(),
	})
	f.Assert(err, qt.IsNil)
	ask := func(ctx context.Context, _ string, _ struct{}) (struct{}, error) {
		v.asked.Add(1)
		<-ctx.Done()
		return struct{}{}, ctx.Err()
	}
	gladepeer.Handle(node, "release", ask)
	gladepeer.Handle(node, "servers", ask)
	socket, closeSocket, err := gladedatagram.Open(gladedatagram.Config[gladefeed.Update]{
		Address: f.address(host, 7200+feedPortOffset), OnReceive: func(gladefeed.Update) {}, Log: hclog.NewNullLogger(),
	})
	f.Assert(err, qt.IsNil)
	v.socket = socket
	v.close = func() {
		closeSocket()
		closeNode()
	}
	f.Cleanup(v.close)
	return v
}

// announce sends an update of the store's newest state, as a reader that has just listed it.
func (v *silentVM) announce(version int64, hosts ...int) {
	v.f.store.mu.Lock()
	revision := v.f.store.revision
	v.f.store.mu.Unlock()
	var addresses []string
	for _, h := range hosts {
		addresses = append(addresses, v.f.address(h, 7200+feedPortOffset))
	}
	u := gladefeed.Update{VM: "vm-silent", Before: revision, Revision: revision, Release: version, Reading: true}
	v.f.Check(v.socket.Send(u, addresses), qt.IsNil)
}

// publication is when a release was published, and the lateness of this process until then.
type publication struct {
	at   time.Time
	late time.Duration
}

// releaseDelay is how long a VM took to put a release in force, and the part of it for which this process got no processor.
type releaseDelay struct{ total, late time.Duration }

// String returns both times in milliseconds.
func (d releaseDelay) String() string {
	return fmt.Sprintf("%dms (no processor for %dms)", d.total.Milliseconds(), d.late.Milliseconds())
}

// releaseDelays follows how long VMs take to put releases in force.
type releaseDelays struct {
	lateness  *lateness
	published []publication // by version
	worst     map[int]releaseDelay
	// seen holds the last version in force at each VM, and first the version before the first one published.
	seen  map[int]int64
	first int64
}

// observe updates the worst delays by the versions in force now, and checks that none is older than before.
func (d *releaseDelays) observe(c *qt.C, fronts map[int]*Front) {
	for host, front := range fronts {
		version := front.release.Load().Version
		now := time.Now()
		c.Check(version >= d.seen[host], qt.IsTrue, qt.Commentf("vm-%d went back from %d to %d", host, d.seen[host], version))
		d.seen[host] = version
		if next := version - d.first; next < int64(len(d.published)) {
			p := d.published[max(0, next)]
			if delay := now.Sub(p.at); delay > d.worst[host].total {
				d.worst[host] = releaseDelay{delay, d.lateness.at(now) - p.late}
			}
		}
	}
}

// storm publishes a release at each interval, calls each in every step, and returns the worst delay of each VM. The time for which this
// process got no processor does not count towards its length: the VMs would have had less time to do what is checked at the end.
func (f *testFleet) storm(fronts map[int]*Front, interval, lasts time.Duration, each func(version int64, since time.Duration)) map[int]releaseDelay {
	const step = 10 * time.Millisecond
	d := releaseDelays{lateness: f.lateness, worst: map[int]releaseDelay{}, seen: map[int]int64{}, first: f.version}
	began := time.Now()
	late := f.lateness.at(began)
	ran := func() time.Duration {
		now := time.Now()
		return now.Sub(began) - (f.lateness.at(now) - late)
	}
	for next := began; ran() < lasts; time.Sleep(step) {
		for !time.Now().Before(next) {
			now := time.Now()
			d.published = append(d.published, publication{now, f.lateness.at(now)})
			f.publishNext()
			next = next.Add(interval)
		}
		each(f.version, time.Since(began))
		d.observe(f.C, fronts)
	}
	return d.worst
}

// Guards against VMs that stay at an old release while one VM tells them of newer ones and does not answer their calls: its
// updates were handled one at a time, a call each, and those of the reader waited behind them.
func TestVMThatDoesNotAnswerHoldsUpNoRelease(t *testing.T) {
	f := newTestFleet(t)
	f.publish(1, "/a/")
	fronts := map[int]*Front{}
	for host := 1; host <= 4; host++ {
		fronts[host], _ = f.startVM(host)
	}
	for _, front := range fronts {
		f.eventually("ready", func() bool { return front.Ready() && front.vmCount() == 4 })
	}
	silent := f.startSilentVM(9)
	for _, front := range fronts {
		f.eventually("the silent VM is known", func() bool { return front.vmCount() == 5 })
	}
	check := func(phase string) {
		last := time.Duration(0)
		worst := f.storm(fronts, 150*time.Millisecond, 6*time.Second, func(version int64, since time.Duration) {
			if since-last > 200*time.Millisecond && since < 2*time.Second {
				silent.announce(version, 1, 2, 3, 4)
				last = since
			}
		})
		t.Logf("worst delays, %s: %v", phase, worst)
		for host, delay := range worst {
			f.Check(delay.total < 2*time.Second, qt.IsTrue, qt.Commentf("%s: vm-%d is %v behind", phase, host, delay))
		}
	}
	check("no VM reads yet") // releases of the first second wait for the first reader
	f.eventually("a VM reads", func() bool { return slices.ContainsFunc(slices.Collect(maps.Values(fronts)), (*Front).isReading) })
	check("one VM reads")
	f.Check(silent.asked.Load() > 0, qt.IsTrue) // the calls were really made, and none was answered
}
