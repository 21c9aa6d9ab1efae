package gladeentry

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// registry finds the running and recently ended generations by organisation and key.
type registry struct {
	// grace is how long a run with a key goes on without a reader, retention how long it is kept after its end.
	grace     time.Duration
	retention time.Duration

	mu   sync.Mutex
	runs map[runKey]*entry
}

type runKey struct {
	organisation string
	key          string
}

// entry is one generation and the callers that read it.
type entry struct {
	key      runKey
	bodyHash uint64
	// started is closed once run or err is set.
	started chan struct{}
	run     *gladestream.Run
	err     error

	readers int
	stop    *time.Timer
}

// join adds a reader to the entry of a key, made by start if there is none.
func (g *registry) join(ctx context.Context, k runKey, hash uint64, start func() (*gladestream.Run, error)) (*entry, error) {
	e, made := g.enter(k, hash)
	if made {
		g.begin(e, start)
	}
	select {
	case <-e.started:
	case <-ctx.Done():
		go g.abandon(e)
		return nil, ctx.Err()
	}
	if e.err != nil {
		return nil, e.err
	}
	return e, nil
}

// begin sets the run or the error of a new entry.
func (g *registry) begin(e *entry, start func() (*gladestream.Run, error)) {
	defer close(e.started)
	e.run, e.err = start()
	if e.err != nil {
		g.forget(e)
		return
	}
	if e.key.key != "" {
		go g.retain(e)
	}
}

// abandon ends a reader that left before the run was known.
func (g *registry) abandon(e *entry) {
	<-e.started
	if e.err == nil {
		g.leave(e)
	}
}

func (g *registry) enter(k runKey, hash uint64) (*entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.runs[k]; k.key != "" && e != nil {
		e.readers++
		if e.stop != nil {
			e.stop.Stop()
			e.stop = nil
		}
		return e, false
	}
	e := &entry{key: k, bodyHash: hash, started: make(chan struct{}), readers: 1}
	if k.key == "" {
		return e, true
	}
	if g.runs == nil {
		g.runs = map[runKey]*entry{}
	}
	g.runs[k] = e
	return e, true
}

// leave ends one reader; the last one's leaving stops the run, after grace if it has a key.
func (g *registry) leave(e *entry) {
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
	e.stop = time.AfterFunc(g.grace, func() {
		g.forget(e)
		e.run.Stop()
	})
}

func (g *registry) forget(e *entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs[e.key] == e {
		delete(g.runs, e.key)
	}
}

// retain forgets an entry a while after its run has ended.
func (g *registry) retain(e *entry) {
	<-e.run.Done
	time.AfterFunc(g.retention, func() { g.forget(e) })
}

// State is what a state dump shows of the entry.
type State struct {
	// Keyed is the number of generations that can be asked for again by their key.
	Keyed int `json:"keyed"`
	// Unread is how many of them have no reader now.
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
