package gladeprogress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

// read makes one call to a server that waits before its header and between the parts of its body.
func read(t *testing.T, l Limits, header time.Duration, parts []time.Duration) (int, error) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pause := func(d time.Duration) {
			select {
			case <-time.After(d):
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		pause(header)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		for _, d := range parts {
			pause(d)
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
		}
	}))
	defer s.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	ctx, cancel := WithLimits(t.Context(), l)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
	qt.Assert(t, err, qt.IsNil)
	response, err := (&http.Client{Transport: &Transport{Base: transport}}).Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return len(raw), err
}

// Guards against a call that ends while its answer arrives, and against one that waits for an answer that does not.
func TestCallsEndWithoutProgress(t *testing.T) {
	limits := Limits{First: 400 * ms, Pause: 400 * ms, Total: 3 * time.Second}
	steady := []time.Duration{200 * ms, 200 * ms, 200 * ms, 200 * ms, 200 * ms}
	for name, x := range map[string]struct {
		limits Limits
		header time.Duration
		parts  []time.Duration
		want   error
	}{
		"slow and steady": {limits, 200 * ms, steady, nil},
		"no header":       {limits, 10 * time.Second, nil, ErrStalled},
		"stops arriving":  {limits, 0, []time.Duration{0, 10 * time.Second}, ErrStalled},
		"too slow in all": {Limits{First: 400 * ms, Pause: 400 * ms, Total: 700 * ms}, 0, steady, context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n, err := read(t, x.limits, x.header, x.parts)
			qt.Check(t, errors.Is(err, x.want), qt.IsTrue, qt.Commentf("%v", err))
			if x.want == nil {
				qt.Check(t, n, qt.Equals, len("part")*len(x.parts))
			}
		})
	}
}

// Guards against a call that is ended because its process stood still, although its answer has arrived meanwhile.
func TestStandstillEndsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		w := &watchdog{limits: Limits{Pause: 400 * ms}, cancel: cancel, limit: 400 * ms, armedAt: time.Now().Add(-2 * time.Second)}
		w.timer = time.AfterFunc(time.Hour, w.expire)
		w.expire()
		qt.Check(t, ctx.Err(), qt.IsNil)
		time.Sleep(399 * ms)
		w.progress()
		time.Sleep(399 * ms)
		qt.Check(t, ctx.Err(), qt.IsNil)
		time.Sleep(2 * ms)
		synctest.Wait()
		qt.Check(t, context.Cause(ctx), qt.ErrorIs, ErrStalled)
	})
}

// Guards against reads and timers of one call that disturb each other.
func TestWatchdogIsSafeForConcurrentUse(t *testing.T) {
	ctx, cancel := WithLimits(t.Context(), Limits{First: ms, Pause: ms, Total: time.Second})
	defer cancel()
	w := ctx.Value(contextKey{}).(*watchdog)
	var tasks sync.WaitGroup
	for range 4 {
		tasks.Go(func() {
			for range 200 {
				w.progress()
				w.expire()
			}
		})
	}
	tasks.Wait()
}
