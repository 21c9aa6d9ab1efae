package gladeentry

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// registry holds the running and recently ended generations by organisation and idempotency key.
type registry struct {
	// grace is the time for which a run with a key continues without a reader.
	grace time.Duration
	// retention is the time for which a run with a key is kept after its end.
	retention time.Duration

	mu   sync.Mutex
	runs map[runKey]*sharedRun
}

type runKey struct {
	organisation string
	key          string
}

// sharedRun is a generation and the number of its readers. Callers with the same key share it.
type sharedRun struct {
	key      runKey
	bodyHash uint64
	// started is closed when run or err is set.
	started chan struct{}
	run     *gladestream.Run
	err     error

	readers   int
	stopTimer *time.Timer
}

// acquire adds a reader to the run of a key. If there is none, it starts one with start.
func (g *registry) acquire(ctx context.Context, k runKey, hash uint64, start func() (*gladestream.Run, error)) (*sharedRun, error) {
	e, created := g.findOrAdd(k, hash)
	if created {
		g.startRun(e, start)
	}
	select {
	case <-e.started:
	case <-ctx.Done():
		go g.releaseOnceStarted(e)
		return nil, ctx.Err()
	}
	if e.err != nil {
		return nil, e.err
	}
	return e, nil
}

// startRun starts a new run and sets its result or error.
func (g *registry) startRun(e *sharedRun, start func() (*gladestream.Run, error)) {
	defer close(e.started)
	e.run, e.err = start()
	if e.err != nil {
		g.remove(e)
		return
	}
	if e.key.key != "" {
		go g.removeAfterRetention(e)
	}
}

// releaseOnceStarted removes a reader that disconnected before the run was started.
func (g *registry) releaseOnceStarted(e *sharedRun) {
	<-e.started
	if e.err == nil {
		g.release(e)
	}
}

func (g *registry) findOrAdd(k runKey, hash uint64) (*sharedRun, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.runs[k]; k.key != "" && e != nil {
		e.readers++
		if e.stopTimer != nil {
			e.stopTimer.Stop()
			e.stopTimer = nil
		}
		return e, false
	}
	e := &sharedRun{key: k, bodyHash: hash, started: make(chan struct{}), readers: 1}
	if k.key == "" {
		return e, true
	}
	if g.runs == nil {
		g.runs = map[runKey]*sharedRun{}
	}
	g.runs[k] = e
	return e, true
}

// release removes one reader. A run without readers stops: at once if it has no key, otherwise after the grace time.
func (g *registry) release(e *sharedRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.readers--
	if e.readers > 0 {
		return
	}
	if e.key.key == "" {
		e.run.Stop()
		return
	}
	e.stopTimer = time.AfterFunc(g.grace, func() {
		g.remove(e)
		e.run.Stop()
	})
}

func (g *registry) remove(e *sharedRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs[e.key] == e {
		delete(g.runs, e.key)
	}
}

// removeAfterRetention removes a run from the registry when the retention time after its end has passed.
func (g *registry) removeAfterRetention(e *sharedRun) {
	<-e.run.Done
	time.AfterFunc(g.retention, func() { g.remove(e) })
}

// State is the part of a state dump that describes a Server.
type State struct {
	// Keyed is the number of generations that can be requested again by their key.
	Keyed int `json:"keyed"`
	// Unread is the number of generations with a key and without a reader.
	Unread int `json:"unread"`
}

func (g *registry) state() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := State{Keyed: len(g.runs)}
	for _, e := range g.runs {
		if e.readers == 0 {
			s.Unread++
		}
	}
	return s
}
