package gladeview

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var errDown = errors.New("the store is down")

// advance moves virtual time forward and waits until all goroutines are blocked again.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// fakeStore is a store of one kind of object whose calls can fail.
type fakeStore struct {
	mu       sync.Mutex
	items    []Item[int]
	revision int64
	changes  []Change[int]
	err      error
	lists    int
}

func (s *fakeStore) list(context.Context) ([]Item[int], int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.items, s.revision, s.err
}

func (s *fakeStore) watch(ctx context.Context, _ int64) ([]Change[int], int64, error) {
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

func (s *fakeStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// recorder counts the callbacks of a Follow and keeps their latest values.
type recorder struct {
	lists, changes, lost int
	current              atomic.Int64
	outage               time.Duration
	revision             int64
}

// runFollow calls f while a Follow of the store runs in virtual time.
func runFollow(t *testing.T, s *fakeStore, f func(c *qt.C, h *recorder)) {
	synctest.Test(t, func(t *testing.T) {
		h := &recorder{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			Follow(ctx, FollowConfig[int]{
				List: s.list, Watch: s.watch,
				OnList:      func(_ []Item[int], revision int64) { h.lists++; h.revision = revision },
				OnChanges:   func(changes []Change[int], revision int64) { h.changes += len(changes); h.revision = revision },
				OnCurrent:   func() { h.current.Add(1) },
				OnLost:      func(error) { h.lost++ },
				OnRecovered: func(outage time.Duration) { h.outage = outage },
			})
		}()
		f(qt.New(t), h)
		cancel()
		<-done
	})
}

func TestChangesFollowList(t *testing.T) {
	s := &fakeStore{items: []Item[int]{{Name: "a"}}, revision: 3}
	runFollow(t, s, func(c *qt.C, h *recorder) {
		advance(500 * time.Millisecond)
		c.Assert(h.lists, qt.Equals, 1)
		s.set(func() { s.changes, s.revision = []Change[int]{{Deleted: true}, {}}, 5 })
		advance(time.Second)
		c.Assert(h.changes, qt.Equals, 2)
		c.Assert(h.revision, qt.Equals, int64(5))
		c.Assert(h.current.Load(), qt.Equals, int64(2)) // the list and the changes
		advance(1500 * time.Millisecond)
		c.Assert(h.current.Load() > 2, qt.IsTrue) // a watch without changes
		c.Assert(s.lists, qt.Equals, 1)
	})
}

// Guards against watches that are repeated from a revision whose changes the store cannot give.
func TestChangesThatCannotBeHadCauseNewList(t *testing.T) {
	for _, err := range []error{ErrHistoryGone, ErrTooManyChanges} {
		s := &fakeStore{revision: 3}
		runFollow(t, s, func(c *qt.C, h *recorder) {
			advance(1500 * time.Millisecond)
			s.set(func() { s.err = err })
			advance(600 * time.Millisecond)
			s.set(func() { s.err = nil })
			advance(2 * time.Second)
			c.Assert(h.lists, qt.Equals, 2)
		})
	}
}

// The store is unavailable for minutes. Calls must stay few, and its return must be noticed within about a second.
func TestOutageCausesFewCalls(t *testing.T) {
	s := &fakeStore{err: errDown}
	runFollow(t, s, func(c *qt.C, h *recorder) {
		advance(time.Minute)
		c.Assert(s.lists < 100, qt.IsTrue)
		c.Assert(h.lost, qt.Equals, 1)
		s.set(func() { s.err = nil })
		advance(2 * maxBackoff)
		c.Assert(h.lists, qt.Equals, 1)
		c.Assert(h.outage >= time.Minute, qt.IsTrue)
	})
}

// Guards against a pause after a watch that has already taken all its time: a change that it missed waits on.
func TestWatchWithoutAnswerIsRepeatedAtOnce(t *testing.T) {
	s := &fakeStore{revision: 3}
	runFollow(t, s, func(c *qt.C, h *recorder) {
		advance(500 * time.Millisecond)
		s.set(func() { s.err = errDown }) // the watch ends with an error at 1 s
		advance(510 * time.Millisecond)
		s.set(func() { s.err, s.changes, s.revision = nil, []Change[int]{{}}, 4 })
		advance(time.Second) // the next watch takes a second
		c.Assert(h.changes, qt.Equals, 1)
	})
}
