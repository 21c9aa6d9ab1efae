package gladefront

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeforward"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedecider"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

// rolloutFleet is a fleet whose settings ask for roll-outs, with a server of each of two versions.
type rolloutFleet struct {
	*testFleet

	mu sync.Mutex
	// got counts the requests by version.
	got map[string]int
}

func newRolloutFleet(t testing.TB) *rolloutFleet {
	f := &rolloutFleet{testFleet: newTestFleet(t), got: map[string]int{}}
	f.rollouts = true
	f.store.put(gladeplatform.KindConfig, gladeplatform.ConfigName, releaseText(1, "/a/"))
	for i, version := range []string{"v1", "v2"} {
		f.listen(210+i, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			f.got[version]++
			f.mu.Unlock()
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.Header().Set("Server-Seal", "seal")
		}))
	}
	f.list("v1")
	return f
}

// list lists the server of a version.
func (f *rolloutFleet) list(version string) {
	host := map[string]int{"v1": 210, "v2": 211}[version]
	f.store.put(gladeplatform.KindServers, "i-"+version, fmt.Sprintf(
		`{"service":"app","addr":%q,"zone":"shubra","slots":6,"state":"ready","born":1,"version":%q}`, f.address(host, 8000), version))
}

// order orders a roll-out of a version; the status may be empty.
func (f *rolloutFleet) order(target, status string) {
	f.store.put(gladeplatform.KindRollouts, "app", fmt.Sprintf(`{"service":"app","target":%q,"duration_s":12}`, target))
	if status != "" {
		f.store.set(func() {
			f.store.objects[gladeplatform.KindRollouts]["app"].status = json.RawMessage(status)
			f.store.addChange(gladeplatform.KindRollouts, "app")
		})
	}
}

// status returns the status in the store.
func (f *rolloutFleet) status() (s gladerollout.Status) {
	f.store.set(func() { _ = json.Unmarshal(f.store.objects[gladeplatform.KindRollouts]["app"].status, &s) })
	return s
}

func (f *rolloutFleet) requests(version string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.got[version]
}

// calls returns the calls to the store about roll-outs.
func (f *rolloutFleet) calls() (n int) {
	f.store.set(func() {
		for name, count := range f.store.calls {
			if strings.Contains(name, gladeplatform.KindRollouts) {
				n += count
			}
		}
	})
	return n
}

// callAll sends a number of requests to a VM.
func (f *rolloutFleet) callAll(host, count int) {
	for range count {
		f.get(host, 8000, "/a/x")
	}
}

// Guards against calls, fields and held servers on platforms that do not ask for roll-outs.
func TestNothingOfRolloutsWithoutContract(t *testing.T) {
	f := newRolloutFleet(t)
	f.rollouts = false
	f.order("v2", "")
	front, _ := f.startVM(1)
	second, _ := f.startVM(2)
	f.eventually("ready", func() bool { return front.Ready() && second.Ready() })
	f.list("v2")
	f.eventually("both versions are used", func() bool {
		f.callAll(1, 5)
		return f.requests("v1") > 0 && f.requests("v2") > 0
	})
	f.Assert(f.calls(), qt.Equals, 0)
	f.Assert(front.feedRollouts(), qt.IsNil)
	f.Assert(front.knownServers().Rollouts, qt.IsNil)
	for _, s := range front.knownServers().Servers {
		raw, err := json.Marshal(s)
		f.Assert(err, qt.IsNil)
		f.Assert(strings.Contains(string(raw), "Version"), qt.IsFalse)
	}
	f.Assert(front.Dump().Rollouts, qt.IsNil)
}

// Guards against a VM that serves before it knows which versions it may use, and against one that learns that from the store only.
func TestReadyOnlyWithRollouts(t *testing.T) {
	f := newRolloutFleet(t)
	f.list("v2")
	f.order("v2", `{"state":"reverted","target":"v2","durationS":12,"decider":"vm-9","term":1}`)
	f.store.set(func() { f.store.rejectedKinds = []string{gladeplatform.KindRollouts} })
	front, _ := f.startVM(1)
	f.eventually("servers and release known", func() bool {
		front.mu.Lock()
		defer front.mu.Unlock()
		return front.serversKnown && front.release.Load() != nil
	})
	f.Assert(front.Ready(), qt.IsFalse)
	status, header, _ := f.get(1, 8000, "/a/x")
	f.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	f.Assert(header.Get("Retry-After"), qt.Not(qt.Equals), "")
	f.Assert(f.requests("v1")+f.requests("v2"), qt.Equals, 0)
	f.store.set(func() { f.store.rejectedKinds = nil })
	f.eventually("ready", front.Ready)
	f.callAll(1, 10)
	f.Assert(f.requests("v2"), qt.Equals, 0)
	f.store.set(func() { f.store.rejects[2] = true })
	second, _ := f.startVM(2)
	f.eventually("second VM ready", second.Ready)
	f.callAll(2, 10)
	f.Assert(f.requests("v2"), qt.Equals, 0)
	f.Assert(f.requests("v1"), qt.Equals, 20)
	f.Assert(front.Dump().Rollouts[0].Status.State, qt.Equals, gladerollout.Reverted)
}

