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
	errNotIsolated   = eris.New("engine runs another suspect")
)

// waitForEngine retries until an engine is chosen. The first retry is immediate; later ones back off.
func (x *execution) waitForEngine(ctx context.Context) (gladeapi.Choice, *gladesuspect.TrackedRun, error) {
	wait := x.emptyAttempts > 1 || x.unopenedAttempts > maxUnopenedAttempts
	allowed := false
	for {
		if wait {
			if err := x.backOff(ctx); err != nil {
				return gladeapi.Choice{}, nil, err
			}
		}
		wait = true
		if x.opened >= x.config.MaxAttempts {
			return gladeapi.Choice{}, nil, x.exhaustedError()
		}
		if allowed = allowed || x.retryAllowed(); !allowed {
			continue
		}
		choice, tracked, err := x.chooseOnce(ctx)
		if err == nil || isRefusal(err) {
			return choice, tracked, err
		}
		x.avoid = nil
	}
}

// isRefusal reports whether err is a refusal, which goes to the caller instead of being retried.
func isRefusal(err error) bool {
	var refused *gladeapi.Refusal
	return errors.As(err, &refused)
}

// chooseOnce chooses an engine under the constraints of the suspect tracker; it refuses poison requests.
func (x *execution) chooseOnce(ctx context.Context) (gladeapi.Choice, *gladesuspect.TrackedRun, error) {
	v, err := x.config.Suspects.Check(ctx, x.tracked())
	if errors.Is(err, gladesuspect.ErrPoison) {
		x.metrics.poison.Inc(1)
		return gladeapi.Choice{}, nil, gladesuspect.Refusal(err, x.ranState())
	}
	if err != nil {
		return gladeapi.Choice{}, nil, x.endedError(ctx, err)
	}
	x.trial = v.Trial
	return x.chooseWithFallback(ctx, &v)
}

// chooseWithFallback avoids the engines that failed this generation. It prefers engines without recent failures and,
// for a suspect request, engines that run no other suspect; it drops these preferences in this order.
func (x *execution) chooseWithFallback(ctx context.Context, v *gladesuspect.Restrictions) (gladeapi.Choice, *gladesuspect.TrackedRun, error) {
	avoid := slices.Concat(x.avoid, v.Avoid)
	failing := x.failures.enginesToAvoid(x.config.Servers)
	choice, tracked, err := x.chooseIsolated(ctx, v, slices.Concat(avoid, failing))
	if err != nil && !isRefusal(err) && len(failing) > 0 {
		choice, tracked, err = x.chooseIsolated(ctx, v, avoid)
	}
	if err != nil && !isRefusal(err) && v.Suspect {
		choice, tracked, err = x.chooseFrom(ctx, v, slices.Concat(x.avoid, v.Forbid), false)
	}
	return choice, tracked, err
}

// chooseIsolated chooses an engine; for a suspect request, one that runs no other suspect.
func (x *execution) chooseIsolated(
	ctx context.Context, v *gladesuspect.Restrictions, avoid []string,
) (gladeapi.Choice, *gladesuspect.TrackedRun, error) {
	for range maxIsolationTries {
		choice, tracked, err := x.chooseFrom(ctx, v, avoid, true)
		if !errors.Is(err, errNotIsolated) {
			return choice, tracked, err
		}
		avoid = append(avoid, choice.Backend.ID)
	}
	return gladeapi.Choice{}, nil, errNoEngine
}

func (x *execution) chooseFrom(
	ctx context.Context, v *gladesuspect.Restrictions, avoid []string, isolated bool,
) (gladeapi.Choice, *gladesuspect.TrackedRun, error) {
	choice, err := x.config.Choose(ctx, gladeapi.Requirements{
		Target:  x.generation.Target,
		Blocks:  x.blocks,
		Avoid:   avoid,
		Resume:  x.journal.Len() > 0,
		Tokens:  x.generation.Sampling.MaxTokens - x.journal.Len(),
		Isolate: v.Suspect,
	})
	if err != nil {
		return choice, nil, err
	}
	tracked, ok := x.config.Suspects.StartRun(x.tracked(), choice.Backend, isolated)
	if !ok {
		choice.Release(gladeapi.OutcomeCancelled)
		return choice, nil, errNotIsolated
	}
	return choice, tracked, nil
}

// retryAllowed reports whether the retry budget allows the next attempt.
// Generations that already have tokens are exempt, so that delivered tokens are never given up.
func (x *execution) retryAllowed() bool {
	return x.opened == 0 || x.journal.Len() > 0 || x.config.Retry == nil || x.config.Retry()
}

// backOff waits for the retry pause, which doubles with each wait since the last token.
func (x *execution) backOff(ctx context.Context) error {
	d := min(x.config.RetryPause<<min(x.pauses, maxPauseDoublings), maxRetryPause)
	x.pauses++
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return x.endedError(ctx, errNoEngine)
	}
}

// ranState reports whether a failed generation ran: it did if it has a token, and may have if an attempt was opened.
func (x *execution) ranState() gladeapi.Ran {
	switch {
	case x.journal.Len() > 0:
		return gladeapi.DidRun
	case x.opened > 0:
		return gladeapi.RanUnknown
	}
	return gladeapi.NotRun
}

func (x *execution) refusal(status int, code gladeapi.Code, message string) *gladeapi.Refusal {
	ran := x.ranState()
	x.config.Check.That(ran != gladeapi.NotRun || x.journal.Placement().Base == 0, gladecheck.NotRunTrue, "%s", x.generation.ID)
	return &gladeapi.Refusal{Status: status, Code: code, Message: message, Ran: ran}
}

// endedError returns the refusal of a generation whose deadline has passed or whose callers have disconnected.
func (x *execution) endedError(ctx context.Context, err error) error {
	if x.ranState() == gladeapi.NotRun && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return x.refusal(http.StatusServiceUnavailable, gladeapi.CodeNoBackend, "no engine before the deadline: "+err.Error())
	}
	message := "generation ended by " + ctx.Err().Error() + ": " + err.Error()
	return x.refusal(http.StatusGatewayTimeout, gladeapi.CodeDeadline, message)
}

func (x *execution) exhaustedError() error {
	return x.refusal(http.StatusBadGateway, gladeapi.CodeRetriesExhausted, "too many engines failed")
}

// terminalError returns the refusal for an error that would recur on any other engine, or nil.
func (x *execution) terminalError(err error) error {
	switch {
	case errors.Is(err, ErrRejected):
		return x.refusal(http.StatusBadRequest, gladeapi.CodeBadRequest, err.Error())
	case errors.Is(err, ErrNotResumable):
		return x.refusal(http.StatusBadGateway, gladeapi.CodeBackendFailed, err.Error())
	}
	return nil
}
