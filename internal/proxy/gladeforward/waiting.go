package gladeforward

import (
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladeline"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

// ordersByTarget reports whether the generations that wait for room are ordered by the time left until their targets, and wait as long
// as these permit. It is where the routes of a service differ in priority.
func (j *job) ordersByTarget() bool {
	return j.route.Target > 0 && j.release.Services[j.service].Engine != nil && j.priorities.differ(j.release, j.service)
}

// timing returns what the maximum wait of the stream and its Retry-After depend on.
func (s *stream) timing(now time.Time) gladeline.Timing {
	target := float64(s.route.Target)
	t := gladeline.Timing{
		Target: s.route.Target, MinWait: time.Duration(waitShare * target), RetryAfter: time.Duration(retryAfterShare * target),
	}
	if s.incoming != nil { // there is none in an explanation
		t.Elapsed = now.Sub(s.incoming.LastByteAt)
	}
	if rate := s.config.Fleet.PrefillRate(s.service); rate > 0 {
		t.Prefill = time.Duration(float64(max(1, s.call.PromptTokens)) / rate * float64(time.Second))
	}
	return t
}

// times returns the times by which the stream is ordered in a queue that it joins now.
func (s *stream) times(now time.Time) gladeline.Times {
	t := s.timing(now)
	due := now.Add(t.Target - t.Elapsed)
	return gladeline.Times{At: now, Target: due, Latest: due.Add(-t.Prefill), Raise: now.Add(s.maxWait() / 2)}
}

// timedRetryAfter returns the Retry-After value for a stream that is refused for lack of room; random is from [0, 1).
func (s *stream) timedRetryAfter(random float64) time.Duration {
	now := time.Now()
	r := gladeline.Request{Rank: 2 * s.rank(), Organisation: s.organisation, Times: s.times(now)}
	expected, _ := s.queue(s.service).ExpectedWait(r, now)
	return s.timing(now).RetryAfterFor(expected-s.maxWait(), random).Round(time.Millisecond)
}

// waitForTurn is waitForPlace where the order is by the time left until the target.
func (s *stream) waitForTurn(need gladefleet.Requirements) (*gladefleet.Reservation, error) {
	queue, now := s.queue(s.service), time.Now()
	need.Waiting = true
	w := queue.Prepare(s.queueRequest(need))
	if s.mayHaveRun || w.IsNext(now) {
		if place, err := s.choose(need, false); !s.hasRoomSoon(err) {
			return s.recordPlacement(w, place, err)
		}
	}
	wait := s.maxWait()
	if expected, known := queue.ExpectedWait(w.Request, now); !s.mayHaveRun && known && expected > wait {
		s.count("waiting.tooLong")
		s.log("Wait would be too long.", "rank", w.Rank, "waiting", queue.Len(), "expectedMs", expected.Milliseconds(), "upToMs", wait.Milliseconds())
		return s.chooseLast(need)
	}
	s.count("waiting")
	s.log("Waiting for room.", "rank", w.Rank, "waiting", queue.Len(), "upToMs", wait.Milliseconds(), "leftMs", time.Until(w.Times.Target).Milliseconds())
	w.Enqueue(now)
	place, err := s.awaitPlace(w, need, now, wait)
	return s.recordPlacement(w, place, err)
}

// recordPlacement records the place of a request, if it got one, in the rate at which places are given.
func (s *stream) recordPlacement(w *gladeline.Waiter, place *gladefleet.Reservation, err error) (*gladefleet.Reservation, error) {
	if err == nil {
		s.queue(s.service).RecordPlacement(w.Rank, time.Now())
	}
	return place, err
}
