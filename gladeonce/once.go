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
	defaultMaxKeys       = 1 << 16
	defaultRetryAfter    = 2 * time.Second
	firstRetryDelay      = 20 * time.Millisecond
	maxRetryDelay        = 500 * time.Millisecond
	askTimeout           = 300 * time.Millisecond
)

// LookupRequest asks a VM for the state of a key.
type LookupRequest struct {
	Name string `json:"name"`
	// Nonce is the nonce in the claim, or empty if there is no claim.
	Nonce string `json:"nonce,omitempty"`
	// Incarnation is the holder's incarnation in the claim, or empty if there is no claim.
	Incarnation string `json:"incarnation,omitempty"`
}

// LookupAnswer is the state of a key at a VM.
type LookupAnswer struct {
	State   State    `json:"state"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Config configures a Once.
type Config struct {
	// VM is the name of this VM.
	VM string
	// Incarnation is the incarnation of this VM.
	Incarnation string
	// Store is the client of the platform that holds the claims.
	Store *gladestore.Client
	// LookupPeer asks another VM for its state of a key; nil means that no VM can be asked.
	LookupPeer func(ctx context.Context, vm string, q LookupRequest) (LookupAnswer, error)
	// Peers returns the other VMs that may have keys, and whether the list is complete; nil means that there are none.
	Peers func() (vms []string, complete bool)
	// ClaimTimeout is the time limit for claiming a key; zero means 1 s.
	ClaimTimeout time.Duration
	// OutcomeTimeout is the time limit for storing an outcome on the platform; zero means 1 min.
	OutcomeTimeout time.Duration
	// Retention is the time for which claims are kept; zero means 24 h.
	Retention time.Duration
	// KeptBytes is the largest body that is kept with an outcome; zero means 64 KiB.
	KeptBytes int
	// MaxKeys is the largest number of keys that this VM keeps in memory; zero means 65536.
	MaxKeys int
	Metrics metrics.Registry
	Log     hclog.Logger
	Check   *gladecheck.Checker
}

// Once runs calls at most once, under keys that callers make.
type Once struct {
	config Config
	table  keyTable
	writes metrics.Counter
	reads  metrics.Counter
	ctx    context.Context
	tasks  sync.WaitGroup
}

// New returns a Once and its clean-up function, which cancels the writes of outcomes and waits for their end.
func New(c Config) (*Once, func(), error) {
	setDefaults(&c)
	keys, err := lru.New[string, *entry](c.MaxKeys)
	if err != nil {
		return nil, nil, eris.Wrap(err, "create the table of keys")
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &Once{
		config: c,
		table: keyTable{get: keys.Get, put: func(name string, e *entry) bool {
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
	if c.LookupPeer == nil {
		c.LookupPeer = func(context.Context, string, LookupRequest) (LookupAnswer, error) {
			return LookupAnswer{}, eris.New("no other VM can be asked")
		}
	}
	if c.Peers == nil {
		c.Peers = func() ([]string, bool) { return nil, true }
	}
	if c.ClaimTimeout == 0 {
		c.ClaimTimeout = defaultClaimTimeout
	}
	if c.OutcomeTimeout == 0 {
		c.OutcomeTimeout = defaultSettleTimeout
	}
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.KeptBytes == 0 {
		c.KeptBytes = defaultKeptBytes
	}
	if c.MaxKeys == 0 {
		c.MaxKeys = defaultMaxKeys
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
}

// Lookup answers another VM's request for the state of a key.
func (o *Once) Lookup(q LookupRequest) LookupAnswer {
	if q.Incarnation != "" && q.Incarnation != o.config.Incarnation {
		return LookupAnswer{State: StateUnknown}
	}
	s, outcome := o.table.lookup(q.Name, q.Nonce)
	return LookupAnswer{State: s, Outcome: outcome}
}

// Do runs a call, or returns the kept outcome if its key was claimed before.
func (o *Once) Do(ctx context.Context, c Call, send Send) (*Outcome, error) {
	name := c.Name()
	e, first := o.table.begin(name, c.Body)
	if !first {
		return o.table.wait(ctx, e, c.Body)
	}
	outcome, err := o.run(ctx, name, &c, e, send)
	s := stateOf(err)
	if errors.Is(err, errHeldElsewhere) {
		s = StateNone
		err = errors.Unwrap(err)
	}
	o.table.end(e, s, withoutLargeBody(outcome, o.config.KeptBytes), err)
	return outcome, err
}

// errHeldElsewhere marks a refusal for a key that another VM may hold. The next call with that key claims it anew.
var errHeldElsewhere = eris.New("key may be held by another VM")

type heldElsewhere struct{ *gladeapi.Refusal }

func (heldElsewhere) Is(err error) bool { return err == errHeldElsewhere }

func (e heldElsewhere) Unwrap() error { return e.Refusal }

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
		h.claim.Outcome = withoutLargeBody(outcome, o.config.KeptBytes)
		o.storeClaimEnd(name, h)
	}
	return outcome, err
}

// detach returns a context with the deadline of ctx but not its cancellation, so that a call is not aborted when its
// caller disconnects.
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
