package gladefront

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladeview"
)

const (
	// startReads is the number of times that a restarted VM tries to read the store once.
	startReads = 3
	// startReadPause is the pause between them.
	startReadPause = 150 * time.Millisecond
)

// readAtStart reads the roll-outs and the servers, and beside them the release, once, so that a restarted VM serves at once, without following
// them: when many VMs restart together, each would repeat the calls of the reader of its failure domain until it has received that one for
// a while.  It reads nothing where the whole system starts for the first time.  The channel is closed once the release is read or was tried
// often enough, which may take seconds if it is large.
func (f *Front) readAtStart(
	ctx context.Context, tasks *sync.WaitGroup, list func(context.Context) ([]gladeview.Item[entry[gladefleet.Server]], int64, error),
) <-chan struct{} {
	released := make(chan struct{})
	if f.config.Settings.FirstStart {
		close(released)
		return released
	}
	ctx = withStoreCause(ctx, causeStart)
	onError := func(err error) { f.log.Warn("Cannot read the store at the start.", "reason", err) }
	tasks.Go(func() {
		_ = readSteps(ctx, startReads, startReadPause, []func(context.Context) error{
			f.readRolloutsAtStart,
			func(ctx context.Context) error {
				items, revision, err := list(ctx)
				if err == nil {
					f.onServers(items, revision)
				}
				return err
			},
		}, onError) // each error is logged, and the reader of the failure domain lists too
	})
	tasks.Go(func() {
		defer close(released)
		if err := readSteps(ctx, startReads, startReadPause, []func(context.Context) error{f.readRelease}, onError); err == nil {
			f.confirmRelease()
		}
	})
	return released
}

// readSteps takes steps in order, up to a number of attempts in all, and returns the error of the last one. A step that has succeeded is
// not repeated.
func readSteps(ctx context.Context, attempts int, pause time.Duration, steps []func(context.Context) error, onError func(error)) error {
	var err error
	for range attempts {
		for err = nil; err == nil && len(steps) > 0; {
			if err = steps[0](ctx); err == nil {
				steps = steps[1:]
			}
		}
		if err == nil {
			return nil
		}
		onError(err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
	return err
}

// readRolloutsAtStart reads the roll-outs, if there are any on this platform. They come before the servers: a VM that knows servers
// of a version and not the order for it would hold these.
func (f *Front) readRolloutsAtStart(ctx context.Context) error {
	if f.rollouts == nil {
		return nil
	}
	return f.readRollouts(ctx)
}
