package gladeonce

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

// cluster is a set of VMs that use one platform, in virtual time.
type cluster struct {
	t        *testing.T
	network  gladewire.Network
	platform gladestandin.Platform
	vms      map[string]*Once
	metrics  metrics.Registry

	mu sync.Mutex
	// fault decides for each call to the platform whether it fails before the platform runs it (down) or only its answer is
	// lost (lost).
	fault       func(*http.Request) (down, lost bool)
	unreachable map[string]bool
	runs        map[string]int
	// replaced is set once a VM has been replaced and its state lost.
	replaced bool
}

func newCluster(t *testing.T, vms ...string) *cluster {
	b := &cluster{
		t: t, vms: map[string]*Once{}, unreachable: map[string]bool{}, runs: map[string]int{},
		metrics: metrics.NewRegistry(),
	}
	l, err := b.network.Host("platform").Listen("tcp", "platform:80")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	for _, vm := range vms {
		b.start(vm, "1")
	}
	return b
}

func (b *cluster) start(vm, incarnation string) {
	store, closeStore := gladestore.New(gladestore.Config{
		Address: "http://platform:80", Dial: b.network.Host(vm).Dial, Timeout: 200 * time.Millisecond,
	})
	b.t.Cleanup(closeStore)
	o, closeOnce, err := New(Config{
		VM: vm, Incarnation: incarnation, Store: store, Metrics: b.metrics,
		LookupPeer: func(_ context.Context, to string, q LookupRequest) (LookupAnswer, error) {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.unreachable[to] || b.unreachable[vm] || b.vms[to] == nil {
				return LookupAnswer{}, errors.New("unreachable")
			}
			return b.vms[to].Lookup(q), nil
		},
		Peers: func() ([]string, bool) {
			b.mu.Lock()
			defer b.mu.Unlock()
			var others []string
			for name := range b.vms {
				if name != vm {
					others = append(others, name)
				}
			}
			return others, !b.replaced
		},
		Check: &gladecheck.Checker{OnBroken: func(i gladecheck.Invariant, m string) { b.t.Errorf("%s: %s", i, m) }},
	})
	qt.Assert(b.t, err, qt.IsNil)
	b.t.Cleanup(closeOnce)
	b.mu.Lock()
	b.replaced = b.replaced || b.vms[vm] != nil
	b.vms[vm] = o
	b.mu.Unlock()
}

func (b *cluster) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	f := b.fault
	b.mu.Unlock()
	var down, lost bool
	if f != nil {
		down, lost = f(r)
	}
	if down {
		panic(http.ErrAbortHandler)
	}
	if lost {
		b.platform.ServeHTTP(&discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	b.platform.ServeHTTP(w, r)
}

type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}

func (b *cluster) setFault(f func(*http.Request) (down, lost bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
}

func down(*http.Request) (bool, bool) { return true, false }

func loseWrites(r *http.Request) (bool, bool) { return false, r.Method != http.MethodGet }

// send returns a Send that takes d, counts the run and then returns err.
func (b *cluster) send(key string, d time.Duration, err error) Send {
	return func(context.Context) (*Outcome, error) {
		time.Sleep(d)
		b.mu.Lock()
		defer b.mu.Unlock()
		if err == nil || gladeapi.AsRefusal(err).Ran != gladeapi.NotRun {
			b.runs[key]++
		}
		if err != nil {
			return nil, err
		}
		return &Outcome{Status: 200, Body: []byte(fmt.Sprintf("%s run %d", key, b.runs[key]))}, nil
	}
}

func (b *cluster) do(vm, key string, timeout time.Duration, send Send) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	b.mu.Lock()
	once, before := b.vms[vm], b.runs[key]
	b.mu.Unlock()
	o, err := once.Do(ctx, Call{Organisation: "nile-fixer", Route: "returns", Key: key, Body: "b"}, send)
	if err == nil {
		return string(o.Body), nil
	}
	if before > 0 && ran(err) == gladeapi.NotRun {
		b.t.Errorf("%s had run when %s reported that it had not: %v", key, vm, err)
	}
	return "", err
}

