package gladeforward

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladeline"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladequota"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

const (
	// waitShare is the share of a route's target time for which a new generation waits for room.  The rest is needed to
	// process its prompt, and for the caller to retry after a refusal.  Where the routes of a service differ in priority, it is the
	// least maximum wait.
	waitShare = 0.125
	// resumedWaitShare is the same for a generation that has begun, which cannot be refused.
	resumedWaitShare = 1.0
	// unreadShare is the share of a route's target time within which a server should process all prompts sent to it.
	unreadShare = 0.6
	// retryAfterShare is the share of a route's target time after which a refused caller should retry; by then a place
	// is free and its prompt can still be processed in time.  The value is varied by up to half, to spread the callers.
	retryAfterShare = 0.25
	// roomCheckInterval is how often a waiting request checks for room, which requests of other VMs may have freed.
	roomCheckInterval = 20 * time.Millisecond
	// claimDelay is the time allowed for a claim to reach the other VMs, which receive it after about 15 ms.
	claimDelay = 40 * time.Millisecond
	// maxUrgency is the largest urgency value, for the least urgent requests; zero is the most urgent.
	maxUrgency = 9
)

// queue returns the queue of the requests that wait for room on servers of a service.
func (f *Forwarder) queue(service string) *gladeline.Queue {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.queues[service]
	if l == nil {
		l = gladeline.New()
		f.queues[service] = l
	}
	return l
}

// maxTokens returns the number of tokens that the run occupies on an engine at its end.
func (s *stream) maxTokens() int {
	output := s.call.OutputTokens
	if s.call.OutputHint > 0 {
		output = min(output, s.call.OutputHint)
	}
	return s.call.PromptTokens + output
}

// roomLimits returns the load limits of a server that may take the stream.
func (s *stream) roomLimits() gladefleet.CapacityLimits {
	engine := s.release.Services[s.service].Engine
	if engine == nil {
		return gladefleet.CapacityLimits{}
	}
	return gladefleet.CapacityLimits{
		Memory:            engine.KVTokens,
		MaxPendingPrefill: int(s.config.Fleet.PrefillRate(s.service) * unreadShare * s.route.Target.Seconds()),
	}
}

// maxWait returns the maximum time that the stream waits for room.
func (s *stream) maxWait() time.Duration {
	share := waitShare
	switch {
	case s.mayHaveRun:
		share = resumedWaitShare
	case s.ordersByTarget():
		return min(s.timing(time.Now()).MaxWait(), time.Until(s.deadline))
	}
	return min(time.Duration(share*float64(s.route.Target)), time.Until(s.deadline))
}

// waitForPlace reserves room for a run and its copy, and waits for it if there is none.
func (s *stream) waitForPlace(need gladefleet.Requirements) (*gladefleet.Reservation, error) {
	if s.ordersByTarget() {
		return s.waitForTurn(need)
	}
	queue, now := s.queue(s.service), time.Now()
	need.Waiting = true
	r := s.queueRequest(need)
	if queue.Empty() || s.mayHaveRun {
		if place, err := s.choose(need, false); !s.hasRoomSoon(err) {
			return place, err
		}
	}
	wait := s.maxWait()
	if !s.mayHaveRun && queue.ExceedsWait(r, wait, now) {
		return s.chooseLast(need)
	}
	s.count("waiting")
	s.log("Waiting for room.", "rank", r.Rank, "waiting", queue.Len(), "upToMs", wait.Milliseconds())
	return s.awaitPlace(queue.Enqueue(r, now), need, now, wait)
}

// awaitPlace waits in a queue, which the stream has joined at the time since, until it gets a place or has waited for its maximum wait.
func (s *stream) awaitPlace(w *gladeline.Waiter, need gladefleet.Requirements, since time.Time, wait time.Duration) (*gladefleet.Reservation, error) {
	served := false
	defer func() {
		w.Remove(served, time.Now())
		s.observe("wait", time.Since(since))
	}()
	tick := time.NewTicker(roomCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return nil, s.ctx.Err()
		case <-tick.C:
		}
		if w.IsNext(time.Now()) {
			if place, err := s.choose(need, true); !s.hasRoomSoon(err) {
				served = err == nil
				return place, err
			}
		}
		if time.Since(since) >= wait {
			return s.chooseLast(need)
		}
	}
}

