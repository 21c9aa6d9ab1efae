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

	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladebudget"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladeshare"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeforward"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeserve"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladefeed"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelay"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

const (
	// rotationTime is how long a stopping VM may still get new connections: two missed questions, a second apart.
	rotationTime = 2500 * time.Millisecond
	// stopMargin is left of the grace for the process to end by itself.
	stopMargin = 400 * time.Millisecond
	// lastCall is how long before the end of the grace no further connection is taken: a call takes up to about a second.
	lastCall = 1500 * time.Millisecond
	// stopPoll is how often a stopping VM looks whether it still serves.
	stopPoll = 50 * time.Millisecond
	// storeIdle is how many idle connections to the store are kept: one for each kind and one for reads.
	storeIdle = 3
	// poisonKills is the number of servers that may crash under a request before it is refused, for poisonMemory.
	poisonKills  = 3
	poisonMemory = 5 * time.Minute
	// poisonWindow is the wait before a verdict; whether a whole failure domain crashed is known before.
	poisonWindow = 100 * time.Millisecond
	// engineIdle is below the shortest idle time-out of a backend server.
	engineIdle = 800 * time.Millisecond
)

// Config configures a Front.
type Config struct {
	Settings gladeplatform.Settings
	// MetricsAddress serves counters and histograms as text.
	MetricsAddress string
	Log            hclog.Logger
}

// Front is the entry role of one VM.
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
	pool     *gladesend.Pool
	relay    *gladerelay.Relay
	feed     *gladefeed.Feed
	stop     atomic.Bool
	// stopAt is when the process is killed, once it is stopping.
	stopAt atomic.Pointer[time.Time]
	group  run.Group

	mu sync.Mutex
	// listed tells that the backend servers are known, up to a revision of the store.
	listed   bool
	revision int64
	// inForce is when the release was put in force.
	inForce time.Time
	// lost tells by kind that the store cannot be reached.
	lost map[string]bool
	// reading tells that this VM follows the servers in the store itself.
	reading  bool
	cleanups []func()
}

// New opens the listeners and starts the parts; it returns the clean-up function.
func New(c Config) (*Front, func(), error) {
	f := &Front{
		config: c, log: c.Log, metrics: metrics.NewRegistry(), lost: map[string]bool{},
		fleet: gladefleet.New(gladefleet.Config{
			FailureDomain: c.Settings.FailureDomain, FailureDomains: len(c.Settings.FailureDomains),
		}),
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
		Share: s.RetryShare, Reserve: s.RetryReserve, Window: s.RetryWindow, VMs: f.vms,
	})
	f.suspects = gladesuspect.New(gladesuspect.Config{
		MaxKills: poisonKills, Memory: poisonMemory, Window: poisonWindow, Log: f.log.Named("suspects"),
	})
	if err := f.joinPeers(); err != nil {
		return err
	}
	f.follow()
	pool, closePool := gladesend.NewPool(gladesend.PoolConfig{})
	f.pool = pool
	f.cleanup(closePool)
	engines := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: engineIdle, DialContext: dialEngine}
	f.cleanup(engines.CloseIdleConnections)
	engine := &gladeplatform.Engine{Client: &http.Client{Transport: engines}}
	forwarder, closeForwarder := gladeforward.New(gladeforward.Config{
		Release: f.release.Load, Fleet: f.fleet,
		Client:   &gladesend.Client{Pool: pool, Encode: gladeplatform.EncodeSend, Decode: gladeplatform.DecodeAnswer},
		Engine:   gladeforward.Engine{Copy: engine.Copy, Free: engine.Free, Held: engine.Held},
		Budget:   f.budget,
		Suspects: f.suspects, OnDeath: f.tellDeath,
		StopsAt: f.stopsAt,
		Decode:  gladeplatform.DecodeCall, AnswerID: gladeplatform.AnswerID, CopyOf: gladeplatform.CopyOf,
		Changed: f.sharer.Changed, Log: f.log.Named("proxy"), Metrics: f.metrics,
	})
	f.cleanup(closeForwarder)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.EntryAddress)
	if err != nil {
		return eris.Wrap(err, "entry listener")
	}
	server, closeServer := gladeserve.New(gladeserve.Config{
		Listener: listener, Limits: f.limits, Handle: forwarder.Handle,
		Refused: func(status int, reason error) {
			f.log.Info("Refused an unreadable request.", "status", status, "reason", reason)
		},
	})
	f.server = server
	f.cleanup(closeServer)
	if err := f.listen(s.ReadyAddress, map[string]http.HandlerFunc{gladeplatform.ReadyPath: f.serveReady}); err != nil {
		return err
	}
	return f.listen(f.config.MetricsAddress, map[string]http.HandlerFunc{"/metrics": f.serveMetrics, "/dump": f.serveDump})
}

