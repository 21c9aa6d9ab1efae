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

// execution is the state of one running generation.
type execution struct {
	*Runner
	journal    *Journal
	generation *gladeapi.Generation
	// blocks are the hashes of the prompt's leading blocks.
	blocks []uint64
	// parts identify what the generation shares with others, for the tracker of suspects.
	parts []uint64
	// trial reports that the generation has held parts and may be sent once in spite of that.
	trial bool
	// lastNumber is the number of the latest attempt.
	lastNumber int
	// opened counts the attempts that may have reached an engine.
	opened int
	// avoid lists the engines that failed this generation, the latest failure last.
	avoid []string
	// emptyAttempts counts the opened attempts without a token since the last attempt with tokens.
	emptyAttempts int
	// firstTokenTimeouts counts those of emptyAttempts whose first token did not arrive in time.
	firstTokenTimeouts int
	// unopenedAttempts counts the attempts since the last token that no engine accepted.
	unopenedAttempts int
	// pauses counts the retry pauses since the last token.
	pauses int
	// lostAt is the time of the first engine loss since the last token, or zero if there was none.
	lostAt time.Time
	// lastTokenAt is the time of the last token, or zero before the first one.
	lastTokenAt time.Time
}

// engineAttempt is an attempt on the engine that was chosen for it.
type engineAttempt struct {
	attempt gladeapi.Attempt
	backend gladeapi.BackendServer
	tracked *gladesuspect.TrackedRun
	// startLen is the number of tokens in the journal when the attempt began.
	startLen int
	// numbered is set if the engine numbers its events, which rejoining the attempt requires.
	numbered bool
	// dead is set once the engine's process is gone; its attempt is not cancelled.
	dead bool
}

func (x *execution) run(ctx context.Context, p Placement) {
	if x.config.Blocks != nil {
		x.blocks = x.config.Blocks(x.generation)
	}
	if x.config.Parts != nil {
		x.parts = x.config.Parts(x.generation)
	}
	if p.Attempt.Nonce != "" && x.config.Attach != nil {
		x.join(ctx, p)
	}
	for !x.journal.End().Ended() {
		if err := x.runAttempt(ctx); err != nil {
			x.journal.Fail(err)
		}
	}
}

// tracked returns the generation as the tracker of suspects knows it.
func (x *execution) tracked() gladesuspect.Request {
	return gladesuspect.Request{
		Fingerprint: x.generation.Fingerprint, Parts: x.parts, Resumed: x.journal.Len() > 0, Trial: x.trial && x.opened == 0,
	}
}

// runAttempt makes one attempt and returns an error if no further one is possible.
func (x *execution) runAttempt(ctx context.Context) error {
	choice, tracked, err := x.waitForEngine(ctx)
	if err != nil {
		return err
	}
	x.config.Check.That(!choice.Backend.Leaving, gladecheck.LeavingGetsNoWork, "%s on %s", x.generation.ID, choice.Backend.ID)
	x.lastNumber++
	p := &engineAttempt{
		attempt:  gladeapi.Attempt{Request: x.generation.ID, Number: x.lastNumber, Nonce: rand.Text()[:nonceLen]},
		backend:  choice.Backend,
		tracked:  tracked,
		startLen: x.journal.Len(),
	}
	x.metrics.attempts.Inc(1)
	x.record("attempt", "%s on %s: %s", p.attempt.ID(), choice.Backend.ID, choice.Reason)
	err = x.openAndFollow(ctx, p)
	choice.Release(attemptOutcome(ctx, err))
	return x.handleAttemptEnd(ctx, p, err)
}

// handleAttemptEnd ends the generation if the attempt's error is terminal, and prepares the next attempt otherwise.
func (x *execution) handleAttemptEnd(ctx context.Context, p *engineAttempt, err error) error {
	if err == nil || x.journal.End().Ended() {
		return nil
	}
	x.record("attemptFailed", "%s after %d tokens: %v", p.attempt.ID(), x.journal.Len(), err)
	if limit := x.generation.Sampling.MaxTokens; limit > 0 && x.journal.Len() >= limit {
		x.journal.Finish(gladeapi.FinishLength)
		return nil
	}
	if ctx.Err() != nil {
		return x.endedError(ctx, err)
	}
	if final := x.terminalError(err); final != nil {
		return final
	}
	x.recordLoss(p, err)
	return nil
}

