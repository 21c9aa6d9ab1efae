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

// readAtStart reads the servers and the release once, so that a restarted VM serves at once, without following them: when many VMs
// restart together, each would repeat the calls of the reader of its failure domain until it has received that one for a while.
func (f *Front) readAtStart(ctx context.Context, list func(context.Context) ([]gladeview.Item[entry[gladefleet.Server]], int64, error)) {
	for range startReads {
		items, revision, err := list(ctx)
		if err == nil {
			f.onServers(items, revision)
			err = f.readRelease(ctx)
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
