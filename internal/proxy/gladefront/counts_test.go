package gladefront

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/gladestore"
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

// Guards against a restarted VM that reads everything again because one call to the store failed, and against a release that is taken
// for the newest without having been read.
func TestStartRepeatsOnlyWhatFailed(t *testing.T) {
	for name, test := range map[string]struct {
		// failures is the number of calls of the second step that fail.
		failures int
		calls    []int
		ok       bool
	}{
		"none fails":  {0, []int{1, 1, 1}, true},
		"one fails":   {1, []int{1, 2, 1}, true},
		"all of them": {9, []int{1, 3, 0}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			calls := make([]int, 3)
			step := func(n, failures int) func(context.Context) error {
				return func(context.Context) error {
					if calls[n]++; calls[n] <= failures {
						return gladestore.ErrUnavailable
					}
					return nil
				}
			}
			steps := []func(context.Context) error{step(0, 0), step(1, test.failures), step(2, 0)}
			err := readSteps(c.Context(), startReads, time.Millisecond, steps, func(error) {})
			c.Assert(err == nil, qt.Equals, test.ok)
			c.Assert(calls, qt.DeepEquals, test.calls)
		})
	}
}
