package gladedaemon

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladeengine"
	"github.com/eelgrassglade/eelgrassglade/gladelimit"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
	"github.com/eelgrassglade/eelgrassglade/gladestandby"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

const leaveCheckInterval = gladeconfig.Duration(250 * time.Millisecond)

func (d *Daemon) addEngines() error {
	engines, closeEngines := gladeengine.New(gladeengine.Config{Dial: d.dial})
	d.kernel.OnClose(closeEngines)
	return d.kernel.Provide(ServiceEngines, engines)
}

func (d *Daemon) addStreams() error {
	var (
		engines *gladeengine.Client
		table   *gladeroute.Table
		notes   *Notes
	)
	if err := errors.Join(
		lookup(d, ServiceEngines, &engines),
		lookup(d, ServiceRoutes, &table),
		lookup(d, ServiceNotes, &notes),
	); err != nil {
		return err
	}
	suspects, err := d.addSuspects(engines, table)
	if err != nil {
		return err
	}
	var (
		standby *gladestandby.Service
		budget  *gladelimit.Budget
	)
	if err := errors.Join(
		lookup(d, ServiceStandby, &standby),
		lookup(d, ServiceBudget, &budget),
	); err != nil {
		return err
	}
	runner := gladestream.NewRunner(gladestream.Config{
		Blocks: gladeroute.HashGenerationBlocks,
		Parts:  gladeroute.HashParts,
		Retry:  budget.TryRetry,
		OnStart: func(run *gladestream.Run) {
			standby.OnStart(run)
			notes.Track(run)
		},
		Choose: func(_ context.Context, n gladeapi.Requirements) (gladeapi.Choice, error) {
			return table.Choose(notes.State().Models[n.Target.Model].Pool, n)
		},
		Open: func(ctx context.Context, o gladestream.OpenRequest) (*gladestream.Source, error) {
			if err := render(ctx, engines, &o); err != nil {
				return nil, err
			}
			return d.openStream(ctx, engines, table, o)
		},
		Attach:        engines.Attach,
		Probe:         engines.Probe,
		Cancel:        engines.Cancel,
		Suspects:      suspects,
		Servers:       func() []gladeapi.BackendServer { return enginesOf(table) },
		Timeouts:      d.timeouts(),
		MaxAttempts:   d.settings.Generations.MaxAttempts,
		AttachTimeout: d.settings.Generations.JoinTimeout.D(),
		Metrics:       d.metrics,
		Log:           d.log.Named("stream"),
		Check:         d.check,
		Record:        d.record,
	})
	d.loop(leaveCheckInterval, func(context.Context) { d.moveFromLeaving(runner, table) })
	d.kernel.OnDump("streams", func() any { return runner.LiveAttempts() })
	return d.kernel.Provide(ServiceStreams, runner)
}

// openStream starts an attempt, and records the backoff that an engine asks for when it refuses one.
func (d *Daemon) openStream(
	ctx context.Context, engines *gladeengine.Client, table *gladeroute.Table, o gladestream.OpenRequest,
) (*gladestream.Source, error) {
	s, err := engines.Open(ctx, o)
	d.recordBackoff(table, o.Backend, err)
	return s, err
}

// recordBackoff keeps requests away from an engine that has refused one with a Retry-After.
func (d *Daemon) recordBackoff(table *gladeroute.Table, b gladeapi.BackendServer, refused error) {
	lasts, err := gladeengine.RetryAfter(refused)
	if err != nil {
		d.log.Named("stream").Info("Retry-After of an engine is ignored.", "engine", b.ID, "reason", err)
		return
	}
	if lasts > 0 {
		d.log.Named("stream").Info("Engine asks for a backoff.", "engine", b.ID, "forMs", lasts.Milliseconds())
		table.BackOff(b, lasts)
	}
}

func (d *Daemon) timeouts() gladestream.Timeouts {
	g := &d.settings.Generations
	return gladestream.Timeouts{
		TokenFloor:             g.StallFloor.D(),
		TokenCeiling:           g.StallTimeout.D(),
		DelayMultiple:          g.StallMultiple,
		FirstTokenFloor:        g.FirstTokenTimeout.D(),
		ResumedFirstTokenFloor: g.ResumedTokenTimeout.D(),
		FirstTokenCeiling:      g.FirstTokenCeiling.D(),
		PerPromptToken:         g.PerPromptToken.D(),
	}
}

// moveFromLeaving moves streams away from engines that leave within the configured lead time.
func (d *Daemon) moveFromLeaving(runner *gladestream.Runner, table *gladeroute.Table) {
	lead := d.settings.Generations.LeaveLead.D()
	for _, b := range table.Backends() {
		if !b.Leaving || b.LeaveBy.IsZero() || time.Until(b.LeaveBy) > lead {
			continue
		}
		if n := runner.MoveStreams(b.ID); n > 0 {
			d.log.Named("stream").Info("Streams moved from a leaving engine.", "engine", b.ID, "streams", n)
		}
	}
}

// render converts chat messages to prompt tokens with the engine's chat template.
func render(ctx context.Context, engines *gladeengine.Client, o *gladestream.OpenRequest) error {
	g := o.Generation
	if len(o.PromptTokens) > 0 || len(g.Messages) == 0 {
		return nil
	}
	ids, err := engines.Tokenize(ctx, o.Backend, gladeengine.TokenizeRequest{
		Model:    g.Target.String(),
		Messages: g.Messages,
	})
	o.PromptTokens = ids
	return err
}