// Guards against VMs that are never ready because the store knows no kind of which there has been no object, and against calls
// without a pause.
func TestStoreWithoutOrders(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusBadRequest, http.StatusMethodNotAllowed, http.StatusNotImplemented} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			f := newRolloutFleet(t)
			f.store.set(func() { f.store.unknownKinds, f.store.unknownStatus = []string{gladeplatform.KindRollouts}, status })
			front, _ := f.startVM(1)
			f.eventually("ready", front.Ready)
			time.Sleep(time.Second)
			f.Assert(f.calls() <= 4, qt.IsTrue, qt.Commentf("%d calls", f.calls()))
			f.store.set(func() { f.store.unknownKinds = nil })
			f.order("v2", "")
			f.eventually("order known", func() bool { _, _, ok := front.rollouts.registry.Get("app", bootTime()); return ok })
		})
	}
}

// Guards against requests to servers of a version whose order this VM has not heard of, and against a hold without end.
func TestServersOfUnknownVersionAreHeld(t *testing.T) {
	f := newRolloutFleet(t)
	// The watch of the order says nothing; the read before the publication of the server does.
	f.store.set(func() {
		f.store.hangs[1], f.store.hangs[2] = []string{gladeplatform.KindRollouts}, []string{gladeplatform.KindRollouts}
	})
	front, _ := f.startVM(1)
	second, _ := f.startVM(2)
	f.eventually("ready", func() bool { return front.Ready() && second.Ready() })
	calls := f.calls()
	f.order("v2", `{"state":"reverted","target":"v2","durationS":12,"decider":"vm-9","term":1}`)
	f.list("v2")
	f.eventually("server known", func() bool { _, ok := second.fleet.Server("i-v2"); return ok })
	f.callAll(2, 10)
	f.Assert(f.requests("v2"), qt.Equals, 0)
	f.Assert(f.calls() > calls, qt.IsTrue)
	r, _, ok := second.rollouts.registry.Get("app", bootTime())
	f.Assert(ok, qt.IsTrue)
	f.Assert(r.Target, qt.Equals, "v2")
}

// Guards against a server of a new version that is held although the roll-outs are known, or for ever when they cannot be read.
func TestHoldEnds(t *testing.T) {
	for name, readable := range map[string]bool{"roll-outs known": true, "roll-outs not readable": false} {
		t.Run(name, func(t *testing.T) {
			f := newRolloutFleet(t)
			if !readable { // the watch says nothing, not even that there are no orders up to a revision
				f.store.set(func() { f.store.hangs[1] = []string{gladeplatform.KindRollouts} })
			}
			front, _ := f.startVM(1)
			f.eventually("ready", front.Ready)
			if !readable {
				f.store.set(func() { f.store.rejectedKinds = []string{gladeplatform.KindRollouts} })
			}
			f.list("v2")
			f.eventually("server known", func() bool { _, ok := front.fleet.Server("i-v2"); return ok })
			f.callAll(1, 10)
			f.Assert(f.requests("v2") > 0, qt.Equals, readable)
			f.eventually("both versions are used", func() bool { f.callAll(1, 5); return f.requests("v2") > 0 })
		})
	}
}

// Guards against VMs that go on with a share that may have been withdrawn while they were cut off, and against those that give up
// traffic that had moved.
func TestStaleRolloutsUseOldVersion(t *testing.T) {
	for _, share := range []float64{0.5, 1} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			f := newRolloutFleet(t)
			f.list("v2")
			// The decider is a VM that does not exist; the VM takes over once it reaches the store, and cannot before.
			f.order("v2", fmt.Sprintf(`{"state":"in_progress","target":"v2","share":%v,"durationS":12,"decider":"vm-9","term":1}`, share))
			front, _ := f.startVM(1)
			f.eventually("ready", front.Ready)
			f.eventually("target is used", func() bool { f.callAll(1, 4); return f.requests("v2") > 0 })
			f.store.set(func() { f.store.rejects[1] = true })
			f.eventually("not current", func() bool { return !front.rollouts.registry.Current(bootTime()) })
			time.Sleep(2 * rolloutCheckInterval)
			v1, v2 := f.requests("v1"), f.requests("v2")
			f.callAll(1, 10)
			if share < 1 {
				f.Assert(f.requests("v1")-v1, qt.Equals, 10)
			} else {
				f.Assert(f.requests("v2")-v2, qt.Equals, 10)
			}
		})
	}
}