// dialEngine opens a connection for an engine call.
func dialEngine(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: engineDialTimeout, KeepAlive: -1}
	return d.DialContext(ctx, network, address)
}

// engineDialTimeout bounds a new connection; a live engine accepts within a few milliseconds.
const engineDialTimeout = 200 * time.Millisecond

// stopsAt returns when this process will be killed, the zero time unless it is stopping.
func (f *Front) stopsAt() time.Time {
	if at := f.stopAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// listen serves paths over HTTP; an empty address serves nothing.
func (f *Front) listen(address string, paths map[string]http.HandlerFunc) error {
	if address == "" {
		return nil
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listener %s", address)
	}
	mux := http.NewServeMux()
	for path, h := range paths {
		mux.HandleFunc(path, h)
	}
	s := &http.Server{Handler: mux, ReadHeaderTimeout: rotationTime}
	f.group.Add(func() error { return s.Serve(l) }, func(error) { _ = s.Close() })
	return nil
}

func (f *Front) limits() gladerelease.Limits {
	if r := f.release.Load(); r != nil {
		return r.Limits
	}
	return gladerelease.DefaultLimits
}

// Ready reports whether this VM takes new connections: it knows a release and the servers and is not stopping.
func (f *Front) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed && f.release.Load() != nil && !f.stop.Load()
}

func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !f.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (f *Front) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	gauge := func(name string, v int64) { metrics.GetOrRegisterGauge(name, f.metrics).Update(v) }
	gauge("peers", int64(f.vms()-1))
	gauge("busy", int64(f.server.Busy()))
	gauge("connections.opened", f.pool.Dials())
	if r := f.release.Load(); r != nil {
		gauge("release.version", r.Version)
		f.mu.Lock()
		gauge("release.ageSeconds", int64(now.Sub(f.inForce).Seconds()))
		f.mu.Unlock()
		for service := range r.Services {
			gauge("budget.left."+service, int64(f.budget.Left(service, now)))
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
	// Counts are the requests and repeats by service in the window of the retry budget.
	Counts  map[string]gladebudget.Counts `json:"counts"`
	Refused []gladesuspect.Refused        `json:"refused"`
}

// Dump returns the state of this process.
func (f *Front) Dump() Dump {
	f.mu.Lock()
	reading := f.reading
	f.mu.Unlock()
	return Dump{
		VM: f.config.Settings.VM, Ready: f.Ready(), State: f.state(), Reading: reading, Busy: f.server.Busy(),
		Peers: f.node.Members(), Servers: f.fleet.Statuses(), Counts: f.budget.Counts(time.Now()), Refused: f.suspects.Refused(),
	}
}

func (f *Front) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(f.Dump()); err != nil {
		f.log.Warn("State not dumped.", "reason", err)
	}
}

// Run serves until the context ends, and then until no caller's request is under way or the grace is over.
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
	f.log.Info("Stopped.", "reason", err)
	return err
}

// Reload reads the settings file again; of its settings only the time for a stop may change while the process runs.
func (f *Front) Reload(path string) {
	s, err := gladeplatform.LoadSettings(path)
	if err != nil {
		f.log.Error("Settings not reloaded; the ones before stay in force.", "reason", err)
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

// drain takes this VM out of the rotation and waits for its requests.
func (f *Front) drain() {
	began := time.Now()
	grace := f.grace()
	end := began.Add(grace)
	f.stopAt.Store(&end)
	f.stop.Store(true)
	f.server.Stop()
	f.log.Info("Stopping.", "busy", f.server.Busy(), "grace", grace)
	for time.Since(began) < grace-stopMargin {
		if time.Since(began) > grace-lastCall {
			f.server.Close()
		}
		if time.Since(began) > rotationTime && f.server.End() {
			break
		}
		time.Sleep(stopPoll)
	}
	f.log.Info("Drained.", "busy", f.server.Busy(), "after", time.Since(began))
}
