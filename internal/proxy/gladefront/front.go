package gladefront

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladelimit"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeforward"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeserve"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

const (
	// rotationTime is how long a stopping VM may still get new connections: two missed questions, a second apart.
	rotationTime = 2500 * time.Millisecond
	// stopMargin is left of the grace for the process to end by itself.
	stopMargin = 400 * time.Millisecond
	// stopPoll is how often a stopping VM looks whether it still serves.
	stopPoll = 50 * time.Millisecond
	// storeIdle is how many idle connections to the store are kept: one for each kind and one for reads.
	storeIdle = 3
	// perSecondShare spreads the retry reserve over VMs and the window; the smallest deployment has 14 VMs.
	expectedVMs = 14
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
	stop    atomic.Bool
	group   run.Group

	mu sync.Mutex
	// listed tells that the backend servers are known; regained is when the store last came back.
	listed   bool
	regained time.Time
	cleanups []func()
}

// New opens the listeners and starts the parts; it returns the clean-up function.
func New(c Config) (*Front, func(), error) {
	f := &Front{
		config: c, log: c.Log, metrics: metrics.NewRegistry(),
		fleet: gladefleet.New(gladefleet.Config{FailureDomain: c.Settings.FailureDomain}),
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
	f.follow()
	pool, closePool := gladesend.NewPool(gladesend.PoolConfig{})
	f.cleanup(closePool)
	forwarder, closeForwarder := gladeforward.New(gladeforward.Config{
		Release: f.release.Load, Fleet: f.fleet,
		Client: &gladesend.Client{Pool: pool, Encode: gladeplatform.EncodeSend, Decode: gladeplatform.DecodeAnswer},
		Budget: gladelimit.NewBudget(gladelimit.BudgetConfig{
			Share: s.RetryShare, Reserve: max(1, s.RetryReserve/expectedVMs),
			PerSecond: max(0.1, s.RetryReserve/expectedVMs/max(1, s.RetryWindow.Seconds())/2),
		}),
		Decode: gladeplatform.DecodeCall, AnswerID: gladeplatform.AnswerID, CopyOf: gladeplatform.CopyOf,
		Changed: func() {}, Log: f.log.Named("proxy"), Metrics: f.metrics,
	})
	f.cleanup(closeForwarder)
	listener, err := net.Listen("tcp", s.EntryAddress)
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
	if err := f.listen(s.ReadyAddress, gladeplatform.ReadyPath, f.serveReady); err != nil {
		return err
	}
	return f.listen(f.config.MetricsAddress, "/metrics", f.serveMetrics)
}

// listen serves one path over HTTP; an empty address serves nothing.
func (f *Front) listen(address, path string, h http.HandlerFunc) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listener of %s", path)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(path, h)
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
	metrics.WriteOnce(f.metrics, w)
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

// drain takes this VM out of the rotation and waits for its requests.
func (f *Front) drain() {
	began := time.Now()
	f.stop.Store(true)
	f.server.Stop()
	f.log.Info("Stopping.", "busy", f.server.Busy(), "grace", f.config.Settings.StopGrace)
	for time.Since(began) < f.config.Settings.StopGrace-stopMargin {
		if time.Since(began) > rotationTime {
			f.server.CloseIdle()
			if f.server.Busy() == 0 {
				break
			}
		}
		time.Sleep(stopPoll)
	}
	f.log.Info("Drained.", "busy", f.server.Busy(), "after", time.Since(began))
}
