package gladeforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeserve"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

const (
	// typicalStreamTime is the usual duration of a stream.
	typicalStreamTime = 7 * time.Second
	// unknownCallTime and unknownTargetFactor, a multiple of the route's target time, bound the time that a call is foreseen to take
	// on a route without earlier calls.
	unknownCallTime     = 2 * time.Second
	unknownTargetFactor = 4
	// minForeseenTime is the shortest time that a call is foreseen to take. The process may stand still for about 100 ms at a time: 25 to
	// 108 ms were measured with one VM beside load, and a VM with a small share of a core gets it in slices. Short calls alone leave less
	// than that: 100 calls of 20 ms foresee 32 ms.
	minForeseenTime = 300 * time.Millisecond
	// stoppingRetryAfter is the Retry-After value of a stopping VM; other VMs can take the request at once.
	stoppingRetryAfter = 20 * time.Millisecond
)

// errCannotFinish means that this VM stops before a request would probably end.
var errCannotFinish = eris.New("stopping")

// durationKey returns the key under which the request's duration is recorded.
func (j *job) durationKey() string { return j.route.Name + " " + j.service }

// checkStop returns errCannotFinish if this VM stops before the request would probably end.  A request is foreseen to take as
// long as those of its route before it.
func (j *job) checkStop() error {
	plan := j.config.StopPlan()
	if plan == nil {
		return nil
	}
	now := time.Now()
	takes, known := j.durations.Foresee(j.durationKey(), now)
	left := time.Until(j.deadline)
	switch {
	case j.route.Kind == gladerelease.Stream: // its length depends on what it generates
		takes, known = typicalStreamTime, false
	case !known:
		takes = max(unknownCallTime, unknownTargetFactor*j.route.Target)
	default:
		takes = max(minForeseenTime, takes)
	}
	takes = min(takes, left)
	if plan.CanFinish(now, takes) {
		return nil
	}
	j.log("Cannot finish before the stop.", "takesMs", takes.Milliseconds(), "foreseen", known, "leftMs", left.Milliseconds(),
		"answerByMs", plan.AnswerBy().Sub(now).Milliseconds(), "stoppingForMs", now.Sub(plan.Began).Milliseconds())
	return errCannotFinish
}

// mayBegin reports whether an attempt may begin; if not, it ends the request.
func (s *stream) mayBegin() bool {
	if !s.checkSuspect() {
		return false
	}
	if !s.mayHaveRun && s.checkStop() != nil {
		s.refuseAtStop()
		return false
	}
	return true
}

// refuseAtStop refuses a request that no server has run, or fails it.
func (j *job) refuseAtStop() {
	if j.mayHaveRun {
		j.fail(http.StatusBadGateway, errCannotFinish.Error())
		return
	}
	j.refuse(http.StatusServiceUnavailable, errCannotFinish.Error(), stoppingRetryAfter)
}

// stopped reports whether the request was interrupted because this process stops.
func (j *job) stopped() bool { return errors.Is(context.Cause(j.ctx), gladeserve.ErrStopping) }

// endAtStop answers a request that was interrupted because this process stops.  A part of an answer must not look complete, so
// that nothing is added to one.
func (j *job) endAtStop() {
	if !j.stopped() || j.incoming.Started() {
		return
	}
	j.mayHaveRun = j.mayHaveRun || j.arrivals > 0
	j.refuseAtStop()
}

// logInterrupted logs that the request ends because its caller left, it made room for others, or this process stops.
func (j *job) logInterrupted(args ...any) {
	message := "Caller left."
	switch {
	case j.stopped():
		message = "Interrupted by the stop."
	case errors.Is(context.Cause(j.ctx), gladememory.ErrEvicted):
		message = "Made room for other callers."
	}
	j.log(message, append([]any{"sent", j.arrivals > 0, "written", j.incoming.Written()}, args...)...)
}
