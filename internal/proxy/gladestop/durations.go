package gladestop

import (
	"sync"
	"time"
)

const (
	// window is the time for which a duration counts at least; it counts for at most twice that time.
	window = 30 * time.Second
	// variation is the factor by which a request may take longer than the longest of many before it.
	variation = 1.5
	// fewVariation is divided by the number of requests before it and added to variation.
	fewVariation = 8.0
)

// Durations records how long requests take, by key.
type Durations struct {
	mu   sync.Mutex
	keys map[string]*samples
}

// samples are the requests of one key.
type samples struct {
	// began is the start of the current window.
	began             time.Time
	current, previous maximum
	running           map[*Run]struct{}
}

// maximum is the longest of a number of durations.
type maximum struct {
	count   int
	longest time.Duration
}

// Run is one request in progress.
type Run struct {
	durations *Durations
	key       string
	began     time.Time
}

// NewDurations returns a record without requests.
func NewDurations() *Durations { return &Durations{keys: map[string]*samples{}} }

// Begin records that a request begins.
func (d *Durations) Begin(key string, now time.Time) *Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.keys[key]
	if s == nil {
		s = &samples{began: now, running: map[*Run]struct{}{}}
		d.keys[key] = s
	}
	r := &Run{durations: d, key: key, began: now}
	s.running[r] = struct{}{}
	return r
}

// End records that the request has ended.  One that no server ran does not count.
func (r *Run) End(now time.Time, ran bool) {
	r.durations.mu.Lock()
	defer r.durations.mu.Unlock()
	s := r.durations.keys[r.key]
	delete(s.running, r)
	if !ran {
		return
	}
	s.advance(now)
	s.current.count++
	s.current.longest = max(s.current.longest, now.Sub(r.began))
}

// advance begins a new window if the current one is over.
func (s *samples) advance(now time.Time) {
	switch age := now.Sub(s.began); {
	case age < window:
		return
	case age < 2*window:
		s.previous = s.current
	default:
		s.previous = maximum{}
	}
	s.began, s.current = now, maximum{}
}

// Foresee returns the longest time that a request probably takes, and false if none has ended in the last windows.  Requests in
// progress count with the time that they have taken so far.
func (d *Durations) Foresee(key string, now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.keys[key]
	if s == nil {
		return 0, false
	}
	s.advance(now)
	count := s.current.count + s.previous.count
	if count == 0 {
		return 0, false
	}
	longest := max(s.current.longest, s.previous.longest)
	for r := range s.running {
		longest = max(longest, now.Sub(r.began))
	}
	return time.Duration((variation + fewVariation/float64(count)) * float64(longest)), true
}
