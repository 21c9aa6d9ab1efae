package gladestandby

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladerecord"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// The errors that end the runs of an owner.
var (
	// ErrTakenOver means that another VM has taken the generation over.
	ErrTakenOver = eris.Wrap(gladestream.ErrElsewhere, "generation taken over by another VM")
	// ErrStopped means that the service was closed.
	ErrStopped = eris.Wrap(gladestream.ErrElsewhere, "standby service stopped")
)

const (
	defaultCopies        = 1
	defaultBatchInterval = 20 * time.Millisecond
	defaultCallTimeout   = 500 * time.Millisecond
	defaultRetention     = 2 * time.Minute
	defaultCatchUp       = 2500 * time.Millisecond
	defaultMaxHeldBytes  = 64 << 20
	defaultMaxKeys       = 100_000
	homesPerKey          = 2
)

// Config configures a Service.
type Config struct {
	Peers *gladepeer.Node
	// Continue runs a restored journal on.
	Continue func(*gladestream.Journal, gladestream.Placement) *gladestream.Run
	// Copies is the number of standby VMs of each journal; zero means 1.
	Copies int
	// ProtectTokens and ProtectAfter delay replication until a run has so many tokens or is so old, whichever is first.
	ProtectTokens int
	ProtectAfter  time.Duration
	// BatchInterval is the shortest time between two batches to a standby; zero means 20 ms.
	BatchInterval time.Duration
	// ReleaseAtOnce lets callers see tokens before a standby holds them.
	ReleaseAtOnce bool
	// CallTimeout bounds each call to another VM; zero means 500 ms.
	CallTimeout time.Duration
	// CatchUp bounds the wait until a run reaches the caller's position; zero means 2.5 s.
	CatchUp time.Duration
	// Retention is how long a journal is kept after its generation has ended; zero means 2 minutes.
	Retention time.Duration
	// MaxHeldBytes bounds the journals held for others; zero means 64 MiB.
	MaxHeldBytes int
	// MaxKeys bounds the keys that this VM is the home of; zero means 100,000.
	MaxKeys int
	Log     hclog.Logger
	Check   *gladecheck.Checker
	Metrics metrics.Registry
	Record  *gladerecord.Recorder
}

// Service replicates the runs of this VM and holds the journals of others.
type Service struct {
	config   Config
	ctx      context.Context
	counters *counters

	mu    sync.Mutex
	owned map[runKey]*owned
	// pending are keys that were claimed for runs that have not begun.
	pending map[runKey]pendingRun
	// taken are the epochs of runs about to continue here, by request.
	taken     map[string]int
	held      map[string]*held
	heldBytes int
	keys      *lru.Cache[runKey, Claim]
	// failed are standbys that did not answer, and until when they are not chosen.
	failed    map[string]time.Time
	tasks     sync.WaitGroup
	followers atomic.Int64
}

// pendingRun is a run that may begin here.
type pendingRun struct {
	request string
	until   time.Time
}

type runKey struct {
	organisation string
	key          string
}

func keyOf(g *gladeapi.Generation) runKey {
	return runKey{organisation: g.Organisation, key: g.Key}
}

// New registers the calls between VMs and returns the service and its clean-up function.
func New(c Config) (*Service, func(), error) {
	setDefaults(&c)
	keys, err := lru.New[runKey, Claim](c.MaxKeys)
	if err != nil {
		return nil, nil, eris.Wrap(err, "keys")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		config:   c,
		ctx:      ctx,
		counters: newCounters(c.Metrics),
		owned:    map[runKey]*owned{},
		pending:  map[runKey]pendingRun{},
		taken:    map[string]int{},
		held:     map[string]*held{},
		keys:     keys,
		failed:   map[string]time.Time{},
	}
	gladepeer.Handle(c.Peers, methodHold, s.serveHold)
	gladepeer.Handle(c.Peers, methodTake, s.serveTake)
	gladepeer.Handle(c.Peers, methodClaim, s.serveClaim)
	gladepeer.Handle(c.Peers, methodFollow, s.serveFollow)
	gladepeer.Handle(c.Peers, methodFind, s.serveFind)
	s.tasks.Go(s.expire)
	return s, func() {
		cancel()
		s.abandonAll()
		s.tasks.Wait()
	}, nil
}

// abandonAll ends the runs of this VM and leaves the engines' streams to successors.
func (s *Service) abandonAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.owned {
		o.run.Journal.Abandon(ErrStopped)
		o.stop()
	}
}

