package gladeforward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladequota"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

const (
	// maxDenials is the number of servers at their limits that a request tries before it prefers those without one. Each
	// of them costs a call to another VM.
	maxDenials = 3
	// maxTries is the number that it tries if all servers have limits.
	maxTries = 8
	// maxAskTime bounds the time that a request spends on asking coordinators, which answer within a few milliseconds.
	maxAskTime = 200 * time.Millisecond
	// limitWaitShare is the share of a route's target time that a plain request waits if all servers are at their limits
	// and one has room within that time.
	limitWaitShare = 0.5
	// maxLimitWait bounds that time.
	maxLimitWait = 250 * time.Millisecond
)

// Limits asks for permission to send requests to backend servers that name a limit.
type Limits struct {
	// Acquire returns nil if a request may be sent to a server now, and a *gladequota.DeniedError otherwise.
	Acquire func(ctx context.Context, s gladequota.Server, r gladequota.Request) error
	// Sent records that a request reached a server without permission.
	Sent func(s gladequota.Server)
	// States returns the limits that servers name; nil means none. It is used by Explain only.
	States func() []gladequota.State
}

// limitedServer returns the identity by which limits know a server.
func limitedServer(s gladefleet.Server) gladequota.Server {
	return gladequota.Server{ID: s.ID, FailureDomain: s.FailureDomain, Started: s.Started}
}

// acquire asks for permission to send the request to a server.
func (j *job) acquire(ctx context.Context, s gladefleet.Server, r gladequota.Request) error {
	if until := j.config.Fleet.BackoffUntil(s.ID, time.Now()); !until.IsZero() {
		return &gladefleet.BackoffError{Until: until}
	}
	if j.config.Limits.Acquire == nil {
		return nil
	}
	r.Rank, r.Organisation = j.rank(), j.organisation
	err := j.config.Limits.Acquire(ctx, limitedServer(s), r)
	if denied, ok := errors.AsType[*gladequota.DeniedError](err); ok {
		j.config.Fleet.MarkExhausted(s.ID, time.Now().Add(denied.Wait))
		j.count("limits.reached")
		j.log("Not sent to a server at its limit.", "server", s.ID, "perSecond", denied.PerSecond, "receivedMs", denied.ReceivedAge.Milliseconds(),
			"coordinator", denied.Coordinator, "rank", r.Rank, "organisation", r.Organisation, "final", r.Final, "resumed", r.Resumed,
			"repeat", r.Repeat, "waitMs", denied.Wait.Milliseconds(), "retryAfterMs", denied.RetryAfter.Milliseconds())
	}
	return err
}

// reserve chooses a server and asks for permission to send the request to it; it chooses again if the server has left meanwhile. usable, if set, is called in between, and an error
// of it releases the place. If all servers are at their limits, the error is a *gladequota.DeniedError.
func (j *job) reserve(need gladefleet.Requirements, r gladequota.Request, usable func(*gladefleet.Reservation) error) (*gladefleet.Reservation, error) {
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	for denials := 0; ; denials++ {
		need.Unlimited = denials >= maxDenials
		place, err := j.config.Fleet.Choose(need, time.Now())
		if err != nil {
			return nil, err
		}
		if usable != nil {
			if err := usable(place); err != nil {
				place.Release()
				return nil, err
			}
		}
		last := place.Exhausted || denials == maxTries-1
		r.Final = last && !r.Repeat
		if denials == 0 { // from here on, as the first choice may have waited for other VMs
			timer := time.AfterFunc(maxAskTime, cancel)
			defer timer.Stop()
		}
		err = j.acquire(ctx, place.Server, r)
		if err == nil && place.InService(time.Now()) {
			return place, nil
		}
		place.Release()
		switch {
		case err != nil && last:
			return nil, err
		case err == nil && denials == maxTries-1:
			return nil, gladefleet.ErrNoServer
		case err == nil:
			j.countLeftMeanwhile(place)
		}
	}
}

// countLeftMeanwhile records that a server has left between its choice and the send.
func (j *job) countLeftMeanwhile(place *gladefleet.Reservation) {
	j.count("servers.leftMeanwhile")
	j.log("Server left before the send.", "server", place.ID)
}

// acquireAt is acquire for a place that was chosen without reserve; it fails if the server has left meanwhile.
func (j *job) acquireAt(place *gladefleet.Reservation, r gladequota.Request) error {
	if err := j.acquire(j.ctx, place.Server, r); err != nil {
		return err
	}
	if !place.InService(time.Now()) {
		j.countLeftMeanwhile(place)
		return gladefleet.ErrNoServer
	}
	return nil
}

// roomAfter returns after which time there is a server for a request for which there is none now, if the error tells.
func roomAfter(err error) (time.Duration, bool) {
	if denied, ok := errors.AsType[*gladequota.DeniedError](err); ok {
		return denied.RetryAfter, true
	}
	if backoff, ok := errors.AsType[*gladefleet.BackoffError](err); ok {
		return max(time.Millisecond, time.Until(backoff.Until)), true
	}
	return 0, false
}

// limitWait returns how long the request waits until there is a server again, and false if it does not wait.
func (j *job) limitWait(err error) (time.Duration, bool) {
	after, ok := roomAfter(err)
	longest := min(maxLimitWait, time.Duration(limitWaitShare*float64(j.route.Target)))
	return after, ok && after <= longest && after < time.Until(j.deadline)
}

// waitForRoom waits until there is a server again, and reports whether the request may be tried again then.
func (j *job) waitForRoom(err error) bool {
	after, ok := j.limitWait(err)
	if !ok {
		return false
	}
	j.count("limits.waited")
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-j.ctx.Done():
		return false
	}
}

// refuseUnplaced ends a request for which there is no server. A request that is only kept out by limits is told when there is
// room.
func (j *job) refuseUnplaced(err error) {
	if errors.Is(err, errCannotFinish) {
		j.refuseAtStop()
		return
	}
	if denied, ok := errors.AsType[*gladequota.DeniedError](err); ok && !j.mayHaveRun {
		j.refuse(http.StatusServiceUnavailable, "all servers are at their limits", denied.RetryAfter.Round(time.Millisecond))
		return
	}
	j.refuseOrFail("no backend server")
}

// serverRetryAfter returns the Retry-After value for a request for which there is no server: the end of the first backoff if all
// servers are in one, extended at random so that callers do not return together.
func (j *job) serverRetryAfter() time.Duration {
	until := j.config.Fleet.BackoffEnd(j.service, time.Now())
	if until.IsZero() {
		return noServerRetryAfter
	}
	after := backoffRetryAfter(until)
	return (after + time.Duration(retryAfterShare*rand.Float64()*float64(after))).Round(time.Millisecond)
}

// backoffRetryAfter returns the shortest Retry-After value while all servers are in backoff.
func backoffRetryAfter(until time.Time) time.Duration {
	return max(minBackoffRetryAfter, time.Until(until))
}

// minBackoffRetryAfter is the shortest Retry-After value while servers are in backoff.
const minBackoffRetryAfter = 10 * time.Millisecond
