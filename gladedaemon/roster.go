package gladedaemon

import (
	"github.com/eelgrassglade/eelgrassglade/gladekernel"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladeroster"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// addRoster shares the platform's list of VMs among the VMs.
func (d *Daemon) addRoster() error {
	store, err := gladekernel.Lookup[*gladestore.Client](&d.kernel, ServiceStore)
	if err != nil {
		return err
	}
	peers, err := gladekernel.Lookup[*gladepeer.Node](&d.kernel, ServicePeers)
	if err != nil {
		return err
	}
	return d.kernel.Provide(ServiceRoster, gladeroster.New(gladeroster.Config{
		Peers:   peers,
		Read:    store.VMs,
		Log:     d.log.Named("roster"),
		Metrics: d.metrics,
	}))
}
