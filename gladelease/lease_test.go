package gladelease_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/eelgrassglade/eelgrassglade/gladelease"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

const duration = 9 * time.Second

// engine refuses orders whose fencing number is lower than an earlier one.
// It records a violation if two holders use the same number.
type engine struct {
	mu         sync.Mutex
	newest     int64
	holders    map[int64]string
	accepted   int
	refused    int
	violations []string
}

func (e *engine) order(holder string, number int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holders[number] != "" && e.holders[number] != holder {
		e.violations = append(e.violations, fmt.Sprintf("fencing number %d used by both %s and %s", number, e.holders[number], holder))
	}
	e.holders[number] = holder
	if number < e.newest {
		e.refused++
		return
	}
	e.newest = number
	e.accepted++
}

// testEnv connects several leases with the same name to one simulated platform and one engine.
type testEnv struct {
	network   *gladewire.Network
	platform  *gladestandin.Platform
	engine    *engine
	leases    []*gladelease.Lease
	wallSteps []time.Duration // total steps of each holder's wall clock
	mu        sync.Mutex
	pause     time.Duration // delays the next order once
	close     func()
}

func newTestEnv(n int, faults ...gladestandin.PlatformFaults) *testEnv {
	e := &testEnv{network: &gladewire.Network{}, platform: &gladestandin.Platform{}, engine: &engine{holders: map[int64]string{}}}
	l, err := e.network.Host("platform").Listen("tcp", "platform:80")
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: e.platform}
	go func() { _ = s.Serve(l) }()
	closers := []func(){func() { _ = s.Close() }}
	for _, f := range faults {
		e.platform.SetFaults(f)
	}
	e.wallSteps = make([]time.Duration, n)
	start := time.Now()
	for i := range n {
		name := fmt.Sprintf("vm-%d", i)
		store, closeStore := gladestore.New(gladestore.Config{Address: "http://platform:80", Dial: e.network.Host(name).Dial, FailureDomain: name})
		var lease *gladelease.Lease
		lease, stop := gladelease.New(gladelease.Config{
			Store: store, Name: "orders-shubra", Holder: name, Duration: duration,
			Clock: func() (time.Duration, time.Time) {
				e.mu.Lock()
				defer e.mu.Unlock()
				return time.Since(start), time.Now().Round(0).Add(e.wallSteps[i])
			},
			Lead: func(ctx context.Context, g gladelease.Grant) { e.lead(ctx, name, g) },
		})
		e.leases = append(e.leases, lease)
		closers = append(closers, closeStore, stop)
	}
	e.close = func() {
		e.platform.SetFaults(gladestandin.PlatformFaults{})
		for i := len(closers) - 1; i >= 0; i-- {
			closers[i]()
		}
		time.Sleep(10 * time.Second) // lets delayed calls finish
		synctest.Wait()
	}
	return e
}

// lead sends orders until its grant ends. A pause delays an order after the check of the grant.
func (e *testEnv) lead(ctx context.Context, name string, g gladelease.Grant) {
	for ctx.Err() == nil {
		e.mu.Lock()
		pause := e.pause
		e.pause = 0
		e.mu.Unlock()
		time.Sleep(pause)
		e.engine.order(name, g.FencingNumber)
		time.Sleep(100 * time.Millisecond)
	}
}

func (e *testEnv) holders() []int {
	var held []int
	for i, l := range e.leases {
		if _, ok := l.Held(); ok {
			held = append(held, i)
		}
	}
	return held
}

// waitForHolder waits until there is exactly one holder and returns its index, or -1 if there is none within d.
func (e *testEnv) waitForHolder(d time.Duration) int {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if held := e.holders(); len(held) == 1 {
			return held[0]
		}
	}
	return -1
}

type step struct {
	Kind  int
	VM    int
	Value int
}

// TestRandomFaults injects random faults. It checks that each fencing number has one holder, that no two processes hold
// the lease at once, and that there is a holder after the faults end.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{
				Kind:  rapid.IntRange(0, 8).Draw(r, "kind"),
				VM:    rapid.IntRange(0, 2).Draw(r, "vm"),
				Value: rapid.IntRange(1, 12).Draw(r, "value"),
			}
		}), 1, 12).Draw(r, "steps")
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runSteps(steps) })
		if len(violations) > 0 {
			r.Fatalf("%v", violations)
		}
	})
}

func runSteps(steps []step) []string {
	e := newTestEnv(3)
	var violations []string
	watch, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ; watch.Err() == nil; time.Sleep(20 * time.Millisecond) {
			if held := e.holders(); len(held) > 1 {
				violations = append(violations, fmt.Sprint("several holders at once: ", held))
			}
		}
	}()
	for _, s := range steps {
		e.apply(s)
		time.Sleep(time.Duration(s.Value) * time.Second)
	}
	e.platform.SetFaults(gladestandin.PlatformFaults{})
	for i := range e.leases {
		e.network.Resume(fmt.Sprintf("vm-%d", i))
	}
	time.Sleep(20 * time.Second)
	if e.waitForHolder(20*time.Second) < 0 {
		violations = append(violations, "no holder after the faults ended")
	}
	cancel()
	<-done
	e.close()
	e.engine.mu.Lock()
	defer e.engine.mu.Unlock()
	return append(violations, e.engine.violations...)
}

