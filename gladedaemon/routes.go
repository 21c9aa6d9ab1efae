package gladedaemon

import (
	"context"

	"github.com/eelgrassglade/eelgrassglade/gladekernel"
	"github.com/eelgrassglade/eelgrassglade/gladeroster"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
)

func (d *Daemon) addRoutes() error {
	roster, err := gladekernel.Lookup[*gladeroster.Roster](&d.kernel, ServiceRoster)
	if err != nil {
		return err
	}
	log := d.log.Named("routes")
	table := &gladeroute.Table{FailureDomain: d.settings.VM.FailureDomain}
	d.loop(d.settings.Platform.VMInterval, func(ctx context.Context) {
		list, err := roster.VMs(ctx)
		if err != nil {
			log.Warn("VM list not read.", "error", err)
			return
		}
		if len(list.Backends) > 0 {
			table.Set(list.Backends)
		}
	})
	d.kernel.OnDump("routes", func() any { return table.Backends() })
	return d.kernel.Provide(ServiceRoutes, table)
}