// recordLoss updates the metrics, the avoided engines and the retry counters after a failed attempt.
func (x *execution) recordLoss(p *engineAttempt, err error) {
	x.metrics.countDropped(err)
	if errors.Is(err, ErrStalled) {
		x.metrics.stalls.Inc(1)
	}
	if errors.Is(err, ErrEngineLeaving) {
		x.metrics.moves.Inc(1)
	}
	if !errors.Is(err, ErrEngineLeaving) {
		x.failures.recordFailure(&p.backend)
	}
	x.avoid = append(slices.DeleteFunc(x.avoid, func(id string) bool { return id == p.backend.ID }), p.backend.ID)
	switch {
	case errors.Is(err, ErrNotOpened) && !p.dead:
		x.unopenedAttempts++
	case x.journal.Len() > p.startLen:
		x.emptyAttempts, x.firstTokenTimeouts, x.pauses, x.unopenedAttempts = 0, 0, 0, 0
	case errors.Is(err, ErrStalled):
		x.firstTokenTimeouts++
		x.emptyAttempts++
	default:
		x.emptyAttempts++
	}
	if x.lostAt.IsZero() {
		x.lostAt = time.Now()
	}
}

// openAndFollow opens an attempt and reads its stream until it ends or fails.
func (x *execution) openAndFollow(ctx context.Context, p *engineAttempt) error {
	o, err := x.openRequest(p)
	if err != nil {
		p.tracked.End(false)
		return err
	}
	return x.runOnEngine(ctx, p, func(ctx context.Context, w *watchdog) error {
		w.reset(x.firstTokenTimeout(o, x.firstTokenTimeouts))
		s, err := x.config.Open(ctx, *o)
		if errors.Is(err, ErrNotOpened) || errors.Is(err, ErrRejected) {
			return err
		}
		x.opened++
		if err != nil {
			return x.handleOpenFailure(ctx, p, err)
		}
		return x.followStream(ctx, p, s, w)
	})
}

// join continues an attempt that another VM began.
func (x *execution) join(ctx context.Context, placed Placement) {
	after := x.journal.Join(placed)
	p := &engineAttempt{attempt: placed.Attempt, backend: placed.Backend, startLen: x.journal.Len(), numbered: true}
	p.tracked, _ = x.config.Suspects.StartRun(x.tracked(), placed.Backend, false)
	x.opened++
	x.record("join", "%s on %s after %d tokens", p.attempt.ID(), p.backend.ID, after)
	err := x.runOnEngine(ctx, p, func(ctx context.Context, w *watchdog) error {
		w.reset(x.config.Timeouts.ResumedFirstTokenFloor)
		s, err := x.attach(ctx, p, after)
		if err != nil {
			return err
		}
		return x.followStream(ctx, p, s, w)
	})
	if err := x.handleAttemptEnd(ctx, p, err); err != nil {
		x.journal.Fail(err)
	}
}

// runOnEngine registers the attempt, runs work under a watchdog and then leaves the engine.
func (x *execution) runOnEngine(ctx context.Context, p *engineAttempt, work func(context.Context, *watchdog) error) error {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer x.registerAttempt(p.backend.ID, p.attempt, cancel)()
	w := newWatchdog(x.config.Timeouts.TokenFloor, func() { cancel(ErrStalled) })
	defer w.stop()
	err := work(inner, w)
	if err != nil && context.Cause(inner) != nil {
		err = context.Cause(inner)
	}
	x.leaveEngine(ctx, p, err)
	return err
}

// openRequest begins an attempt and returns what to send to its engine, or ErrGenerationEnded.
func (x *execution) openRequest(p *engineAttempt) (*OpenRequest, error) {
	delivered, err := x.journal.beginUnlessEnded(p.attempt, p.backend)
	if err != nil {
		return nil, err
	}
	x.config.Check.That(delivered.matchesPrefix(), gladecheck.OneGeneration, "%s: prefix differs", p.attempt.ID())
	o := &OpenRequest{
		Generation:   x.generation,
		Backend:      p.backend,
		Attempt:      p.attempt,
		PromptTokens: x.journal.PromptTokens(),
		Delivered:    delivered.ids,
		Priority:     x.generation.Priority,
	}
	if len(delivered.ids) > 0 {
		o.Priority += resumePriority
		x.metrics.resumes.Inc(1)
	}
	if x.lastNumber > 1 {
		x.metrics.recomputed.Inc(int64(estimateContextLen(o)))
	}
	if slices.ContainsFunc(delivered.ids, func(id int32) bool { return id < 0 }) {
		o.Texts = x.journal.texts()
	}
	return o, nil
}

func (x *execution) record(event, format string, args ...any) {
	x.config.Record.Add(x.generation.ID, "stream", event, format, args...)
}
