package gladerollout

import "time"

// Outcome is how a request ended, as far as the server's version is concerned.
type Outcome int

// The outcomes of a request.
const (
	// Succeeded is a whole answer.
	Succeeded Outcome = iota
	// Failed is the server's own 5xx, or a broken or unusable answer of a server that is alive.
	Failed
	// Inconclusive says nothing about the version: a crash, a departure, a refusal, or the caller's own mistake.
	Inconclusive
)

// Recorder counts what this VM sees. Its methods are safe for concurrent use.
type Recorder struct {
	vm    string
	start int64
}

// Run is one request at a server. A nil Run records nothing.
type Run struct{}

// NewRecorder returns an empty recorder. The start distinguishes the incarnations of a VM.
func NewRecorder(vm string, start int64) *Recorder {
	return &Recorder{vm: vm, start: start}
}

// Begin records that a request is being sent to a server.
func (r *Recorder) Begin(service, version, route, server string, now time.Time) *Run { return nil }

// FirstEvent records the first event of a stream.
func (u *Run) FirstEvent(now time.Time) {}

// Progress records how many events of the stream have arrived. Without it, the pace of a run is known at its end only.
func (u *Run) Progress(events int) {}

// End records the outcome and the number of events. Calls after the first one have no effect.
func (u *Run) End(o Outcome, events int, now time.Time) {}

// Evidence returns the report on a service, with the ages of runs in progress.
func (r *Recorder) Evidence(service string, now time.Time) Evidence {
	return Evidence{VM: r.vm, Start: r.start, Service: service}
}
