package gladequota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
)

// ErrLimited means that the limit that a backend server names leaves no room for a request now.
var ErrLimited = eris.New("limit of the backend server")

// DeniedError reports a request that may not be sent now. It wraps ErrLimited.
type DeniedError struct {
	// Wait is the time after which the server may have room again.
	Wait time.Duration
	// RetryAfter is the time after which the caller finds room, if Request.Final was set.
	RetryAfter time.Duration
	// PerSecond is the limit in requests per second, and ReceivedAge the age of what named it.
	PerSecond   float64
	ReceivedAge time.Duration
	// Coordinator is the VM that denied the request, empty if this VM reached none.
	Coordinator string
}

// Error returns the reason.
func (*DeniedError) Error() string { return ErrLimited.Error() }

// Unwrap returns ErrLimited.
func (*DeniedError) Unwrap() error { return ErrLimited }

const (
	// askTimeout bounds a question to the coordinator, which answers at once.
	askTimeout = 150 * time.Millisecond
	// silentTime is how long a coordinator that did not answer is not asked again.
	silentTime = 500 * time.Millisecond
	// fallbackShare is the share of a limit that all VMs together send without a coordinator.
	fallbackShare = 0.5
	// fallbackRetryAfter bounds the time told to a caller meanwhile; VMs notice the loss of a coordinator within seconds.
	fallbackRetryAfter = 4 * time.Second
	// taskInterval is how often changes are told to other VMs, and checks begin.
	taskInterval = 250 * time.Millisecond
	// checkAfter is how long a coordinator neither receives a report of a limit nor grants a request before it asks the server itself.
	checkAfter = 3 * time.Second
	// endedRetention is how long an ended limit is remembered, against older reports of other VMs.
	endedRetention = time.Minute
	// announcedChange is the relative change of a limit from which the other VMs are told.
	announcedChange = 0.1
)

// Server identifies a backend server.
type Server struct {
	ID string `json:"id"`
	// FailureDomain is the server's failure domain, of whose VMs one is the coordinator.
	FailureDomain string `json:"failureDomain"`
	// Started distinguishes restarts under one identifier, in Unix milliseconds.
	Started int64 `json:"started,omitempty"`
}

// Request describes a request that is to be sent to a server.
type Request struct {
	// Rank orders requests by urgency; the lowest goes first.
	Rank         int    `json:"rank,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	// Resumed reports that the request goes on with an answer that the caller has a part of.
	Resumed bool `json:"resumed,omitempty"`
	// Repeat reports that the request is only sent to be faster or safer; first sends go before it.
	Repeat bool `json:"repeat,omitempty"`
	// Final reports that the request is refused if it is denied.
	Final bool `json:"final,omitempty"`
}

// Question is what a VM sends to a coordinator: a request to be granted, if Asks is set, and what the VM last observed.
type Question struct {
	Server Server `json:"server"`
	Report Report `json:"report"`
	Asks   bool   `json:"asks,omitempty"`
	// Sent is a number of requests that reached the server without a grant.
	Sent    int     `json:"sent,omitempty"`
	Request Request `json:"request"`
}

// Answer is what the coordinator answers.
type Answer struct {
	// Declined reports that the VM is not the coordinator.
	Declined   bool          `json:"declined,omitempty"`
	Granted    bool          `json:"granted,omitempty"`
	Wait       time.Duration `json:"wait,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	Report     Report        `json:"report"`
}

// Notice tells the other VMs of a changed limit.
type Notice struct {
	Server Server `json:"server"`
	Report Report `json:"report"`
}

