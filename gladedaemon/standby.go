package gladedaemon

import (
	"context"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladekernel"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladestandby"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// addStandby adds the service that replicates this VM's generations to other VMs and holds the journals of theirs.
func (d *Daemon) addStandby() error {
	var peers *gladepeer.Node
	if err := lookup(d, ServicePeers, &peers); err != nil {
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
	d.drainSteps = append(d.drainSteps, service.HandOver)
	return d.kernel.Provide(ServiceStandby, service)
}

// continueRun passes a journal that was taken over from another VM to the runner. It looks the runner up at each call,
// because the runner is added after the standby service.
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

// admitter admits a generation and returns the function that releases it, as gladeentry.Config.Admit does.
type admitter func(context.Context, *gladeapi.Generation) (func(gladeapi.Usage), error)

// admitOrWithdraw withdraws a generation that is refused, so that other VMs learn at once that it will not start here.
func admitOrWithdraw(admit admitter, s *gladestandby.Service) admitter {
	return func(ctx context.Context, g *gladeapi.Generation) (func(gladeapi.Usage), error) {
		release, err := admit(ctx, g)
		if err != nil {
			s.CancelPending(g)
		}
		return release, err
	}
}
