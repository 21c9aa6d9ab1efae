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

// The errors that end the runs of an owner; both wrap gladestream.ErrContinuedElsewhere.
var (
	// ErrTakenOver means that another VM has taken over the generation.
	ErrTakenOver = eris.Wrap(gladestream.ErrContinuedElsewhere, "generation taken over by another VM")
	// ErrStopped means that the service was closed.
	ErrStopped = eris.Wrap(gladestream.ErrContinuedElsewhere, "standby service stopped")
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

// Config configures a Service. Peers and Continue are required.
type Config struct {
	Peers *gladepeer.Node
	// Continue runs the generation of a restored journal from its placement.
	Continue func(*gladestream.Journal, gladestream.Placement) *gladestream.Run
	// Copies is the number of standby VMs of each journal; zero means 1.
	Copies int
	// ProtectTokens delays replication until a run has so many tokens or ProtectAfter has passed; zero sets no limit.
	ProtectTokens int
	// ProtectAfter delays replication until a run is so old or has ProtectTokens; zero sets no limit.
	ProtectAfter time.Duration
	// BatchInterval is the minimum time between two batches to a standby; zero means 20 ms.
	BatchInterval time.Duration
	// ReleaseAtOnce lets callers receive tokens before a standby holds them.
	ReleaseAtOnce bool
	// CallTimeout limits each call to another VM; zero means 500 ms.
	CallTimeout time.Duration
	// CatchUp limits the wait until a run reaches the caller's position; zero means 2.5 s.
	CatchUp time.Duration
	// Retention is how long a journal is kept after its generation has ended; zero means 2 minutes.
	Retention time.Duration
	// MaxHeldBytes is the size of the held journals above which no further one is accepted; zero means 64 MiB.
	MaxHeldBytes int
	// MaxKeys limits the claims that this VM records as a home; zero means 100,000.
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
	owned map[runKey]*ownedRun
	// running holds the runs that have a task, also those that a later run of their key has replaced in owned.
	running map[*ownedRun]struct{}
	// pending holds the keys whose runs may begin at this VM.
	pending map[runKey]pendingRun
	// takenEpochs holds the epoch of each run that is about to continue at this VM, by request.
	takenEpochs map[string]int
	held        map[string]*heldJournal
	heldBytes   int
	claims      *lru.Cache[runKey, Claim]
	// failedUntil holds the VMs that failed as standbys, and until when they are not chosen.
	failedUntil map[string]time.Time
	tasks       sync.WaitGroup
	followers   atomic.Int64
}

// pendingRun is a run that may begin at this VM.
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

// New registers the peer calls and returns the service and a function that closes it.
func New(c Config) (*Service, func(), error) {
	setDefaults(&c)
	keys, err := lru.New[runKey, Claim](c.MaxKeys)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "claim cache of %d keys", c.MaxKeys)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		config:      c,
		ctx:         ctx,
		counters:    newCounters(c.Metrics),
		owned:       map[runKey]*ownedRun{},
		running:     map[*ownedRun]struct{}{},
		pending:     map[runKey]pendingRun{},
		takenEpochs: map[string]int{},
		held:        map[string]*heldJournal{},
		claims:      keys,
		failedUntil: map[string]time.Time{},
	}
	gladepeer.Handle(c.Peers, methodHold, s.serveHold)
	gladepeer.Handle(c.Peers, methodTake, s.serveTake)
	gladepeer.Handle(c.Peers, methodClaim, s.serveClaim)
	gladepeer.Handle(c.Peers, methodFollow, s.serveFollow)
	gladepeer.Handle(c.Peers, methodFind, s.serveFind)
	s.tasks.Go(s.expireLoop)
	return s, func() {
		s.abandonAll(cancel)
		s.tasks.Wait()
	}, nil
}

// abandonAll ends the runs of this VM and leaves their attempts to successors.
//
// It cancels the service's context while it holds the lock, as a run's task that sees the context end removes the run.
func (s *Service) abandonAll(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancel()
	for o := range s.running {
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
	self := s.selfName()
	if to == self {
		return local(ctx, self, q)
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	s.counters.messages.Inc(1)
	return gladepeer.Call[Q, A](ctx, s.config.Peers, to, method, q)
}

func (s *Service) selfName() string {
	return s.config.Peers.Self().Name
}

// rankedVMs returns the VMs by rendezvous rank for key, best first. It includes this VM but no leaving ones;
// domain limits it to a failure domain if set.
func (s *Service) rankedVMs(key, domain string) []string {
	var names []string
	for _, m := range append(s.config.Peers.Members(), s.config.Peers.Self()) {
		if !m.Leaving && (domain == "" || m.FailureDomain == domain) {
			names = append(names, m.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(gladepeer.RendezvousWeight(key, b), gladepeer.RendezvousWeight(key, a))
	})
	return names
}

// expireLoop removes expired entries every second.
func (s *Service) expireLoop() {
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
	for name, until := range s.failedUntil {
		if now.After(until) {
			delete(s.failedUntil, name)
		}
	}
	s.counters.held.Update(int64(len(s.held)))
	s.counters.heldBytes.Update(int64(s.heldBytes))
}

// State is the part of a dump that describes a Service.
type State struct {
	Owned     []OwnedState `json:"owned"`
	Held      []HeldState  `json:"held"`
	HeldBytes int          `json:"heldBytes"`
	Keys      int          `json:"keys"`
}

// OwnedState describes a run of this VM; Copies holds the number of tokens at each standby.
type OwnedState struct {
	Request string         `json:"request"`
	Epoch   int            `json:"epoch"`
	Tokens  int            `json:"tokens"`
	Copies  map[string]int `json:"copies"`
}

// HeldState describes a journal held for another VM.
type HeldState struct {
	Request string `json:"request"`
	Owner   string `json:"owner"`
	Epoch   int    `json:"epoch"`
	Tokens  int    `json:"tokens"`
}

// State returns the runs and journals of this VM.
func (s *Service) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{HeldBytes: s.heldBytes, Keys: s.claims.Len()}
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

// counters holds the metrics of a Service.
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
