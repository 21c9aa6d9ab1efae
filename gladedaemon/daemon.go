package gladedaemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladekernel"
	"github.com/eelgrassglade/eelgrassglade/gladerecord"
)

// Names under which services are registered with the kernel.
const (
	ServiceStore   = "store"
	ServicePeers   = "peers"
	ServiceNotes   = "notes"
	ServiceRoster  = "roster"
	ServiceRoutes  = "routes"
	ServiceEngines = "engines"
	ServiceStreams = "streams"
	ServiceStandby = "standby"
	ServiceOrders  = "orders"
	ServiceEntry   = "entry"
	ServiceMetrics = "metrics"
	ServiceRecord  = "record"
	ServiceCheck   = "check"
)

// Config configures a Daemon.
type Config struct {
	Settings gladeconfig.Settings
	// Dial opens outgoing connections; nil means net.Dialer.
	Dial gladeapi.Dial
	// Listen opens listeners; nil means net.Listen.
	Listen gladeapi.Listen
	// WrapCallers wraps the handler of callers' requests; nil means no wrapper.
	WrapCallers func(http.Handler) http.Handler
	Log         hclog.Logger
	// Check receives violated invariants; nil means a Checker that logs them.
	Check *gladecheck.Checker
}

// Daemon runs the services of one entry VM.
type Daemon struct {
	kernel      gladekernel.Kernel
	settings    gladeconfig.Settings
	dial        gladeapi.Dial
	listen      gladeapi.Listen
	wrapCallers func(http.Handler) http.Handler
	log         hclog.Logger
	check       *gladecheck.Checker
	record      *gladerecord.Recorder
	metrics     metrics.Registry
	stopping    atomic.Bool
	// leaving is closed by leave, once the platform lists this VM as leaving.
	leaving chan struct{}
	leave   func()
	// drainSteps run in order before the actors are interrupted.
	drainSteps []func(context.Context)

	entryAddress     string
	operatorsAddress string
}

// New creates a daemon and opens its listeners. The returned function closes the daemon and is needed only if Run is
// never called.
func New(c Config) (*Daemon, func(), error) {
	d := &Daemon{
		settings:    c.Settings,
		dial:        c.Dial,
		listen:      c.Listen,
		wrapCallers: c.WrapCallers,
		log:         c.Log,
		check:       c.Check,
		metrics:     metrics.NewRegistry(),
	}
	d.leaving = make(chan struct{})
	d.leave = sync.OnceFunc(func() { close(d.leaving) })
	if d.listen == nil {
		d.listen = net.Listen
	}
	if d.wrapCallers == nil {
		d.wrapCallers = func(h http.Handler) http.Handler { return h }
	}
	if d.log == nil {
		d.log = hclog.NewNullLogger()
	}
	if d.check == nil {
		d.check = &gladecheck.Checker{Log: d.log.Named("check")}
	}
	for _, add := range []func() error{
		d.addDiagnostics,
		d.addStore,
		d.addPeers,
		d.addRoster,
		d.addNotes,
		d.addRoutes,
		d.addLimits,
		d.addCalls,
		d.addEngines,
		d.addStandby,
		d.addStreams,
		d.addOrders,
		d.addEntry,
		d.addPeerDrain,
		d.addOperators,
	} {
		if err := add(); err != nil {
			d.kernel.Close()
			return nil, nil, eris.Wrap(err, "daemon")
		}
	}
	return d, d.kernel.Close, nil
}

// Run serves until ctx is done or the platform lists this VM as leaving, then drains and stops.
func (d *Daemon) Run(ctx context.Context) error {
	stop := make(chan struct{})
	d.kernel.AddActor(
		func() error {
			select {
			case <-ctx.Done():
				d.drain()
			case <-d.leaving:
				d.drain()
			case <-stop:
			}
			return nil
		},
		func(error) { close(stop) },
	)
	return d.kernel.Run(context.WithoutCancel(ctx))
}

// EntryAddress returns the address of the listener for callers.
func (d *Daemon) EntryAddress() string {
	return d.entryAddress
}

// OperatorsAddress returns the address of the listener for operators.
func (d *Daemon) OperatorsAddress() string {
	return d.operatorsAddress
}

// Kernel returns the kernel with the daemon's services.
func (d *Daemon) Kernel() *gladekernel.Kernel {
	return &d.kernel
}

func (d *Daemon) addDiagnostics() error {
	record, err := gladerecord.New(gladerecord.Config{VM: d.settings.VM.Name})
	if err != nil {
		return err
	}
	d.record = record
	d.kernel.OnDump("check", func() any { return d.check.Broken() })
	d.kernel.OnDump("vm", func() any { return d.settings.VM })
	d.kernel.OnDump("stopping", func() any { return d.stopping.Load() })
	for name, service := range map[string]any{
		ServiceMetrics: d.metrics,
		ServiceRecord:  d.record,
		ServiceCheck:   d.check,
	} {
		if err := d.kernel.Provide(name, service); err != nil {
			return err
		}
	}
	return nil
}

// lookup sets *service to the service that is registered under a name.
func lookup[T any](d *Daemon, name string, service *T) error {
	s, err := gladekernel.Lookup[T](&d.kernel, name)
	*service = s
	return err
}

// loop adds an actor that calls f at once and then at each interval.
func (d *Daemon) loop(interval gladeconfig.Duration, f func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	d.kernel.AddActor(
		func() error {
			runPeriodically(ctx, interval.D(), f)
			return nil
		},
		func(error) { cancel() },
	)
	d.kernel.OnClose(cancel)
}
