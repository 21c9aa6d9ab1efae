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
	defaultMaxRunning   = 1024
	defaultMaxQueued    = 1024
	defaultQueueShare   = 0.25
	defaultIdle         = time.Minute
	defaultBurst        = time.Second
	serviceSmoothing    = 16
	overloadRetryAfter  = time.Second
	maxRetryAfter       = time.Minute
	sweepEveryAdmission = 1024
)

// Limits are the limits of one organisation over all VMs; zero is none.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrent        int
	// Weight is its share of a full VM; zero means 1.
	Weight float64
}

// Config configures a Limiter.
type Config struct {
	// MaxRunning bounds the requests that run at one time; zero means 1024.
	MaxRunning int
	// MaxQueued bounds the requests that wait; zero means 1024.
	MaxQueued int
	// QueueShare is the part of the queue that one organisation may fill; zero means a quarter.
	QueueShare float64
	// Burst is the time whose rate may be used at once; zero means 1 s.
	Burst time.Duration
	// Idle is the time after which a silent organisation is forgotten; zero means 1 min.
	Idle time.Duration
	// Share returns this VM's share of an organisation's limits; nil means all.
	Share func(organisation string) float64
}

// Limiter admits requests on one VM.
type Limiter struct {
	config Config

	mu            sync.Mutex
	organisations map[string]*organisation
	queue         queue
	running       int
	// service is the smoothed time that an admitted request runs.
	service  time.Duration
	sinceGC  int
	counts   Counts
	lastSeen time.Time
}

// Counts is what a Limiter has decided since its start.
type Counts struct {
	Admitted    uint64 `json:"admitted"`
	Queued      uint64 `json:"queued"`
	RateLimited uint64 `json:"rateLimited"`
	Concurrency uint64 `json:"concurrency"`
	Overloaded  uint64 `json:"overloaded"`
	TooLate     uint64 `json:"tooLate"`
}

// organisation is what the limiter knows of an organisation that was active of late.
type organisation struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
	running  int
	queued   int
	// finish is the virtual time at which its last queued request ends.
	finish float64
	// asked and used count requests and tokens since they were last taken by Demand.
	asked float64
	used  float64
	seen  time.Time
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

// Admit waits until a request of an organisation may run and returns what to call with its tokens at its end.
func (l *Limiter) Admit(ctx context.Context, name string, m Limits) (func(tokens int), error) {
	l.mu.Lock()
	o, err := l.enter(name, &m)
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

// enter checks the organisation's own limits.
func (l *Limiter) enter(name string, m *Limits) (*organisation, error) {
	now := time.Now()
	l.collect(now)
	o := l.organisations[name]
	if o == nil {
		o = &organisation{}
		l.organisations[name] = o
	}
	o.seen = now
	o.asked++
	if m.Concurrent > 0 && o.running+o.queued >= m.Concurrent {
		l.counts.Concurrency++
		return nil, limited(gladeapi.CodeRateLimited, overloadRetryAfter, "%d requests run already", o.running+o.queued)
	}
	share := l.config.Share(name)
	l.set(&o.requests, m.RequestsPerSecond*share, now)
	l.set(&o.tokens, m.TokensPerSecond*share, now)
	if o.tokens != nil && o.tokens.TokensAt(now) < 1 {
		l.counts.RateLimited++
		return nil, limited(gladeapi.CodeRateLimited, until(o.tokens, now), "more than %g tokens a second", m.TokensPerSecond)
	}
	if o.requests != nil && !o.requests.AllowN(now, 1) {
		l.counts.RateLimited++
		return nil, limited(gladeapi.CodeRateLimited, until(o.requests, now), "more than %g requests a second", m.RequestsPerSecond)
	}
	return o, nil
}

// set makes a limiter hold to a rate, or drops it if there is none.
func (l *Limiter) set(r **rate.Limiter, perSecond float64, now time.Time) {
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

// until returns the time till a limiter has a whole token.
func until(r *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - r.TokensAt(now)
	return min(maxRetryAfter, time.Duration(missing/float64(r.Limit())*float64(time.Second)))
}

func limited(code gladeapi.Code, after time.Duration, format string, args ...any) error {
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

// release returns the function that ends a request, which does so once.
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
	o.used += float64(tokens)
	if l.service == 0 {
		l.service = took
	}
	l.service += (took - l.service) / serviceSmoothing
	charge(o.tokens, tokens)
	l.dispatch()
}

// charge takes tokens that were used, also beyond what is there.
func charge(r *rate.Limiter, tokens int) {
	for r != nil && tokens > 0 {
		n := min(tokens, r.Burst())
		r.ReserveN(time.Now(), n)
		tokens -= n
	}
}

// collect forgets silent organisations now and then.
func (l *Limiter) collect(now time.Time) {
	l.sinceGC++
	if l.sinceGC < sweepEveryAdmission && now.Sub(l.lastSeen) < l.config.Idle {
		return
	}
	l.sinceGC = 0
	l.lastSeen = now
	for name, o := range l.organisations {
		if o.running+o.queued == 0 && now.Sub(o.seen) > l.config.Idle && !indebted(o.tokens, now) {
			delete(l.organisations, name)
		}
	}
}

func indebted(r *rate.Limiter, now time.Time) bool {
	return r != nil && r.TokensAt(now) < 0
}

// Counts returns what the limiter has decided.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// State is what a Limiter holds now.
type State struct {
	Running       int    `json:"running"`
	Queued        int    `json:"queued"`
	Organisations int    `json:"organisations"`
	Counts        Counts `json:"counts"`
}

// State returns what the limiter holds now.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{Running: l.running, Queued: l.queue.Len(), Organisations: len(l.organisations), Counts: l.counts}
}

// Demand takes the requests and tokens asked for by each organisation since the last call.
func (l *Limiter) Demand() map[string]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]Demand{}
	for name, o := range l.organisations {
		if o.asked == 0 && o.used == 0 {
			continue
		}
		all[name] = Demand{Requests: o.asked, Tokens: o.used}
		o.asked, o.used = 0, 0
	}
	return all
}

// Demand is what an organisation asked for at one VM in one interval.
type Demand struct {
	Requests float64 `json:"requests"`
	Tokens   float64 `json:"tokens,omitempty"`
}
