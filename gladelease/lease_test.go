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

// engine accepts orders whose fencing number is not older than one before.
type engine struct {
	mu       sync.Mutex
	newest   int64
	holders  map[int64]string
	accepted int
	refused  int
	broken   []string
}

func (e *engine) order(holder string, number int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holders[number] != "" && e.holders[number] != holder {
		e.broken = append(e.broken, fmt.Sprintf("number %d held by %s and %s", number, e.holders[number], holder))
	}
	e.holders[number] = holder
	if number < e.newest {
		e.refused++
		return
	}
	e.newest = number
	e.accepted++
}

type testEnv struct {
	network   *gladewire.Network
	platform  *gladestandin.Platform
	engine    *engine
	leases    []*gladelease.Lease
	wallSteps []time.Duration // wall clocks' steps
	mu        sync.Mutex
	pause     time.Duration
	close     func()
}

func newTestEnv(n int, faults ...gladestandin.PlatformFaults) *testEnv {
	w := &testEnv{network: &gladewire.Network{}, platform: &gladestandin.Platform{}, engine: &engine{holders: map[int64]string{}}}
	l, err := w.network.Host("platform").Listen("tcp", "platform:80")
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: w.platform}
	go func() { _ = s.Serve(l) }()
	closers := []func(){func() { _ = s.Close() }}
	for _, f := range faults {
		w.platform.SetFaults(f)
	}
	w.wallSteps = make([]time.Duration, n)
	start := time.Now()
	for i := range n {
		name := fmt.Sprintf("vm-%d", i)
		store, closeStore := gladestore.New(gladestore.Config{Address: "http://platform:80", Dial: w.network.Host(name).Dial, FailureDomain: name})
		var lease *gladelease.Lease
		lease, stop := gladelease.New(gladelease.Config{
			Store: store, Name: "orders-shubra", Holder: name, Duration: duration,
			Clock: func() (time.Duration, time.Time) {
				w.mu.Lock()
				defer w.mu.Unlock()
				return time.Since(start), time.Now().Round(0).Add(w.wallSteps[i])
			},
			Lead: func(ctx context.Context, g gladelease.Grant) { w.lead(ctx, name, g) },
		})
		w.leases = append(w.leases, lease)
		closers = append(closers, closeStore, stop)
	}
	w.close = func() {
		w.platform.SetFaults(gladestandin.PlatformFaults{})
		for i := len(closers) - 1; i >= 0; i-- {
			closers[i]()
		}
		time.Sleep(10 * time.Second) // lets delayed calls end
		synctest.Wait()
	}
	return w
}

// lead orders until its grant ends; a pause falls between the check and the order.
func (w *testEnv) lead(ctx context.Context, name string, g gladelease.Grant) {
	for ctx.Err() == nil {
		w.mu.Lock()
		pause := w.pause
		w.pause = 0
		w.mu.Unlock()
		time.Sleep(pause)
		w.engine.order(name, g.FencingNumber)
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *testEnv) holders() []int {
	var held []int
	for i, l := range w.leases {
		if _, ok := l.Held(); ok {
			held = append(held, i)
		}
	}
	return held
}

// waitForHolder waits for a single holder and returns it, or -1.
func (w *testEnv) waitForHolder(d time.Duration) int {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if held := w.holders(); len(held) == 1 {
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

// TestRandomFaults draws faults and checks that fencing numbers name one holder, that no two hold at once,
// that the engine takes no old number and that a holder is found in the end.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{
				Kind:  rapid.IntRange(0, 8).Draw(r, "kind"),
				VM:    rapid.IntRange(0, 2).Draw(r, "vm"),
				Value: rapid.IntRange(1, 12).Draw(r, "value"),
			}
		}), 1, 12).Draw(r, "steps")
		var broken []string
		synctest.Test(t, func(*testing.T) { broken = runSteps(steps) })
		if len(broken) > 0 {
			r.Fatalf("%v", broken)
		}
	})
}

func runSteps(steps []step) []string {
	w := newTestEnv(3)
	var broken []string
	watch, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ; watch.Err() == nil; time.Sleep(20 * time.Millisecond) {
			if held := w.holders(); len(held) > 1 {
				broken = append(broken, fmt.Sprint("holders at once: ", held))
			}
		}
	}()
	for _, s := range steps {
		w.apply(s)
		time.Sleep(time.Duration(s.Value) * time.Second)
	}
	w.platform.SetFaults(gladestandin.PlatformFaults{})
	for i := range w.leases {
		w.network.Resume(fmt.Sprintf("vm-%d", i))
	}
	time.Sleep(20 * time.Second)
	if w.waitForHolder(20*time.Second) < 0 {
		broken = append(broken, "no holder in the end")
	}
	cancel()
	<-done
	w.close()
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	return append(broken, w.engine.broken...)
}

