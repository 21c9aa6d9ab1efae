package gladequota

import (
	"math"
	"time"
)

const (
	// burstTime is the time over which unused requests accumulate.
	burstTime = 500 * time.Millisecond
	// minBurst is the smallest number of requests that accumulate, so that one can be kept for those that go first.
	minBurst = 2.0
	// resumedOverdraft is the number of requests that resumed generations may use in advance: their callers wait within an
	// answer.
	resumedOverdraft = 2.0
	// maxDebt is the largest number of requests that count against later ones.
	maxDebt = 4.0
	// contentionWindow is how long after a denial the others leave a request for those who were denied.
	contentionWindow = 4 * time.Second
	// fairnessTime is the time constant by which granted requests count for their organisations.
	fairnessTime = 4 * time.Second
	// maxRetryAfter bounds the time after which a caller is told to come back.
	maxRetryAfter = 30 * time.Second
	// minWait is the shortest time after which a VM is told to ask again.
	minWait = 5 * time.Millisecond
	// maxWait is the longest one: the bucket may be refilled sooner, by a new limit.
	maxWait = 2 * time.Second
)

// bucket grants the requests of one server at its coordinator.
type bucket struct {
	tokens    float64
	filledAt  time.Time
	grantedAt time.Time
	// promisedAt is the time that was told to the last caller who was refused.
	promisedAt time.Time
	// deniedRanks holds when a request of each rank was denied last.
	deniedRanks   map[int]time.Time
	organisations map[string]*organisation
	countedAt     time.Time
}

// organisation is the recent use of a server by one organisation.
type organisation struct {
	// granted decays with fairnessTime.
	granted           float64
	askedAt, deniedAt time.Time
}

func newBucket(now time.Time) bucket {
	return bucket{
		filledAt: now, promisedAt: now, countedAt: now, deniedRanks: map[int]time.Time{}, organisations: map[string]*organisation{},
	}
}

// fill adds the requests that have accumulated at a rate per second.
func (b *bucket) fill(perSecond float64, now time.Time) {
	burst := max(minBurst, perSecond*burstTime.Seconds())
	b.tokens = min(burst, b.tokens+perSecond*max(0, now.Sub(b.filledAt).Seconds()))
	b.filledAt = now
}

// charge counts requests that were sent without a grant. What is owed is bounded, so that a raised limit takes effect soon.
func (b *bucket) charge(n, perSecond float64, now time.Time) {
	b.fill(perSecond, now)
	b.tokens = max(-maxDebt, b.tokens-n)
}

// take grants a request, or returns how long it takes until the bucket can grant it.
func (b *bucket) take(r Request, perSecond float64, now time.Time) (granted bool, wait time.Duration) {
	b.fill(perSecond, now)
	o := b.count(r.Organisation, now)
	need := 1.0
	switch {
	case r.Resumed:
		need -= resumedOverdraft
	case r.Repeat || b.yields(r, o, now):
		need++
	}
	if b.tokens >= need {
		b.tokens--
		b.grantedAt = now
		o.granted++
		return true, 0
	}
	if !r.Repeat {
		o.deniedAt = now
		b.deniedRanks[r.Rank] = now
	}
	return false, perRequest(need-b.tokens, perSecond)
}

// perRequest returns the time in which a number of requests accumulate.
func perRequest(n, perSecond float64) time.Duration {
	if s := n / perSecond; s < maxRetryAfter.Seconds() {
		return time.Duration(s * float64(time.Second))
	}
	return maxRetryAfter
}

// count records that an organisation asks, and lets the use of all of them decay.
func (b *bucket) count(name string, now time.Time) *organisation {
	decay := math.Exp(-max(0, now.Sub(b.countedAt).Seconds()) / fairnessTime.Seconds())
	b.countedAt = now
	for n, o := range b.organisations {
		if o.granted *= decay; now.Sub(o.askedAt) > fairnessTime {
			delete(b.organisations, n)
		}
	}
	o := b.organisations[name]
	if o == nil {
		o = &organisation{}
		b.organisations[name] = o
	}
	o.askedAt = now
	return o
}

// yields reports whether a request leaves one to others: to more urgent ones, or to organisations that use less.
func (b *bucket) yields(r Request, own *organisation, now time.Time) bool {
	for rank, at := range b.deniedRanks {
		switch {
		case now.Sub(at) > contentionWindow:
			delete(b.deniedRanks, rank)
		case rank < r.Rank:
			return true
		}
	}
	total, denied := 0.0, false
	for _, o := range b.organisations {
		total += o.granted
		denied = denied || o != own && now.Sub(o.deniedAt) < contentionWindow && o.granted < own.granted
	}
	return denied && own.granted > total/float64(len(b.organisations))
}

// promise returns after which time a refused caller finds room, one after the other.
func (b *bucket) promise(wait time.Duration, perSecond float64, now time.Time, random float64) time.Duration {
	first := now.Add(wait)
	if b.promisedAt.Before(first) {
		b.promisedAt = first
	} else {
		b.promisedAt = b.promisedAt.Add(perRequest(1, perSecond))
	}
	if after := b.promisedAt.Sub(now); after < maxRetryAfter {
		return max(minWait, after)
	}
	b.promisedAt = now.Add(maxRetryAfter)
	return time.Duration((0.5 + 0.5*random) * float64(maxRetryAfter))
}
