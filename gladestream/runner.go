package gladestream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladerecord"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
)

const (
	defaultRetryPause    = 20 * time.Millisecond
	maxRetryPause        = 500 * time.Millisecond
	maxPauseDoublings    = 8
	defaultMaxAttempts   = 32
	defaultAttachTimeout = 250 * time.Millisecond
	maxClosed            = 16
	maxApartTries        = 8
	probePause           = 10 * time.Millisecond
	cancelTimeout        = 10 * time.Second
	resumePriority       = -1000
)

// Config configures a Runner.
type Config struct {
	// Choose picks the engine of an attempt.
	Choose func(context.Context, gladeapi.Need) (gladeapi.Choice, error)
	// Servers are all known engines, by which a failure domain in trouble is avoided whole; nil avoids engines only.
	Servers func() []gladeapi.BackendServer
	// Blocks returns the hashes of a prompt's leading blocks for Choose; nil leaves them out.
	Blocks func(*gladeapi.Generation) []uint64
	// Open starts an attempt on an engine.
	Open func(context.Context, OpenRequest) (*Source, error)
	// Attach joins an attempt that still runs on an engine, after its first tokens; nil never does.
	Attach func(ctx context.Context, o OpenRequest, after int) (*Source, error)
	// Probe returns ErrNotOpened of an engine whose process is gone; nil knows of none.
	Probe func(context.Context, gladeapi.BackendServer) error
	// OnStart is called with each new run, before its first attempt.
	OnStart func(*Run)
	// Cancel asks an engine to stop an attempt.
	Cancel func(context.Context, gladeapi.BackendServer, gladeapi.Attempt) error
	// Retry reports whether the retry budget allows a further attempt of a generation without a token; nil always does.
	Retry func() bool
	// Suspects finds poison requests; nil suspects none.
	Suspects *gladesuspect.Tracker
	Timeouts Timeouts
	// RetryPause is the first wait before asking again when no engine can be chosen; zero means 20 ms.
	RetryPause time.Duration
	// MaxAttempts bounds the attempts that reached an engine; zero means 32.
	MaxAttempts int
	// AttachTimeout bounds the wait for an engine to join an attempt or to answer a probe; zero means 250 ms.
	AttachTimeout time.Duration
	Metrics       metrics.Registry
	Log           hclog.Logger
	Check         *gladecheck.Checker
	Record        *gladerecord.Recorder
}

// Runner runs generations.
type Runner struct {
	config   Config
	metrics  *instruments
	paces    paces
	troubles troubles

	running atomic.Int64

	mu   sync.Mutex
	live map[string]map[gladeapi.Attempt]context.CancelCauseFunc
}

// NewRunner returns a Runner.
func NewRunner(c Config) *Runner {
	c.Timeouts.setDefaults()
	if c.RetryPause == 0 {
		c.RetryPause = defaultRetryPause
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	if c.AttachTimeout == 0 {
		c.AttachTimeout = defaultAttachTimeout
	}
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	return &Runner{
		config:  c,
		metrics: newInstruments(c.Metrics),
		live:    map[string]map[gladeapi.Attempt]context.CancelCauseFunc{},
	}
}

// Run is one generation in progress.
type Run struct {
	Journal *Journal
	// Stop gives the generation up, because no caller wants it.
	Stop context.CancelFunc
	// Done is closed after the last attempt has been released.
	Done <-chan struct{}
}

// Start runs a generation until it ends, its deadline passes or Stop is called.
func (r *Runner) Start(g *gladeapi.Generation) *Run {
	return r.Continue(NewJournal(g), Placement{})
}

// Continue runs a generation on from a restored journal, first by joining the attempt at p if it is set.
func (r *Runner) Continue(j *Journal, p Placement) *Run {
	ctx, cancel := context.WithDeadline(context.Background(), j.Generation.Deadline)
	done := make(chan struct{})
	run := &Run{Journal: j, Stop: cancel, Done: done}
	if r.config.OnStart != nil {
		r.config.OnStart(run)
	}
	r.running.Add(1)
	go func() {
		defer r.running.Add(-1)
		defer close(done)
		defer cancel()
		x := &execution{Runner: r, journal: j, g: j.Generation, number: p.Attempt.Number}
		x.run(ctx, p)
	}()
	return run
}

// Move makes the streams on an engine go on elsewhere, without a failure of the engine, and returns their number.
func (r *Runner) Move(engine string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.live[engine] {
		cancel(ErrMoved)
	}
	return len(r.live[engine])
}

// Running returns the number of generations in progress.
func (r *Runner) Running() int {
	return int(r.running.Load())
}

// Live returns the number of attempts on each engine.
func (r *Runner) Live() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := make(map[string]int, len(r.live))
	for engine, attempts := range r.live {
		n[engine] = len(attempts)
	}
	return n
}

// enter notes an attempt for Move and returns the function that ends the note.
func (r *Runner) enter(engine string, a gladeapi.Attempt, cancel context.CancelCauseFunc) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.live[engine] == nil {
		r.live[engine] = map[gladeapi.Attempt]context.CancelCauseFunc{}
	}
	r.live[engine][a] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.live[engine], a)
		if len(r.live[engine]) == 0 {
			delete(r.live, engine)
		}
	}
}