// Config configures a Pool.
type Config struct {
	// VM is the name of this VM.
	VM string
	// Coordinator returns the VM that grants the requests to a server, empty if this VM sees none.
	Coordinator func(s Server) string
	// VMs returns the number of VMs, those included that were lost a short time ago.
	VMs func() int
	// Ask sends a question to a VM.
	Ask func(ctx context.Context, vm string, q Question) (Answer, error)
	// Announce tells all VMs of a changed limit.
	Announce func(Notice)
	// Check sends a health check to a server, whose answer is passed to Observe.
	Check func(ctx context.Context, s Server)
	// Known reports whether a server may still get requests; nil means that all do.
	Known func(id string) bool
	// OnChange is called with each limit that begins, changes or ends. It must not call the Pool.
	OnChange func(id string, limited bool)
	// Random returns a random number from 0 up to but not including 1; nil means that of math/rand.
	Random  func() float64
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Pool knows the limits of backend servers at one VM, and grants requests as their coordinator.
type Pool struct {
	config Config

	mu      sync.Mutex
	budgets map[string]*budget
	// unusable holds the last unusable limit of each server that named one.
	unusable map[string]string
}

// budget is the state of a server that names a limit, or did a short time ago.
type budget struct {
	report
	server Server
	bucket bucket
	// unreported is set while the coordinator has not been told of a change that this VM observed.
	unreported bool
	// announced is the report that this VM told the others as the coordinator.
	announced report
	// silentUntil is the time until which the coordinator is not asked.
	silentUntil time.Time
	fallback    fallback
	checkedAt   time.Time
}

// fallback is this VM's own share of a limit while it reaches no coordinator.
type fallback struct {
	active bool
	level  float64
	at     time.Time
}

// New returns a pool, starts its task and returns the clean-up function.
func New(c Config) (*Pool, func()) {
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Known == nil {
		c.Known = func(string) bool { return true }
	}
	p := &Pool{config: c, budgets: map[string]*budget{}, unusable: map[string]string{}}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() {
		ticker := time.NewTicker(taskInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			for _, task := range p.due(time.Now()) {
				tasks.Go(func() { task(ctx) })
			}
		}
	})
	return p, func() {
		cancel()
		tasks.Wait()
	}
}

// Observe records what an answer of a server says about its limit. sentAt is when the request was sent, zero if that is not
// known, and at when the answer was received.
func (p *Pool) Observe(s Server, limits []string, sentAt, at time.Time) {
	perSecond, named, err := ParseLimit(limits)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if p.unusable[s.ID] != err.Error() {
			p.unusable[s.ID] = err.Error()
			p.config.Log.Warn("Limit of a backend server cannot be used; what it said before holds.", "server", s.ID, "reason", err)
		}
		return
	}
	b := p.budgets[s.ID]
	if b == nil && !named {
		return
	}
	r := report{started: s.Started, named: named, perSecond: perSecond, sentAt: sentAt, receivedAt: at}
	if p.merge(s, r, "answer", at) {
		p.budgets[s.ID].unreported = true
	}
}

// merge applies a report, and returns whether that changed a limit.
func (p *Pool) merge(s Server, r report, source string, now time.Time) bool {
	b := p.budgets[s.ID]
	var before report
	switch {
	case b == nil && !r.named:
		return false
	case b == nil:
		b = &budget{server: s, report: r, bucket: newBucket(now)}
		p.budgets[s.ID] = b
	default:
		before = b.report
		b.bucket.fill(b.perSecond, now)
		if !b.merge(r) {
			return false
		}
		b.bucket.promisedAt = now
		if b.started != before.started || !b.named {
			b.bucket = newBucket(now)
		}
	}
	b.server.Started = b.started
	b.fallback.active = false
	p.count("limits.changed")
	p.config.Log.Info("Limit of a backend server changed.", "server", s.ID, "domain", s.FailureDomain, "started", b.started, "named", b.named,
		"perSecond", b.perSecond, "namedBefore", before.named, "perSecondBefore", before.perSecond, "source", source,
		"sentMs", now.Sub(b.sentAt).Milliseconds(), "receivedMs", now.Sub(b.receivedAt).Milliseconds(),
		"coordinator", p.config.Coordinator(b.server))
	if p.config.OnChange != nil {
		p.config.OnChange(s.ID, b.named)
	}
	return true
}

