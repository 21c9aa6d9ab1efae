package gladedaemon

import (
	"context"

	"github.com/eelgrassglade/eelgrassglade/gladekernel"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

func (d *Daemon) addRoutes() error {
	store, err := gladekernel.Lookup[*gladestore.Client](&d.kernel, ServiceStore)
	if err != nil {
		return err
	}
	peers, err := gladekernel.Lookup[*gladepeer.Node](&d.kernel, ServicePeers)
	if err != nil {
		return err
	}
	log := d.log.Named("routes")
	table := &gladeroute.Table{FailureDomain: d.settings.VM.FailureDomain}
	d.loop(d.settings.Platform.VMInterval, func(ctx context.Context) {
		list, err := store.VMs(ctx)
		if err != nil {
			log.Warn("VM list not read.", "error", err)
			return
		}
		peers.Learn(list.Entries)
		if len(list.Backends) > 0 {
			table.Set(list.Backends)
		}
	})
	d.kernel.OnDump("routes", func() any { return table.Backends() })
	return d.kernel.Provide(ServiceRoutes, table)
}
