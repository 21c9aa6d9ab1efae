package gladestream

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
)

const nonceLen = 8

// execution is what a Runner knows of one generation while it runs.
type execution struct {
	*Runner
	journal *Journal
	g       *gladeapi.Generation
	// blocks are the hashes of the prompt's leading blocks.
	blocks []uint64
	// number is that of the last attempt.
	number int
	// opened counts the attempts that may have reached an engine.
	opened int
	// avoid are the engines that failed this generation.
	avoid []string
	// barren counts the last attempts that brought no token, inVain those whose first token was waited for too long.
	barren int
	inVain int
	// closed counts the last attempts that no engine took.
	closed int
	// pauses counts the waits since the last token.
	pauses int
	// lost is when the last engine was lost and lastToken when its last token came; zero while none is lost.
	lost      time.Time
	lastToken time.Time
}

// place is an attempt on its engine.
type place struct {
	attempt gladeapi.Attempt
	backend gladeapi.BackendServer
	visit   *gladesuspect.Visit
	// from is the number of tokens when the attempt began.
	from int
	// numbered engines number their events, so that an attempt can be joined again.
	numbered bool
	// dead engines need not be told to cancel.
	dead bool
}

func (x *execution) run(ctx context.Context, p Placement) {
	if x.config.Blocks != nil {
		x.blocks = x.config.Blocks(x.g)
	}
	if p.Attempt.Nonce != "" && x.config.Attach != nil {
		x.join(ctx, p)
	}
	for !x.journal.End().Ended() {
		if err := x.next(ctx); err != nil {
			x.journal.Fail(err)
		}
	}
}

// next makes one attempt and returns an error if there can be no further one.
func (x *execution) next(ctx context.Context) error {
	choice, visit, err := x.choose(ctx)
	if err != nil {
		return err
	}
	x.config.Check.That(!choice.Backend.Leaving, gladecheck.LeavingGetsNoWork, "%s on %s", x.g.ID, choice.Backend.ID)
	x.number++
	p := &place{
		attempt: gladeapi.Attempt{Request: x.g.ID, Number: x.number, Nonce: rand.Text()[:nonceLen]},
		backend: choice.Backend,
		visit:   visit,
		from:    x.journal.Len(),
	}
	x.metrics.attempts.Inc(1)
	x.note("attempt", "%s on %s: %s", p.attempt.ID(), choice.Backend.ID, choice.Reason)
	err = x.attempt(ctx, p)
	choice.Release(outcome(ctx, err))
	return x.settle(ctx, p, err)
}

// settle decides what the end of an attempt means for the next one.
func (x *execution) settle(ctx context.Context, p *place, err error) error {
	if err == nil || x.journal.End().Ended() {
		return nil
	}
	x.note("attemptFailed", "%s after %d tokens: %v", p.attempt.ID(), x.journal.Len(), err)
	if limit := x.g.Sampling.MaxTokens; limit > 0 && x.journal.Len() >= limit {
		x.journal.Finish(gladeapi.FinishLength)
		return nil
	}
	if ctx.Err() != nil {
		return x.ended(ctx, err)
	}
	if final := x.final(err); final != nil {
		return final
	}
	x.lose(p, err)
	return nil
}

// lose notes why an engine was left.
func (x *execution) lose(p *place, err error) {
	x.metrics.dropped(err)
	if errors.Is(err, ErrStalled) {
		x.metrics.stalls.Inc(1)
	}
	if errors.Is(err, ErrMoved) {
		x.metrics.moves.Inc(1)
	}
	if !errors.Is(err, ErrMoved) {
		x.troubles.lost(&p.backend)
	}
	x.avoid = append(slices.DeleteFunc(x.avoid, func(id string) bool { return id == p.backend.ID }), p.backend.ID)
	switch {
	case errors.Is(err, ErrNotOpened) && !p.dead:
		x.closed++
	case x.journal.Len() > p.from:
		x.barren, x.inVain, x.pauses, x.closed = 0, 0, 0, 0
	case errors.Is(err, ErrStalled):
		x.inVain++
		x.barren++
	default:
		x.barren++
	}
	if x.lost.IsZero() {
		x.lost = time.Now()
	}
}

// attempt runs one attempt to its end or failure.
func (x *execution) attempt(ctx context.Context, p *place) error {
	o := x.openRequest(p)
	return x.onEngine(ctx, p, func(ctx context.Context, w *watchdog) error {
		w.wait(x.firstToken(o, x.inVain))
		s, err := x.config.Open(ctx, *o)
		if errors.Is(err, ErrNotOpened) || errors.Is(err, ErrRejected) {
			return err
		}
		x.opened++
		if err != nil {
			return x.unopened(ctx, p, err)
		}
		return x.follow(ctx, p, s, w)
	})
}

// join goes on with an attempt that another VM began.
func (x *execution) join(ctx context.Context, placed Placement) {
	after := x.journal.Join(placed)
	p := &place{attempt: placed.Attempt, backend: placed.Backend, from: x.journal.Len(), numbered: true}
	p.visit, _ = x.config.Suspects.Enter(x.g.Fingerprint, placed.Backend, false)
	x.opened++
	x.note("join", "%s on %s after %d tokens", p.attempt.ID(), p.backend.ID, after)
	err := x.onEngine(ctx, p, func(ctx context.Context, w *watchdog) error {
		w.wait(x.config.Timeouts.FirstResumed)
		s, err := x.attach(ctx, p, after)
		if err != nil {
			return err
		}
		return x.follow(ctx, p, s, w)
	})
	if err := x.settle(ctx, p, err); err != nil {
		x.journal.Fail(err)
	}
}

// onEngine does the work of an attempt while it counts as live, and leaves the engine.
func (x *execution) onEngine(ctx context.Context, p *place, work func(context.Context, *watchdog) error) error {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer x.enter(p.backend.ID, p.attempt, cancel)()
	w := newWatchdog(x.config.Timeouts.Floor, func() { cancel(ErrStalled) })
	defer w.stop()
	err := work(inner, w)
	if err != nil && context.Cause(inner) != nil {
		err = context.Cause(inner)
	}
	x.leave(ctx, p, err)
	return err
}

func (x *execution) openRequest(p *place) *OpenRequest {
	delivered := x.journal.Begin(p.attempt, p.backend)
	x.config.Check.That(x.journal.holds(delivered), gladecheck.OneGeneration, "%s: prefix differs", p.attempt.ID())
	o := &OpenRequest{
		Generation:   x.g,
		Backend:      p.backend,
		Attempt:      p.attempt,
		PromptTokens: x.journal.PromptTokens(),
		Delivered:    delivered,
		Priority:     x.g.Priority,
	}
	if len(delivered) > 0 {
		o.Priority += resumePriority
		x.metrics.resumes.Inc(1)
	}
	if x.number > 1 {
		x.metrics.recomputed.Inc(int64(promptLen(o)))
	}
	if slices.ContainsFunc(delivered, func(id int32) bool { return id < 0 }) {
		o.Texts = x.journal.texts()
	}
	return o
}

func (x *execution) note(event, format string, args ...any) {
	x.config.Record.Add(x.g.ID, "stream", event, format, args...)
}
