package gladedecider

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
)

var errDown = errors.New("the store is down")

const (
	service = "app"
	// watchDelay is how long a change of the store takes to reach a VM.
	watchDelay = 50 * time.Millisecond
	limit      = 12 * time.Second
)

// world is a store and the VMs that may decide, in virtual time.
type world struct {
	*qt.C
	decide func(gladerollout.Input) gladerollout.Decision

	mu      sync.Mutex
	order   gladerollout.Rollout
	written []written
	vms     []*testVM
	// down makes calls fail; losesAnswers makes writes take effect and fail; delay makes them take effect later and fail at once.
	down, losesAnswers bool
	delay              time.Duration
}

// written is a status that took effect.
type written struct {
	gladerollout.Status

	vm string
	at time.Time
}

// testVM is a VM that may decide.
type testVM struct {
	*world
	name     string
	registry *Registry
	decider  *Decider
	close    func()

	// cut makes the VM lose the store, isolated its heartbeats; both are protected by world.mu, as is all that follows.
	cut, isolated bool
	// demoted makes it no candidate, and alone makes it see no other one.
	demoted, alone bool
	frozen         chan struct{}
	// calls are the calls that the VM made.
	calls calls
}

// calls counts the writes that a VM tried and its reads, and holds its notices.
type calls struct {
	writes, reads int
	stops         []Stop
}

// made returns the calls that the VM made.
func (v *testVM) made() calls {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls
}

// runWorld calls f with a number of VMs in virtual time.
func runWorld(t *testing.T, vms int, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{C: qt.New(t), decide: stay}
		for i := range vms {
			w.startVM("vm-" + string(rune('a'+i)))
		}
		defer func() {
			for _, v := range w.vms {
				v.thaw()
				v.close()
			}
		}()
		f(w)
	})
}

// stay claims an order with a small share and decides nothing more.
func stay(in gladerollout.Input) gladerollout.Decision {
	if in.Rollout.Status.Target != in.Rollout.Target || in.Rollout.Status.DurationS != in.Rollout.Duration.Seconds() {
		return gladerollout.Decision{Status: gladerollout.Status{State: gladerollout.InProgress, Target: in.Rollout.Target, Share: 0.1}, Reason: "seen"}
	}
	return gladerollout.Decision{Status: in.Rollout.Status}
}

func (w *world) startVM(name string) *testVM {
	v := &testVM{world: w, name: name, registry: NewRegistry(2500 * time.Millisecond)}
	w.mu.Lock()
	w.vms = append(w.vms, v)
	w.mu.Unlock()
	v.registry.List(nil, 1, time.Now())
	v.decider, v.close = New(Config{
		VM: name, Registry: v.registry, CanaryShare: 0.1, CanarySlack: 50, Candidates: v.candidates,
		Reached: func() bool { w.mu.Lock(); defer w.mu.Unlock(); return !v.cut && !w.down },
		Write:   v.write, Read: v.read, Servers: func(string, string) (int, int) { return 2, 2 },
		Stop:      func(s Stop) { w.mu.Lock(); defer w.mu.Unlock(); v.calls.stops = append(v.calls.stops, s) },
		Heartbeat: v.heartbeat, OnChange: func() {}, Decide: func(in gladerollout.Input) gladerollout.Decision {
			w.mu.Lock()
			decide := w.decide
			w.mu.Unlock()
			return decide(in)
		},
		Now: time.Now, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
	})
	return v
}

func (v *testVM) candidates() []string {
	v.mu.Lock()
	frozen := v.frozen
	v.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var names []string
	for _, o := range v.vms {
		if !o.demoted && (o == v || !v.alone) {
			names = append(names, o.name)
		}
	}
	return names
}

// freeze stops the VM at its next step until thaw.
func (v *testVM) freeze() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen == nil {
		v.frozen = make(chan struct{})
	}
}

func (v *testVM) thaw() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen != nil {
		close(v.frozen)
		v.frozen = nil
	}
}

// kill ends the VM.
func (v *testVM) kill() {
	v.close()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vms = slices.DeleteFunc(v.vms, func(o *testVM) bool { return o == v })
}

func (v *testVM) heartbeat(b Heartbeat) {
	v.mu.Lock()
	vms, isolated := slices.Clone(v.vms), v.isolated
	v.mu.Unlock()
	for _, o := range vms {
		if o != v && !isolated {
			go o.decider.HandleHeartbeat(b)
		}
	}
}

// put orders a roll-out.
func (w *world) put(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.order.Service, w.order.Target, w.order.Duration = service, target, limit
	w.order.Revision++
	w.distribute()
}

// distribute tells the VMs of a change. The caller holds w.mu.
func (w *world) distribute() {
	order := w.order
	for _, v := range w.vms {
		if !v.cut && v.frozen == nil && !w.down {
			time.AfterFunc(watchDelay, func() { v.registry.Put(order, time.Now()) })
		}
	}
}

func (v *testVM) write(_ context.Context, _ string, revision int64, s gladerollout.Status) (gladerollout.Rollout, error) {
	time.Sleep(10 * time.Millisecond)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls.writes++
	switch {
	case v.down || v.cut:
		return gladerollout.Rollout{}, errDown
	case v.delay > 0:
		time.AfterFunc(v.delay, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			_, _ = v.execute(revision, s)
		})
		return gladerollout.Rollout{}, errDown
	}
	order, err := v.execute(revision, s)
	if v.losesAnswers {
		return gladerollout.Rollout{}, errDown
	}
	return order, err
}

// execute carries out a write in the store. The caller holds mu.
func (v *testVM) execute(revision int64, s gladerollout.Status) (gladerollout.Rollout, error) {
	if revision != v.order.Revision {
		return v.order, ErrConflict
	}
	v.order.Revision++
	v.order.Status = s
	v.written = append(v.written, written{Status: s, vm: v.name, at: time.Now()})
	v.distribute()
	return v.order, nil
}

func (v *testVM) read(context.Context) error {
	time.Sleep(10 * time.Millisecond)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls.reads++
	if v.down || v.cut {
		return errDown
	}
	v.registry.List([]gladerollout.Rollout{v.order}, v.order.Revision, time.Now())
	return nil
}

// set changes the faults.
func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// last returns the status in the store, and statuses all that took effect.
func (w *world) last() gladerollout.Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.order.Status
}

func (w *world) statuses() []written {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.written)
}

// decidingVM returns the VM that the status names.
func (w *world) decidingVM() *testVM {
	name := w.last().Decider
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.IndexFunc(w.vms, func(v *testVM) bool { return v.name == name })
	w.Assert(i >= 0, qt.IsTrue, qt.Commentf("decider %q", name))
	return w.vms[i]
}

// checkTerms checks that each status has a term as high as the one before, and a higher one if another VM wrote it.
func (w *world) checkTerms() {
	all := w.statuses()
	for i := 1; i < len(all); i++ {
		higher := all[i].Term > all[i-1].Term
		w.Check(higher || all[i].Term == all[i-1].Term && all[i].vm == all[i-1].vm, qt.IsTrue, qt.Commentf("%+v", all))
	}
}

// advance moves virtual time forward and waits until all goroutines are blocked again.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
