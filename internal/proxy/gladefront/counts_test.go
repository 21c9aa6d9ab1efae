package gladefront

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

// Guards against calls that are missing in the line at the end of the process, or listed under the wrong cause.
func TestCountFields(t *testing.T) {
	c := qt.New(t)
	f := &Front{metrics: metrics.NewRegistry()}
	f.countConnection(gladesend.CauseProbe)
	f.countConnection(gladesend.CauseProbe)
	f.countCall("connections.closed.idle") // of callers, which are no connections to servers
	f.countStoreCall(context.Background(), "watch", "worker")
	f.countStoreCall(withStoreCause(context.Background(), causeStart), "list", "worker")
	c.Assert(countFields(f.metrics), qt.DeepEquals, []any{
		"connections", int64(2), "storeCalls", int64(2), "connections.copyCall", int64(0), "connections.engineCall", int64(0),
		"connections.healthCheck", int64(0), "connections.probe", int64(2), "connections.request", int64(0), "connections.retry", int64(0),
		"store.calls.list.worker.start", int64(1), "store.calls.watch.worker.follow", int64(1),
	})
}
