package gladestream

import (
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// instruments are the Runner's metrics.
type instruments struct {
	attempts   metrics.Counter
	resumes    metrics.Counter
	attached   metrics.Counter
	stalls     metrics.Counter
	moves      metrics.Counter
	deaths     metrics.Counter
	poison     metrics.Counter
	recomputed metrics.Counter
	// resume is the time from the loss of an engine, as it was noticed, to the next token.
	resume metrics.Histogram
	// gap is the time from the last token before a loss to the next one.
	gap      metrics.Histogram
	registry metrics.Registry
}

func newInstruments(registry metrics.Registry) *instruments {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("streams."+name, registry)
	}
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("streams."+name, registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &instruments{
		attempts:   counter("attempts"),
		resumes:    counter("resumes"),
		attached:   counter("attached"),
		stalls:     counter("stalls"),
		moves:      counter("moves"),
		deaths:     counter("deaths"),
		poison:     counter("poison"),
		recomputed: counter("recomputedTokens"),
		resume:     histogram("resumeMicros"),
		gap:        histogram("gapMicros"),
		registry:   registry,
	}
}

// droppedKinds are the errors of events that never reach a caller.
var droppedKinds = []struct {
	err  error
	name string
}{
	{ErrForeign, "foreign"},
	{ErrStaleAttempt, "stale"},
	{ErrGap, "gap"},
	{ErrRepeat, "repeat"},
	{ErrExcess, "excess"},
}

// dropped counts an event that was not taken and reports whether the error is one.
func (m *instruments) dropped(err error) bool {
	for _, k := range droppedKinds {
		if errors.Is(err, k.err) {
			metrics.GetOrRegisterCounter("streams.dropped."+k.name, m.registry).Inc(1)
			return true
		}
	}
	return false
}

func micros(from time.Time) int64 {
	return time.Since(from).Microseconds()
}
