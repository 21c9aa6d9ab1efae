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

// meters counts what callers meet.
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

func (m *meters) refused(c gladeapi.Code) {
	metrics.GetOrRegisterCounter("entry.refused."+string(c), m.registry).Inc(1)
}

// delivered counts the pieces that one caller was sent.
func (m *meters) delivered(q *request, pieces []piece) {
	if len(pieces) == 0 {
		return
	}
	m.tokens.Inc(int64(len(pieces)))
	if pieces[0].first {
		m.firstToken.Update(time.Since(q.received).Microseconds())
	}
}
