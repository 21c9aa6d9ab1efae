package gladestream

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
)

// follow takes the events of an attempt into the journal, and joins the attempt again if only the connection is lost.
func (x *execution) follow(ctx context.Context, p *place, s *Source, w *watchdog) error {
	joinedAt := -1
	for {
		err := x.take(ctx, p, s, w)
		s.Close()
		if err == nil || ctx.Err() != nil || !broken(err) || x.journal.Len() == joinedAt {
			return err
		}
		joinedAt = x.journal.Len()
		w.stop()
		again, rejoined := x.rejoin(ctx, p)
		if rejoined != nil {
			return errors.Join(err, rejoined)
		}
		w.wait(x.config.Timeouts.Ceiling)
		x.metrics.attached.Inc(1)
		x.note("joinedAgain", "%s after %d tokens: %v", p.attempt.ID(), x.journal.Len(), err)
		s = again
	}
}

// take reads events until the generation or the stream ends.
func (x *execution) take(ctx context.Context, p *place, s *Source, w *watchdog) error {
	target := x.g.Target.String()
	spacing := x.paces.spacingOf(target)
	var seen pace
	defer func() { x.paces.learn(target, seen) }()
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
			} else if p.from == before {
				x.paces.learnFirst(target, now.Sub(last)-time.Duration(x.promptLen())*x.config.Timeouts.PerPromptToken)
			}
			first = false
			last = now
			p.visit.Progress(n - p.from)
			x.gained(p, e, now)
			w.wait(x.config.Timeouts.between(&spacing))
		}
		if x.journal.End().Ended() {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// gained notes that tokens have come.
func (x *execution) gained(p *place, e Event, now time.Time) {
	p.numbered = e.First >= 0
	x.troubles.token(&p.backend, now)
	limit := x.g.Sampling.MaxTokens
	x.config.Check.That(limit == 0 || x.journal.Len() <= limit, gladecheck.TokensOnce, "%s: %d tokens of %d",
		x.g.ID, x.journal.Len(), limit)
	if !x.lost.IsZero() {
		x.metrics.resume.Update(micros(x.lost))
		if !x.lastToken.IsZero() {
			x.metrics.gap.Update(micros(x.lastToken))
		}
		x.note("resumed", "%s after %s", p.attempt.ID(), time.Since(x.lost).Round(time.Millisecond))
		x.lost = time.Time{}
	}
	x.lastToken = now
}

func (x *execution) promptLen() int {
	return len(x.journal.PromptTokens()) + x.journal.Len()
}

// broken reports whether a stream ended by the loss of its connection.
func broken(err error) bool {
	for _, other := range []error{ErrForeign, ErrGap, ErrRepeat, ErrExcess, ErrStaleAttempt, ErrEnded, ErrNotResumable} {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}

// rejoin joins an attempt after the loss of its connection; if the engine's process is gone, it says so to the suspects.
func (x *execution) rejoin(ctx context.Context, p *place) (*Source, error) {
	if p.numbered && x.config.Attach != nil {
		s, err := x.attach(ctx, p, x.journal.rejoin())
		if err != nil {
			x.probe(ctx, p)
		}
		return s, err
	}
	x.probe(ctx, p)
	return nil, errNotNumbered
}

// unopened looks after an engine that took a request and broke off before its answer.
func (x *execution) unopened(ctx context.Context, p *place, err error) error {
	if ctx.Err() == nil {
		x.probe(ctx, p)
	}
	return err
}

// probe finds out whether the process of an engine is gone; one that breaks off is asked again, as it may be dying.
func (x *execution) probe(ctx context.Context, p *place) {
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
			x.died(p)
			return
		}
		time.Sleep(probePause)
	}
}

func (x *execution) died(p *place) {
	x.metrics.deaths.Inc(1)
	x.note("engineDied", "%s under %s", p.backend.ID, p.attempt.ID())
	p.visit.Died()
	p.visit = nil
	p.dead = true
}

// attach joins an attempt within the timeout; the stream itself lasts as long as ctx.
func (x *execution) attach(ctx context.Context, p *place, after int) (*Source, error) {
	inner, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(x.config.AttachTimeout, cancel)
	s, err := x.config.Attach(inner, OpenRequest{Generation: x.g, Backend: p.backend, Attempt: p.attempt}, after)
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

// leave ends an attempt's part on its engine; what may still run there is cancelled in the background.
func (x *execution) leave(ctx context.Context, p *place, err error) {
	end := x.journal.End()
	p.visit.Leave(err == nil && end.Finish != "")
	if x.config.Cancel == nil || p.dead || x.journal.Abandoned() || errors.Is(err, ErrNotOpened) || (err == nil && !x.journal.cut()) {
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

func outcome(ctx context.Context, err error) gladeapi.Outcome {
	switch {
	case err == nil:
		return gladeapi.OutcomeDone
	case ctx.Err() != nil, errors.Is(err, ErrMoved), errors.Is(err, ErrRejected), errors.Is(err, ErrNotResumable):
		return gladeapi.OutcomeCancelled
	case errors.Is(err, ErrStalled):
		return gladeapi.OutcomeStalled
	}
	return gladeapi.OutcomeFailed
}
