package gladeline

import (
	"sync"
	"time"
)

// rateWindow is the time over which the service rate of a queue is taken. It is long enough for several requests and
// short against a burst.
const rateWindow = 2 * time.Second

// Request describes a request that may have to wait.
type Request struct {
	// Rank orders requests by urgency; the lowest goes first.
	Rank int
	// Organisation is the organisation that sent the request; all its requests count together.
	Organisation string
	// Cost is what serving the request counts for its organisation, in tokens.
	Cost int
	// Times are set where the order is by the time left until the target.
	Times Times
}

// Waiter is a request in a queue.
type Waiter struct {
	Request
	queue    *Queue
	sequence int64
}

// Queue holds the requests that wait for one service at one VM.
type Queue struct {
	mu           sync.Mutex
	waiting      []*Waiter
	lastSequence int64
	// virtualTimes holds the tokens counted for each organisation, which start from the baseline.
	virtualTimes map[string]int
	// baseline is the virtual time of the organisation served last, at which idle ones start.
	baseline int
	// busySince is when the queue was last empty.
	busySince time.Time
	// servedAt holds the times at which requests were served within the last rateWindow.
	servedAt []time.Time
	// placements are the latest places, where the order is by time; older ones than rateWindow do not count.
	placements []placement
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{virtualTimes: map[string]int{}}
}

// Enqueue adds a request to the queue.
func (l *Queue) Enqueue(r Request, now time.Time) *Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &Waiter{Request: r, queue: l}
	l.enqueue(w, now)
	return w
}

func (l *Queue) enqueue(w *Waiter, now time.Time) {
	if len(l.waiting) == 0 {
		l.busySince = now
	}
	l.lastSequence++
	w.sequence = l.lastSequence
	l.waiting = append(l.waiting, w)
}

// Empty reports whether no request waits.
func (l *Queue) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) == 0
}

// Len returns the number of waiting requests.
func (l *Queue) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// ExceedsWait reports whether a request that joins now would still wait after the given time, at the current service
// rate.
func (l *Queue) ExceedsWait(r Request, wait time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Times != (Times{}) {
		expected, known := l.expectedWait(&r, now)
		return known && expected > wait
	}
	l.trimServed(now)
	if len(l.waiting) == 0 || now.Sub(l.busySince) < rateWindow {
		return false // the rate is not known yet
	}
	ahead := 0
	for _, w := range l.waiting {
		if w.Rank <= r.Rank {
			ahead++
		}
	}
	return float64(ahead) > float64(len(l.servedAt))*wait.Seconds()/rateWindow.Seconds()
}

// Ahead returns the number of waiting requests that would precede a request that joins now.
func (l *Queue) Ahead(r Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	ahead, _ := l.ahead(&r, r.Times.At)
	return ahead
}

// ahead returns the number of waiting requests that would precede a request, and how many of them are not more urgent by their own
// priority.
func (l *Queue) ahead(r *Request, now time.Time) (all, own int) {
	last := &Waiter{Request: *r, sequence: l.lastSequence + 1}
	for _, w := range l.waiting {
		if !l.precedes(w, last, now) {
			continue
		}
		all++
		if priority(w.Rank) >= priority(r.Rank) {
			own++
		}
	}
	return all, own
}

// IsNext reports whether the request is the next to be served.
func (w *Waiter) IsNext(now time.Time) bool {
	l := w.queue
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.waiting {
		if o != w && l.precedes(o, w, now) {
			return false
		}
	}
	return true
}

// precedes reports whether request a is served before request b.
func (l *Queue) precedes(a, b *Waiter, now time.Time) bool {
	if p, o := l.position(&a.Request, now), l.position(&b.Request, now); p != o {
		return p.less(o)
	}
	if x, y := l.virtualTime(a.Organisation), l.virtualTime(b.Organisation); a.Organisation != b.Organisation && x != y {
		return x < y
	}
	return a.sequence < b.sequence
}

// virtualTime returns the tokens counted for an organisation. One that was idle is raised to the baseline, so that it
// cannot save up room.
func (l *Queue) virtualTime(organisation string) int {
	return max(l.virtualTimes[organisation], l.baseline)
}

// Remove takes a request out of the queue; served reports that it got room.
func (w *Waiter) Remove(served bool, now time.Time) {
	l := w.queue
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, o := range l.waiting {
		if o == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			break
		}
	}
	if !served {
		return
	}
	l.baseline = l.virtualTime(w.Organisation)
	l.virtualTimes[w.Organisation] = l.baseline + w.Cost
	l.servedAt = append(l.servedAt, now)
	l.trimServed(now)
	if len(l.waiting) == 0 {
		clear(l.virtualTimes)
		l.baseline = 0
	}
}

// trimServed removes the times that are older than rateWindow.
func (l *Queue) trimServed(now time.Time) {
	for len(l.servedAt) > 0 && now.Sub(l.servedAt[0]) > rateWindow {
		l.servedAt = l.servedAt[1:]
	}
}
