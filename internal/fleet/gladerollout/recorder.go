package gladerollout

import (
	"sync"
	"time"
)

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
	// Abandoned is the end by the caller or the time limit. It is no failure, but the time waited for the first event until
	// then counts: a slow version would otherwise leave no trace where callers do not wait for it.
	Abandoned
)

// maxRuns bounds the runs of a service that a recorder holds. It is 24 s of 170 requests per second at one VM.
const maxRuns = 4096

// Recorder counts what this VM sees. Its methods are safe for concurrent use.
type Recorder struct {
	vm    string
	start int64

	mu       sync.Mutex
	services map[string][]*Run // in the order of their beginning
}

// Run is one request at a server. A nil Run records nothing.
type Run struct {
	recorder *Recorder
	version  string
	route    string
	server   string
	began    time.Time

	firstEvent time.Time
	ended      time.Time
	outcome    Outcome
	events     int
}

// NewRecorder returns an empty recorder. The start distinguishes the incarnations of a VM.
func NewRecorder(vm string, start int64) *Recorder {
	return &Recorder{vm: vm, start: start, services: map[string][]*Run{}}
}

// Begin records that a request is being sent to a server.
func (r *Recorder) Begin(service, version, route, server string, now time.Time) *Run {
	u := &Run{recorder: r, version: version, route: route, server: server, began: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services[service] = append(r.recent(service, now), u)
	return u
}

// recent drops the runs of a service that are older than the window or exceed the bound, and returns the others.
func (r *Recorder) recent(service string, now time.Time) []*Run {
	runs := r.services[service]
	n := max(0, len(runs)-maxRuns+1)
	for n < len(runs) && now.Sub(runs[n].began) >= window {
		n++
	}
	clear(runs[:n])
	r.services[service] = runs[n:]
	return runs[n:]
}

// FirstEvent records the first event of a stream.
func (u *Run) FirstEvent(now time.Time) {
	if u == nil {
		return
	}
	u.recorder.mu.Lock()
	defer u.recorder.mu.Unlock()
	if u.firstEvent.IsZero() && u.ended.IsZero() {
		u.firstEvent = now
	}
}

// Progress records how many events of the stream have arrived. Without it, the pace of a run is known at its end only.
func (u *Run) Progress(events int) {
	if u == nil {
		return
	}
	u.recorder.mu.Lock()
	defer u.recorder.mu.Unlock()
	if u.ended.IsZero() {
		u.events = events
	}
}

// End records the outcome and the number of events. Calls after the first one have no effect.
func (u *Run) End(o Outcome, events int, now time.Time) {
	if u == nil {
		return
	}
	u.recorder.mu.Lock()
	defer u.recorder.mu.Unlock()
	if u.ended.IsZero() {
		u.outcome, u.events, u.ended = o, events, now
	}
}

// Evidence returns the report on a service, with the ages of runs in progress.
func (r *Recorder) Evidence(service string, now time.Time) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Evidence{VM: r.vm, Start: r.start, Service: service}
	for _, u := range r.recent(service, now) {
		e.add(u, now)
	}
	return e
}

// latency returns the time to the first event, or to the answer of a plain request, or the time waited for it so far.
// It returns false if the run ended without an answer, unless it was abandoned.
func (u *Run) latency(now time.Time) (d time.Duration, answered, ok bool) {
	switch {
	case !u.firstEvent.IsZero():
		return u.firstEvent.Sub(u.began), true, true
	case u.ended.IsZero():
		return now.Sub(u.began), false, true
	case u.outcome == Succeeded:
		return u.ended.Sub(u.began), true, true
	case u.outcome == Abandoned:
		return u.ended.Sub(u.began), false, true
	}
	return 0, false, false
}

// gap returns the mean gap between events, and false if too few events are known.
func (u *Run) gap(now time.Time) (time.Duration, bool) {
	switch {
	case u.firstEvent.IsZero() || u.events < minGapEvents:
		return 0, false
	case !u.ended.IsZero():
		return u.ended.Sub(u.firstEvent) / time.Duration(u.events-1), true
	}
	return now.Sub(u.firstEvent) / time.Duration(u.events), true
}
