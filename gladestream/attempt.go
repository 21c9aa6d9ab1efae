package gladestream

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
)

// followStream appends the events of an attempt to the journal. If only the connection is lost, it rejoins the attempt.
func (x *execution) followStream(ctx context.Context, p *engineAttempt, s *Source, w *watchdog) error {
	joinedAt := -1
	for {
		err := x.readEvents(ctx, p, s, w)
		s.Close()
		if err == nil || ctx.Err() != nil || !isConnectionLoss(err) || x.journal.Len() == joinedAt {
			return err
		}
		joinedAt = x.journal.Len()
		w.stop()
		again, rejoined := x.rejoin(ctx, p)
		if rejoined != nil {
			return errors.Join(err, rejoined)
		}
		w.reset(x.config.Timeouts.TokenCeiling)
		x.metrics.attached.Inc(1)
		x.record("joinedAgain", "%s after %d tokens: %v", p.attempt.ID(), x.journal.Len(), err)
		s = again
	}
}

// readEvents appends events until the generation or the stream ends.
func (x *execution) readEvents(ctx context.Context, p *engineAttempt, s *Source, w *watchdog) error {
	target := x.generation.Target.String()
	spacing := x.delays.spacingFor(target)
	var seen delayEstimate
	defer func() { x.delays.observeSpacing(target, seen) }()
	last := time.Now()
	first := true
	for {
		e, err := s.Next()
		if err != nil {
			return err
		}
		if e.End && len(e.Tokens) == 0 {
			return errEarlyEnd
		}
		before := x.journal.Len()
		if err := x.journal.Append(p.attempt, e); err != nil {
			return err
		}
		if n := x.journal.Len(); n > before {
			now := time.Now()
			if !first {
				spacing.observe(now.Sub(last))
				seen.observe(now.Sub(last))
			} else if p.startLen == before {
				x.delays.observeFirstToken(target, now.Sub(last)-time.Duration(x.contextLen())*x.config.Timeouts.PerPromptToken)
			}
			first = false
			last = now
			p.tracked.Progress(n - p.startLen)
			x.recordProgress(p, e, now)
			w.reset(x.config.Timeouts.betweenTokens(&spacing))
		}
		if x.journal.End().Ended() {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// recordProgress updates the state of the generation after new tokens.
func (x *execution) recordProgress(p *engineAttempt, e Event, now time.Time) {
	p.numbered = e.First >= 0
	x.failures.recordToken(&p.backend, now)
	limit := x.generation.Sampling.MaxTokens
	x.config.Check.That(limit == 0 || x.journal.Len() <= limit, gladecheck.TokensOnce, "%s: %d tokens of %d",
		x.generation.ID, x.journal.Len(), limit)
	if !x.lostAt.IsZero() {
		x.metrics.resume.Update(microsSince(x.lostAt))
		if !x.lastTokenAt.IsZero() {
			x.metrics.gap.Update(microsSince(x.lastTokenAt))
		}
		x.record("resumed", "%s after %s", p.attempt.ID(), time.Since(x.lostAt).Round(time.Millisecond))
		x.lostAt = time.Time{}
	}
	x.lastTokenAt = now
}

func (x *execution) contextLen() int {
	return len(x.journal.PromptTokens()) + x.journal.Len()
}

// isConnectionLoss reports whether a stream ended because its connection was lost.
func isConnectionLoss(err error) bool {
	for _, other := range []error{ErrForeignEvent, ErrTokenGap, ErrTokenRepeated, ErrTooManyTokens, ErrStaleAttempt, ErrGenerationEnded, ErrNotResumable} {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}

// rejoin attaches to an attempt whose connection was lost. If that fails, it probes the engine's process.
func (x *execution) rejoin(ctx context.Context, p *engineAttempt) (*Source, error) {
	if p.numbered && x.config.Attach != nil {
		s, err := x.attach(ctx, p, x.journal.allowOverlap())
		if err != nil {
			x.probe(ctx, p)
		}
		return s, err
	}
	x.probe(ctx, p)
	return nil, errNotNumbered
}

// handleOpenFailure probes an engine that accepted a request and disconnected before it answered.
func (x *execution) handleOpenFailure(ctx context.Context, p *engineAttempt, err error) error {
	if ctx.Err() == nil {
		x.probe(ctx, p)
	}
	return err
}

// probe checks whether the process of an engine is gone.
// It repeats a probe that fails for any other reason, because the process may be about to exit.
func (x *execution) probe(ctx context.Context, p *engineAttempt) {
	if x.config.Probe == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, x.config.AttachTimeout)
	defer cancel()
	for {
		err := x.config.Probe(ctx, p.backend)
		if err == nil || ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrNotOpened) {
			x.recordEngineDeath(p)
			return
		}
		time.Sleep(probePause)
	}
}

func (x *execution) recordEngineDeath(p *engineAttempt) {
	x.metrics.deaths.Inc(1)
	x.record("engineDied", "%s under %s", p.backend.ID, p.attempt.ID())
	p.tracked.ServerDied()
	p.tracked = nil
	p.dead = true
}

// attach joins an attempt within AttachTimeout. The stream itself lasts as long as ctx.
func (x *execution) attach(ctx context.Context, p *engineAttempt, after int) (*Source, error) {
	inner, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(x.config.AttachTimeout, cancel)
	s, err := x.config.Attach(inner, OpenRequest{Generation: x.generation, Backend: p.backend, Attempt: p.attempt}, after)
	inTime := timer.Stop()
	if err == nil && inTime {
		return &Source{Next: s.Next, Close: func() {
			s.Close()
			cancel()
		}}, nil
	}
	cancel()
	if err == nil {
		s.Close()
	}
	if !inTime {
		return nil, errAttachTimeout
	}
	return nil, err
}

// leaveEngine ends the attempt's tracked run and, in the background, cancels what may still run on the engine.
func (x *execution) leaveEngine(ctx context.Context, p *engineAttempt, err error) {
	end := x.journal.End()
	p.tracked.End(err == nil && end.Finish != "")
	if x.config.Cancel == nil || p.dead || x.journal.Abandoned() || errors.Is(err, ErrNotOpened) || (err == nil && !x.journal.stoppedEarly()) {
		return
	}
	ctx = context.WithoutCancel(ctx)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		if err := x.config.Cancel(ctx, p.backend, p.attempt); err != nil {
			x.config.Log.Debug("Cancel failed.", "attempt", p.attempt.ID(), "error", err)
		}
	}()
}

func attemptOutcome(ctx context.Context, err error) gladeapi.Outcome {
	switch {
	case err == nil:
		return gladeapi.OutcomeDone
	case ctx.Err() != nil, errors.Is(err, ErrEngineLeaving), errors.Is(err, ErrRejected), errors.Is(err, ErrNotResumable),
		errors.Is(err, ErrGenerationEnded):
		return gladeapi.OutcomeCancelled
	case errors.Is(err, ErrStalled):
		return gladeapi.OutcomeStalled
	}
	return gladeapi.OutcomeFailed
}
