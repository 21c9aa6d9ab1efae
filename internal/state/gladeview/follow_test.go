package gladeview

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var errDown = errors.New("store is down")

// pause lets time pass and waits until all that it brought about is done.
func pause(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// store is a store of one kind whose calls can fail.
type store struct {
	mu       sync.Mutex
	items    []Item[int]
	revision int64
	changes  []Change[int]
	err      error
	lists    int
}

func (s *store) list(context.Context) ([]Item[int], int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.items, s.revision, s.err
}

func (s *store) watch(ctx context.Context, _ int64) ([]Change[int], int64, error) {
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.changes
	s.changes = nil
	return changes, s.revision, s.err
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// heard is what a Follow told.
type heard struct {
	lists, changes, lost int
	outage               time.Duration
	revision             int64
}

// start calls f while a Follow of a store runs in virtual time.
func start(t *testing.T, s *store, f func(c *qt.C, h *heard)) {
	synctest.Test(t, func(t *testing.T) {
		h := &heard{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			Follow(ctx, FollowConfig[int]{
				List: s.list, Watch: s.watch,
				OnList:     func(_ []Item[int], revision int64) { h.lists++; h.revision = revision },
				OnChanges:  func(changes []Change[int], revision int64) { h.changes += len(changes); h.revision = revision },
				OnLost:     func(error) { h.lost++ },
				OnRegained: func(outage time.Duration) { h.outage = outage },
			})
		}()
		f(qt.New(t), h)
		cancel()
		<-done
	})
}

func TestChangesFollowAList(t *testing.T) {
	s := &store{items: []Item[int]{{Name: "a"}}, revision: 3}
	start(t, s, func(c *qt.C, h *heard) {
		pause(500 * time.Millisecond)
		c.Assert(h.lists, qt.Equals, 1)
		s.set(func() { s.changes, s.revision = []Change[int]{{Deleted: true}, {}}, 5 })
		pause(time.Second)
		c.Assert(h.changes, qt.Equals, 2)
		c.Assert(h.revision, qt.Equals, int64(5))
		c.Assert(s.lists, qt.Equals, 1)
	})
}

func TestLostHistoryIsListedAnew(t *testing.T) {
	s := &store{revision: 3}
	start(t, s, func(c *qt.C, h *heard) {
		pause(1500 * time.Millisecond)
		s.set(func() { s.err = ErrHistoryGone })
		pause(600 * time.Millisecond)
		s.set(func() { s.err = nil })
		pause(2 * time.Second)
		c.Assert(h.lists, qt.Equals, 2)
	})
}

// Pattern: the store is away for minutes; the calls stay few, and its return is noticed within about a second.
func TestOutageCostsFewCalls(t *testing.T) {
	s := &store{err: errDown}
	start(t, s, func(c *qt.C, h *heard) {
		pause(time.Minute)
		c.Assert(s.lists < 100, qt.IsTrue)
		c.Assert(h.lost, qt.Equals, 1)
		s.set(func() { s.err = nil })
		pause(2 * maxBackoff)
		c.Assert(h.lists, qt.Equals, 1)
		c.Assert(h.outage >= time.Minute, qt.IsTrue)
	})
}
