package gladedaemon

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeengine"
	"github.com/eelgrassglade/eelgrassglade/gladelease"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladeorder"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
)

const minLoadBurst = 4

// Orders sends orders to the engines of this VM's failure domain while the VM holds the lease for it.
type Orders struct {
	daemon      *Daemon
	notes       *Notes
	table       *gladeroute.Table
	engines     *gladeengine.Client
	client      *gladeorder.Client
	lease       atomic.Pointer[gladelease.Lease]
	report      atomic.Pointer[gladenote.EngineReport]
	loadLimiter *rate.Limiter
	log         hclog.Logger
}

func (d *Daemon) addOrders() error {
	var (
		notes   *Notes
		table   *gladeroute.Table
		engines *gladeengine.Client
	)
	if err := errors.Join(
		lookup(d, ServiceNotes, &notes),
		lookup(d, ServiceRoutes, &table),
		lookup(d, ServiceEngines, &engines),
	); err != nil {
		return err
	}
	client, closeClient := gladeorder.NewClient(d.dial)
	d.kernel.OnClose(closeClient)
	s := &d.settings.Orders
	o := &Orders{
		daemon: d, notes: notes, table: table, engines: engines, client: client, log: d.log.Named("orders"),
		loadLimiter: rate.NewLimiter(rate.Limit(s.LoadsPerSecond), max(minLoadBurst, int(s.LoadsPerSecond))),
	}
	notes.orderReport.Store(&o.report)
	lease, release := gladelease.New(gladelease.Config{
		Store:     notes.store,
		Name:      "orders-" + notes.failureDomain,
		Holder:    d.settings.VM.Name,
		Duration:  s.LeaseDuration.D(),
		Candidate: notes.replica.Watcher,
		Lead:      o.lead,
		Log:       o.log,
	})
	o.lease.Store(lease)
	d.kernel.OnClose(release)
	d.kernel.OnDump("orders", func() any { return o.report.Load() })
	return d.kernel.Provide(ServiceOrders, o)
}

// lead sends orders until ctx is done at the end of the grant.
func (o *Orders) lead(ctx context.Context, g gladelease.Grant) {
	metrics.GetOrRegisterGauge("orders.fencingNumber", o.daemon.metrics).Update(g.FencingNumber)
	s := &o.daemon.settings.Orders
	err := gladeorder.Run(ctx, gladeorder.Config{
		FailureDomain: o.notes.failureDomain,
		Grant:         g,
		GrantHeld:     func() bool { return o.holdsGrant(g) },
		LeaseDuration: s.LeaseDuration.D(),
		State:         o.notes.State,
		Engines:       o.liveEngines,
		ReadLoad:      o.engines.Load,
		Send:          o.send,
		Unused:        o.notes.Unused,
		OnReport:      o.publish,
		LoadLimiter:   o.loadLimiter,
		Changed:       o.notes.stateChanged,
		Interval:      s.Interval.D(),
		OrderLifetime: s.OrderLife.D(),
		UnloadGrace:   s.UnloadGrace.D(),
		Log:           o.log,
	})
	if err != nil {
		o.log.Warn("Orders stopped.", "error", err)
	}
	o.report.Store(nil)
	o.notes.publishFact(factEngines, (*gladenote.EngineReport)(nil))
}

func (o *Orders) holdsGrant(g gladelease.Grant) bool {
	l := o.lease.Load()
	if l == nil {
		return false
	}
	now, ok := l.Held()
	return ok && now.FencingNumber == g.FencingNumber
}

// liveEngines returns the engines of the failure domain that are not leaving, sorted by ID.
func (o *Orders) liveEngines() []gladeapi.BackendServer {
	all := slices.DeleteFunc(o.table.Backends(), func(b gladeapi.BackendServer) bool {
		return b.Kind != gladeapi.KindEngine || b.FailureDomain != o.notes.failureDomain || b.Leaving
	})
	slices.SortFunc(all, func(a, b gladeapi.BackendServer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

func (o *Orders) send(ctx context.Context, b gladeapi.BackendServer, order gladeorder.Order, number int64) error {
	err := o.client.Send(ctx, b, order, number)
	metrics.GetOrRegisterCounter("orders."+string(order.Kind), o.daemon.metrics).Inc(1)
	if err != nil {
		metrics.GetOrRegisterCounter("orders.failed", o.daemon.metrics).Inc(1)
	}
	return err
}

// publish stores the report of a round. It sends the report to other VMs only if the note number, the numbers of ready
// and wanted targets or the missing targets have changed.
func (o *Orders) publish(r gladenote.EngineReport) {
	old := o.report.Swap(&r)
	if old != nil && old.Number == r.Number && old.Ready == r.Ready && old.Wanted == r.Wanted && slices.Equal(old.Missing, r.Missing) {
		return
	}
	o.notes.publishFact(factEngines, &r)
}