// limited returns the budget of a server that has a limit, or nil.
func (p *Pool) limited(s Server) *budget {
	b := p.budgets[s.ID]
	if b == nil || !b.named || !b.adopt(s.Started) {
		return nil
	}
	return b
}

// Limited reports whether a server has a limit.
func (p *Pool) Limited(s Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limited(s) != nil
}

// Acquire returns nil if a request may be sent to a server now, and a *DeniedError otherwise. It waits for the coordinator's
// answer, but not for room.
func (p *Pool) Acquire(ctx context.Context, s Server, r Request) error {
	now := time.Now()
	p.mu.Lock()
	b := p.limited(s)
	if b == nil {
		p.mu.Unlock()
		return nil
	}
	q := Question{Server: s, Report: b.export(now), Asks: true, Request: r}
	silent := now.Before(b.silentUntil)
	p.mu.Unlock()
	answer, coordinator := p.ask(ctx, q, silent)
	if coordinator == "" {
		answer = p.askFallback(s, time.Now())
	}
	if answer.Granted {
		p.count("limits.granted")
		return nil
	}
	p.count("limits.denied")
	return &DeniedError{
		Wait: answer.Wait, RetryAfter: answer.RetryAfter, PerSecond: q.Report.PerSecond, ReceivedAge: q.Report.ReceivedAge, Coordinator: coordinator,
	}
}

// Sent records that a request reached a server without a grant, such as a health check.
func (p *Pool) Sent(s Server) {
	p.mu.Lock()
	b := p.limited(s)
	if b == nil {
		p.mu.Unlock()
		return
	}
	q := Question{Server: s, Report: b.export(time.Now()), Sent: 1}
	p.mu.Unlock()
	p.ask(context.Background(), q, false)
}

// ask sends a question to the coordinator and returns its answer and name, which is empty if there is none that answers.
func (p *Pool) ask(ctx context.Context, q Question, silent bool) (Answer, string) {
	coordinator := p.config.Coordinator(q.Server)
	if coordinator == p.config.VM {
		return p.HandleQuestion(q), coordinator
	}
	if coordinator == "" || silent || ctx.Err() != nil {
		return Answer{}, ""
	}
	asking, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	began := time.Now()
	answer, err := p.config.Ask(asking, coordinator, q)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.budgets[q.Server.ID]
	if err != nil || answer.Declined {
		p.count("limits.unanswered")
		p.config.Log.Info("No answer of a limit's coordinator.", "server", q.Server.ID, "coordinator", coordinator,
			"declined", answer.Declined, "tookMs", now.Sub(began).Milliseconds(), "reason", err)
		if b != nil && ctx.Err() == nil { // else it may only have had too little time
			b.silentUntil = now.Add(silentTime)
		}
		return Answer{}, ""
	}
	p.merge(q.Server, importReport(answer.Report, now), "coordinator", now)
	if b != nil {
		b.fallback.active = false
	}
	return answer, coordinator
}

// askFallback grants a request from this VM's own share of a limit. Shares begin at a random level, so that VMs that lose
// the coordinator together do not send together.
func (p *Pool) askFallback(s Server, now time.Time) Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.limited(s)
	if b == nil {
		return Answer{Granted: true}
	}
	f := &b.fallback
	if !f.active {
		*f = fallback{active: true, level: p.config.Random(), at: now}
	}
	perSecond := fallbackShare * b.perSecond / float64(max(1, p.config.VMs()))
	f.level = min(1, f.level+perSecond*max(0, now.Sub(f.at).Seconds()))
	f.at = now
	if f.level >= 1 {
		f.level--
		p.count("limits.fallback")
		return Answer{Granted: true}
	}
	wait := perRequest(1-f.level, perSecond)
	return Answer{Wait: clampWait(wait), RetryAfter: min(fallbackRetryAfter, max(minWait, wait))}
}

func clampWait(d time.Duration) time.Duration { return min(maxWait, max(minWait, d)) }

func (p *Pool) count(name string) {
	metrics.GetOrRegisterCounter(name, p.config.Metrics).Inc(1)
}
