package gladerelay

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// errBusy means that a peer serves as many large answers as it may.
var errBusy = eris.New("the peer serves others")

const (
	// hedgeDelay is the wait for a peer's answer before another peer is asked too. Answers take a few milliseconds.
	hedgeDelay = 150 * time.Millisecond
	// minAskInterval is the shortest time between two questions.
	minAskInterval = 20 * time.Millisecond
	// maxAsked is the largest number of peers that are asked for one kind of data at once.
	maxAsked = 3
	// failurePause is how long a peer that did not answer is asked only if there is no other, and no more often than each
	// hedgeDelay.
	failurePause = 2 * time.Second
	// busyPause is that time for a peer that serves others.
	busyPause = 100 * time.Millisecond
)

// fetcher asks peers for one kind of data. A peer that does not answer delays nothing but its own call.
type fetcher[A any] struct {
	kind string
	call func(ctx context.Context, vm string) (A, error)
	// deliver receives each answer; calls are concurrent.
	deliver func(answer A, vm string)
	// wake is called when it may be time to ask again.
	wake  func()
	tasks *sync.WaitGroup
	log   hclog.Logger

	mu        sync.Mutex
	asked     map[string]bool
	lastAsked time.Time
	// pausedUntil is the time until which a peer comes last.
	pausedUntil map[string]time.Time
}

// ask asks the first of the peers that has not failed lately, unless one was asked a moment ago.
func (f *fetcher[A]) ask(ctx context.Context, vms []string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := now.Sub(f.lastAsked)
	if len(f.asked) >= maxAsked || len(f.asked) > 0 && since < hedgeDelay || since < minAskInterval {
		return
	}
	vm := f.choose(vms, now)
	if vm == "" {
		return
	}
	f.asked[vm], f.lastAsked = true, now
	f.tasks.Go(func() { f.fetch(ctx, vm) })
	time.AfterFunc(hedgeDelay, f.wake)
}

// choose returns the peer to ask next, or "" if there is none. The caller holds f.mu.
func (f *fetcher[A]) choose(vms []string, now time.Time) string {
	paused := ""
	for _, vm := range vms {
		switch until := f.pausedUntil[vm]; {
		case f.asked[vm]:
		case !now.Before(until):
			return vm
		case paused == "" || until.Before(f.pausedUntil[paused]):
			paused = vm
		}
	}
	if len(f.asked) > 0 || now.Sub(f.lastAsked) < hedgeDelay {
		return ""
	}
	return paused
}

func (f *fetcher[A]) fetch(ctx context.Context, vm string) {
	answer, err := f.call(ctx, vm)
	f.mu.Lock()
	delete(f.asked, vm)
	switch {
	case err == nil:
		delete(f.pausedUntil, vm)
	case eris.Is(err, errBusy):
		f.pausedUntil[vm] = time.Now().Add(busyPause)
	default:
		f.pausedUntil[vm] = time.Now().Add(failurePause)
	}
	f.mu.Unlock()
	switch {
	case err == nil:
		f.deliver(answer, vm)
	case ctx.Err() == nil && !eris.Is(err, errBusy):
		f.log.Warn("Peer does not answer; another one is asked.", "kind", f.kind, "peer", vm, "reason", err)
	}
	time.AfterFunc(minAskInterval, f.wake)
}
