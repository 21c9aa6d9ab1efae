package gladedaemon

import (
	"context"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladekernel"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladestandby"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

const (
	drainPoll  = 20 * time.Millisecond
	quietPolls = 5
)

// addStandby replicates the runs of this VM and holds the journals of others.
func (d *Daemon) addStandby() error {
	peers, err := gladekernel.Lookup[*gladepeer.Node](&d.kernel, ServicePeers)
	if err != nil {
		return err
	}
	c := &d.settings.Standby
	service, closeService, err := gladestandby.New(gladestandby.Config{
		Peers:         peers,
		Continue:      d.continueRun,
		Copies:        c.Copies,
		ProtectTokens: c.ProtectTokens,
		ProtectAfter:  c.ProtectAfter.D(),
		BatchInterval: c.BatchInterval.D(),
		ReleaseAtOnce: c.ReleaseAtOnce,
		CallTimeout:   c.CallTimeout.D(),
		CatchUp:       c.CatchUp.D(),
		Retention:     c.Retention.D(),
		MaxHeldBytes:  c.MaxHeldBytes,
		Log:           d.log.Named("standby"),
		Check:         d.check,
		Metrics:       d.metrics,
		Record:        d.record,
	})
	if err != nil {
		return err
	}
	d.kernel.OnClose(closeService)
	d.kernel.OnDump("standby", func() any { return service.State() })
	d.drains = append(d.drains, service.HandOver)
	return d.kernel.Provide(ServiceStandby, service)
}

// continueRun hands a journal that was taken over to the runner, which is added later.
func (d *Daemon) continueRun(j *gladestream.Journal, p gladestream.Placement) *gladestream.Run {
	runner, err := gladekernel.Lookup[*gladestream.Runner](&d.kernel, ServiceStreams)
	if err != nil {
		j.Fail(err)
		done := make(chan struct{})
		close(done)
		return &gladestream.Run{Journal: j, Stop: func() {}, Done: done}
	}
	return runner.Continue(j, p)
}

// drainRuns waits for the generations that callers read at other VMs.
func (d *Daemon) drainRuns() error {
	var service *gladestandby.Service
	var runner *gladestream.Runner
	if err := lookup(d, ServiceStandby, &service); err != nil {
		return err
	}
	if err := lookup(d, ServiceStreams, &runner); err != nil {
		return err
	}
	d.drains = append(d.drains, func(context.Context) {
		// A follower between two of its calls shows in none; it comes back within a call's time.
		for quiet := 0; quiet < quietPolls; quiet++ {
			if runner.Running() > 0 || service.Followers() > 0 {
				quiet = 0
			}
			time.Sleep(drainPoll)
		}
	})
	return nil
}

// handOverAgain gives away the journals that arrived while the VM's last streams ran to their ends.
func (d *Daemon) handOverAgain() error {
	service, err := gladekernel.Lookup[*gladestandby.Service](&d.kernel, ServiceStandby)
	if err != nil {
		return err
	}
	d.drains = append(d.drains, func(ctx context.Context) { service.HandOver(ctx) })
	return nil
}

// admitter is the entry's seam for admission.
type admitter func(context.Context, *gladeapi.Generation) (func(gladeapi.Usage), error)

// admitOrWithdraw lets other VMs know at once that a refused generation will not begin here.
func admitOrWithdraw(admit admitter, s *gladestandby.Service) admitter {
	return func(ctx context.Context, g *gladeapi.Generation) (func(gladeapi.Usage), error) {
		release, err := admit(ctx, g)
		if err != nil {
			s.Withdraw(g)
		}
		return release, err
	}
}
