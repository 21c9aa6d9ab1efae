package gladeview

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a watch after which the objects are listed anew.
var (
	// ErrHistoryGone means that the store no longer knows the changes after a revision.
	ErrHistoryGone = eris.New("the store no longer has the history of changes")
	// ErrTooManyChanges means that the changes after a revision do not fit into an answer.  They only become more.
	ErrTooManyChanges = eris.New("the changes do not fit into an answer")
)

const (
	// initialBackoff is the mean pause after the first failed call.
	initialBackoff = 150 * time.Millisecond
	// maxBackoff is the longest mean pause after a failed call; a release must be in force within seconds.
	maxBackoff = time.Second
	// batchDelay is the pause after changes, so that several changes in quick succession need only one call.
	batchDelay = 200 * time.Millisecond
)

// Item is one object and its name.
type Item[T any] struct {
	Name  string
	Value T
}

// Change is a new value of an object, or its deletion.
type Change[T any] struct {
	Item[T]
	Deleted bool
}

// FollowConfig configures Follow.
type FollowConfig[T any] struct {
	// List returns all objects and the revision of the list.
	List func(context.Context) ([]Item[T], int64, error)
	// Watch waits for changes after a revision and returns them with the revision to continue from. It returns no
	// changes after a while without any, ErrHistoryGone if the store no longer knows them, and ErrTooManyChanges if they cannot be read.
	Watch func(ctx context.Context, revision int64) ([]Change[T], int64, error)
	// OnList receives each list and its revision.
	OnList func(items []Item[T], revision int64)
	// OnChanges receives changes and the revision after them.
	OnChanges func(changes []Change[T], revision int64)
	// OnCurrent is called after each answer of the store, once what it says has been reported.
	OnCurrent func()
	// OnLost is called with the error at the first failed call of an outage.
	OnLost func(error)
	// OnRecovered is called after an outage with its duration.
	OnRecovered func(outage time.Duration)
}

// follower is the state of a running Follow.
type follower[T any] struct {
	FollowConfig[T]
	lostSince time.Time
	backoff   time.Duration
}

// Follow lists and watches until the context ends.
func Follow[T any](ctx context.Context, c FollowConfig[T]) {
	f := &follower[T]{FollowConfig: c, backoff: initialBackoff}
	for ctx.Err() == nil {
		began := time.Now()
		items, revision, err := f.List(ctx)
		if !f.succeeded(ctx, began, err) {
			continue
		}
		f.OnList(items, revision)
		f.OnCurrent()
		f.watch(ctx, revision)
	}
}

// watch reports changes until they can no longer be had or the context ends.
func (f *follower[T]) watch(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		began := time.Now()
		changes, next, err := f.Watch(ctx, revision)
		if errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrTooManyChanges) {
			return
		}
		if !f.succeeded(ctx, began, err) {
			continue
		}
		revision = max(revision, next)
		if len(changes) > 0 {
			f.OnChanges(changes, revision)
		}
		f.OnCurrent()
		if len(changes) > 0 {
			sleep(ctx, batchDelay)
		}
	}
}

// succeeded reports whether a call succeeded. It reports the start and the end of an outage, and pauses after a
// failure, unless the call itself has taken longer than the pause.
func (f *follower[T]) succeeded(ctx context.Context, began time.Time, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		f.backoff = initialBackoff
		if !f.lostSince.IsZero() {
			f.OnRecovered(time.Since(f.lostSince))
			f.lostSince = time.Time{}
		}
		return true
	}
	if f.lostSince.IsZero() {
		f.lostSince = time.Now()
		f.OnLost(err)
	}
	sleep(ctx, f.backoff/2+rand.N(f.backoff)-time.Since(began))
	f.backoff = min(maxBackoff, 2*f.backoff)
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
