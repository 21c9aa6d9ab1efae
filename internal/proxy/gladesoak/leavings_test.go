package gladesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// leavingSlack is how much later than drainBound a request may reach a leaving server: its way there.
	leavingSlack = 200 * time.Millisecond
	// leavingContact is how long a VM must have been without a fault for that.
	leavingContact = 3 * time.Second
	// leavingRest is how long a leaving server serves after drainBound, while all VMs are called.
	leavingRest = 2 * time.Second
)

// leavings is a soak in which servers leave, one series after the other, while the store, the readers and the releases are in trouble.  Only some of the
// VMs get calls until the bound, so that the others do not hear of the leaving from the servers themselves.
type leavings struct {
	*soak
	random *rand.Rand

	mu sync.Mutex
	// rejections are the times in which the store rejected the calls of a VM.
	rejections []rejectionSpan
}

type rejectionSpan struct {
	host        int
	from, until time.Time
}

func (l *leavings) between(least, most time.Duration) time.Duration {
	return least + time.Duration(l.random.Int64N(int64(most-least)))
}

// drawLeavers returns one or two servers that run, so that each service keeps one.
func (l *leavings) drawLeavers() []*fakeServer {
	var leavers []*fakeServer
	for _, i := range l.random.Perm(len(l.servers))[:1+l.random.IntN(2)] {
		f := l.servers[i]
		if !slices.ContainsFunc(leavers, func(o *fakeServer) bool { return o.service == f.service }) {
			leavers = append(leavers, f)
		}
	}
	return leavers
}

// drawTrouble starts what goes wrong around the time at which servers leave.
func (l *leavings) drawTrouble(tasks *sync.WaitGroup) {
	after := func(d time.Duration, f func()) {
		tasks.Go(func() { time.Sleep(d); f() })
	}
	if l.random.IntN(4) > 0 {
		l.store.deafen()
		after(l.between(300*time.Millisecond, 1100*time.Millisecond), l.store.forget)
	}
	var target *vm
	for _, v := range l.vms {
		if l.random.IntN(2) == 0 && l.reads(v) {
			target = v
		}
	}
	if target == nil {
		target = l.vms[l.random.IntN(len(l.vms))]
	}
	at, length := l.between(0, 1200*time.Millisecond), l.between(300*time.Millisecond, 1500*time.Millisecond)
	switch l.random.IntN(6) {
	case 0:
		after(at, func() { l.Check(target.restart(syscall.SIGKILL), qt.IsNil) })
	case 1:
		after(at, func() { l.Check(target.restart(syscall.SIGTERM), qt.IsNil) })
	case 2:
		after(at, func() {
			target.signal(syscall.SIGSTOP)
			time.Sleep(length)
			target.signal(syscall.SIGCONT)
		})
	case 3:
		after(at, func() {
			span := rejectionSpan{host: target.host, from: time.Now()}
			l.store.setRejected(target.host, true)
			time.Sleep(length)
			l.store.setRejected(target.host, false)
			span.until = time.Now()
			l.mu.Lock()
			defer l.mu.Unlock()
			l.rejections = append(l.rejections, span)
		})
	}
	if l.random.IntN(3) == 0 {
		count, gap := 2+l.random.IntN(8), l.between(30*time.Millisecond, 300*time.Millisecond)
		after(at, func() {
			for n := range count {
				l.publishRelease(1, n%2 == 0)
				time.Sleep(gap)
			}
		})
	}
}

// runSeries lets servers leave once.
func (l *leavings) runSeries() {
	var loud []*vm
	for _, v := range l.vms {
		if l.random.IntN(2) == 0 {
			loud = append(loud, v)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var calls, tasks sync.WaitGroup
	l.callUntil(ctx, &calls, loud, "unsafe")
	l.callUntil(ctx, &calls, loud, "stream")
	time.Sleep(l.between(100*time.Millisecond, 600*time.Millisecond))
	l.drawTrouble(&tasks)
	time.Sleep(l.between(0, 300*time.Millisecond))
	for _, f := range l.drawLeavers() {
		tasks.Go(func() {
			f.leaveAfter(drainBound + leavingRest)
			f.start()
		})
	}
	time.Sleep(drainBound + leavingSlack)
	l.callUntil(ctx, &calls, l.vms, "unsafe")
	l.callUntil(ctx, &calls, l.vms, "stream")
	tasks.Wait()
	cancel()
	calls.Wait()
}

// arrivalAt returns when a request reached a server, zero if it reached none.
func (l *leavings) arrivalAt(attempt string) time.Time {
	var at time.Time
	for _, f := range l.servers {
		f.mu.Lock()
		for _, d := range f.arrivals {
			if d.attempt == attempt && d.at.After(at) {
				at = d.at
			}
		}
		f.mu.Unlock()
	}
	return at
}

// isCalm reports whether a VM had no fault for leavingContact before a time.
func (l *leavings) isCalm(v *vm, at time.Time) bool {
	since := at.Add(-leavingContact)
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.ContainsFunc(v.faults, func(t time.Time) bool { return t.After(since) && t.Before(at) }) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(l.rejections, func(r rejectionSpan) bool { return r.host == v.host && r.from.Before(at) && r.until.After(since) })
}

// late returns the requests that reached a leaving server through VMs that were calm.
func (l *leavings) late() []string {
	l.recorder.mu.Lock()
	ids := slices.Clone(l.recorder.lateRequests)
	l.recorder.mu.Unlock()
	var late []string
	for _, id := range ids {
		if v, at := l.recorder.vm(id), l.arrivalAt(id); l.isCalm(v, at) {
			late = append(late, fmt.Sprintf("%s through VM %d at %s", id, v.host, at.UTC().Format(time.RFC3339Nano)))
		}
	}
	return late
}

// restart kills all VMs and starts them again, in half of the runs all servers too.
func (l *leavings) restart() {
	var tasks sync.WaitGroup
	if l.random.IntN(2) == 0 {
		for _, f := range l.servers {
			down := l.between(200*time.Millisecond, 3*time.Second)
			f.crash()
			tasks.Go(func() { time.Sleep(down); f.start() })
		}
	}
	l.restartAll(l.between(500*time.Millisecond, 1500*time.Millisecond))
	tasks.Wait()
}

// Guards against requests to leaving servers, in whatever trouble their VMs' neighbours and the store are, and against VMs that do not
// serve again after all of them have ended.
func TestLeavings(t *testing.T) {
	program := buildProgram(t)
	for _, seed := range seedsOfFlag(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			l := &leavings{soak: newSoak(t, program, seed), random: rand.New(rand.NewPCG(seed, 5))}
			for _, v := range l.vms {
				l.Assert(l.waitReady(v), qt.IsTrue)
			}
			for began := time.Now(); time.Since(began) < *duration; {
				l.runSeries()
			}
			for _, text := range l.late() {
				l.Errorf("%s reached a leaving server", text)
			}
			if l.random.IntN(2) == 0 {
				l.extraRoutes = manyRoutes * (1 + l.random.IntN(3))
				l.publishRelease(1, true)
			}
			l.store.mu.Lock()
			l.store.listTimes = map[string]time.Duration{
				"config": l.between(0, 2*time.Second), "servers": l.between(0, 900*time.Millisecond),
			}
			l.store.mu.Unlock()
			l.restart()
			l.checkServesWithin(recoverBound)
		})
	}
}
