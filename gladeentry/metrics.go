package gladeentry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meters holds the metrics of requests and responses.
type meters struct {
	registry    metrics.Registry
	generations metrics.Counter
	joined      metrics.Counter
	tokens      metrics.Counter
	firstToken  metrics.Histogram
}

func newMeters(r metrics.Registry) *meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	sample := metrics.NewExpDecaySample(sampleSize, sampleAlpha)
	return &meters{
		registry:    r,
		generations: metrics.GetOrRegisterCounter("entry.generations", r),
		joined:      metrics.GetOrRegisterCounter("entry.joined", r),
		tokens:      metrics.GetOrRegisterCounter("entry.tokens", r),
		firstToken:  metrics.GetOrRegisterHistogram("entry.firstTokenMicros", r, sample),
	}
}

func (m *meters) countRefusal(c gladeapi.Code) {
	metrics.GetOrRegisterCounter("entry.refused."+string(c), m.registry).Inc(1)
}

// countDelivered counts the pieces that were sent to one caller.
func (m *meters) countDelivered(q *request, pieces []piece) {
	if len(pieces) == 0 {
		return
	}
	m.tokens.Inc(int64(len(pieces)))
	if pieces[0].first {
		m.firstToken.Update(time.Since(q.received).Microseconds())
	}
}
