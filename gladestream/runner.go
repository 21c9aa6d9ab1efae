package gladestream

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladerecord"
)

// ErrStalled means that an engine sent no token for longer than the timeout between tokens.
var ErrStalled = eris.New("engine stalled")

const (
	defaultStallTimeout = time.Second
	defaultRetryPause   = 20 * time.Millisecond
	resumePriority      = -1000
)

// Config configures a Runner.
type Config struct {
	// Choose picks the engine of an attempt.
	Choose func(context.Context, gladeapi.Need) (gladeapi.Choice, error)
	// Open starts an attempt on an engine.
	Open func(context.Context, OpenRequest) (*Source, error)
	// Attach joins an attempt that still runs on an engine, after its first tokens; nil never does.
	Attach func(ctx context.Context, o OpenRequest, after int) (*Source, error)
	// OnStart is called with each new run, before its first attempt.
	OnStart func(*Run)
	// Cancel asks an engine to stop an attempt.
	Cancel func(context.Context, gladeapi.BackendServer, gladeapi.Attempt) error
	// StallTimeout is the longest wait for an event; zero means 1 s.
	StallTimeout time.Duration
	// RetryPause is the wait before asking again when no engine can be chosen; zero means 20 ms.
	RetryPause time.Duration
	Log        hclog.Logger
	Check      *gladecheck.Checker
	Record     *gladerecord.Recorder
}

// Runner runs generations.
type Runner struct {
	config Config
}

// NewRunner returns a Runner.
func NewRunner(c Config) *Runner {
	if c.StallTimeout == 0 {
		c.StallTimeout = defaultStallTimeout
	}
	if c.RetryPause == 0 {
		c.RetryPause = defaultRetryPause
	}
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	return &Runner{config: c}
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
	go func() {
		defer close(done)
		defer cancel()
		r.run(ctx, j, p)
	}()
	return run
}

func (r *Runner) run(ctx context.Context, j *Journal, p Placement) {
	g := j.Generation
	var avoid []string
	for number := p.Attempt.Number + 1; !j.End().Ended(); number++ {
		choice, err := r.choose(ctx, j, avoid)
		if err != nil {
			j.Fail(err)
			return
		}
		a := gladeapi.Attempt{Request: g.ID, Number: number, Nonce: rand.Text()[:8]}
		r.config.Record.Add(g.ID, "stream", "attempt", "%s on %s: %s", a.ID(), choice.Backend.ID, choice.Reason)
		err = r.attempt(ctx, j, a, choice.Backend)
		choice.Release(outcome(err))
		if err == nil {
			return
		}
		r.config.Record.Add(g.ID, "stream", "attemptFailed", "%s after %d tokens: %v", a.ID(), j.Len(), err)
		if ctx.Err() != nil {
			r.giveUp(ctx, j, a, choice.Backend)
			return
		}
		avoid = []string{choice.Backend.ID}
	}
}

func (r *Runner) choose(ctx context.Context, j *Journal, avoid []string) (gladeapi.Choice, error) {
	g := j.Generation
	for {
		choice, err := r.config.Choose(ctx, gladeapi.Need{
			Target: g.Target,
			Blocks: g.Blocks,
			Avoid:  avoid,
			Resume: j.Len() > 0,
			Tokens: g.Sampling.MaxTokens - j.Len(),
		})
		if err == nil {
			return choice, nil
		}
		avoid = nil
		select {
		case <-time.After(r.config.RetryPause):
		case <-ctx.Done():
			return choice, endOf(ctx, j, err)
		}
	}
}

func (r *Runner) attempt(ctx context.Context, j *Journal, a gladeapi.Attempt, b gladeapi.BackendServer) error {
	delivered := j.Begin(a, b)
	o := OpenRequest{
		Generation:   j.Generation,
		Backend:      b,
		Attempt:      a,
		PromptTokens: j.PromptTokens(),
		Delivered:    delivered,
		Priority:     j.Generation.Priority,
	}
	if len(delivered) > 0 {
		o.Priority += resumePriority
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(r.config.StallTimeout, func() { cancel(ErrStalled) })
	defer watchdog.Stop()
	s, err := r.config.Open(ctx, o)
	if err != nil {
		return cause(ctx, err)
	}
	defer s.Close()
	for {
		e, err := s.Next()
		if err != nil {
			return cause(ctx, err)
		}
		watchdog.Reset(r.config.StallTimeout)
		if err := j.Append(a, e); err != nil {
			return err
		}
		if j.End().Ended() {
			return nil
		}
	}
}

func (r *Runner) giveUp(ctx context.Context, j *Journal, a gladeapi.Attempt, b gladeapi.BackendServer) {
	j.Fail(endOf(ctx, j, ctx.Err()))
	if r.config.Cancel == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.config.StallTimeout)
	defer cancel()
	if err := r.config.Cancel(ctx, b, a); err != nil {
		r.config.Log.Debug("Cancel failed.", "attempt", a.ID(), "error", err)
	}
}

func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

func outcome(err error) gladeapi.Outcome {
	switch {
	case err == nil:
		return gladeapi.OutcomeDone
	case eris.Is(err, ErrStalled):
		return gladeapi.OutcomeStalled
	case eris.Is(err, context.Canceled):
		return gladeapi.OutcomeCancelled
	}
	return gladeapi.OutcomeFailed
}

func endOf(ctx context.Context, j *Journal, err error) error {
	ran := gladeapi.DidRun
	if j.Len() == 0 {
		ran = gladeapi.Unknown
	}
	return &gladeapi.Refusal{
		Status:  http.StatusGatewayTimeout,
		Code:    gladeapi.CodeDeadline,
		Message: "generation ended after " + context.Cause(ctx).Error() + ": " + err.Error(),
		Ran:     ran,
	}
}
