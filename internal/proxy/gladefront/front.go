package gladefront

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladebudget"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladequota"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladeshare"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeforward"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeserve"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestop"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladeage"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladefeed"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladeprogress"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelay"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladeview"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

const (
	// headerTimeout bounds the time in which a header arrives at the addresses for readiness and metrics.
	headerTimeout = 2500 * time.Millisecond
	// drainPollInterval is how often a stopping VM checks whether a request is still in progress.
	drainPollInterval = 50 * time.Millisecond
	// maxIdleStoreConns allows one idle connection for each watched kind and one for lists.
	maxIdleStoreConns = 4
	// maxPoisonDeaths is the number of servers that may die while they run a request before it is refused.
	maxPoisonDeaths = 3
	// poisonRetention is how long deaths and refusals are remembered.
	poisonRetention = 5 * time.Minute
	// poisonDecisionDelay is the wait before a request is refused; the loss of a whole failure domain is known by then.
	poisonDecisionDelay = 100 * time.Millisecond
	// poisonMinGap is longer than VMs take to notice servers that are lost together.
	poisonMinGap = 30 * time.Millisecond
	// poisonProgress is the number of events after which the loss of a run is no evidence against its request.
	poisonProgress = 2
	// maxResponseHeaderBytes is the maximum size of the headers of an answer of the store or of an engine's own calls.
	maxResponseHeaderBytes = 8 << 10
	// engineIdleTimeout is below the shortest idle timeout of a backend server.
	engineIdleTimeout = 800 * time.Millisecond
)

// Config configures a Front.
type Config struct {
	Settings gladeplatform.Settings
	// SettingsPath is the file that Reload reads; empty means that Settings never change.
	SettingsPath string
	// MetricsAddress is where counters, histograms and the dump are served over HTTP; empty serves none.
	MetricsAddress string
	Log            hclog.Logger
}

// Front runs the entry role of one VM.
type Front struct {
	config  Config
	log     hclog.Logger
	metrics metrics.Registry
	release atomic.Pointer[gladerelease.Release]
	fleet   *gladefleet.Table
	server  *gladeserve.Server
	node    *gladepeer.Node
	sharer  *gladeshare.Sharer
	budget  *gladebudget.Budget

	suspects *gladesuspect.Tracker
	limits   *gladequota.Pool
	memory   *gladememory.Ledger
	pool     *gladesend.Pool
	engine   *gladeplatform.Engine
	relay    *gladerelay.Relay
	feed     *gladefeed.Feed
	age      *gladeage.Tracker
	// outage records when this failure domain did not reach the store.
	outage gladeview.Outage
	// rollouts is nil unless the platform's settings ask for roll-outs.
	rollouts *rollouts
	stopping atomic.Bool
	// startedAt is when the process started, and saidReady what it last answered to the question whether it is ready.
	startedAt time.Time
	saidReady atomic.Bool
	// peersHeard is closed once this VM has received what the others refuse, or has waited for it long enough.
	peersHeard chan struct{}
	// stopPlan holds the times of the planned stop; nil unless the process is stopping.
	stopPlan atomic.Pointer[gladestop.Plan]
	group    run.Group

	// serversMu is held while the list of servers and its revision change, so that they belong together.  It comes before mu.
	serversMu sync.Mutex
	store     *gladeplatform.Store
	// releases reads the release from the store.
	releases gladeview.FollowConfig[entry[*gladerelease.Release]]
	// releaseMu is held while a release is put in force.  It comes before mu.
	releaseMu sync.Mutex
	// history holds the latest changes of the release.
	history gladerelease.History
	// widening widens the limits of calls to the store that took too long.
	widening gladeprogress.Widening

	mu sync.Mutex
	// releaseChanged is closed and replaced when a release is put in force.
	releaseChanged chan struct{}
	// serversKnown is set once the backend servers are known, up to revision.
	serversKnown bool
	revision     int64
	// differedAt is when a reader's list was first found to differ at the same revision, in the present series of requests.
	differedAt time.Time
	// releaseSince is when the current release was put in force.
	releaseSince time.Time
	// storeRelease is the version that the store gave last, and confirmedAt when it last said that it is the newest.
	storeRelease int64
	confirmedAt  time.Time
	// unreachable holds, by kind, whether the store cannot be reached.
	unreachable map[string]bool
	// reading is set while this VM reads the store for its failure domain.
	reading bool
	// storeRefused reports that the store did not accept the last connection that this VM opened as a reader.
	storeRefused bool
	cleanups     []func()
}

