package gladeview

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryGone means that the changes after a revision are no longer known.
var ErrHistoryGone = eris.New("history is gone")

const (
	// firstBackoff and maxBackoff bound the pause after a failed call; the release must be in force within seconds.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = time.Second
	// settle is the pause after changes, so that several that come together cost one call.
	settle = 200 * time.Millisecond
)

// Item is one object.
type Item[T any] struct {
	Name  string
	Value T
}

// Change is one change of an object.
type Change[T any] struct {
	Item[T]
	Deleted bool
}

// FollowConfig configures a Follow.
type FollowConfig[T any] struct {
	// List returns all objects and the revision of the list.
	List func(context.Context) ([]Item[T], int64, error)
	// Watch returns the changes after a revision, or none after a while, and the revision to go on from.
	Watch func(ctx context.Context, revision int64) ([]Change[T], int64, error)
	// OnList and OnChanges receive what was learnt, up to a revision.
	OnList    func(items []Item[T], revision int64)
	OnChanges func(changes []Change[T], revision int64)
	// OnLost and OnRegained tell of the store; outage is how long it was lost.
	OnLost     func(error)
	OnRegained func(outage time.Duration)
}

// follow is a Follow under way.
type follow[T any] struct {
	FollowConfig[T]
	lost    time.Time
	backoff time.Duration
}

// Follow runs until the context ends.
func Follow[T any](ctx context.Context, c FollowConfig[T]) {
	f := &follow[T]{FollowConfig: c, backoff: firstBackoff}
	for ctx.Err() == nil {
		items, revision, err := f.List(ctx)
		if !f.noted(ctx, err) {
			continue
		}
		f.OnList(items, revision)
		f.watch(ctx, revision)
	}
}

// watch goes on until the history is gone or the context ends.
func (f *follow[T]) watch(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		changes, next, err := f.Watch(ctx, revision)
		if errors.Is(err, ErrHistoryGone) {
			return
		}
		if !f.noted(ctx, err) {
			continue
		}
		revision = max(revision, next)
		if len(changes) > 0 {
			f.OnChanges(changes, revision)
			sleep(ctx, settle)
		}
	}
}

// noted takes note of a call's outcome, pauses after a failure, and reports success.
func (f *follow[T]) noted(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		f.backoff = firstBackoff
		if !f.lost.IsZero() {
			f.OnRegained(time.Since(f.lost))
			f.lost = time.Time{}
		}
		return true
	}
	if f.lost.IsZero() {
		f.lost = time.Now()
		f.OnLost(err)
	}
	sleep(ctx, f.backoff/2+rand.N(f.backoff))
	f.backoff = min(maxBackoff, 2*f.backoff)
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