func ran(err error) gladeapi.Ran {
	if err == nil {
		return gladeapi.DidRun
	}
	return gladeapi.AsRefusal(err).Ran
}

var lostAnswer = &gladeapi.Refusal{Status: 502, Ran: gladeapi.RanUnknown, Message: "answer lost"}

func TestClaims(t *testing.T) {
	const timeout = 2 * time.Second
	for _, x := range []struct {
		name string
		run  func(c *qt.C, b *cluster)
		runs int
	}{
		{"repeats get the outcome", func(c *qt.C, b *cluster) {
			for _, vm := range []string{"a", "a", "b", "c"} {
				body, err := b.do(vm, "k", timeout, b.send("k", 0, nil))
				c.Assert(err, qt.IsNil)
				c.Assert(body, qt.Equals, "k run 1")
				time.Sleep(time.Second)
			}
			c.Assert(b.metrics.Get("once.platformWrites").(metrics.Counter).Count(), qt.Equals, int64(4)) // 2 for the call, 1 for each other VM
		}, 1},
		{"two VMs at once", func(c *qt.C, b *cluster) {
			var g sync.WaitGroup
			for _, vm := range []string{"a", "b", "c", "a"} {
				g.Go(func() {
					body, err := b.do(vm, "k", timeout, b.send("k", 300*time.Millisecond, nil))
					c.Check(err, qt.IsNil)
					c.Check(body, qt.Equals, "k run 1")
				})
			}
			g.Wait()
		}, 1},
		{"answer of the service lost", func(c *qt.C, b *cluster) {
			for _, vm := range []string{"a", "b", "a"} {
				_, err := b.do(vm, "k", timeout, b.send("k", 0, lostAnswer))
				c.Assert(ran(err), qt.Equals, gladeapi.RanUnknown)
			}
		}, 1},
		{"answers of claims lost", func(c *qt.C, b *cluster) {
			b.setFault(loseWrites)
			for _, vm := range []string{"a", "b"} {
				body, err := b.do(vm, "k", timeout, b.send("k", 0, nil))
				c.Assert(err, qt.IsNil)
				c.Assert(body, qt.Equals, "k run 1")
			}
		}, 1},
		{"platform unavailable", func(c *qt.C, b *cluster) {
			b.setFault(down)
			_, err := b.do("a", "k", timeout, b.send("k", 0, nil))
			c.Assert(ran(err), qt.Equals, gladeapi.NotRun)
			c.Assert(gladeapi.AsRefusal(err).RetryAfter > 0, qt.IsTrue)
			b.setFault(nil)
			_, err = b.do("b", "k", timeout, b.send("k", 0, nil))
			c.Assert(err, qt.IsNil)
		}, 1},
		{"platform unavailable after the call ran", func(c *qt.C, b *cluster) {
			_, _ = b.do("a", "k", timeout, b.send("k", 0, lostAnswer))
			b.setFault(down)
			_, err := b.do("b", "k", timeout, b.send("k", 0, nil))
			c.Assert(ran(err), qt.Equals, gladeapi.RanUnknown)
			b.unreachable["a"] = true
			_, err = b.do("c", "k", timeout, b.send("k", 0, nil))
			c.Assert(ran(err), qt.Equals, gladeapi.RanUnknown)
		}, 1},
		{"claim stored, but its VM gets no answer and gives up", func(c *qt.C, b *cluster) {
			b.setFault(func(r *http.Request) (bool, bool) { return r.Method == http.MethodGet, true })
			_, err := b.do("a", "k", timeout, b.send("k", 0, nil))
			c.Assert(ran(err), qt.Equals, gladeapi.NotRun)
			b.setFault(nil)
			var g sync.WaitGroup
			for _, vm := range []string{"a", "b", "c"} { // all take over the released claim at the same time
				g.Go(func() {
					_, err := b.do(vm, "k", timeout, b.send("k", 100*time.Millisecond, nil))
					c.Check(err, qt.IsNil)
				})
			}
			g.Wait()
		}, 1},
		{"holder dead", func(c *qt.C, b *cluster) {
			go func() { _, _ = b.do("a", "k", timeout, b.send("k", time.Second, lostAnswer)) }()
			time.Sleep(100 * time.Millisecond)
			b.network.Cut("a", "platform")
			b.start("a", "2")
			for _, vm := range []string{"b", "a"} {
				_, err := b.do(vm, "k", timeout, b.send("k", 0, nil))
				c.Assert(ran(err), qt.Equals, gladeapi.RanUnknown)
			}
		}, 1},
		{"holder paused between claim and sending", func(c *qt.C, b *cluster) {
			go func() { _, _ = b.do("a", "k", time.Minute, b.send("k", 20*time.Second, nil)) }()
			time.Sleep(100 * time.Millisecond)
			b.mu.Lock()
			b.unreachable["a"] = true
			b.mu.Unlock()
			_, err := b.do("b", "k", timeout, b.send("k", 0, nil))
			c.Assert(ran(err), qt.Equals, gladeapi.RanUnknown)
			time.Sleep(30 * time.Second) // the holder resumes and sends
			body, err := b.do("c", "k", timeout, b.send("k", 0, nil))
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, "k run 1")
		}, 1},
		{"holder refused before running, then dies", func(c *qt.C, b *cluster) {
			notRun := &gladeapi.Refusal{Status: 503, Ran: gladeapi.NotRun}
			_, err := b.do("a", "k", timeout, b.send("k", 0, notRun))
			c.Assert(ran(err), qt.Equals, gladeapi.NotRun)
			time.Sleep(time.Second)
			b.unreachable["a"] = true
			_, err = b.do("b", "k", timeout, b.send("k", 0, nil))
			c.Assert(err, qt.IsNil)
		}, 1},
		{"refused before running, release not stored", func(c *qt.C, b *cluster) {
			_, err := b.do("a", "k", timeout, func(ctx context.Context) (*Outcome, error) {
				b.network.Cut("a", "platform")
				return b.send("k", 0, &gladeapi.Refusal{Status: 503, Ran: gladeapi.NotRun})(ctx)
			})
			c.Assert(ran(err), qt.Equals, gladeapi.NotRun)
			_, err = b.do("b", "k", timeout, b.send("k", 0, nil))
			c.Assert(err, qt.IsNil)
			b.network.Heal("a", "platform")
		}, 1},
		{"claim found before the platform became unavailable", func(c *qt.C, b *cluster) {
			_, _ = b.do("a", "k", timeout, b.send("k", 0, lostAnswer))
			_, err := b.do("b", "k", timeout, b.send("k", 0, nil))
			c.Assert(ran(err), qt.Equals, gladeapi.RanUnknown)
			b.start("a", "2")
			b.replaced = false
			b.setFault(down)
			_, err = b.do("b", "k", timeout, b.send("k", 0, nil))
			c.Assert(ran(err), qt.Equals, gladeapi.RanUnknown)
			_, err = b.do("c", "k", timeout, b.send("k", 0, nil))
			c.Assert(ran(err), qt.Equals, gladeapi.RanUnknown)
		}, 1},
		{"outcome not stored, holder alive", func(c *qt.C, b *cluster) {
			_, err := b.do("a", "k", timeout, func(ctx context.Context) (*Outcome, error) {
				b.network.Cut("a", "platform")
				return b.send("k", 0, nil)(ctx)
			})
			c.Assert(err, qt.IsNil)
			body, err := b.do("b", "k", timeout, b.send("k", 0, nil))
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, "k run 1")
			b.network.Heal("a", "platform")
		}, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				b := newCluster(t, "a", "b", "c")
				x.run(c, b)
				time.Sleep(2 * time.Minute)
				c.Check(b.runs["k"], qt.Equals, x.runs)
			})
		})
	}
}

func TestKeyWithAnotherBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newCluster(t, "a", "b")
		_, err := b.do("a", "k", time.Second, b.send("k", 0, nil))
		c.Assert(err, qt.IsNil)
		for _, vm := range []string{"a", "b"} {
			_, err = b.vms[vm].Do(context.Background(), Call{Organisation: "nile-fixer", Route: "returns", Key: "k", Body: "other"}, b.send("k", 0, nil))
			c.Assert(gladeapi.AsRefusal(err).Status, qt.Equals, 422)
		}
		c.Assert(b.runs["k"], qt.Equals, 1)
	})
}

func TestSweepRemovesOldClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newCluster(t, "a")
		_, err := b.do("a", "k", time.Second, b.send("k", 0, nil))
		c.Assert(err, qt.IsNil)
		call := Call{Organisation: "nile-fixer", Route: "returns", Key: "k"}
		var shard int
		_, _ = fmt.Sscanf(call.Name()[:shardDigits], "%x", &shard)
		for age, want := range map[time.Duration]int{23 * time.Hour: 0, 25 * time.Hour: 1} {
			time.Sleep(age - 23*time.Hour)
			n, err := b.vms["a"].Sweep(t.Context(), shard, time.Now().Add(23*time.Hour))
			c.Assert(err, qt.IsNil)
			c.Check(n <= want, qt.IsTrue)
		}
		list, err := b.vms["a"].config.Store.List(t.Context(), KindClaims, "")
		c.Assert(err, qt.IsNil)
		c.Assert(list.Objects, qt.HasLen, 0)
	})
}