// New opens the listeners and starts the components; it returns the clean-up function.
func New(c Config) (*Front, func(), error) {
	f := &Front{
		config: c, log: c.Log, metrics: metrics.NewRegistry(), unreachable: map[string]bool{}, peersHeard: make(chan struct{}),
		releaseChanged: make(chan struct{}), startedAt: time.Now(),
		fleet: gladefleet.New(gladefleet.Config{
			FailureDomain: c.Settings.FailureDomain, FailureDomains: len(c.Settings.FailureDomains),
			AddressReuse: c.Settings.AddressReuse, DrainBound: c.Settings.DrainBound, BootTime: bootTime,
		}),
		age: gladeage.New(gladeage.Config{Bound: c.Settings.ReleaseBound, Log: c.Log.Named("age")}),
	}
	if c.Settings.Rollouts {
		f.rollouts = newRollouts(f)
	}
	if err := f.open(); err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

func (f *Front) close() {
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
}

func (f *Front) cleanup(fn func()) { f.cleanups = append(f.cleanups, fn) }

func (f *Front) open() error {
	s := f.config.Settings
	f.budget = gladebudget.New(gladebudget.Config{
		Share: s.RetryShare, Reserve: s.RetryReserve, Window: s.RetryWindow, VMs: f.vmCount,
		OnRetries: func() { f.sharer.NotifyChanged() }, // the sharer is started later, with the budget
	})
	f.suspects = gladesuspect.New(gladesuspect.Config{
		MaxDeaths: maxPoisonDeaths, Retention: poisonRetention, Window: poisonDecisionDelay, MinGap: poisonMinGap,
		Progress: poisonProgress, OnRefused: f.reportRefusal, OnCleared: f.reportCleared,
		OnHeld: f.reportHeld, OnAnswered: f.reportAnswered, Log: f.log.Named("suspects"),
	})
	limits := f.startMemory()
	pool, closePool := gladesend.NewPool(gladesend.PoolConfig{MaxIdle: limits.IdleServerConnections, OnOpened: f.countConnection})
	f.pool = pool
	f.cleanup(closePool)
	f.openEngine()
	f.openStore()
	if err := f.startPeers(); err != nil {
		return err
	}
	f.startFollowing()
	forwarding := gladeforward.Config{
		Release: f.release.Load, AwaitRelease: f.awaitRelease, Fleet: f.fleet,
		Client:   &gladesend.Client{Pool: pool, Encode: gladeplatform.EncodeSend, Decode: gladeplatform.DecodeAnswer, OnAnswer: f.onAnswer},
		Engine:   gladeforward.Engine{Copy: f.engine.Copy, Free: f.engine.Free, CachedTokens: f.engine.Held},
		Budget:   f.budget,
		Limits:   gladeforward.Limits{Acquire: f.limits.Acquire, Sent: f.limits.Sent, States: f.limits.States},
		Suspects: f.suspects, OnServerDeath: f.reportDeath,
		Others:   f.otherAddresses,
		StopPlan: f.stopPlan.Load, Instance: f.engine.Instance, OnSuccessor: f.reportSuccessor, BootTime: bootTime,
		Decode: gladeplatform.DecodeCall, SetAnswerID: gladeplatform.SetAnswerID, CopyName: gladeplatform.CopyName,
		OnLoadChange: f.sharer.NotifyChanged, Log: f.log.Named("proxy"), Metrics: f.metrics,
	}
	if f.rollouts != nil {
		f.useRollouts(&forwarding)
	}
	forwarder, closeForwarder := gladeforward.New(forwarding)
	f.cleanup(closeForwarder)
	if f.rollouts != nil {
		if err := f.startRollouts(forwarder); err != nil {
			return err
		}
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.EntryAddress)
	if err != nil {
		return eris.Wrapf(err, "listening for callers on %s", s.EntryAddress)
	}
	server, closeServer := gladeserve.New(gladeserve.Config{
		Listener: listener, Limits: f.callerLimits,
		Handle: func(ctx context.Context, x *gladeserve.Exchange) { f.handle(ctx, x, forwarder.Handle) },
		OnRefused: func(status int, reason error) {
			f.log.Info("Refused an unreadable request.", "status", status, "reason", reason)
		},
		Memory: f.memory, MaxConnections: limits.Connections, OnClosed: f.onClosedConnection,
		OnUnanswered: f.onUnanswered,
	})
	f.server = server
	f.cleanup(closeServer)
	if err := f.listen(s.ReadyAddress, map[string]http.HandlerFunc{gladeplatform.ReadyPath: f.serveReady}); err != nil {
		return err
	}
	return f.serveOperators(forwarder)
}

// serveOperators listens on the metrics address.
func (f *Front) serveOperators(forwarder *gladeforward.Forwarder) error {
	return f.listen(f.config.MetricsAddress, map[string]http.HandlerFunc{
		"/metrics": f.serveMetrics, "/dump": f.serveDump, "GET /where": f.serveWhere(forwarder.Explain),
	})
}

// openEngine prepares the calls to model engines.
func (f *Front) openEngine() {
	engine, closeEngine := gladeplatform.NewEngine(gladeplatform.EngineConfig{OnAnswer: f.onEngineAnswer, Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: engineIdleTimeout, DialContext: f.dialEngine, MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}})
	f.engine = engine
	f.cleanup(closeEngine)
}