func (w *testEnv) apply(s step) {
	name := fmt.Sprintf("vm-%d", s.VM)
	switch s.Kind {
	case 0:
		w.platform.SetFaults(gladestandin.PlatformFaults{Down: true})
	case 1:
		w.platform.SetFaults(gladestandin.PlatformFaults{LoseAnswers: s.Value})
	case 2:
		w.platform.SetFaults(gladestandin.PlatformFaults{Delay: time.Duration(s.Value) * 300 * time.Millisecond})
	case 3:
		w.platform.SetFaults(gladestandin.PlatformFaults{CutOff: []string{name}})
	case 4:
		w.platform.SetFaults(gladestandin.PlatformFaults{})
	case 5:
		w.network.Pause(name)
	case 6:
		w.network.Resume(name)
	case 7:
		w.mu.Lock()
		w.pause = time.Duration(s.Value) * 2 * time.Second
		w.mu.Unlock()
	case 8:
		w.mu.Lock()
		w.wallSteps[s.VM] += time.Duration(s.Value-6) * 2 * time.Second
		w.mu.Unlock()
	}
}

func TestPausedHolderIsFencedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newTestEnv(2)
		defer w.close()
		first := w.waitForHolder(20 * time.Second)
		c.Assert(first >= 0, qt.IsTrue)
		name := fmt.Sprintf("vm-%d", first)
		w.mu.Lock()
		w.pause = 30 * time.Second
		w.mu.Unlock()
		w.network.Pause(name)
		time.Sleep(25 * time.Second)
		second := w.waitForHolder(time.Second)
		c.Assert(second >= 0 && second != first, qt.IsTrue)
		w.network.Resume(name)
		time.Sleep(15 * time.Second)
		w.engine.mu.Lock()
		defer w.engine.mu.Unlock()
		c.Assert(w.engine.refused > 0, qt.IsTrue)
		c.Assert(w.engine.broken, qt.HasLen, 0)
	})
}

func TestHolderStopsByItselfInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newTestEnv(2)
		defer w.close()
		c.Assert(w.waitForHolder(20*time.Second) >= 0, qt.IsTrue)
		w.platform.SetFaults(gladestandin.PlatformFaults{Down: true})
		time.Sleep(duration * 2 / 3)
		c.Assert(w.holders(), qt.HasLen, 0)
		w.platform.SetFaults(gladestandin.PlatformFaults{})
		c.Assert(w.waitForHolder(20*time.Second) >= 0, qt.IsTrue)
	})
}

// TestLostAnswerKeepsGrant loses the answer to a renewal, alone and with the platform down when it is read back.
func TestLostAnswerKeepsGrant(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprint(down), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newTestEnv(2)
				defer w.close()
				first := w.waitForHolder(20 * time.Second)
				c.Assert(first >= 0, qt.IsTrue)
				before, _ := w.leases[first].Held()
				w.platform.SetFaults(gladestandin.PlatformFaults{LoseAnswers: 1})
				for w.platform.Faults().LoseAnswers > 0 {
					time.Sleep(time.Millisecond)
				}
				if down {
					w.platform.SetFaults(gladestandin.PlatformFaults{Down: true})
					time.Sleep(2 * time.Second)
					w.platform.SetFaults(gladestandin.PlatformFaults{})
				}
				time.Sleep(3 * duration)
				after, held := w.leases[first].Held()
				c.Assert(held, qt.IsTrue)
				c.Assert(after, qt.Equals, before)
			})
		})
	}
}

func TestLostAnswerToTakingIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newTestEnv(1, gladestandin.PlatformFaults{LoseAnswers: 1})
		defer w.close()
		c.Assert(w.waitForHolder(time.Second), qt.Equals, 0)
		g, _ := w.leases[0].Held()
		c.Assert(g.FencingNumber, qt.Equals, int64(1))
	})
}

func TestWallClockJumpEndsGrant(t *testing.T) {
	for _, jump := range []time.Duration{duration, -duration} {
		t.Run(jump.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newTestEnv(1)
				defer w.close()
				c.Assert(w.waitForHolder(time.Second), qt.Equals, 0)
				before, _ := w.leases[0].Held()
				w.mu.Lock()
				w.wallSteps[0] = jump
				w.mu.Unlock()
				c.Assert(w.holders(), qt.HasLen, 0)
				c.Assert(w.waitForHolder(duration), qt.Equals, 0)
				after, _ := w.leases[0].Held()
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
