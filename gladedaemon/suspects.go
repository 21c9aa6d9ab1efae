package gladedaemon

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladeengine"
	"github.com/eelgrassglade/eelgrassglade/gladekernel"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
)

const (
	// factPoison is the name of the fact in which a VM publishes the requests that it refuses.
	factPoison          = "poison"
	maxPublishedPoison  = 32
	poisonShareInterval = gladeconfig.Duration(time.Second)
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
	d.loop(poisonShareInterval, func(context.Context) {
		if err := sharePoison(node, tracker); err != nil {
			log.Warn("Refused requests not shared.", "error", err)
		}
	})
	d.kernel.OnDump("poison", func() any { return tracker.Refused() })
	return tracker, nil
}

// sharePoison imports the requests that peers refuse and publishes those that this VM refuses.
func sharePoison(node *gladepeer.Node, tracker *gladesuspect.Tracker) error {
	undecoded := importPoison(node.Members(), tracker)
	refused := tracker.Refused()
	if len(refused) == 0 {
		return undecoded
	}
	return errors.Join(undecoded, node.Publish(factPoison, refused[max(0, len(refused)-maxPublishedPoison):]))
}

// importPoison imports the requests that peers refuse.  It skips the facts that cannot be decoded, and returns their
// errors.
func importPoison(members []gladepeer.Member, tracker *gladesuspect.Tracker) error {
	var undecoded error
	for _, m := range members {
		raw, ok := m.Facts[factPoison]
		if !ok {
			continue
		}
		var refused []gladesuspect.Refused
		if err := json.Unmarshal(raw, &refused); err != nil {
			undecoded = errors.Join(undecoded, eris.Wrapf(err, "refused requests of %s", m.Name))
			continue
		}
		tracker.ImportRefused(refused)
	}
	return undecoded
}

func enginesOf(table *gladeroute.Table) []gladeapi.BackendServer {
	return slices.DeleteFunc(table.Backends(), func(b gladeapi.BackendServer) bool { return b.Kind != gladeapi.KindEngine })
}
