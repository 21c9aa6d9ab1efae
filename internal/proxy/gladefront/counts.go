package gladefront

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

const (
	// connectionMetric is the prefix of the counters of connections opened to backend servers, by cause.
	connectionMetric = "connections."
	// storeMetric is the prefix of the counters of calls to the store, by verb, kind and cause.
	storeMetric = "store.calls."
)

// storeCause is why the store is called.
type storeCause string

const (
	// causeFollow marks the calls of the reader of a failure domain.
	causeFollow storeCause = "follow"
	// causeStart marks the reads of a restarted VM.
	causeStart storeCause = "start"
	// causeRelay marks reads of a release that no other VM could give.
	causeRelay storeCause = "relay"
	// causeVersion marks reads of the roll-outs before servers of a new version are published.
	causeVersion storeCause = "newVersion"
	// causeRollout marks the reads and writes of a VM that decides on a roll-out.
	causeRollout storeCause = "rollout"
)

type storeCauseKey struct{}

func withStoreCause(ctx context.Context, c storeCause) context.Context {
	return context.WithValue(ctx, storeCauseKey{}, c)
}

// storeCauseOf returns the cause that withStoreCause has set, causeFollow without one.
func storeCauseOf(ctx context.Context) storeCause {
	if c, ok := ctx.Value(storeCauseKey{}).(storeCause); ok {
		return c
	}
	return causeFollow
}

func (f *Front) countStoreCall(ctx context.Context, verb, kind string) {
	f.countCall(storeMetric + verb + "." + kind + "." + string(storeCauseOf(ctx)))
}

func (f *Front) countConnection(c gladesend.Cause) { f.countCall(connectionMetric + string(c)) }

// logCounts logs the connections opened to servers and the calls to the store, by cause.
func (f *Front) logCounts() { f.log.Info("Connections and store calls.", countFields(f.metrics)...) }

// countFields returns the log fields of the counters of connections and store calls, and their totals.
func countFields(r metrics.Registry) []any {
	counts := map[string]int64{}
	connections, calls := int64(0), int64(0)
	for _, c := range gladesend.Causes() {
		name := connectionMetric + string(c)
		counts[name] = metrics.GetOrRegisterCounter(name, r).Count()
		connections += counts[name]
	}
	r.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok && strings.HasPrefix(name, storeMetric) {
			counts[name] = c.Count()
			calls += counts[name]
		}
	})
	fields := []any{"connections", connections, "storeCalls", calls}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fields = append(fields, name, counts[name])
	}
	return fields
}
