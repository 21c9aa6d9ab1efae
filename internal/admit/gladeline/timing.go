package gladeline

import "time"

// Timing holds what the maximum wait of a request and its Retry-After depend on.
type Timing struct {
	// Target is the time from the request's arrival until its first event is due, and Elapsed the part that has passed.
	Target, Elapsed time.Duration
	// Prefill is the expected time from a place to the first event, zero if it is not known.
	Prefill time.Duration
	// MinWait is the wait that each request is allowed, and RetryAfter the usual mean of Retry-After.
	MinWait, RetryAfter time.Duration
}

// slack returns for how long the request can wait for a place and still meet its target.
func (t Timing) slack() time.Duration { return t.Target - t.Elapsed - t.Prefill }

// MaxWait returns the maximum time that the request waits for a place. It leaves time for a retry by the caller: at most half of the
// time in which a place is of use, so that short targets are not spent on the retry alone.
func (t Timing) MaxWait() time.Duration {
	if t.Prefill <= 0 {
		return t.MinWait
	}
	slack := t.slack()
	return max(t.MinWait, slack-min(t.RetryAfter, slack/2))
}

// RetryAfterFor returns the Retry-After value of a refused request whose expected wait exceeds the maximum one by the given time. It
// is no longer than the time in which a retry meets the target, unless that time is too short for any retry. random is from [0, 1)
// and spreads the callers.
func (t Timing) RetryAfterFor(excess time.Duration, random float64) time.Duration {
	after := time.Duration(float64(t.RetryAfter) * (0.5 + random))
	if excess > 0 {
		after = max(after, time.Duration(float64(excess)*(1+excessSpread*random)))
	}
	if slack := t.slack(); t.Prefill > 0 && slack >= t.MinWait {
		after = min(after, slack)
	}
	return after
}

// excessSpread is the share of an excess over the maximum wait by which Retry-After is extended at random.
const excessSpread = 0.25
