package gladestream

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
)

var (
	errEarlyEnd      = eris.New("engine ended the stream without a finish reason")
	errNotNumbered   = eris.New("engine does not number its events")
	errAttachTimeout = eris.New("engine did not answer the join in time")
	errNoEngine      = eris.New("no engine available")
	errApart         = eris.New("engine runs another suspect")
)

// choose waits for an engine; the first retry is at once and later ones pause for longer each time.
func (x *execution) choose(ctx context.Context) (gladeapi.Choice, *gladesuspect.Visit, error) {
	wait := x.barren > 1 || x.closed > maxClosed
	allowed := false
	for {
		if wait {
			if err := x.sleep(ctx); err != nil {
				return gladeapi.Choice{}, nil, err
			}
		}
		wait = true
		if x.opened >= x.config.MaxAttempts {
			return gladeapi.Choice{}, nil, x.exhausted()
		}
		if allowed = allowed || x.inBudget(); !allowed {
			continue
		}
		choice, visit, err := x.judge(ctx)
		if err == nil || final(err) {
			return choice, visit, err
		}
		x.avoid = nil
	}
}

// final reports whether an error of a choice is for the caller.
func final(err error) bool {
	var refused *gladeapi.Refusal
	return errors.As(err, &refused)
}

// judge chooses an engine as the suspects allow.
func (x *execution) judge(ctx context.Context) (gladeapi.Choice, *gladesuspect.Visit, error) {
	v, err := x.config.Suspects.Judge(ctx, x.g.Fingerprint)
	if errors.Is(err, gladesuspect.ErrPoison) {
		x.metrics.poison.Inc(1)
		return gladeapi.Choice{}, nil, gladesuspect.Refusal(err, x.ran())
	}
	if err != nil {
		return gladeapi.Choice{}, nil, x.ended(ctx, err)
	}
	return x.pick(ctx, &v)
}

// pick chooses an engine that is in no trouble, apart from other suspects and from those that failed, if there is one.
func (x *execution) pick(ctx context.Context, v *gladesuspect.Verdict) (gladeapi.Choice, *gladesuspect.Visit, error) {
	avoid := slices.Concat(x.avoid, v.Avoid)
	troubled := x.troubles.avoid(x.config.Servers)
	choice, visit, err := x.pickApart(ctx, v, slices.Concat(avoid, troubled))
	if err != nil && !final(err) && len(troubled) > 0 {
		choice, visit, err = x.pickApart(ctx, v, avoid)
	}
	if err != nil && !final(err) && v.Suspect {
		choice, visit, err = x.pickFrom(ctx, v, slices.Concat(x.avoid, v.Forbid), false)
	}
	return choice, visit, err
}

// pickApart chooses an engine that runs no other suspect if the request is one.
func (x *execution) pickApart(
	ctx context.Context, v *gladesuspect.Verdict, avoid []string,
) (gladeapi.Choice, *gladesuspect.Visit, error) {
	for range maxApartTries {
		choice, visit, err := x.pickFrom(ctx, v, avoid, true)
		if !errors.Is(err, errApart) {
			return choice, visit, err
		}
		avoid = append(avoid, choice.Backend.ID)
	}
	return gladeapi.Choice{}, nil, errNoEngine
}

func (x *execution) pickFrom(
	ctx context.Context, v *gladesuspect.Verdict, avoid []string, apart bool,
) (gladeapi.Choice, *gladesuspect.Visit, error) {
	choice, err := x.config.Choose(ctx, gladeapi.Need{
		Target:  x.g.Target,
		Blocks:  x.blocks,
		Avoid:   avoid,
		Resume:  x.journal.Len() > 0,
		Tokens:  x.g.Sampling.MaxTokens - x.journal.Len(),
		Isolate: v.Suspect,
	})
	if err != nil {
		return choice, nil, err
	}
	visit, ok := x.config.Suspects.Enter(x.g.Fingerprint, choice.Backend, apart)
	if !ok {
		choice.Release(gladeapi.OutcomeCancelled)
		return choice, nil, errApart
	}
	return choice, visit, nil
}

// inBudget reports whether the retry budget allows the next attempt; delivered tokens are never given up for it.
func (x *execution) inBudget() bool {
	return x.opened == 0 || x.journal.Len() > 0 || x.config.Retry == nil || x.config.Retry()
}

// sleep waits for longer each time until a token comes.
func (x *execution) sleep(ctx context.Context) error {
	d := min(x.config.RetryPause<<min(x.pauses, maxPauseDoublings), maxRetryPause)
	x.pauses++
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return x.ended(ctx, errNoEngine)
	}
}

// ran says what is known of a generation that has failed.
func (x *execution) ran() gladeapi.Ran {
	switch {
	case x.journal.Len() > 0:
		return gladeapi.DidRun
	case x.opened > 0:
		return gladeapi.Unknown
	}
	return gladeapi.NotRun
}

func (x *execution) refusal(status int, code gladeapi.Code, message string) *gladeapi.Refusal {
	ran := x.ran()
	x.config.Check.That(ran != gladeapi.NotRun || x.journal.Placement().Base == 0, gladecheck.NotRunTrue, "%s", x.g.ID)
	return &gladeapi.Refusal{Status: status, Code: code, Message: message, Ran: ran}
}

// ended is the error of a generation whose deadline has passed or whose callers are gone.
func (x *execution) ended(ctx context.Context, err error) error {
	if x.ran() == gladeapi.NotRun && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return x.refusal(http.StatusServiceUnavailable, gladeapi.CodeNoBackend, "no engine before the deadline: "+err.Error())
	}
	message := "generation ended by " + ctx.Err().Error() + ": " + err.Error()
	return x.refusal(http.StatusGatewayTimeout, gladeapi.CodeDeadline, message)
}

func (x *execution) exhausted() error {
	return x.refusal(http.StatusBadGateway, gladeapi.CodeRetriesExhausted, "too many engines failed")
}

// final returns the error of a failure that no other engine would mend, or nil.
func (x *execution) final(err error) error {
	switch {
	case errors.Is(err, ErrRejected):
		return x.refusal(http.StatusBadRequest, gladeapi.CodeBadRequest, err.Error())
	case errors.Is(err, ErrNotResumable):
		return x.refusal(http.StatusBadGateway, gladeapi.CodeBackendFailed, err.Error())
	}
	return nil
}
