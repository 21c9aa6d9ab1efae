package gladeorder_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeengine"
	"github.com/eelgrassglade/eelgrassglade/gladelease"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladeorder"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

const (
	loadTime  = 300 * time.Millisecond
	orderLife = 5 * time.Second
	lease     = 9 * time.Second
	grace     = 2 * time.Second
)

// bench connects simulated engines with the controllers that send them orders.
type bench struct {
	network *gladewire.Network
	client  *gladeorder.Client
	reader  *gladeengine.Client

	mu      sync.Mutex
	state   *gladenote.State
	engines map[string]*gladestandin.Engine
	live    []gladeapi.BackendServer
	inUse   map[string]bool
	report  gladenote.EngineReport
	sent    []time.Time
	loads   []time.Time
	closers []func()
	limiter *rate.Limiter
}

func newBench(engines int, o gladestandin.OrderConfig) *bench {
	b := &bench{network: &gladewire.Network{}, engines: map[string]*gladestandin.Engine{}, inUse: map[string]bool{}, state: &gladenote.State{}}
	b.limiter = rate.NewLimiter(rate.Inf, 0)
	var closeClient, closeReader func()
	b.client, closeClient = gladeorder.NewClient(b.network.Host("vm").Dial)
	b.reader, closeReader = gladeengine.New(gladeengine.Config{Dial: b.network.Host("vm").Dial})
	b.closers = append(b.closers, closeClient, closeReader)
	for i := range engines {
		b.addEngine(i, o)
	}
	return b
}

func (b *bench) addEngine(i int, o gladestandin.OrderConfig) {
	id := fmt.Sprintf("engine-%d", i)
	o.LoadTime = loadTime
	e := gladestandin.NewEngine(gladestandin.EngineConfig{ID: id, Targets: []string{"none@0"}})
	e.SetOrders(o)
	l, err := b.network.Host(id).Listen("tcp", id+":80")
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: e}
	go func() { _ = s.Serve(l) }()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closers = append(b.closers, e.Close, func() { _ = s.Close() })
	b.engines[id] = e
	b.live = append(b.live, gladeapi.BackendServer{ID: id, Kind: gladeapi.KindEngine, Address: id + ":80", Pool: "llm"})
}

func (b *bench) close() {
	for _, f := range slices.Backward(b.closers) {
		f()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

func (b *bench) applyNote(n gladenote.Note) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n.Number = b.state.Number + 1
	next, err := b.state.Apply(&n)
	if err != nil {
		panic(err)
	}
	b.state = next
}

// startController runs a controller with a fencing number. It returns a function that stops it and a channel that
// receives its error.
func (b *bench) startController(number int64, before bool) (func(), <-chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- gladeorder.Run(ctx, gladeorder.Config{
			Grant: gladelease.Grant{FencingNumber: number, PreviousUnreleased: before}, LeaseDuration: lease, OrderLifetime: orderLife, UnloadGrace: grace,
			LoadLimiter: b.limiter,
			State:       func() *gladenote.State { b.mu.Lock(); defer b.mu.Unlock(); return b.state },
			Engines: func() []gladeapi.BackendServer {
				b.mu.Lock()
				defer b.mu.Unlock()
				return slices.Clone(b.live)
			},
			ReadLoad: b.reader.Load,
			Send: func(ctx context.Context, to gladeapi.BackendServer, o gladeorder.Order, number int64) error {
				b.mu.Lock()
				b.sent = append(b.sent, time.Now())
				if strings.HasPrefix(string(o.Kind), "load") {
					b.loads = append(b.loads, time.Now())
				}
				b.mu.Unlock()
				return b.client.Send(ctx, to, o, number)
			},
			Unused: func(_ *gladenote.State, target string) bool {
				b.mu.Lock()
				defer b.mu.Unlock()
				return !b.inUse[target]
			},
			OnReport: func(r gladenote.EngineReport) { b.mu.Lock(); defer b.mu.Unlock(); b.report = r },
		})
	}()
	return cancel, done
}

func (b *bench) setInUse(target string, used bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse[target] = used
}

func (b *bench) converged() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.report.Converged(b.state.Number)
}