// bootTime returns the time since the start of the machine, as a time.  Unlike the monotonic clock, it includes the time
// for which the machine was suspended.
func bootTime() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now() // the clock exists on every Linux that Go supports
	}
	return time.Unix(t.Unix())
}

// dialEngine returns a connection for an engine call: the one of a probe if no request was sent on it yet, or else a new one.
func (f *Front) dialEngine(ctx context.Context, network, address string) (net.Conn, error) {
	if conn := f.pool.TakeUnused(address); conn != nil {
		return conn, nil
	}
	d := net.Dialer{Timeout: engineDialTimeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, network, address)
	if err == nil {
		f.countConnection(gladesend.CauseOf(ctx))
	}
	return conn, err
}

// engineDialTimeout bounds a new connection; a live engine accepts within a few milliseconds.
const engineDialTimeout = 200 * time.Millisecond

// listen serves paths over HTTP; with an empty address it does nothing.
func (f *Front) listen(address string, paths map[string]http.HandlerFunc) error {
	if address == "" {
		return nil
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listening on %s", address)
	}
	mux := http.NewServeMux()
	for path, h := range paths {
		mux.HandleFunc(path, h)
	}
	s := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	f.group.Add(func() error { return s.Serve(l) }, func(error) { _ = s.Close() })
	return nil
}

func (f *Front) callerLimits() gladerelease.Limits {
	if r := f.release.Load(); r != nil {
		return r.Limits.OrDefaults()
	}
	return gladerelease.DefaultLimits
}

// Ready reports whether this VM accepts new connections: it knows a release and the servers and is not stopping.
func (f *Front) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.serversKnown && f.release.Load() != nil && f.rolloutsKnown() && !f.stopping.Load()
}

func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready := f.Ready()
	if f.saidReady.Swap(ready) != ready {
		f.mu.Lock()
		revision, known := f.revision, f.serversKnown
		f.mu.Unlock()
		version := int64(0)
		if r := f.release.Load(); r != nil {
			version = r.Version
		}
		f.log.Info("Readiness changed.", "ready", ready, "release", version, "serversKnown", known, "revision", revision, "rolloutsKnown", f.rolloutsKnown(),
			"stopping", f.stopping.Load(), "afterMs", time.Since(f.startedAt).Milliseconds())
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (f *Front) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	gauge := func(name string, v int64) { metrics.GetOrRegisterGauge(name, f.metrics).Update(v) }
	gauge("peers", int64(f.vmCount()-1))
	gauge("busy", int64(f.server.Busy()))
	gauge("connections.opened", f.pool.Dials())
	gauge("suspects", int64(f.suspects.SuspectCount()))
	gauge("suspects.refused", int64(len(f.suspects.Refused())))
	gauge("suspects.refusedParts", int64(len(f.suspects.Held())))
	f.placementGauges(gauge, now)
	f.limitGauges(gauge)
	f.rolloutGauges(gauge)
	f.memoryGauges(gauge)
	if r := f.release.Load(); r != nil {
		gauge("release.version", r.Version)
		age := f.age.State(bootTime())
		gauge("release.newest", age.Newest)
		gauge("release.unconfirmedMs", age.Age.Milliseconds())
		gauge("release.worstUnconfirmedMs", age.Worst.Milliseconds())
		gauge("release.behindMs", age.Behind.Milliseconds())
		f.mu.Lock()
		gauge("release.ageSeconds", int64(now.Sub(f.releaseSince).Seconds()))
		f.mu.Unlock()
		for service := range r.Services {
			gauge("budget.left."+service, int64(f.budget.Remaining(service, now)))
		}
	}
	metrics.WriteOnce(f.metrics, w)
}

