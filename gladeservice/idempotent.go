package gladeservice

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const (
	minHedgeDelay      = 10 * time.Millisecond
	hedgeDeviations    = 4
	latencySmoothing   = 8
	deviationSmoothing = 4
)

// flight is an idempotent call with its attempts.
type flight struct {
	client  *Client
	request *Request
	results chan result
	started int
	running int
	sent    bool
	avoid   []string
	// last is what the caller gets if nothing better comes.
	last result
}

type result struct {
	answer *Answer
	err    error
	sent   bool
}

func (c *Client) repeatable(ctx context.Context, r *Request) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &flight{client: c, request: r, results: make(chan result, c.config.MaxAttempts)}
	if err := f.launch(ctx); err != nil {
		return nil, c.refusal(http.StatusServiceUnavailable, gladeapi.CodeNoBackend, gladeapi.NotRun, err)
	}
	hedge := f.hedge()
	for f.running > 0 {
		select {
		case x := <-f.results:
			f.finish(x)
			if !x.retryable() {
				return f.conclude()
			}
			f.relaunch(ctx)
		case <-hedge:
			if f.relaunch(ctx) {
				c.counts.hedges.Inc(1)
			}
		}
	}
	return f.conclude()
}

func (f *flight) finish(x result) {
	f.running--
	f.last = x
	f.sent = f.sent || x.sent
}

// launch starts an attempt on a server that had none.
func (f *flight) launch(ctx context.Context) error {
	c := f.client
	choice, err := c.config.Choose(f.request.Route.Pool, gladeapi.Need{Pool: f.request.Route.Pool, Avoid: f.avoid})
	if err != nil {
		return err
	}
	f.avoid = append(f.avoid, choice.Backend.ID)
	f.started++
	f.running++
	a := c.newAttempt(f.request, f.started, choice)
	ctx, cancel := context.WithTimeout(ctx, f.share(ctx))
	go func() {
		defer cancel()
		answer, err := a.do(ctx, c.pooled)
		sent := a.sent() && !errors.Is(err, ErrRefusedBeforeRunning)
		f.results <- result{answer: answer, err: err, sent: sent}
	}()
	return nil
}

// share returns the part of the remaining time that one attempt may take, which leaves time for another
// unless the route's answers usually take longer.
func (f *flight) share(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTimeout
	}
	left := time.Until(deadline)
	if f.started >= f.client.config.MaxAttempts {
		return left
	}
	usual, known := f.client.latency(f.request.Route.Name).usual()
	if !known {
		return left * 3 / 4
	}
	return min(left, max(left/2, usual))
}

func (f *flight) relaunch(ctx context.Context) bool {
	c := f.client
	if f.started >= c.config.MaxAttempts || ctx.Err() != nil || !c.config.Retry() {
		return false
	}
	if err := f.launch(ctx); err != nil {
		return false
	}
	c.counts.retries.Inc(1)
	return true
}

func (f *flight) conclude() (*Answer, error) {
	if f.last.answer != nil {
		return f.last.answer, nil
	}
	ran := gladeapi.Unknown
	if !f.sent {
		ran = gladeapi.NotRun
	}
	if errors.Is(f.last.err, ErrAnswerTooLarge) {
		return nil, f.client.refusal(http.StatusBadGateway, gladeapi.CodeTooLarge, gladeapi.DidRun, f.last.err)
	}
	if errors.Is(f.last.err, context.DeadlineExceeded) {
		return nil, f.client.refusal(http.StatusGatewayTimeout, gladeapi.CodeDeadline, ran, f.last.err)
	}
	return nil, f.client.refusal(http.StatusBadGateway, gladeapi.CodeBackendFailed, ran, f.last.err)
}

func (x *result) retryable() bool {
	if x.err != nil {
		return !errors.Is(x.err, ErrAnswerTooLarge)
	}
	switch x.answer.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// hedge returns a channel that asks for a second attempt, or nil if the route allows none.
func (f *flight) hedge() <-chan time.Time {
	if !f.request.Route.Hedge {
		return nil
	}
	longest := Timeout(&f.request.Route) / 3
	return time.After(f.client.latency(f.request.Route.Name).hedgeDelay(longest))
}

// latency tracks the smoothed answer time of a route and its deviation.
type latency struct {
	mu        sync.Mutex
	mean      time.Duration
	deviation time.Duration
}

func (c *Client) latency(route string) *latency {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.latencies[route]
	if l == nil {
		l = &latency{}
		c.latencies[route] = l
	}
	return l
}

func (l *latency) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		l.mean, l.deviation = d, d/2
		return
	}
	l.deviation += ((d - l.mean).Abs() - l.deviation) / deviationSmoothing
	l.mean += (d - l.mean) / latencySmoothing
}

// usual returns the time by which nearly all answers have come, if any came.
func (l *latency) usual() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mean + hedgeDeviations*l.deviation, l.mean > 0
}

func (l *latency) hedgeDelay(longest time.Duration) time.Duration {
	usual, known := l.usual()
	if !known {
		return longest
	}
	return min(longest, max(minHedgeDelay, usual))
}
