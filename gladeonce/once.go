package gladeonce

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

const (
	defaultClaimTimeout  = time.Second
	defaultSettleTimeout = time.Minute
	defaultRetention     = 24 * time.Hour
	defaultKeptBytes     = 64 << 10
	defaultKeys          = 1 << 16
	defaultRetryAfter    = 2 * time.Second
	firstPause           = 20 * time.Millisecond
	longestPause         = 500 * time.Millisecond
	askTimeout           = 300 * time.Millisecond
)

// AskRequest asks a VM what it knows of a key.
type AskRequest struct {
	Name string `json:"name"`
	// Nonce and Incarnation are set when the claim names them.
	Nonce       string `json:"nonce,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
}

// AskAnswer is what a VM knows of a key.
type AskAnswer struct {
	State   State    `json:"state"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Config configures a Once.
type Config struct {
	VM          string
	Incarnation string
	Store       *gladestore.Client
	// Ask asks another VM what it knows of a key; nil asks nobody.
	Ask func(ctx context.Context, vm string, q AskRequest) (AskAnswer, error)
	// Peers returns the other VMs that may know of keys and whether these are all; nil means none and all.
	Peers func() (vms []string, complete bool)
	// ClaimTimeout bounds the time to claim a key; zero means 1 s.
	ClaimTimeout time.Duration
	// SettleTimeout bounds the time to write an outcome; zero means 1 min.
	SettleTimeout time.Duration
	// Retention is how long claims are kept; zero means 24 h.
	Retention time.Duration
	// KeptBytes bounds the body of a kept outcome; zero means 64 KiB.
	KeptBytes int
	// Keys bounds the keys that this VM remembers; zero means 65536.
	Keys    int
	Metrics metrics.Registry
	Log     hclog.Logger
	Check   *gladecheck.Checker
}

// Once runs calls under keys that callers make.
type Once struct {
	config Config
	table  table
	writes metrics.Counter
	reads  metrics.Counter
	ctx    context.Context
	tasks  sync.WaitGroup
}

// New returns a Once and its clean-up function, which waits for outcomes that are being written.
func New(c Config) (*Once, func(), error) {
	setDefaults(&c)
	keys, err := lru.New[string, *entry](c.Keys)
	if err != nil {
		return nil, nil, eris.Wrap(err, "keys")
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &Once{
		config: c,
		table: table{get: keys.Get, put: func(name string, e *entry) bool {
			keys.Add(name, e)
			return true
		}},
		writes: metrics.GetOrRegisterCounter("once.platformWrites", c.Metrics),
		reads:  metrics.GetOrRegisterCounter("once.platformReads", c.Metrics),
		ctx:    ctx,
	}
	return o, func() {
		cancel()
		o.tasks.Wait()
	}, nil
}

func setDefaults(c *Config) {
	if c.Ask == nil {
		c.Ask = func(context.Context, string, AskRequest) (AskAnswer, error) {
			return AskAnswer{}, eris.New("no peers")
		}
	}
	if c.Peers == nil {
		c.Peers = func() ([]string, bool) { return nil, true }
	}
	if c.ClaimTimeout == 0 {
		c.ClaimTimeout = defaultClaimTimeout
	}
	if c.SettleTimeout == 0 {
		c.SettleTimeout = defaultSettleTimeout
	}
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.KeptBytes == 0 {
		c.KeptBytes = defaultKeptBytes
	}
	if c.Keys == 0 {
		c.Keys = defaultKeys
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
}

// Look answers another VM's question.
func (o *Once) Look(q AskRequest) AskAnswer {
	if q.Incarnation != "" && q.Incarnation != o.config.Incarnation {
		return AskAnswer{State: StateUnknown}
	}
	s, outcome := o.table.look(q.Name, q.Nonce)
	return AskAnswer{State: s, Outcome: outcome}
}

// Do runs a call unless its key was claimed before, in which case it returns the kept outcome.
func (o *Once) Do(ctx context.Context, c Call, send Send) (*Outcome, error) {
	name := c.Name()
	e, mine := o.table.begin(name, c.Body)
	if !mine {
		return o.table.wait(ctx, e, c.Body)
	}
	outcome, err := o.run(ctx, name, &c, e, send)
	s := stateOf(err)
	if errors.Is(err, errElsewhere) {
		s = StateNone
		err = errors.Unwrap(err)
	}
	o.table.end(e, s, kept(outcome, o.config.KeptBytes), err)
	return outcome, err
}

// errElsewhere marks a refusal for a key that another VM holds, which may be asked for again.
var errElsewhere = eris.New("held elsewhere")

type elsewhere struct{ *gladeapi.Refusal }

func (elsewhere) Is(err error) bool { return err == errElsewhere }

func (e elsewhere) Unwrap() error { return e.Refusal }

func stateOf(err error) State {
	if err == nil {
		return StateDone
	}
	if gladeapi.AsRefusal(err).Ran == gladeapi.NotRun {
		return StateReleased
	}
	return StateUnknown
}

func (o *Once) run(ctx context.Context, name string, c *Call, e *entry, send Send) (*Outcome, error) {
	h, err := o.claim(ctx, name, c, e)
	if err != nil {
		return nil, err
	}
	if h.outcome != nil {
		return replay(h.outcome)
	}
	if ctx.Err() != nil {
		o.release(name, e, h)
		return nil, &gladeapi.Refusal{
			Status: http.StatusGatewayTimeout, Code: gladeapi.CodeDeadline, Ran: gladeapi.NotRun,
			Message: "the deadline passed before the call was sent", RetryAfter: defaultRetryAfter,
		}
	}
	outcome, err := send(detach(ctx))
	if s := stateOf(err); s == StateReleased {
		o.release(name, e, h)
	} else {
		h.claim.State = s
		h.claim.Outcome = kept(outcome, o.config.KeptBytes)
		o.settle(name, h)
	}
	return outcome, err
}

// detach keeps the deadline of a context but not its cancellation, so that a gone caller leaves no call half done.
func detach(ctx context.Context) context.Context {
	d := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		d, cancel := context.WithDeadline(d, deadline)
		context.AfterFunc(d, cancel)
		return d
	}
	return d
}

func newNonce() string {
	return rand.Text()
}
