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

// instruments holds the metrics of a Runner.
type instruments struct {
	attempts   metrics.Counter
	resumes    metrics.Counter
	attached   metrics.Counter
	stalls     metrics.Counter
	moves      metrics.Counter
	deaths     metrics.Counter
	poison     metrics.Counter
	recomputed metrics.Counter
	// resume is the time in microseconds from the detection of an engine loss to the next token.
	resume metrics.Histogram
	// gap is the time in microseconds from the last token before an engine loss to the next token.
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

// droppedErrors maps errors of events that are dropped before they reach a caller to their metric names.
var droppedErrors = []struct {
	err  error
	name string
}{
	{ErrForeignEvent, "foreign"},
	{ErrStaleAttempt, "stale"},
	{ErrTokenGap, "gap"},
	{ErrTokenRepeated, "repeat"},
	{ErrTooManyTokens, "excess"},
}

// countDropped counts a dropped event and reports whether err stands for one.
func (m *instruments) countDropped(err error) bool {
	for _, k := range droppedErrors {
		if errors.Is(err, k.err) {
			metrics.GetOrRegisterCounter("streams.dropped."+k.name, m.registry).Inc(1)
			return true
		}
	}
	return false
}

func microsSince(from time.Time) int64 {
	return time.Since(from).Microseconds()
}