// Guards against a notice to stop that reaches only some VMs, and against one of an earlier order that stops the next.
func TestStopReachesAllVMs(t *testing.T) {
	f := newRolloutFleet(t)
	f.list("v2")
	f.order("v2", `{"state":"in_progress","target":"v2","share":1,"durationS":12,"decider":"vm-9","term":9}`)
	fronts := map[int]*Front{}
	for host := 1; host <= 3; host++ {
		fronts[host], _ = f.startVM(host)
		f.eventually("ready", fronts[host].Ready)
	}
	f.eventually("members", func() bool { return len(fronts[1].node.Members()) == 2 })
	fronts[1].sendRolloutStop(gladedecider.Stop{Service: "app", Target: "v2", DurationS: 99}) // of another order
	time.Sleep(200 * time.Millisecond)
	f.callAll(2, 5)
	f.Assert(f.requests("v2"), qt.Equals, 5)
	fronts[1].sendRolloutStop(gladedecider.Stop{Service: "app", Target: "v2", DurationS: 12})
	time.Sleep(300 * time.Millisecond)
	before := f.requests("v2")
	for host := range fronts {
		f.callAll(host, 5)
	}
	f.Assert(f.requests("v2"), qt.Equals, before)
}

// Guards against an order for a target without servers that stays open, and against one without traffic.
func TestOrderWithoutServers(t *testing.T) {
	f := newRolloutFleet(t)
	front, _ := f.startVM(1)
	f.eventually("ready", front.Ready)
	f.store.put(gladeplatform.KindRollouts, "app", `{"service":"app","target":"v2","duration_s":4}`)
	began := time.Now()
	f.eventually("reverted", func() bool { return f.status().State == gladerollout.Reverted })
	f.Assert(time.Since(began) < 4*time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(began)))
	f.callAll(1, 5)
	f.Assert(f.requests("v1"), qt.Equals, 5)
	status := f.status()
	f.Assert(status.Target, qt.Equals, "v2")
	f.Assert(status.Decider, qt.Equals, "vm-1")
	_, _, text := f.get(1, 9464, "/metrics")
	for _, name := range []string{"rollout.pending", "rollout.sharePercent.app", "rollout.writes", "store.calls.write.rollouts.rollout"} {
		f.Assert(strings.Contains(text, name), qt.IsTrue, qt.Commentf("%s", name))
	}
}

// Guards against a new reader that takes its roll-outs for the newest before it has listed them: it knows the store to answer from the
// release or the servers.
func TestNewReaderConfirmsNothingBeforeItsList(t *testing.T) {
	f := newRolloutFleet(t)
	f.order("v2", `{"state":"in_progress","target":"v2","share":0.5,"durationS":12,"decider":"vm-9","term":1}`)
	front, _ := f.startVM(1)
	f.eventually("ready", front.Ready)
	f.store.set(func() { f.store.silentKinds = []string{gladeplatform.KindRollouts} })
	f.eventually("reading", front.isReading)
	for began := time.Now(); time.Since(began) < 3*rolloutCheckInterval; time.Sleep(10 * time.Millisecond) {
		f.Assert(front.rollouts.registry.Current(bootTime()), qt.IsFalse)
		f.Assert(front.rolloutStates().Current, qt.IsFalse)
	}
	f.store.set(func() { f.store.silentKinds = nil })
	f.eventually("current", func() bool { return front.rollouts.registry.Current(bootTime()) })
}

// Guards against a decider that stops the process because it decides before the socket for its messages is open.
func TestMessageBeforeSocketIsDropped(t *testing.T) {
	f := newRolloutFleet(t)
	front, _ := f.startVM(1)
	front.rollouts.mu.Lock()
	socket := front.rollouts.socket
	front.rollouts.socket = nil
	front.rollouts.mu.Unlock()
	front.sendHeartbeat(gladedecider.Heartbeat{VM: "vm-1", Service: "app", Term: 1})
	front.rollouts.mu.Lock()
	front.rollouts.socket = socket
	front.rollouts.mu.Unlock()
}

