package gladelimit

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

func admitted(l *Limiter, name string, m Limits) bool {
	release, err := l.Admit(context.Background(), name, m)
	if err == nil {
		release(0)
	}
	return err == nil
}

func TestLimitsOfOneVM(t *testing.T) {
	for _, x := range []struct {
		name   string
		limits Limits
		tokens int
		low    int
		high   int
	}{
		{"requests", Limits{RequestsPerSecond: 10}, 0, 100, 111},
		{"tokens", Limits{TokensPerSecond: 1000}, 100, 100, 112},
		{"none", Limits{}, 100, 1000, 1000},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				l := NewLimiter(Config{})
				n := 0
				for range 1000 { // 100 a second for 10 s
					if release, err := l.Admit(t.Context(), "a", x.limits); err == nil {
						release(x.tokens)
						n++
					} else {
						f := gladeapi.AsRefusal(err)
						c.Assert(f.Ran, qt.Equals, gladeapi.NotRun)
						c.Assert(f.RetryAfter > 0, qt.IsTrue)
					}
					c.Assert(admitted(l, "other", x.limits) || n > 0, qt.IsTrue)
					time.Sleep(10 * time.Millisecond)
				}
				c.Assert(n >= x.low && n <= x.high, qt.IsTrue, qt.Commentf("%d admitted", n))
			})
		})
	}
}

func TestConcurrentLimit(t *testing.T) {
	c := qt.New(t)
	l := NewLimiter(Config{})
	m := Limits{Concurrent: 2}
	first, _ := l.Admit(t.Context(), "a", m)
	c.Assert(admitted(l, "a", m), qt.IsTrue)
	_, _ = l.Admit(t.Context(), "a", m)
	c.Assert(admitted(l, "a", m), qt.IsFalse)
	c.Assert(admitted(l, "b", m), qt.IsTrue)
	first(0)
	first(0) // a second release has no effect
	c.Assert(admitted(l, "a", m), qt.IsTrue)
	_, _ = l.Admit(t.Context(), "a", m)
	c.Assert(admitted(l, "a", m), qt.IsFalse)
}

// TestLargeOrganisationStarvesNobody fills a VM's queue with the requests of one organisation and checks how long those
// of two small ones wait.
func TestLargeOrganisationStarvesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := NewLimiter(Config{MaxRunning: 4, MaxQueued: 400, QueueShare: 0.5})
		var g sync.WaitGroup
		var mu sync.Mutex
		work := func(name string, weight float64, waits *[]time.Duration) {
			g.Go(func() {
				started := time.Now()
				release, err := l.Admit(t.Context(), name, Limits{Weight: weight})
				if err != nil {
					return
				}
				mu.Lock()
				*waits = append(*waits, time.Since(started))
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				release(1)
			})
			synctest.Wait()
		}
		var large, small, heavy []time.Duration
		for range 400 {
			work("large", 1, &large)
		}
		for range 3 {
			work("small", 1, &small)
			work("heavy", 4, &heavy)
		}
		c.Assert(l.State().Queued, qt.Equals, 206) // 200 of large, which may fill half of the queue, and 6 of the others
		g.Wait()
		c.Assert(small, qt.HasLen, 3)
		for _, w := range append(small, heavy...) {
			c.Assert(w <= 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v %v", small, heavy))
		}
		c.Assert(len(large), qt.Equals, 204)
		c.Assert(l.State().Running+l.State().Queued, qt.Equals, 0)
	})
}

func TestAdmissionRespectsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := NewLimiter(Config{MaxRunning: 1})
		hold := func(ctx context.Context) error {
			release, err := l.Admit(ctx, "a", Limits{})
			if err == nil {
				time.Sleep(time.Second)
				release(0)
			}
			return err
		}
		c.Assert(hold(t.Context()), qt.IsNil) // sets the service time to 1 s
		for range 5 {
			go func() { _ = hold(t.Context()) }()
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		started := time.Now()
		f := gladeapi.AsRefusal(hold(ctx))
		c.Assert(time.Since(started), qt.Equals, time.Duration(0)) // refused at once, without waiting
		c.Assert(f.Code, qt.Equals, gladeapi.CodeDeadline)
		c.Assert(f.Ran, qt.Equals, gladeapi.NotRun)
		c.Assert(f.RetryAfter >= 4*time.Second, qt.IsTrue)
		cancelled, cancelRequest := context.WithCancel(t.Context())
		go cancelRequest()
		c.Assert(hold(cancelled), qt.IsNotNil) // a cancelled request leaves the queue
		time.Sleep(10 * time.Second)
		c.Assert(l.State().Running+l.State().Queued, qt.Equals, 0)
	})
}

