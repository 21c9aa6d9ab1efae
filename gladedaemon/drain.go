package gladedaemon

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladestandby"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

const (
	drainPoll  = 20 * time.Millisecond
	quietPolls = 5
)

// drain runs the steps of a planned stop, one after another.
func (d *Daemon) drain() {
	d.stopping.Store(true)
	d.log.Info("Draining.")
	for _, f := range d.drains {
		f(context.Background())
	}
	d.log.Info("Drained.")
}

// drainPeers waits for what other VMs still get from this one, then gives its journals away.
func (d *Daemon) drainPeers() error {
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
	d.drains = append(d.drains, func(context.Context) { waitQuiet(busy) }, standby.HandOver)
	return nil
}

// waitQuiet waits until nothing was busy for some polls, as a peer between two of its calls shows in none.
func waitQuiet(busy func() bool) {
	for quiet := 0; quiet < quietPolls; quiet++ {
		if busy() {
			quiet = 0
		}
		time.Sleep(drainPoll)
	}
}
