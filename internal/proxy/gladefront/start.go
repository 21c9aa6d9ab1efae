package gladefront

import (
	"context"
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

// readAtStart reads the roll-outs, the servers and the release once, so that a restarted VM serves at once, without following them:
// when many VMs restart together, each would repeat the calls of the reader of its failure domain until it has received that one for
// a while.
func (f *Front) readAtStart(ctx context.Context, list func(context.Context) ([]gladeview.Item[entry[gladefleet.Server]], int64, error)) {
	ctx = withStoreCause(ctx, causeStart)
	for range startReads {
		err := f.readRolloutsAtStart(ctx)
		if err == nil {
			err = f.readServersAndRelease(ctx, list)
		}
		if err == nil {
			f.confirmRelease()
			return
		}
		f.log.Warn("Cannot read the store at the start.", "reason", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(startReadPause):
		}
	}
}

// readRolloutsAtStart reads the roll-outs, if there are any on this platform. They come before the servers: a VM that knows servers
// of a version and not the order for it would hold these.
func (f *Front) readRolloutsAtStart(ctx context.Context) error {
	if f.rollouts == nil {
		return nil
	}
	return f.readRollouts(ctx)
}

func (f *Front) readServersAndRelease(
	ctx context.Context, list func(context.Context) ([]gladeview.Item[entry[gladefleet.Server]], int64, error),
) error {
	items, revision, err := list(ctx)
	if err != nil {
		return err
	}
	f.onServers(items, revision)
	return f.readRelease(ctx)
}
