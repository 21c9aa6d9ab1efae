package gladedaemon

import (
	"errors"
	"sync/atomic"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladeroster"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// addRoster shares the platform's list of VMs among the VMs.
func (d *Daemon) addRoster() error {
	var (
		store *gladestore.Client
		peers *gladepeer.Node
	)
	if err := errors.Join(
		lookup(d, ServiceStore, &store),
		lookup(d, ServicePeers, &peers),
	); err != nil {
		return err
	}
	own := &ownEntry{EntryVM: peers.Self().EntryVM}
	return d.kernel.Provide(ServiceRoster, gladeroster.New(gladeroster.Config{
		Peers:   peers,
		Read:    store.VMs,
		Log:     d.log.Named("roster"),
		Metrics: d.metrics,
		OnChange: func(l gladeapi.VMList) {
			if own.leaves(l.Entries) {
				d.log.Info("The platform lists this VM as leaving.")
				d.leave()
			}
		},
	}))
}

// ownEntry follows this VM's entry in the platform's list.
type ownEntry struct {
	gladeapi.EntryVM
	// stayed is set once the list has shown the VM as staying.
	stayed atomic.Bool
}

// leaves reports whether the list says that this very start of the VM is leaving.
//
// An entry without incarnation may be that of a former start, unless it was seen as staying before.
func (o *ownEntry) leaves(entries []gladeapi.EntryVM) bool {
	for _, e := range entries {
		if e.Name != o.Name {
			continue
		}
		if e.Leaving && (e.Incarnation == o.Incarnation || e.Incarnation == "" && o.stayed.Load()) {
			return true
		}
		if !e.Leaving {
			o.stayed.Store(true)
		}
	}
	return false
}
