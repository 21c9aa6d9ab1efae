package gladeprogress

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStalled means that nothing of an answer arrived for too long.
var ErrStalled = eris.New("the answer has stopped arriving")

// maxLateness is how late a timer may be in a process that gets a processor.
const maxLateness = 100 * time.Millisecond

// Limits bound one call.
type Limits struct {
	// First is the longest time until the header of the answer arrives.
	First time.Duration
	// Pause is the longest time in which nothing of the body arrives.
	Pause time.Duration
	// Total bounds the whole call, its body included.
	Total time.Duration
}

// watchdog ends a call that makes no progress.
type watchdog struct {
	limits Limits
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	limit   time.Duration
	armedAt time.Time
	// extended reports that the present limit was extended because the process stood still.
	extended bool
}

type contextKey struct{}

// WithLimits returns a context for one call through a Transport, and the function that releases its timers once the body is read.
func WithLimits(ctx context.Context, l Limits) (context.Context, context.CancelFunc) {
	ctx, cancelTotal := context.WithTimeout(ctx, l.Total)
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{limits: l, cancel: cancel, limit: l.First, armedAt: time.Now()}
	w.mu.Lock()
	w.timer = time.AfterFunc(l.First, w.expire)
	w.mu.Unlock()
	return context.WithValue(ctx, contextKey{}, w), func() {
		w.timer.Stop()
		cancel(nil)
		cancelTotal()
	}
}

// progress records that a part of the answer has arrived.
func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit, w.armedAt, w.extended = w.limits.Pause, time.Now(), false
	w.timer.Reset(w.limit)
}

// expire ends the call, unless the timer is late: what has arrived meanwhile is read first.
func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	silence := time.Since(w.armedAt)
	switch {
	case silence < w.limit: // something has arrived since the timer fired
	case silence > w.limit+maxLateness && !w.extended:
		w.armedAt, w.extended = time.Now(), true
		w.timer.Reset(w.limit)
	default:
		w.cancel(ErrStalled)
	}
}

// Transport is an http.RoundTripper that applies the limits of WithLimits. Calls without limits pass unchanged.
type Transport struct {
	Base *http.Transport
}

// RoundTrip sends a request; the body of the response fails with ErrStalled if it stops arriving.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	w, limited := r.Context().Value(contextKey{}).(*watchdog)
	response, err := t.Base.RoundTrip(r)
	switch {
	case !limited:
		return response, err
	case err != nil:
		return nil, stallOf(r.Context(), err)
	}
	w.progress()
	response.Body = &body{ReadCloser: response.Body, watchdog: w, ctx: r.Context()}
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// body reports each read to the watchdog.
type body struct {
	io.ReadCloser
	watchdog *watchdog
	ctx      context.Context
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watchdog.progress()
	}
	if err != nil && err != io.EOF { //nolint:errorlint // readers return io.EOF itself
		err = stallOf(b.ctx, err)
	}
	return n, err
}

// stallOf returns ErrStalled if that is why a call has ended, and its error otherwise.
func stallOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause == ErrStalled { //nolint:errorlint // it is set by this package
		return cause
	}
	return err
}
