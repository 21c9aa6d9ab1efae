package gladedaemon

import (
	"errors"
	"sync/atomic"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladeroster"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// addRoster adds the client for the platform's list of VMs, which the VMs share with each other. The daemon drains when
// the list shows this VM as leaving.
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
			if own.isLeaving(l.Entries) {
				d.log.Info("The platform lists this VM as leaving.")
				d.leave()
			}
		},
	}))
}

// ownEntry tracks this VM's entry in the platform's list.
type ownEntry struct {
	gladeapi.EntryVM
	// seenStaying is set once the list has shown the VM as not leaving.
	seenStaying atomic.Bool
}

// isLeaving reports whether the list shows this incarnation of the VM as leaving.
//
// An entry without an incarnation may belong to an earlier one, so it counts only after the list has shown the VM as
// not leaving.
func (o *ownEntry) isLeaving(entries []gladeapi.EntryVM) bool {
	for _, e := range entries {
		if e.Name != o.Name {
			continue
		}
		if e.Leaving && (e.Incarnation == o.Incarnation || e.Incarnation == "" && o.seenStaying.Load()) {
			return true
		}
		if !e.Leaving {
			o.seenStaying.Store(true)
		}
	}
	return false
}
