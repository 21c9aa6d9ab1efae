package gladeservice

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladerecord"
)

// Headers between this package and plain services.
const (
	// HeaderRequestID names the attempt and must be echoed in the answer.
	HeaderRequestID = "Glade-Request-Id"
	// HeaderRan on an answer is notRun if the service refused the call before running it.
	HeaderRan = "Glade-Ran"
	// HeaderOrganisation tells the service whose call it is.
	HeaderOrganisation = "Glade-Organisation"
)

// The errors of single attempts.
var (
	// ErrForeignAnswer means that an answer did not echo its attempt's identifier.
	ErrForeignAnswer = eris.New("answer to another request")
	// ErrAnswerTooLarge means that an answer was longer than the bound.
	ErrAnswerTooLarge = eris.New("answer too large")
	// ErrRefusedBeforeRunning means that the service said that it did not run the call.
	ErrRefusedBeforeRunning = eris.New("refused before running")
)

const (
	defaultTimeout        = 10 * time.Second
	defaultMaxAnswerBytes = 4 << 20
	defaultMaxAttempts    = 3
	defaultRetryAfter     = time.Second
	idleTimeout           = 30 * time.Second
	maxIdlePerServer      = 16
)

// Config configures a Client.
type Config struct {
	// Choose picks the server of an attempt.
	Choose func(pool string, n gladeapi.Need) (gladeapi.Choice, error)
	// Retry takes one retry from the budget; nil always allows it.
	Retry func() bool
	// Dial replaces the network, if set.
	Dial gladeapi.Dial
	// MaxAnswerBytes bounds the body of an answer; zero means 4 MiB.
	MaxAnswerBytes int64
	// MaxAttempts bounds the attempts of an idempotent call; zero means 3.
	MaxAttempts int
	// Metrics receives counters, if set.
	Metrics metrics.Registry
	Log     hclog.Logger
	Check   *gladecheck.Checker
	Record  *gladerecord.Recorder
}

// Request is one call to a route.
type Request struct {
	ID           string
	Organisation string
	Route        gladenote.Route
	Method       string
	// Path is the escaped path and query below the route.
	Path   string
	Header http.Header
	Body   []byte

	// sent counts the connections that the call was written to, refused the refusals before running that came back.
	sent    atomic.Int32
	refused atomic.Int32
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status  int         `json:"status"`
	Header  http.Header `json:"header"`
	Body    []byte      `json:"body"`
	Backend string      `json:"backend"`
}

// Client calls plain services.
type Client struct {
	config Config
	// pooled keeps connections; single uses one connection for each call.
	pooled *http.Transport
	single *http.Transport
	counts counters

	mu        sync.Mutex
	latencies map[string]*latency
}

// New returns a client and its clean-up function.
func New(c Config) (*Client, func()) {
	if c.MaxAnswerBytes == 0 {
		c.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	if c.Retry == nil {
		c.Retry = func() bool { return true }
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	client := &Client{
		config:    c,
		pooled:    newTransport(c.Dial),
		single:    newTransport(c.Dial),
		counts:    newCounters(c.Metrics),
		latencies: map[string]*latency{},
	}
	// A reused connection would let net/http send a call again by itself.
	client.single.DisableKeepAlives = true
	return client, func() {
		client.pooled.CloseIdleConnections()
		client.single.CloseIdleConnections()
	}
}

func newTransport(dial gladeapi.Dial) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerServer,
	}
}

type counters struct {
	attempts, retries, hedges, foreign, unknown, notRun metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("calls."+name, r) }
	return counters{
		attempts: counter("attempts"),
		retries:  counter("retries"),
		hedges:   counter("hedges"),
		foreign:  counter("foreignAnswers"),
		unknown:  counter("outcomeUnknown"),
		notRun:   counter("notRun"),
	}
}

// Timeout returns the time in which an answer of the route is of use.
func Timeout(r *gladenote.Route) time.Duration {
	if r.TimeoutMillis == 0 {
		return defaultTimeout
	}
	return time.Duration(r.TimeoutMillis) * time.Millisecond
}

// Do calls a service once if the route is not idempotent, else until an answer comes or the deadline passes.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout(&r.Route))
	defer cancel()
	do := c.once
	if r.Route.Idempotent {
		do = c.repeatable
	}
	a, err := do(ctx, r)
	c.assert(r, err)
	return a, err
}

// assert checks what was sent against what is said.
func (c *Client) assert(r *Request, err error) {
	sent, refused := r.sent.Load(), r.refused.Load()
	c.config.Check.That(r.Route.Idempotent || sent <= 1, gladecheck.AtMostOnce, "%s was written to %d connections", r.ID, sent)
	notRun := err != nil && gladeapi.AsRefusal(err).Ran == gladeapi.NotRun
	c.config.Check.That(!notRun || sent == refused, gladecheck.NotRunTrue, "%s was sent %d times and refused %d times", r.ID, sent, refused)
}

func (c *Client) refusal(status int, code gladeapi.Code, ran gladeapi.Ran, err error) *gladeapi.Refusal {
	f := &gladeapi.Refusal{Status: status, Code: code, Ran: ran, Message: err.Error()}
	if ran == gladeapi.NotRun {
		f.RetryAfter = defaultRetryAfter
		c.counts.notRun.Inc(1)
	} else {
		c.counts.unknown.Inc(1)
	}
	return f
}