func TestSilentOrganisationsCostNothing(t *testing.T) {
	const organisations = 48_000
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := NewLimiter(Config{})
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range organisations {
			admitted(l, fmt.Sprint(i), Limits{RequestsPerSecond: 10, TokensPerSecond: 10})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		each := (after.HeapAlloc - before.HeapAlloc) / organisations
		c.Assert(each < 1024, qt.IsTrue, qt.Commentf("%d B each", each)) // 48 MB of the VM's 128 MB if all are active at once
		t.Logf("%d B for an active organisation", each)
		time.Sleep(2 * defaultIdle)
		admitted(l, "0", Limits{})
		c.Assert(l.State().Organisations, qt.Equals, 1)
	})
}

// vmGroup is a set of VMs that share one organisation's limit of 100 requests per second.
type vmGroup struct {
	limiters []*Limiter
	sharers  []*Sharer
	isolated map[string]bool
}

func newVMGroup(vms int) *vmGroup {
	s := &vmGroup{isolated: map[string]bool{}}
	names := make([]string, vms)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%02d", i)
	}
	for i, name := range names {
		sharer := NewSharer(SharerConfig{
			VM: name,
			VMs: func() []string {
				var live []string
				for _, n := range names {
					if s.isolated[n] == s.isolated[name] {
						live = append(live, n)
					}
				}
				return live
			},
			RequestShares: func(_ context.Context, vm string, r DemandReport) (Shares, error) {
				if s.isolated[vm] != s.isolated[name] {
					return nil, errors.New("unreachable")
				}
				var to int
				_, _ = fmt.Sscanf(vm, "vm-%d", &to)
				return s.sharers[to].HandleReport(names[i], r), nil
			},
		})
		s.sharers = append(s.sharers, sharer)
		s.limiters = append(s.limiters, NewLimiter(Config{Share: sharer.Share}))
	}
	return s
}

// run sends 400 requests per second, divided over the listed VMs in 20 ticks per second, and returns the rate
// admitted in the second half of the time.
func (s *vmGroup) run(seconds int, vms ...int) float64 {
	n := 0
	for tick := range seconds * 20 {
		for _, vm := range vms {
			for range 200 / len(vms) / 20 * 2 { // 400 per second in all
				if admitted(s.limiters[vm], "a", Limits{RequestsPerSecond: 100}) && tick >= seconds*10 {
					n++
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
		if tick%40 == 39 {
			for i, sharer := range s.sharers {
				sharer.Exchange(context.Background(), s.limiters[i].TakeDemand())
			}
		}
	}
	return float64(n) / float64(seconds) * 2
}

func TestLimitHoldsOverVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newVMGroup(10)
		within := func(rate, low, high float64) {
			c.Helper()
			c.Check(rate >= low && rate <= high, qt.IsTrue, qt.Commentf("%g a second", rate))
			t.Logf("%g a second", rate)
		}
		within(s.run(40, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9), 85, 105)
		within(s.run(40, 3), 85, 105)
		within(s.run(40, 5, 6), 85, 105)
		for i := range 5 { // five VMs are cut off and keep their last shares, with demand on both sides
			s.isolated[fmt.Sprintf("vm-%02d", i)] = true
		}
		within(s.run(40, 5, 6), 85, 105)
		within(s.run(40, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9), 85, 205)
		clear(s.isolated)
		within(s.run(40, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9), 85, 105)
	})
}

func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := NewBudget(BudgetConfig{})
		allowed := 0
		for range 1000 {
			b.CountRequest()
			for range 3 {
				if b.TryRetry() {
					allowed++
				}
			}
		}
		c.Assert(allowed >= 100 && allowed <= 111, qt.IsTrue, qt.Commentf("%d", allowed))
		time.Sleep(5 * time.Second)
		c.Assert(b.TryRetry(), qt.IsTrue) // retries are allowed without requests too
	})
}
