package gladedaemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeentry"
	"github.com/eelgrassglade/eelgrassglade/gladestandby"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

var errStopping = eris.New("the VM is stopping")

func (d *Daemon) addEntry() error {
	var (
		runner  *gladestream.Runner
		notes   *Notes
		calls   *Calls
		standby *gladestandby.Service
	)
	if err := errors.Join(
		lookup(d, ServiceStreams, &runner),
		lookup(d, ServiceNotes, &notes),
		lookup(d, ServiceCalls, &calls),
		lookup(d, ServiceStandby, &standby),
	); err != nil {
		return err
	}
	server := gladeentry.New(gladeentry.Config{
		Services:       calls.Serve,
		Admit:          admitOrWithdraw(calls.limits.admitGeneration, standby),
		Recover:        standby.Recover,
		VM:             d.settings.VM.Name,
		State:          notes.State,
		Start:          runner.Start,
		Ready:          func() error { return d.ready(notes) },
		MaxBodyBytes:   d.settings.Entry.MaxBodyBytes,
		Deadline:       d.settings.Entry.RequestDeadline.D(),
		ReconnectGrace: d.settings.Entry.ReconnectGrace.D(),
		Metrics:        d.metrics,
		Log:            d.log.Named("entry"),
		Check:          d.check,
		Record:         d.record,
	})
	d.kernel.OnDump("entry", func() any { return server.State() })
	address, shutdown, err := d.serve(d.settings.Entry.Listen, d.closeWhileStopping(d.wrapCallers(server)))
	if err != nil {
		return err
	}
	d.entryAddress = address
	d.drainSteps = append(d.drainSteps, func(ctx context.Context) {
		time.Sleep(d.settings.Entry.LameDuck.D())
		shutdown(ctx)
	})
	return d.kernel.Provide(ServiceEntry, server)
}

func (d *Daemon) ready(n *Notes) error {
	if d.stopping.Load() {
		return errStopping
	}
	return n.Ready()
}

// closeWhileStopping closes callers' connections after each response while the VM stops, so that the load balancer
// sends their next connections to other VMs.
func (d *Daemon) closeWhileStopping(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// serve adds a listener with a handler. It returns the listener's address and a function for graceful shutdown.
func (d *Daemon) serve(address string, h http.Handler) (string, func(context.Context), error) {
	return d.serveOn(d.listen, address, h)
}

func (d *Daemon) serveOn(listen gladeapi.Listen, address string, h http.Handler) (string, func(context.Context), error) {
	l, err := listen("tcp", address)
	if err != nil {
		return "", nil, eris.Wrapf(err, "listen on %s", address)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	shutdown := func(ctx context.Context) {
		if err := s.Shutdown(ctx); err != nil {
			d.log.Warn("Shutdown interrupted requests.", "error", err)
		}
	}
	d.kernel.AddActor(
		func() error { return serveUntilClosed(s, l) },
		func(error) { shutdown(context.Background()) },
	)
	d.kernel.OnClose(func() { _ = s.Close() })
	return l.Addr().String(), shutdown, nil
}

func serveUntilClosed(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve")
}
