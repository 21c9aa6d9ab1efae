package gladedaemon

import (
	"context"
	"errors"
	"slices"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladeengine"
	"github.com/eelgrassglade/eelgrassglade/gladekernel"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerefusal"
)

func (d *Daemon) addSuspects(engines *gladeengine.Client, table *gladeroute.Table) (*gladesuspect.Tracker, error) {
	node, err := gladekernel.Lookup[*gladepeer.Node](&d.kernel, ServicePeers)
	if err != nil {
		return nil, err
	}
	log := d.log.Named("suspect")
	tracker := gladesuspect.New(gladesuspect.Config{
		MaxDeaths: d.settings.Generations.PoisonKills,
		Progress:  d.settings.Generations.PoisonProgress,
		Retention: d.settings.Generations.PoisonMemory.D(),
		Servers:   func() []gladeapi.BackendServer { return enginesOf(table) },
		Down: func(ctx context.Context, b gladeapi.BackendServer) bool {
			err := engines.Probe(ctx, b)
			return errors.Is(err, gladestream.ErrNotOpened) || ctx.Err() != nil
		},
		Log: log,
	})
	d.loop(gladeconfig.Duration(gladerefusal.Interval), func(context.Context) {
		if err := errors.Join(gladerefusal.Import(node.Members(), tracker), gladerefusal.Publish(node, tracker)); err != nil {
			log.Warn("Refused requests not shared.", "error", err)
		}
	})
	d.kernel.OnDump("poison", func() any { return tracker.Refused() })
	d.kernel.OnDump("poisonParts", func() any { return tracker.Held() })
	return tracker, nil
}

func enginesOf(table *gladeroute.Table) []gladeapi.BackendServer {
	return slices.DeleteFunc(table.Backends(), func(b gladeapi.BackendServer) bool { return b.Kind != gladeapi.KindEngine })
}
