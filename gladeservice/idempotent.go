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
	minHedgeDelay = 10 * time.Millisecond
	// latencyDeviations is the number of deviations by which the upper estimate exceeds the mean.
	latencyDeviations = 4
	// meanSmoothing is the reciprocal of the weight of a new answer time in the mean.
	meanSmoothing = 8
	// deviationSmoothing is the reciprocal of the weight of a new answer time in the deviation.
	deviationSmoothing = 4
)

// idempotentCall is an idempotent call in progress and its attempts.
type idempotentCall struct {
	client  *Client
	request *Request
	results chan result
	started int
	running int
	sent    bool
	avoid   []string
	// lastResult is the result of the attempt that ended last. It decides what the caller receives.
	lastResult result
}

type result struct {
	answer *Answer
	err    error
	sent   bool
}

func (c *Client) doIdempotent(ctx context.Context, r *Request) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ic := &idempotentCall{client: c, request: r, results: make(chan result, c.config.MaxAttempts)}
	if err := ic.startAttempt(ctx); err != nil {
		return nil, c.refusal(http.StatusServiceUnavailable, gladeapi.CodeNoBackend, gladeapi.NotRun, err)
	}
	hedgeTimer := ic.hedgeTimer()
	for ic.running > 0 {
		select {
		case x := <-ic.results:
			ic.record(x)
			if !x.retryable() {
				return ic.finalAnswer()
			}
			ic.retry(ctx)
		case <-hedgeTimer:
			if ic.retry(ctx) {
				c.counts.hedges.Inc(1)
			}
		}
	}
	return ic.finalAnswer()
}

func (ic *idempotentCall) record(x result) {
	ic.running--
	ic.lastResult = x
	ic.sent = ic.sent || x.sent
}

// startAttempt starts an attempt on a server that this call has not tried yet.
func (ic *idempotentCall) startAttempt(ctx context.Context) error {
	c := ic.client
	choice, err := c.config.Choose(ic.request.Route.Pool, gladeapi.Requirements{Pool: ic.request.Route.Pool, Avoid: ic.avoid})
	if err != nil {
		return err
	}
	ic.avoid = append(ic.avoid, choice.Backend.ID)
	ic.started++
	ic.running++
	a := c.newAttempt(ic.request, ic.started, choice)
	ctx, cancel := context.WithTimeout(ctx, ic.attemptTimeout(ctx))
	go func() {
		defer cancel()
		answer, err := a.do(ctx, c.pooled)
		sent := a.sent() && !errors.Is(err, ErrRefusedBeforeRunning)
		ic.results <- result{answer: answer, err: err, sent: sent}
	}()
	return nil
}

// attemptTimeout returns how much of the remaining time the current attempt may take. It leaves time for another
// attempt, unless answers of the route usually take longer.
func (ic *idempotentCall) attemptTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTimeout
	}
	left := time.Until(deadline)
	if ic.started >= ic.client.config.MaxAttempts {
		return left
	}
	upperEstimate, known := ic.client.latency(ic.request.Route.Name).upperEstimate()
	if !known {
		return left * 3 / 4
	}
	return min(left, max(left/2, upperEstimate))
}

func (ic *idempotentCall) retry(ctx context.Context) bool {
	c := ic.client
	if ic.started >= c.config.MaxAttempts || ctx.Err() != nil || !c.config.Retry() {
		return false
	}
	if err := ic.startAttempt(ctx); err != nil {
		return false
	}
	c.counts.retries.Inc(1)
	return true
}

func (ic *idempotentCall) finalAnswer() (*Answer, error) {
	if ic.lastResult.answer != nil {
		return ic.lastResult.answer, nil
	}
	ran := gladeapi.RanUnknown
	if !ic.sent {
		ran = gladeapi.NotRun
	}
	if errors.Is(ic.lastResult.err, ErrAnswerTooLarge) {
		return nil, ic.client.refusal(http.StatusBadGateway, gladeapi.CodeTooLarge, gladeapi.DidRun, ic.lastResult.err)
	}
	if errors.Is(ic.lastResult.err, context.DeadlineExceeded) {
		return nil, ic.client.refusal(http.StatusGatewayTimeout, gladeapi.CodeDeadline, ran, ic.lastResult.err)
	}
	return nil, ic.client.refusal(http.StatusBadGateway, gladeapi.CodeBackendFailed, ran, ic.lastResult.err)
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

// hedgeTimer returns a channel that receives when a hedged attempt is due, or nil if the route does not allow hedging.
func (ic *idempotentCall) hedgeTimer() <-chan time.Time {
	if !ic.request.Route.Hedge {
		return nil
	}
	longest := Timeout(&ic.request.Route) / 3
	return time.After(ic.client.latency(ic.request.Route.Name).hedgeDelay(longest))
}

// latency holds the smoothed mean and deviation of the answer times of a route.
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
	l.mean += (d - l.mean) / meanSmoothing
}

// upperEstimate returns the time within which nearly all answers arrive. It reports false before the first answer.
func (l *latency) upperEstimate() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mean + latencyDeviations*l.deviation, l.mean > 0
}

func (l *latency) hedgeDelay(longest time.Duration) time.Duration {
	upperEstimate, known := l.upperEstimate()
	if !known {
		return longest
	}
	return min(longest, max(minHedgeDelay, upperEstimate))
}