// Dump is the state of one process.
type Dump struct {
	VM      string              `json:"vm"`
	Ready   bool                `json:"ready"`
	State   gladerelay.State    `json:"state"`
	Reading bool                `json:"reading"`
	Busy    int                 `json:"busy"`
	Peers   []gladepeer.Member  `json:"peers"`
	Servers []gladefleet.Status `json:"servers"`
	// Counts holds the requests and retries by service in the window of the retry budget.
	Counts  map[string]gladebudget.Counts `json:"counts"`
	Refused []gladesuspect.Refused        `json:"refused"`
	// RefusedParts are the sets of prompt parts that are refused.
	RefusedParts []gladesuspect.HeldParts `json:"refusedParts"`
	// Limits are those that backend servers name.
	Limits []gladequota.State `json:"limits"`
	// Rollouts are the orders to roll out a version.
	Rollouts []RolloutState `json:"rollouts,omitempty"`
}

// Dump returns the state of this process.
func (f *Front) Dump() Dump {
	f.mu.Lock()
	reading := f.reading
	f.mu.Unlock()
	return Dump{
		VM: f.config.Settings.VM, Ready: f.Ready(), State: f.state(), Reading: reading, Busy: f.server.Busy(),
		Peers: f.node.Members(), Servers: f.fleet.Statuses(), Counts: f.budget.Counts(time.Now()), Refused: f.suspects.Refused(),
		RefusedParts: f.suspects.Held(), Limits: f.limits.States(),
		Rollouts: f.rolloutDump(),
	}
}

func (f *Front) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(f.Dump()); err != nil {
		f.log.Warn("Cannot write the dump.", "reason", err)
	}
}

// Run serves until the context ends, and then until no request is in progress or the grace period is over.
func (f *Front) Run(ctx context.Context) error {
	stopped := make(chan struct{})
	f.group.Add(func() error {
		select {
		case <-ctx.Done():
			f.drain()
		case <-stopped:
		}
		return nil
	}, func(error) { close(stopped) })
	s := f.config.Settings
	f.log.Info("Started.", "vm", s.VM, "failureDomain", s.FailureDomain, "entry", s.EntryAddress, "store", s.StoreAddress)
	err := f.group.Run()
	f.logCounts()
	f.log.Info("Stopped.", "reason", err)
	return err
}

// Reload reads the settings file again; only StopGrace takes effect while the process runs.  A grace period that ends earlier takes
// effect during a stop too.
func (f *Front) Reload() {
	s, err := gladeplatform.LoadSettings(f.config.SettingsPath)
	if err != nil {
		f.log.Error("Cannot reload the settings; the current ones stay in force.", "reason", err)
		return
	}
	f.mu.Lock()
	f.config.Settings.StopGrace = s.StopGrace
	f.mu.Unlock()
	f.log.Info("Settings reloaded.", "grace", s.StopGrace)
}

func (f *Front) grace() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Settings.StopGrace
}

// drain deregisters this VM from the platform and waits for the requests in progress.
func (f *Front) drain() {
	plan := &gladestop.Plan{Began: time.Now(), Grace: f.grace()}
	if f.config.SettingsPath != "" {
		f.Reload() // the file may have changed without a signal
		plan.Grace = f.grace()
	}
	f.stopPlan.Store(plan)
	f.stopping.Store(true)
	f.server.Stop()
	f.log.Info("Stopping.", "busy", f.server.Busy(), "grace", plan.Grace)
	interrupted := false
	for now := time.Now(); now.Before(plan.ExitAt()); now = time.Now() {
		if grace := f.grace(); grace < plan.Grace {
			plan = &gladestop.Plan{Began: plan.Began, Grace: grace}
			f.stopPlan.Store(plan)
			f.log.Info("The stop ends earlier.", "grace", grace, "after", now.Sub(plan.Began))
		}
		if !interrupted && !now.Before(plan.AnswerBy()) {
			interrupted = true
			f.log.Info("Answering the requests in progress.", "busy", f.server.Busy(), "after", now.Sub(plan.Began))
			f.server.Interrupt()
		}
		if now.After(plan.DeregisteredAt()) && f.server.CloseIdle() {
			break
		}
		time.Sleep(drainPollInterval)
	}
	f.server.Close()
	f.log.Info("Drained.", "busy", f.server.Busy(), "after", time.Since(plan.Began))
}
