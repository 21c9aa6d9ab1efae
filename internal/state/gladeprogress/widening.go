package gladeprogress

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// maxPauseDoublings bounds how often the limit on pauses doubles.
	maxPauseDoublings = 2
	// maxDoublings bounds how often the other limits double.
	maxDoublings = 6
)

// Widening doubles the limits of calls to one party that are made again because they took too long. Its zero value is ready for use, and
// its methods may be called concurrently.
//
// The limit until an answer begins doubles only for calls beside which others were answered: a party that answers no call may be silent
// for good, and is noticed by that limit.
type Widening struct {
	mu sync.Mutex
	// answered is when a call was answered last.
	answered time.Time
	calls    map[string]timeouts
}

// timeouts are calls of a name in a row that took too long.
type timeouts struct {
	// all is their number, and beside the number of those beside which another call was answered.
	all, beside int
}

// Limits returns the limits of the next call of a name, given those of a call that follows a success.
func (w *Widening) Limits(call string, l Limits) Limits {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.calls[call]
	l.First <<= max(0, t.beside-1) // the answer of another call may have come before the party fell silent
	l.Pause <<= min(t.all, maxPauseDoublings)
	l.Total <<= t.all
	return l
}

// Timeouts returns how many calls of a name in a row took too long, up to a maximum.
func (w *Widening) Timeouts(call string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls[call].all
}

// Record records how a call of a name ended that began at a time.
func (w *Widening) Record(call string, began time.Time, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		w.answered = time.Now()
		delete(w.calls, call)
	case errors.Is(err, ErrStalled) || errors.Is(err, context.DeadlineExceeded):
		if w.calls == nil {
			w.calls = map[string]timeouts{}
		}
		t := w.calls[call]
		t.all = min(t.all+1, maxDoublings)
		if w.answered.After(began) {
			t.beside = min(t.beside+1, maxDoublings)
		}
		w.calls[call] = t
	}
}