func (e *testEnv) apply(s step) {
	name := fmt.Sprintf("vm-%d", s.VM)
	switch s.Kind {
	case 0:
		e.platform.SetFaults(gladestandin.PlatformFaults{Down: true})
	case 1:
		e.platform.SetFaults(gladestandin.PlatformFaults{LoseAnswers: s.Value})
	case 2:
		e.platform.SetFaults(gladestandin.PlatformFaults{Delay: time.Duration(s.Value) * 300 * time.Millisecond})
	case 3:
		e.platform.SetFaults(gladestandin.PlatformFaults{CutOff: []string{name}})
	case 4:
		e.platform.SetFaults(gladestandin.PlatformFaults{})
	case 5:
		e.network.Pause(name)
	case 6:
		e.network.Resume(name)
	case 7:
		e.mu.Lock()
		e.pause = time.Duration(s.Value) * 2 * time.Second
		e.mu.Unlock()
	case 8:
		e.mu.Lock()
		e.wallSteps[s.VM] += time.Duration(s.Value-6) * 2 * time.Second
		e.mu.Unlock()
	}
}

func TestPausedHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newTestEnv(2)
		defer e.close()
		first := e.waitForHolder(20 * time.Second)
		c.Assert(first >= 0, qt.IsTrue)
		name := fmt.Sprintf("vm-%d", first)
		e.mu.Lock()
		e.pause = 30 * time.Second
		e.mu.Unlock()
		e.network.Pause(name)
		time.Sleep(25 * time.Second)
		second := e.waitForHolder(time.Second)
		c.Assert(second >= 0 && second != first, qt.IsTrue)
		e.network.Resume(name)
		time.Sleep(15 * time.Second)
		e.engine.mu.Lock()
		defer e.engine.mu.Unlock()
		c.Assert(e.engine.refused > 0, qt.IsTrue)
		c.Assert(e.engine.violations, qt.HasLen, 0)
	})
}

func TestHolderStopsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newTestEnv(2)
		defer e.close()
		c.Assert(e.waitForHolder(20*time.Second) >= 0, qt.IsTrue)
		e.platform.SetFaults(gladestandin.PlatformFaults{Down: true})
		time.Sleep(duration * 2 / 3)
		c.Assert(e.holders(), qt.HasLen, 0)
		e.platform.SetFaults(gladestandin.PlatformFaults{})
		c.Assert(e.waitForHolder(20*time.Second) >= 0, qt.IsTrue)
	})
}

// TestLostAnswerKeepsGrant drops the answer to a renewal. In the second case the platform is also unavailable when the
// holder reads the object back.
func TestLostAnswerKeepsGrant(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprint(down), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e := newTestEnv(2)
				defer e.close()
				first := e.waitForHolder(20 * time.Second)
				c.Assert(first >= 0, qt.IsTrue)
				before, _ := e.leases[first].Held()
				e.platform.SetFaults(gladestandin.PlatformFaults{LoseAnswers: 1})
				for e.platform.Faults().LoseAnswers > 0 {
					time.Sleep(time.Millisecond)
				}
				if down {
					e.platform.SetFaults(gladestandin.PlatformFaults{Down: true})
					time.Sleep(2 * time.Second)
					e.platform.SetFaults(gladestandin.PlatformFaults{})
				}
				time.Sleep(3 * duration)
				after, held := e.leases[first].Held()
				c.Assert(held, qt.IsTrue)
				c.Assert(after, qt.Equals, before)
			})
		})
	}
}

func TestLostAnswerToAcquisitionIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newTestEnv(1, gladestandin.PlatformFaults{LoseAnswers: 1})
		defer e.close()
		c.Assert(e.waitForHolder(time.Second), qt.Equals, 0)
		g, _ := e.leases[0].Held()
		c.Assert(g.FencingNumber, qt.Equals, int64(1))
	})
}

func TestWallClockJumpEndsGrant(t *testing.T) {
	for _, jump := range []time.Duration{duration, -duration} {
		t.Run(jump.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e := newTestEnv(1)
				defer e.close()
				c.Assert(e.waitForHolder(time.Second), qt.Equals, 0)
				before, _ := e.leases[0].Held()
				e.mu.Lock()
				e.wallSteps[0] = jump
				e.mu.Unlock()
				c.Assert(e.holders(), qt.HasLen, 0)
				c.Assert(e.waitForHolder(duration), qt.Equals, 0)
				after, _ := e.leases[0].Held()
				c.Assert(after.FencingNumber > before.FencingNumber, qt.IsTrue)
			})
		})
	}
}

func Example() {
	platform := httptest.NewServer(&gladestandin.Platform{})
	defer platform.Close()
	store, closeStore := gladestore.New(gladestore.Config{Address: platform.URL})
	defer closeStore()
	leading := make(chan gladelease.Grant)
	_, release := gladelease.New(gladelease.Config{
		Store: store, Name: "orders-shubra", Holder: "shubra-vm-1",
		Lead: func(ctx context.Context, g gladelease.Grant) {
			leading <- g
			<-ctx.Done()
		},
	})
	g := <-leading
	fmt.Println("fencing number", g.FencingNumber)
	release()
	// Output: fencing number 1
}