// queueRequest returns how the stream waits in a queue. Within a priority, generations that have begun come before new ones.
func (s *stream) queueRequest(need gladefleet.Requirements) gladeline.Request {
	r := gladeline.Request{Rank: 2 * s.rank(), Organisation: s.organisation, Cost: need.Tokens}
	if s.mayHaveRun {
		r.Rank--
	}
	if s.ordersByTarget() {
		r.Times = s.times(time.Now())
	}
	return r
}

// hasRoomSoon reports whether a request for which there is no place waits for one.
func (s *stream) hasRoomSoon(err error) bool {
	if backoff, ok := errors.AsType[*gladefleet.BackoffError](err); ok {
		return time.Until(backoff.Until) < s.maxWait()
	}
	return errors.Is(err, gladefleet.ErrFull)
}

// chooseLast makes the last try of a request that finds no room. The caller of one that has begun has a part of the answer, so
// that one is sent even to servers without room. Where only limits are in the way, the try tells when there is room.
func (s *stream) chooseLast(need gladefleet.Requirements) (*gladefleet.Reservation, error) {
	need.Waiting = false
	switch {
	case s.mayHaveRun:
		need.Limits = gladefleet.CapacityLimits{}
	case !s.config.Fleet.OnlyExhausted(s.service, time.Now()):
		return nil, gladefleet.ErrFull
	}
	return s.choose(need, false)
}

// choose reserves a place on a server.  If servers crashed recently and another server could keep a copy, it fails with
// ErrFull unless room for the copy is reserved too.  claim reports that other VMs may reserve the same room at the same time; it
// is released again if too many did.
func (s *stream) choose(need gladefleet.Requirements, claim bool) (*gladefleet.Reservation, error) {
	claimed := false
	need.Versions = s.versionRule()
	place, err := s.reserve(need, gladequota.Request{Resumed: s.mayHaveRun}, func(place *gladefleet.Reservation) error {
		s.dropCopy()
		s.reserveCopy(place, need.Limits)
		if s.copy == nil && s.copies() && need.Limits.Memory > 0 && s.config.Fleet.CrashedRecently(s.service, time.Now()) &&
			s.config.Fleet.HasCopyCandidate(place.Server, s.repeatRule(), s.avoid, time.Now()) {
			return gladefleet.ErrFull
		}
		if !claim {
			return nil
		}
		claimed = true
		s.config.OnLoadChange()
		time.Sleep(claimDelay)
		if s.config.Fleet.ShouldRelease(place, need.Limits) {
			return gladefleet.ErrFull
		}
		return nil
	})
	if err != nil {
		s.dropCopy()
		if claimed {
			s.config.OnLoadChange()
		}
	}
	return place, err
}

// reserveCopy reserves room for the copy of a run on another server, if copies are used.
func (s *stream) reserveCopy(place *gladefleet.Reservation, room gladefleet.CapacityLimits) {
	if !s.copies() {
		return
	}
	if s.copy = s.config.Fleet.ChooseCopy(place.Server, s.maxTokens(), room, s.repeatRule(), s.avoid, time.Now()); s.copy != nil {
		s.copyName = s.config.CopyName(s.copy.Address, s.call.ID)
	}
}

// rank returns the priority of a request, 0 for the highest.  The priority of its organisation overrides that of its
// route.
func (j *job) rank() int {
	if o := j.release.Organisations[j.call.Key]; o.Prioritised {
		return o.Priority
	}
	return j.route.Priority
}

// urgency returns the urgency value that is sent to engines.
func (j *job) urgency() int {
	return min(maxUrgency, max(0, j.rank()))
}

// fullRetryAfter returns the Retry-After value for a request that is refused for lack of room.
func (s *stream) fullRetryAfter() time.Duration {
	if s.ordersByTarget() {
		return s.timedRetryAfter(rand.Float64())
	}
	after := float64(s.meanFullRetryAfter()) * (0.5 + rand.Float64())
	return time.Duration(after).Round(time.Millisecond)
}

// meanFullRetryAfter returns the mean of these values.
func (s *stream) meanFullRetryAfter() time.Duration {
	if s.ordersByTarget() {
		return s.timedRetryAfter(0.5)
	}
	return time.Duration(retryAfterShare * float64(s.route.Target))
}
