package gladelimit

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const (
	defaultMaxRunning = 1024
	defaultMaxQueued  = 1024
	defaultQueueShare = 0.25
	defaultIdle       = time.Minute
	defaultBurst      = time.Second
	// serviceTimeSamples is the number of requests over which the service time is averaged.
	serviceTimeSamples    = 16
	concurrencyRetryAfter = time.Second
	maxRetryAfter         = time.Minute
	// requestsPerSweep is the number of requests after which idle organisations are removed.
	requestsPerSweep = 1024
)

// Limits are the limits of one organisation over all VMs; a zero limit does not apply.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Concurrent is the largest number of requests that run or wait on one VM.
	Concurrent int
	// Weight is the organisation's weight in fair queueing; zero means 1.
	Weight float64
}

// Config configures a Limiter.
type Config struct {
	// MaxRunning is the largest number of requests that run at one time; zero means 1024.
	MaxRunning int
	// MaxQueued is the largest number of requests that wait; zero means 1024.
	MaxQueued int
	// QueueShare is the part of the queue that one organisation may fill; zero means 0.25.
	QueueShare float64
	// Burst is the time over which unused rate accumulates; zero means 1 s.
	Burst time.Duration
	// Idle is the time after which the state of an organisation without requests is removed; zero means 1 min.
	Idle time.Duration
	// Share returns this VM's share of an organisation's rates, from 0 to 1; nil means 1.
	Share func(organisation string) float64
}

// Limiter decides which requests may run on one VM and when.
type Limiter struct {
	config Config

	mu            sync.Mutex
	organisations map[string]*organisation
	queue         queue
	running       int
	// serviceTime is the exponential moving average of the time that a request runs.
	serviceTime        time.Duration
	requestsSinceSweep int
	counts             Counts
	lastSweep          time.Time
}

// Counts counts the decisions of a Limiter since its start.
type Counts struct {
	Admitted    uint64 `json:"admitted"`
	Queued      uint64 `json:"queued"`
	RateLimited uint64 `json:"rateLimited"`
	Concurrency uint64 `json:"concurrency"`
	Overloaded  uint64 `json:"overloaded"`
	TooLate     uint64 `json:"tooLate"`
}

// organisation is the limiter's state of an organisation that was recently active.
type organisation struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
	running  int
	queued   int
	// finish is the virtual finish time of the last queued request.
	finish float64
	// requestDemand is the number of requests since the last call of TakeDemand.
	requestDemand float64
	lastRequest   time.Time
}

// NewLimiter returns a Limiter.
func NewLimiter(c Config) *Limiter {
	if c.MaxRunning == 0 {
		c.MaxRunning = defaultMaxRunning
	}
	if c.MaxQueued == 0 {
		c.MaxQueued = defaultMaxQueued
	}
	if c.QueueShare == 0 {
		c.QueueShare = defaultQueueShare
	}
	if c.Burst == 0 {
		c.Burst = defaultBurst
	}
	if c.Idle == 0 {
		c.Idle = defaultIdle
	}
	if c.Share == nil {
		c.Share = func(string) float64 { return 1 }
	}
	return &Limiter{config: c, organisations: map[string]*organisation{}}
}

// Admit waits until a request of an organisation may run. The caller must call the returned function when the request
// ends, with the number of tokens that it used; a second call has no effect. The error is a *gladeapi.Refusal.
func (l *Limiter) Admit(ctx context.Context, name string, m Limits) (func(tokens int), error) {
	l.mu.Lock()
	o, err := l.checkLimits(name, &m)
	if err != nil {
		l.mu.Unlock()
		return nil, err
	}
	if l.running < l.config.MaxRunning && l.queue.Len() == 0 {
		l.start(o)
		l.mu.Unlock()
		return l.release(o), nil
	}
	w, err := l.enqueue(ctx, o, &m)
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := l.wait(ctx, w); err != nil {
		return nil, err
	}
	return l.release(o), nil
}

// checkLimits checks the organisation's concurrency and its rates on this VM, and counts the request.
func (l *Limiter) checkLimits(name string, m *Limits) (*organisation, error) {
	now := time.Now()
	l.removeIdle(now)
	o := l.organisations[name]
	if o == nil {
		o = &organisation{}
		l.organisations[name] = o
	}
	o.lastRequest = now
	o.requestDemand++
	if m.Concurrent > 0 && o.running+o.queued >= m.Concurrent {
		l.counts.Concurrency++
		return nil, newRefusal(gladeapi.CodeRateLimited, concurrencyRetryAfter, "%d requests run already", o.running+o.queued)
	}
	share := l.config.Share(name)
	l.setRate(&o.requests, m.RequestsPerSecond*share, now)
	l.setRate(&o.tokens, m.TokensPerSecond*share, now)
	if o.tokens != nil && o.tokens.TokensAt(now) < 1 {
		l.counts.RateLimited++
		return nil, newRefusal(gladeapi.CodeRateLimited, tokenDelay(o.tokens, now), "more than %g tokens a second", m.TokensPerSecond)
	}
	if o.requests != nil && !o.requests.AllowN(now, 1) {
		l.counts.RateLimited++
		return nil, newRefusal(gladeapi.CodeRateLimited, tokenDelay(o.requests, now), "more than %g requests a second", m.RequestsPerSecond)
	}
	return o, nil
}