// TestRandomHistories runs fixed seeds of random calls, repeats and faults, and checks that each key runs at most once.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func runHistory(t *testing.T, r *rand.Rand) {
	b := newCluster(t, "a", "b", "c")
	faults := []func(*http.Request) (bool, bool){nil, nil, down, loseWrites, func(*http.Request) (bool, bool) { return true, true }}
	var g sync.WaitGroup
	var mu sync.Mutex
	reported := map[string][]gladeapi.Ran{}
	for i := range 60 {
		key, vm := fmt.Sprint("k", r.IntN(8)), string(rune('a'+r.IntN(3)))
		errs := []error{nil, nil, lostAnswer, &gladeapi.Refusal{Status: 503, Ran: gladeapi.NotRun}}
		send := b.send(key, time.Duration(r.IntN(800))*time.Millisecond, errs[r.IntN(len(errs))])
		g.Go(func() {
			_, err := b.do(vm, key, 2*time.Second, send)
			mu.Lock()
			defer mu.Unlock()
			reported[key] = append(reported[key], ran(err))
		})
		if i%6 == 0 {
			b.setFault(faults[r.IntN(len(faults))])
			b.mu.Lock()
			b.unreachable[vm] = r.IntN(2) == 0
			b.mu.Unlock()
		}
		if i == 40 {
			b.start(vm, "2")
		}
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
	}
	g.Wait()
	b.setFault(nil)
	time.Sleep(2 * time.Minute)
	for key, n := range b.runs {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	for key, results := range reported {
		for _, v := range results {
			if v == gladeapi.DidRun && b.runs[key] != 1 {
				t.Errorf("%s is reported to have run, but ran %d times", key, b.runs[key])
			}
		}
	}
}

// Two VMs sweep the same shard.  Only the VM whose call deletes a claim counts it.
func TestSweepCountsOwnDeletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newCluster(t, "a")
		_, err := b.do("a", "k", time.Second, b.send("k", 0, nil))
		c.Assert(err, qt.IsNil)
		call := Call{Organisation: "nile-fixer", Route: "returns", Key: "k"}
		var shard int
		_, _ = fmt.Sscanf(call.Name()[:shardDigits], "%x", &shard)
		b.mu.Lock()
		b.fault = func(r *http.Request) (bool, bool) {
			if r.Method == http.MethodDelete { // another VM is first
				b.platform.ServeHTTP(&discard{header: http.Header{}}, r.Clone(r.Context()))
			}
			return false, false
		}
		b.mu.Unlock()
		n, err := b.vms["a"].Sweep(t.Context(), shard, time.Now().Add(49*time.Hour))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 0)
	})
}