func (b *bench) waitFor(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// heldBy returns the number of engines that hold a target.
func (b *bench) heldBy(target string) int {
	n := 0
	for _, e := range b.engines {
		if slices.Contains(e.Targets(), target) {
			n++
		}
	}
	return n
}

func firstNote(checks bool, replicas int) gladenote.Note {
	return gladenote.Note{Added: gladenote.Content{
		Models:   []gladenote.Model{{Name: "llm", Pool: "llm", DefaultVersion: "1", ChecksFencing: checks}},
		Versions: []gladenote.Version{{Model: "llm", Name: "1", Weights: "w1", Replicas: replicas}},
		Adapters: []gladenote.Adapter{{Name: "quotes", Model: "llm", Version: "a", Weights: "wa"}},
	}}
}

// secondNote replaces model version 1 and the version of the adapter.
func secondNote(checks bool, replicas int) gladenote.Note {
	return gladenote.Note{
		Added: gladenote.Content{Versions: []gladenote.Version{{Model: "llm", Name: "2", Weights: "w2", Replicas: replicas}}},
		Changed: gladenote.Content{
			Models:   []gladenote.Model{{Name: "llm", Pool: "llm", DefaultVersion: "2", ChecksFencing: checks}},
			Adapters: []gladenote.Adapter{{Name: "quotes", Model: "llm", Version: "b", Weights: "wb"}},
		},
		Withdrawn: gladenote.Withdrawn{Versions: []gladenote.VersionRef{{Model: "llm", Name: "1"}}},
	}
}

func TestConvergesAndKeepsTargetsInUse(t *testing.T) {
	for _, used := range []string{"llm@1", "llm+quotes:a@1"} {
		t.Run(used, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				b := newBench(3, gladestandin.OrderConfig{ChecksFencing: true})
				defer b.close()
				stop, _ := b.startController(1, false)
				defer stop()
				b.applyNote(firstNote(true, 0))
				c.Assert(b.waitFor(4*time.Second, b.converged), qt.IsTrue)
				c.Assert(b.heldBy("llm+quotes:a@1"), qt.Equals, 3)
				c.Assert(b.waitFor(time.Minute, func() bool { return b.heldBy("none@0") == 0 }), qt.IsTrue)
				b.setInUse(used, true)
				b.applyNote(secondNote(true, 0))
				c.Assert(b.waitFor(4*time.Second, b.converged), qt.IsTrue)
				c.Assert(b.heldBy("llm+quotes:b@2"), qt.Equals, 3)
				time.Sleep(time.Minute)
				c.Assert(b.heldBy("llm@1"), qt.Equals, 3)
				c.Assert(b.heldBy(used), qt.Equals, 3)
				b.setInUse(used, false)
				c.Assert(b.waitFor(30*time.Second, func() bool { return b.heldBy("llm@1") == 0 && b.heldBy("llm+quotes:a@2") == 0 }), qt.IsTrue)
				c.Assert(b.heldBy("llm+quotes:b@2"), qt.Equals, 3)
			})
		})
	}
}

// TestReplicaMovesWithoutGap adds engines to one that holds the only copy of a version. The rendezvous hash ranks some of
// them higher, so that the copy moves; a ready copy must exist at all times.
func TestReplicaMovesWithoutGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(1, gladestandin.OrderConfig{ChecksFencing: true})
		defer b.close()
		b.applyNote(firstNote(true, 1))
		stop, _ := b.startController(1, false)
		defer stop()
		c.Assert(b.waitFor(4*time.Second, b.converged), qt.IsTrue)
		for i := range 8 {
			b.addEngine(i+1, gladestandin.OrderConfig{ChecksFencing: true})
			for range 600 {
				c.Assert(b.heldBy("llm@1") > 0, qt.IsTrue)
				time.Sleep(5 * time.Millisecond)
			}
			c.Assert(b.heldBy("llm@1"), qt.Equals, 1)
		}
		c.Assert(slices.Contains(b.engines["engine-0"].Targets(), "llm@1"), qt.IsFalse)
	})
}

// TestCrashAtAnyPoint stops a controller and its successor at many points of a rollout.
func TestCrashAtAnyPoint(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for crash := time.Duration(0); crash < 3*time.Second; crash += 70 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				b := newBench(3, gladestandin.OrderConfig{ChecksFencing: checks})
				defer b.close()
				b.applyNote(firstNote(checks, 0))
				stop, _ := b.startController(1, false)
				c.Assert(b.waitFor(4*time.Second, b.converged), qt.IsTrue)
				b.applyNote(secondNote(checks, 0))
				for number := int64(2); number <= 3; number++ {
					time.Sleep(crash)
					stop()
					stop, _ = b.startController(number, true)
				}
				limit := 8 * time.Second
				if !checks {
					limit += lease + orderLife
				}
				c.Assert(b.waitFor(limit, func() bool { return b.converged() && b.heldBy("llm@1") == 0 && b.heldBy("llm+quotes:b@2") == 3 }),
					qt.IsTrue, qt.Commentf("crash after %s, engines check fencing: %t, report: %+v", crash, checks, b.report))
				for _, e := range b.engines {
					c.Assert(e.OrderCounts().Loads, qt.Equals, 4)
					c.Assert(e.OrderCounts().Stale, qt.Equals, 0)
				}
				stop()
			})
		}
	}
}

func TestEarlierControllerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(2, gladestandin.OrderConfig{ChecksFencing: true})
		defer b.close()
		b.applyNote(firstNote(true, 0))
		stopNew, _ := b.startController(2, false)
		defer stopNew()
		c.Assert(b.waitFor(4*time.Second, b.converged), qt.IsTrue)
		b.applyNote(secondNote(true, 0))
		stopOld, done := b.startController(1, false)
		defer stopOld()
		select {
		case err := <-done:
			c.Assert(err, qt.ErrorIs, gladeorder.ErrFenced)
		case <-time.After(time.Minute):
			c.Fatal("the controller with the older fencing number was not stopped")
		}
	})
}

// TestLateOrderIsCorrected sends a late order of an earlier holder to an engine that ignores fencing numbers.
func TestLateOrderIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(2, gladestandin.OrderConfig{})
		defer b.close()
		b.applyNote(firstNote(false, 0))
		started := time.Now()
		stop, _ := b.startController(2, true)
		defer stop()
		c.Assert(b.waitFor(lease+orderLife+4*time.Second, b.converged), qt.IsTrue)
		c.Assert(b.sent[0].Sub(started) >= lease+orderLife, qt.IsTrue)
		late := gladeorder.Order{Kind: gladeorder.UnloadModel, Model: "llm", Version: "1"}
		c.Assert(b.client.Send(context.Background(), b.live[0], late, 1), qt.IsNil)
		c.Assert(b.heldBy("llm@1"), qt.Equals, 1)
		c.Assert(b.waitFor(20*time.Second, func() bool { return b.heldBy("llm@1") == 2 }), qt.IsTrue)
	})
}

func TestLoadsStayWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(20, gladestandin.OrderConfig{ChecksFencing: true})
		defer b.close()
		b.limiter = rate.NewLimiter(4, 4)
		b.applyNote(firstNote(true, 0))
		stop, _ := b.startController(1, false)
		defer stop()
		c.Assert(b.waitFor(time.Minute, b.converged), qt.IsTrue)
		c.Assert(b.loads, qt.HasLen, 40)
		for i := range b.loads {
			if i >= 8 {
				c.Assert(b.loads[i].Sub(b.loads[i-8]) >= time.Second, qt.IsTrue)
			}
		}
	})
}

func TestSilentEngineDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(3, gladestandin.OrderConfig{ChecksFencing: true})
		defer b.close()
		b.network.Pause("engine-1")
		b.applyNote(firstNote(true, 0))
		stop, _ := b.startController(1, false)
		defer stop()
		c.Assert(b.waitFor(4*time.Second, func() bool { return b.heldBy("llm+quotes:a@1") == 2 }), qt.IsTrue)
		c.Assert(b.converged(), qt.IsFalse)
		c.Assert(b.waitFor(10*time.Second, b.converged), qt.IsTrue)
		b.network.Resume("engine-1")
		c.Assert(b.waitFor(20*time.Second, func() bool { return b.heldBy("llm+quotes:a@1") == 3 }), qt.IsTrue)
	})
}

type step struct {
	Kind, Value int
}

// TestNeverUnloadsLastReadyCopy randomly changes the replica count, the engines and the controller. A version that was
// ready once must always have a ready copy.
func TestNeverUnloadsLastReadyCopy(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{Kind: rapid.IntRange(0, 3).Draw(r, "kind"), Value: rapid.IntRange(0, 4).Draw(r, "value")}
		}), 1, 8).Draw(r, "steps")
		var violation string
		synctest.Test(t, func(*testing.T) { violation = runSteps(steps) })
		if violation != "" {
			r.Fatal(violation)
		}
	})
}

func runSteps(steps []step) string {
	b := newBench(4, gladestandin.OrderConfig{ChecksFencing: true})
	defer b.close()
	b.applyNote(firstNote(true, 1))
	number := int64(1)
	stop, _ := b.startController(number, false)
	defer func() { stop() }()
	if !b.waitFor(4*time.Second, b.converged) {
		return "engines did not converge before the first step"
	}
	violation := ""
	watch := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if b.heldBy("llm@1") == 0 {
				violation = "no ready copy of llm@1"
			}
		}
	}
	for _, s := range steps {
		switch s.Kind {
		case 0:
			b.applyNote(gladenote.Note{Changed: gladenote.Content{
				Versions: []gladenote.Version{{Model: "llm", Name: "1", Weights: "w1", Replicas: s.Value}},
			}})
		case 1:
			// A new engine without any target joins; the rendezvous hash may rank it first.
			b.addEngine(len(b.engines), gladestandin.OrderConfig{ChecksFencing: true})
		case 2:
			number++
			stop()
			stop, _ = b.startController(number, true)
		case 3:
			b.mu.Lock()
			b.live = append(b.live[1:], b.live[0])
			b.mu.Unlock()
		}
		watch(time.Duration(s.Value) * 400 * time.Millisecond)
	}
	watch(15 * time.Second)
	if violation == "" && !b.converged() {
		violation = fmt.Sprintf("engines did not converge after the last step: %+v", b.report)
	}
	return violation
}