// setRate sets the rate of a limiter, creating it if needed, or removes the limiter if there is no rate.
func (l *Limiter) setRate(r **rate.Limiter, perSecond float64, now time.Time) {
	if perSecond <= 0 {
		*r = nil
		return
	}
	burst := max(1, int(math.Ceil(perSecond*l.config.Burst.Seconds())))
	switch {
	case *r == nil:
		*r = rate.NewLimiter(rate.Limit(perSecond), burst)
	case (*r).Limit() != rate.Limit(perSecond):
		(*r).SetLimitAt(now, rate.Limit(perSecond))
		(*r).SetBurstAt(now, burst)
	}
}

// tokenDelay returns the time until a limiter has a whole token.
func tokenDelay(r *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - r.TokensAt(now)
	return min(maxRetryAfter, time.Duration(missing/float64(r.Limit())*float64(time.Second)))
}

func newRefusal(code gladeapi.Code, after time.Duration, format string, args ...any) error {
	status := http.StatusTooManyRequests
	if code != gladeapi.CodeRateLimited {
		status = http.StatusServiceUnavailable
	}
	return &gladeapi.Refusal{
		Status: status, Code: code, Ran: gladeapi.NotRun, RetryAfter: max(after, time.Millisecond),
		Message: fmt.Sprintf(format, args...),
	}
}

func (l *Limiter) start(o *organisation) {
	l.running++
	o.running++
	l.counts.Admitted++
}

// release returns the function that ends a request; only its first call has an effect.
func (l *Limiter) release(o *organisation) func(tokens int) {
	started := time.Now()
	var once sync.Once
	return func(tokens int) {
		once.Do(func() { l.end(o, time.Since(started), tokens) })
	}
}

func (l *Limiter) end(o *organisation, took time.Duration, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	o.running--
	if l.serviceTime == 0 {
		l.serviceTime = took
	}
	l.serviceTime += (took - l.serviceTime) / serviceTimeSamples
	charge(o.tokens, tokens)
	l.dispatch()
}

// charge takes used tokens from a limiter, which may leave it in debt. It does so in steps, as ReserveN takes no more
// than the burst.
func charge(r *rate.Limiter, tokens int) {
	for r != nil && tokens > 0 {
		n := min(tokens, r.Burst())
		r.ReserveN(time.Now(), n)
		tokens -= n
	}
}

// removeIdle removes the state of idle organisations, every requestsPerSweep requests or after the idle time.
func (l *Limiter) removeIdle(now time.Time) {
	l.requestsSinceSweep++
	if l.requestsSinceSweep < requestsPerSweep && now.Sub(l.lastSweep) < l.config.Idle {
		return
	}
	l.requestsSinceSweep = 0
	l.lastSweep = now
	for name, o := range l.organisations {
		if o.running+o.queued == 0 && now.Sub(o.lastRequest) > l.config.Idle && !inDebt(o.tokens, now) {
			delete(l.organisations, name)
		}
	}
}

func inDebt(r *rate.Limiter, now time.Time) bool {
	return r != nil && r.TokensAt(now) < 0
}

// Counts returns the counts of decisions since the start.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// State is the current state of a Limiter.
type State struct {
	Running       int    `json:"running"`
	Queued        int    `json:"queued"`
	Organisations int    `json:"organisations"`
	Counts        Counts `json:"counts"`
}

// State returns the current state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{Running: l.running, Queued: l.queue.Len(), Organisations: len(l.organisations), Counts: l.counts}
}

// TakeDemand returns the requests of each organisation since the last call, and resets them.
func (l *Limiter) TakeDemand() map[string]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]Demand{}
	for name, o := range l.organisations {
		if o.requestDemand == 0 {
			continue
		}
		all[name] = Demand{Requests: o.requestDemand}
		o.requestDemand = 0
	}
	return all
}

// Demand counts the requests of an organisation at one VM in one interval, by which all its limits are divided.
type Demand struct {
	Requests float64 `json:"requests"`
}
