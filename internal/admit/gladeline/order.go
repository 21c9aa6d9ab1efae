package gladeline

import "time"

const (
	// leftStep is the granularity of the time left in which a place lets a request meet its target. Requests of one step are ordered
	// by organisation, so that a shorter step would leave organisations without influence.
	leftStep = 500 * time.Millisecond
	// maxSteps bounds the steps; a request with more time left counts as having this many.
	maxSteps = 240
	// lateStep is the step of a request that cannot meet its target any more.
	lateStep = maxSteps + 1
	// dueSteps is subtracted from the step of a raised request that precedes more urgent ones, see agedShare.
	dueSteps = lateStep + 1
	// agedShare is how many places more urgent requests get for each place of less urgent ones before a raised request precedes
	// them. With 8, an urgent route that could use all places leaves the less urgent one a ninth.
	agedShare = 8
)

// Times place a request in an order by time. The zero value leaves it ordered by rank, organisation and arrival.
type Times struct {
	// At is when the request was ready to wait.
	At time.Time
	// Target is when the first event is due.
	Target time.Time
	// Latest is the last time at which a place lets the request meet its target.
	Latest time.Time
	// Raise is when the request is raised by one priority.
	Raise time.Time
}

// placement is a request that got a place.
type placement struct {
	at   time.Time
	rank int
}

// position is where a request stands in the order by priority and time; the lowest goes first.
type position struct{ rank, step int }

// less reports whether p precedes o.
func (p position) less(o position) bool {
	return p.rank < o.rank || p.rank == o.rank && p.step < o.step
}

// priority returns the priority of a rank, of which each has two: requests that have begun come before new ones.
func priority(rank int) int { return (rank + 1) >> 1 }

// raised returns a rank raised by one priority, if there is a higher one.
func raised(rank int) int {
	if rank > 0 {
		return rank - 2
	}
	return rank
}

// step returns the time left until Latest in steps. The time until Target would let large prompts starve: they need a place sooner
// than small ones that are due at the same time.
func (t *Times) step(now time.Time) int {
	if now.After(t.Latest) {
		return lateStep
	}
	return min(maxSteps, int(t.Latest.Sub(now)/leftStep))
}

// position returns where a request stands at a time.
func (l *Queue) position(r *Request, now time.Time) position {
	if r.Times == (Times{}) {
		return position{rank: r.Rank}
	}
	if now.Before(r.Times.Raise) {
		return position{r.Rank, r.Times.step(now)}
	}
	if l.passedOver(r.Rank, now) {
		return position{0, r.Times.step(now) - dueSteps}
	}
	return position{raised(r.Rank), r.Times.step(now)}
}

// passedOver reports whether requests of a rank's priority and below got less than their share of the latest places.
func (l *Queue) passedOver(rank int, now time.Time) bool {
	before, own := 0, 0
	for _, p := range l.placements {
		if now.Sub(p.at) > rateWindow {
			continue
		}
		if priority(p.rank) < priority(rank) {
			before++
		} else {
			own++
		}
	}
	return own*agedShare < before
}

// Prepare returns a request that is not in the queue yet.
func (l *Queue) Prepare(r Request) *Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Waiter{Request: r, queue: l, sequence: l.lastSequence + 1}
}

// Enqueue adds a prepared request to its queue.
func (w *Waiter) Enqueue(now time.Time) {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	w.queue.enqueue(w, now)
}

// RecordPlacement records that a request of a service whose order is by time got a place.
func (l *Queue) RecordPlacement(rank int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.placements) > 0 && now.Sub(l.placements[0].at) > rateWindow {
		l.placements = l.placements[1:]
	}
	l.placements = append(l.placements, placement{now, rank})
}

// ExpectedWait returns how long a request that joins now would wait at the rate at which places were given lately. The requests of
// its own priority and below get what more urgent ones leave them, now and later, so that the wait behind them is taken at their own
// rate. It returns false if the rates are not known: until requests have waited for rateWindow, places are given as requests arrive.
func (l *Queue) ExpectedWait(r Request, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expectedWait(&r, now)
}

func (l *Queue) expectedWait(r *Request, now time.Time) (time.Duration, bool) {
	if len(l.waiting) == 0 || now.Sub(l.busySince) < rateWindow {
		return 0, false
	}
	given, givenOwn := 0, 0
	for _, p := range l.placements {
		if now.Sub(p.at) > rateWindow {
			continue
		}
		given++
		if priority(p.rank) >= priority(r.Rank) {
			givenOwn++
		}
	}
	ahead, aheadOwn := l.ahead(r, now)
	return max(waitFor(ahead, given), waitFor(aheadOwn, givenOwn)), true
}

// waitFor returns the time until a number of places have been given, if as many as given are given in each rateWindow.
func waitFor(places, given int) time.Duration {
	return time.Duration(float64(places) * float64(rateWindow) / float64(max(1, given)))
}