func setDefaults(c *Config) {
	c.Copies = cmp.Or(c.Copies, defaultCopies)
	c.BatchInterval = cmp.Or(c.BatchInterval, defaultBatchInterval)
	c.CallTimeout = cmp.Or(c.CallTimeout, defaultCallTimeout)
	c.CatchUp = cmp.Or(c.CatchUp, defaultCatchUp)
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	c.MaxHeldBytes = cmp.Or(c.MaxHeldBytes, defaultMaxHeldBytes)
	c.MaxKeys = cmp.Or(c.MaxKeys, defaultMaxKeys)
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
}

// call calls a method of a VM, which may be this one.
func call[Q, A any](ctx context.Context, s *Service, to, method string, local func(context.Context, string, Q) (A, error), q Q) (A, error) {
	self := s.self()
	if to == self {
		return local(ctx, self, q)
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	s.counters.messages.Inc(1)
	return gladepeer.Call[Q, A](ctx, s.config.Peers, to, method, q)
}

func (s *Service) self() string {
	return s.config.Peers.Self().Name
}

// ranked returns the VMs that may serve a key, this one included unless it leaves, best first.
func (s *Service) ranked(key, domain string) []string {
	var names []string
	for _, m := range append(s.config.Peers.Members(), s.config.Peers.Self()) {
		if !m.Leaving && (domain == "" || m.FailureDomain == domain) {
			names = append(names, m.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(gladepeer.Rendezvous(key, b), gladepeer.Rendezvous(key, a))
	})
	return names
}

// expire removes what is past its time.
func (s *Service) expire() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.expireAt(now)
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Service) expireAt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for request, h := range s.held {
		if now.After(h.expires) {
			s.dropHeld(request)
		}
	}
	for k, p := range s.pending {
		if now.After(p.until) {
			delete(s.pending, k)
		}
	}
	for name, until := range s.failed {
		if now.After(until) {
			delete(s.failed, name)
		}
	}
	s.counters.held.Update(int64(len(s.held)))
	s.counters.heldBytes.Update(int64(s.heldBytes))
}

// State is what a Service shows in a dump.
type State struct {
	Owned     []OwnedState `json:"owned"`
	Held      []HeldState  `json:"held"`
	HeldBytes int          `json:"heldBytes"`
	Keys      int          `json:"keys"`
}

// OwnedState is a run of this VM.
type OwnedState struct {
	Request string         `json:"request"`
	Epoch   int            `json:"epoch"`
	Tokens  int            `json:"tokens"`
	Copies  map[string]int `json:"copies"`
}

// HeldState is a journal held for another VM.
type HeldState struct {
	Request string `json:"request"`
	Owner   string `json:"owner"`
	Epoch   int    `json:"epoch"`
	Tokens  int    `json:"tokens"`
}

// State returns what the VM owns and holds.
func (s *Service) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{HeldBytes: s.heldBytes, Keys: s.keys.Len()}
	for _, o := range s.owned {
		copies := map[string]int{}
		for name, n := range o.copies {
			copies[name] = n
		}
		state.Owned = append(state.Owned, OwnedState{o.generation.ID, o.epoch, o.run.Journal.Len(), copies})
	}
	for request, h := range s.held {
		state.Held = append(state.Held, HeldState{request, h.batch.Owner, h.batch.Epoch, len(h.batch.Tokens)})
	}
	return state
}

// counters counts what replication costs.
type counters struct {
	messages    metrics.Counter
	batches     metrics.Counter
	tokens      metrics.Counter
	unprotected metrics.Counter
	refused     metrics.Counter
	takeovers   metrics.Counter
	mirrors     metrics.Counter
	lost        metrics.Counter
	held        metrics.Gauge
	heldBytes   metrics.Gauge
}

func newCounters(r metrics.Registry) *counters {
	return &counters{
		messages:    metrics.GetOrRegisterCounter("standby.messages", r),
		batches:     metrics.GetOrRegisterCounter("standby.batches", r),
		tokens:      metrics.GetOrRegisterCounter("standby.tokens", r),
		unprotected: metrics.GetOrRegisterCounter("standby.unprotected", r),
		refused:     metrics.GetOrRegisterCounter("standby.refused", r),
		takeovers:   metrics.GetOrRegisterCounter("standby.takeovers", r),
		mirrors:     metrics.GetOrRegisterCounter("standby.mirrors", r),
		lost:        metrics.GetOrRegisterCounter("standby.lost", r),
		held:        metrics.GetOrRegisterGauge("standby.held", r),
		heldBytes:   metrics.GetOrRegisterGauge("standby.heldBytes", r),
	}
}
