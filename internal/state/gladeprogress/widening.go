package gladeprogress

import (
	"context"
	"errors"
	"sync"
)

const (
	// maxSilenceDoublings bounds how often the limits on silence double.  A call on a connection that is silent for good delays the next one.
	maxSilenceDoublings = 2
	// maxTotalDoublings bounds how often the limit on a whole call doubles.
	maxTotalDoublings = 6
	// maxTimeouts bounds the count of calls that took too long.
	maxTimeouts = 16
)

// Widening doubles the limits of calls that are made again because they took too long. Its zero value is ready for use, and its methods
// may be called concurrently.
type Widening struct {
	mu sync.Mutex
	// timeouts is, by call, how many in a row took too long.
	timeouts map[string]int
}

// Limits returns the limits of the next call of a name, given those of a call that follows a success.
func (w *Widening) Limits(call string, l Limits) Limits {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.timeouts[call]
	l.First <<= min(n, maxSilenceDoublings)
	l.Pause <<= min(n, maxSilenceDoublings)
	l.Total <<= min(n, maxTotalDoublings)
	return l
}

// Timeouts returns how many calls of a name in a row took too long, up to maxTimeouts.
func (w *Widening) Timeouts(call string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.timeouts[call]
}

// Record records how a call of a name ended.
func (w *Widening) Record(call string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		delete(w.timeouts, call)
	case errors.Is(err, ErrStalled) || errors.Is(err, context.DeadlineExceeded):
		if w.timeouts == nil {
			w.timeouts = map[string]int{}
		}
		w.timeouts[call] = min(w.timeouts[call]+1, maxTimeouts)
	}
}
