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
	// HeaderRequestID carries the identifier of the attempt, which the service must echo in its answer.
	HeaderRequestID = "Glade-Request-Id"
	// HeaderRan is notRun in an answer if the service refused the call before running it.
	HeaderRan = "Glade-Ran"
	// HeaderOrganisation names the organisation that makes the call.
	HeaderOrganisation = "Glade-Organisation"
)

// Errors of a single attempt.
var (
	// ErrForeignAnswer means that an answer did not echo its attempt's identifier.
	ErrForeignAnswer = eris.New("answer to another request")
	// ErrAnswerTooLarge means that the body of an answer exceeded Config.MaxAnswerBytes.
	ErrAnswerTooLarge = eris.New("answer too large")
	// ErrCutOff means that the connection may have been reset within an answer that ends with it.
	ErrCutOff = eris.New("answer may be cut off")
	// ErrRefusedBeforeRunning means that the service reported that it had refused the call before running it.
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
	// Choose selects the server for an attempt.
	Choose func(pool string, n gladeapi.Requirements) (gladeapi.Choice, error)
	// Retry takes one retry from the budget and reports whether it was available; nil allows all retries.
	Retry func() bool
	// Dial opens connections; nil means net.Dialer.
	Dial gladeapi.Dial
	// MaxAnswerBytes limits the body of an answer; zero means 4 MiB.
	MaxAnswerBytes int64
	// MaxAttempts limits the attempts of an idempotent call; zero means 3.
	MaxAttempts int
	// Metrics receives the counters; nil means a private registry.
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

	// sent is the number of connections that the call was written to.
	sent atomic.Int32
	// refused is the number of attempts that a service refused before running them.
	refused atomic.Int32
}

// Answer is the complete response of a plain service.
type Answer struct {
	Status  int         `json:"status"`
	Header  http.Header `json:"header"`
	Body    []byte      `json:"body"`
	Backend string      `json:"backend"`
}

// Client calls plain services.
type Client struct {
	config Config
	// pooled reuses connections. It is used for idempotent calls.
	pooled *http.Transport
	// single opens a new connection for each attempt. It is used for non-idempotent calls.
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
	// On a reused connection, net/http may send a request a second time without reporting it.
	client.single.DisableKeepAlives = true
	return client, func() {
		client.pooled.CloseIdleConnections()
		client.single.CloseIdleConnections()
	}
}

func newTransport(dial gladeapi.Dial) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &serverConn{Conn: conn}, nil
		},
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

// Timeout returns the time limit for a call to the route.
func Timeout(r *gladenote.Route) time.Duration {
	if r.TimeoutMillis == 0 {
		return defaultTimeout
	}
	return time.Duration(r.TimeoutMillis) * time.Millisecond
}

// Do calls a service. It writes the call to at most one connection if the route is not idempotent. Otherwise it retries
// failed attempts within Config.MaxAttempts, the retry budget and the time limit. Its errors are *gladeapi.Refusal.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout(&r.Route))
	defer cancel()
	do := c.doOnce
	if r.Route.Idempotent {
		do = c.doIdempotent
	}
	a, err := do(ctx, r)
	c.checkInvariants(r, err)
	return a, err
}

// checkInvariants checks that a non-idempotent call was written to at most one connection, and that a call reported as
// notRun was refused on every connection that it was written to.
func (c *Client) checkInvariants(r *Request, err error) {
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