// Guards against a VM that was suspended and uses a share of before for the first requests after it resumes: its timers count on from
// where they stopped.
func TestSuspendedVMUsesNoStaleShare(t *testing.T) {
	c := qt.New(t)
	f := &Front{log: hclog.NewNullLogger(), metrics: metrics.NewRegistry(), fleet: gladefleet.New(gladefleet.Config{})}
	f.rollouts = newRollouts(f)
	var config gladeforward.Config
	f.useRollouts(&config)
	order := gladerollout.Rollout{Service: "app", Target: "v2", Duration: 12 * time.Second, Revision: 1}
	order.Status = gladerollout.Status{State: gladerollout.InProgress, Target: "v2", DurationS: 12, Share: 0.5, Decider: "vm-9", Term: 1}
	known := gladedecider.States{Revision: 1, Current: true, Known: []gladedecider.Known{{Rollout: order}}}
	before := bootTime().Add(-defaultRollbackBound)
	f.rollouts.registry.Merge(known, before)
	f.rollouts.selector.Set([]gladerollout.Rollout{order}, true)
	f.rollouts.appliedAt.Store(before.UnixNano())
	c.Assert(config.UsesVersion("app", "r", "v2"), qt.IsFalse)
	f.rollouts.selector.Set([]gladerollout.Rollout{order}, true)
	f.rollouts.appliedAt.Store(before.UnixNano())
	for range 4 {
		c.Assert(config.Versions("app", "r", false), qt.Equals, gladefleet.VersionRule{Except: "v2"})
	}
	// A state that is still confirmed is used as before.
	f.rollouts.registry.Merge(known, bootTime())
	f.applyRollouts("")
	c.Assert(config.UsesVersion("app", "r", "v2"), qt.IsTrue)
}

// Guards against requests that are rejected for about a second because the only version that there is has been ordered.
func TestOrderForVersionInUseRejectsNothing(t *testing.T) {
	f := newRolloutFleet(t)
	front, _ := f.startVM(1)
	f.eventually("reading", func() bool { return front.Ready() && front.followsRollouts() })
	f.order("v1", "")
	sent := 0
	f.eventually("share 1", func() bool {
		status, _, _ := f.get(1, 8000, "/a/x")
		f.Assert(status, qt.Equals, http.StatusOK)
		sent++
		return f.status().Share == 1
	})
	f.Assert(f.requests("v1"), qt.Equals, sent)
}

// Guards against a VM that starts in the middle of an order and rejects requests: the list of servers that it gets from a peer is newer than
// the peer's roll-outs, and each but the first version in it would be held.
func TestStartDuringOrderHoldsNoServer(t *testing.T) {
	for _, state := range []gladerollout.State{gladerollout.InProgress, gladerollout.Reverted} {
		t.Run(string(state), func(t *testing.T) {
			f := newRolloutFleet(t)
			f.order("v2", fmt.Sprintf(`{"state":%q,"target":"v2","durationS":12,"decider":"vm-9","term":1}`, state))
			front, _ := f.startVM(1)
			// The watch of the roll-outs says nothing, so that their revision falls behind that of the servers.
			f.store.set(func() { f.store.hangs[1] = []string{gladeplatform.KindRollouts} })
			f.eventually("reading", func() bool { return front.Ready() && front.followsRollouts() })
			// Its name makes this server the first one in lists.
			f.store.put(gladeplatform.KindServers, "i-0", fmt.Sprintf(
				`{"service":"app","addr":%q,"zone":"shubra","slots":6,"state":"ready","born":1,"version":"v2"}`, f.address(211, 8000)))
			f.eventually("target listed", func() bool { _, ok := front.fleet.Server("i-0"); return ok })
			f.list("v1")
			f.eventually("servers newer than roll-outs", func() bool {
				s := front.knownServers()
				return len(s.Servers) == 2 && s.Revision > s.Rollouts.Revision
			})
			f.store.set(func() { f.store.rejects[2] = true })
			second, _ := f.startVM(2)
			f.eventually("second VM ready", second.Ready)
			before := f.requests("v2")
			for range 20 {
				status, _, _ := f.get(2, 8000, "/a/x")
				f.Assert(status, qt.Equals, http.StatusOK)
			}
			if state == gladerollout.Reverted {
				f.Assert(f.requests("v2"), qt.Equals, before)
			}
		})
	}
}
