package gladedaemon

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladestandby"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

const (
	idlePollInterval  = 20 * time.Millisecond
	requiredIdlePolls = 5
)

// drain runs the steps of a planned stop in order.
func (d *Daemon) drain() {
	d.stopping.Store(true)
	d.log.Info("Draining.")
	for _, f := range d.drainSteps {
		f(context.Background())
	}
	d.log.Info("Drained.")
}

// addPeerDrain adds two steps to the drain. The first waits until this VM is idle: no running generation, no peer
// that follows one, no call forwarded by another VM. The second hands this VM's journals over to other VMs.
func (d *Daemon) addPeerDrain() error {
	var (
		calls   *Calls
		runner  *gladestream.Runner
		standby *gladestandby.Service
	)
	if err := errors.Join(
		lookup(d, ServiceCalls, &calls),
		lookup(d, ServiceStreams, &runner),
		lookup(d, ServiceStandby, &standby),
	); err != nil {
		return err
	}
	busy := func() bool {
		return runner.Running() > 0 || standby.Followers() > 0 || calls.forwarded.Load() > 0
	}
	d.drainSteps = append(d.drainSteps, func(context.Context) { waitIdle(busy) }, standby.HandOver)
	return nil
}

// waitIdle waits until busy has returned false in several consecutive polls. One poll is not enough, because it misses
// a peer that is between two of its calls.
func waitIdle(busy func() bool) {
	for idle := 0; idle < requiredIdlePolls; idle++ {
		if busy() {
			idle = 0
		}
		time.Sleep(idlePollInterval)
	}
}
