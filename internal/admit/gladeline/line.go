package gladeline

import (
	"sync"
	"time"
)

// turnWindow is the time over which the pace of a line is taken: long enough for several turns, short against a burst.
const turnWindow = 2 * time.Second

// Request is one that may have to wait.
type Request struct {
	// Rank is lowest for what goes first.
	Rank int
	// Organisation is who shares its turns with its other requests.
	Organisation string
	// Cost is what a turn counts for the organisation, in tokens.
	Cost int
}

// Waiting is a request in a line.
type Waiting struct {
	Request
	line   *Line
	number int64
}

// Line is the requests that wait for one service at one VM.
type Line struct {
	mu      sync.Mutex
	waiting []*Waiting
	number  int64
	// spent are the tokens that each organisation was given room for, floor what an idle one starts from.
	spent map[string]int
	floor int
	// since is when the line was last empty, turns are the times of the latest turns of requests that had waited.
	since time.Time
	turns []time.Time
}

// New returns an empty line.
func New() *Line {
	return &Line{spent: map[string]int{}}
}

// Join puts a request into the line.
func (l *Line) Join(r Request, now time.Time) *Waiting {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.since = now
	}
	l.number++
	w := &Waiting{Request: r, line: l, number: l.number}
	l.waiting = append(l.waiting, w)
	return w
}

// Empty reports whether nothing waits.
func (l *Line) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) == 0
}

// Len returns how many requests wait.
func (l *Line) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// Hopeless reports whether a request that joins now would still wait after the given time, at the pace of late.
func (l *Line) Hopeless(r Request, wait time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	if len(l.waiting) == 0 || now.Sub(l.since) < turnWindow {
		return false // the pace is not known yet
	}
	ahead := 0
	for _, w := range l.waiting {
		if w.Rank <= r.Rank {
			ahead++
		}
	}
	return float64(ahead) > float64(len(l.turns))*wait.Seconds()/turnWindow.Seconds()
}

// First reports whether it is the request's turn.
func (w *Waiting) First() bool {
	l := w.line
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.waiting {
		if o != w && l.before(o, w) {
			return false
		}
	}
	return true
}

// before reports whether a request's turn comes before another's.
func (l *Line) before(a, b *Waiting) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if x, y := l.due(a.Organisation), l.due(b.Organisation); a.Organisation != b.Organisation && x != y {
		return x < y
	}
	return a.number < b.number
}

// due returns what an organisation has been given; one that was idle does not save up turns.
func (l *Line) due(organisation string) int {
	return max(l.spent[organisation], l.floor)
}

// Leave takes a request out of the line; served tells that it got room.
func (w *Waiting) Leave(served bool, now time.Time) {
	l := w.line
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
	l.floor = l.due(w.Organisation)
	l.spent[w.Organisation] = l.floor + w.Cost
	l.turns = append(l.turns, now)
	l.forget(now)
	if len(l.waiting) == 0 {
		clear(l.spent)
		l.floor = 0
	}
}

// forget drops the turns that are too old to tell the pace.
func (l *Line) forget(now time.Time) {
	for len(l.turns) > 0 && now.Sub(l.turns[0]) > turnWindow {
		l.turns = l.turns[1:]
	}
}
