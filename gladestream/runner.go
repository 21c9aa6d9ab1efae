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
	// maxUnopenedAttempts is the number of consecutive attempts that no engine accepts before choosing backs off.
	maxUnopenedAttempts = 16
	maxIsolationTries   = 8
	probePause          = 10 * time.Millisecond
	cancelTimeout       = 10 * time.Second
	// resumePriority is added to the priority of resumed generations, so that they run before new ones.
	resumePriority = -1000
)

// Config configures a Runner. Choose and Open are required.
type Config struct {
	// Choose picks the engine of an attempt.
	Choose func(context.Context, gladeapi.Requirements) (gladeapi.Choice, error)
	// Servers returns all known engines. It lets the Runner avoid a failure domain whose engines fail;
	// nil limits it to avoiding single engines.
	Servers func() []gladeapi.BackendServer
	// Blocks returns the hashes of the leading blocks of a prompt, which are passed to Choose; nil passes none.
	Blocks func(*gladeapi.Generation) []uint64
	// Open starts an attempt on an engine.
	Open func(context.Context, OpenRequest) (*Source, error)
	// Attach joins an attempt that still runs on an engine and skips its first after tokens; nil disables joining.
	Attach func(ctx context.Context, o OpenRequest, after int) (*Source, error)
	// Probe returns ErrNotOpened if the engine's process is gone; nil disables probing.
	Probe func(context.Context, gladeapi.BackendServer) error
	// OnStart is called with each new run before its first attempt.
	OnStart func(*Run)
	// Cancel cancels an attempt on its engine; nil cancels none.
	Cancel func(context.Context, gladeapi.BackendServer, gladeapi.Attempt) error
	// Retry reports whether the retry budget allows another attempt of a generation without tokens;
	// nil always allows it.
	Retry func() bool
	// Parts returns what identifies the parts of a generation that it shares with others, for Suspects; nil means that it shares none.
	Parts func(*gladeapi.Generation) []uint64
	// Suspects tracks requests that may crash engines; nil disables tracking.
	Suspects *gladesuspect.Tracker
	Timeouts Timeouts
	// RetryPause is the first pause between two attempts to choose an engine; zero means 20 ms. It doubles up to 500 ms.
	RetryPause time.Duration
	// MaxAttempts limits the attempts of a generation that may have reached an engine; zero means 32.
	MaxAttempts int
	// AttachTimeout limits the wait until an engine joins an attempt or answers a probe; zero means 250 ms.
	AttachTimeout time.Duration
	Metrics       metrics.Registry
	Log           hclog.Logger
	Check         *gladecheck.Checker
	Record        *gladerecord.Recorder
}

// Runner runs generations on engines and resumes them after an engine failure.
type Runner struct {
	config   Config
	metrics  *instruments
	delays   delayEstimates
	failures failureTracker

	running atomic.Int64

	mu   sync.Mutex
	live map[string]map[gladeapi.Attempt]context.CancelCauseFunc
}

// NewRunner returns a Runner with the defaults of c filled in.
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

// Run is a generation in progress.
type Run struct {
	// Journal receives the tokens and the end of the generation.
	Journal *Journal
	// Stop ends the generation because no caller is left.
	Stop context.CancelFunc
	// Done is closed after the last attempt has been released.
	Done <-chan struct{}
}

// Start runs a generation until it ends, its deadline passes or Stop is called.
func (r *Runner) Start(g *gladeapi.Generation) *Run {
	return r.Continue(NewJournal(g), Placement{})
}

// Continue runs the generation of a restored journal. If p is set, it first joins the attempt at p.
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
		x := &execution{Runner: r, journal: j, generation: j.Generation, lastNumber: p.Attempt.Number}
		x.run(ctx, p)
	}()
	return run
}

// MoveStreams makes the streams on an engine continue on others and returns their number.
// It does not count as a failure of the engine.
func (r *Runner) MoveStreams(engine string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.live[engine] {
		cancel(ErrEngineLeaving)
	}
	return len(r.live[engine])
}

// Running returns the number of generations in progress.
func (r *Runner) Running() int {
	return int(r.running.Load())
}

// LiveAttempts returns the number of attempts on each engine.
func (r *Runner) LiveAttempts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := make(map[string]int, len(r.live))
	for engine, attempts := range r.live {
		n[engine] = len(attempts)
	}
	return n
}

// registerAttempt makes an attempt known to MoveStreams and LiveAttempts and returns the function that removes it.
func (r *Runner) registerAttempt(engine string, a gladeapi.Attempt, cancel context.CancelCauseFunc) func() {
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
