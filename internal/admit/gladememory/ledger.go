package gladememory

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// StallTime is how long a request may make no progress before it can lose its place.  A VM gets processor time in slices, so that
	// all requests seem to stand still for a few tenths of a second.
	StallTime = time.Second
	// minStepBytes and stepShare tell what progress is: the larger of minStepBytes and one in stepShare of what the request occupies.
	// A trickle of single bytes is no progress.
	minStepBytes, stepShare = 4 << 10, 64
)

// Errors of requests that get no memory.
var (
	// ErrNoRoom means that there is no memory for a request, and no other one makes room for it.
	ErrNoRoom = eris.New("no memory for the request")
	// ErrEvicted means that a request made room for another one.
	ErrEvicted = eris.New("request made no progress while memory was short")
	// errReleased means that a request has ended.
	errReleased = eris.New("request has ended")
)

// Stage is what a request is doing.
type Stage int

const (
	// Receiving means that the request arrives from its caller.
	Receiving Stage = iota
	// Held means that the request waits for a place or a server works on it.  It is not evicted in this stage.
	Held
	// Sending means that the request's body is written to a server.
	Sending
	// Answering means that a part of the answer is written to the caller.
	Answering
)

// String returns the name of the stage.
func (s Stage) String() string { return [...]string{"receiving", "held", "sending", "answering"}[s] }

// Eviction describes a request that made room for another one.
type Eviction struct {
	Stage Stage
	// Bytes is what the request occupied, and Need what the other one needed.
	Bytes, Need int64
	// Stalled is the time since its last progress.
	Stalled time.Duration
	// Used is what all large requests occupied, and Limit what they may occupy.
	Used, Limit int64
}

// Config configures a Ledger.
type Config struct {
	Limits Limits
	// OnEvicted is called for each request that makes room for another one; nil means that nobody listens.
	OnEvicted func(Eviction)
}

// Ledger counts the memory that the requests occupy.  Its methods and those of its holds are safe for concurrent use.
type Ledger struct {
	config Config

	mu           sync.Mutex
	small, large int64
	// holds are the holds that occupy memory for large requests.
	holds map[*Hold]struct{}
	stats Stats
}

// Stats are the state of a Ledger, and what it has done.
type Stats struct {
	// Small and Large are the bytes that small and large requests occupy, by stage for the latter.
	Small, Large int64
	Stages       [Answering + 1]int64
	// Refused is the number of times that there was no room, and Evicted the number of evicted requests by stage.
	Refused int64
	Evicted [Answering + 1]int64
}

// New returns an empty ledger.
func New(c Config) *Ledger { return &Ledger{config: c, holds: map[*Hold]struct{}{}} }

// Stats returns the current state.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Small, s.Large = l.small, l.large
	for h := range l.holds {
		s.Stages[h.stage] += h.bytes
	}
	return s
}

// Hold counts the memory that one request occupies.  A nil Hold counts nothing and never refuses.
type Hold struct {
	ledger *Ledger
	evict  func()

	// The ledger's lock guards the fields below.

	bytes int64
	// large reports that the bytes count as those of a large request.
	large bool
	stage Stage
	// moved is the number of bytes moved since progressAt, the time of the last progress.
	moved      int64
	progressAt time.Time
	// ended is why the hold counts nothing any more, nil while it does.
	ended error
}

// NewHold returns the hold of a request that begins to arrive.  evict is called, by another request, if the request has to make room;
// it must end the request.  A nil ledger returns a nil hold.
func (l *Ledger) NewHold(evict func()) *Hold {
	if l == nil {
		return nil
	}
	return &Hold{ledger: l, evict: evict}
}

// Grow adds n bytes.  It evicts stalled requests if there is no room otherwise, and fails with ErrNoRoom if that does not suffice.
func (h *Hold) Grow(n int, now time.Time) error {
	if h == nil {
		return nil
	}
	l := h.ledger
	l.mu.Lock()
	if h.ended != nil {
		l.mu.Unlock()
		return h.ended
	}
	if !h.large && h.bytes+int64(n) <= SmallBytes && l.small+int64(n) <= l.config.Limits.Small {
		l.small += int64(n)
		h.bytes += int64(n)
		l.mu.Unlock()
		return nil
	}
	need := int64(n)
	if !h.large {
		need += h.bytes
	}
	victims, evictions, ok := l.makeRoom(h, need, now)
	if ok {
		h.count(int64(n), now)
	} else {
		l.stats.Refused++
	}
	l.mu.Unlock()
	for i, v := range victims {
		v.evict()
		if l.config.OnEvicted != nil {
			l.config.OnEvicted(evictions[i])
		}
	}
	if !ok {
		return ErrNoRoom
	}
	return nil
}

// count adds n bytes to a hold that is large from now on.  The caller holds the lock.
func (h *Hold) count(n int64, now time.Time) {
	l := h.ledger
	if !h.large {
		l.small -= h.bytes
		l.large += h.bytes
		h.large, h.progressAt = true, now
		l.holds[h] = struct{}{}
	}
	h.bytes += n
	l.large += n
}

// makeRoom evicts stalled requests until there is room for a further need bytes of h.  It evicts none if that would not suffice.  The
// caller holds the lock, and calls evict of the result without it.
func (l *Ledger) makeRoom(h *Hold, need int64, now time.Time) ([]*Hold, []Eviction, bool) {
	lacking := l.large + need - l.config.Limits.Large
	if lacking <= 0 {
		return nil, nil, true
	}
	var stalled []*Hold
	for o := range l.holds {
		if o != h && o.stage != Held && now.Sub(o.progressAt) >= StallTime {
			stalled = append(stalled, o)
		}
	}
	slices.SortFunc(stalled, func(a, b *Hold) int { return a.progressAt.Compare(b.progressAt) })
	for i, o := range stalled {
		if lacking -= o.bytes; lacking <= 0 {
			return stalled[:i+1], l.endAll(stalled[:i+1], need, now), true
		}
	}
	return nil, nil, false
}

// endAll ends holds that make room for a further need bytes.  The caller holds the lock.
func (l *Ledger) endAll(victims []*Hold, need int64, now time.Time) []Eviction {
	evictions := make([]Eviction, 0, len(victims))
	for _, v := range victims {
		l.stats.Evicted[v.stage]++
		evictions = append(evictions, Eviction{
			Stage: v.stage, Bytes: v.bytes, Need: need, Stalled: now.Sub(v.progressAt), Used: l.large, Limit: l.config.Limits.Large,
		})
		v.end(ErrEvicted)
	}
	return evictions
}

// end gives back all bytes.  The caller holds the lock.
func (h *Hold) end(reason error) {
	if h.ended != nil {
		return
	}
	h.ended = reason
	if h.large {
		h.ledger.large -= h.bytes
		delete(h.ledger.holds, h)
	} else {
		h.ledger.small -= h.bytes
	}
	h.bytes = 0
}

// Shrink gives back n bytes.
func (h *Hold) Shrink(n int) {
	if h == nil || n == 0 {
		return
	}
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	if h.ended != nil {
		return
	}
	h.bytes -= int64(n)
	if h.large {
		h.ledger.large -= int64(n)
	} else {
		h.ledger.small -= int64(n)
	}
}

// Moved records that n bytes were read or written in the current stage.
func (h *Hold) Moved(n int, now time.Time) {
	if h == nil {
		return
	}
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	h.moved += int64(n)
	if h.moved >= max(minStepBytes, h.bytes/stepShare) {
		h.moved, h.progressAt = 0, now
	}
}

// Begin begins a stage.  It fails with ErrEvicted if the request has been evicted, which must then end.
func (h *Hold) Begin(s Stage, now time.Time) error {
	if h == nil {
		return nil
	}
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	h.stage, h.moved, h.progressAt = s, 0, now
	return h.ended
}

// End returns to Held from the given stage; it does nothing if another one has begun.
func (h *Hold) End(s Stage) {
	if h == nil {
		return
	}
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	if h.stage == s {
		h.stage = Held
	}
}

// Release gives back all bytes at the end of the request.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	h.end(errReleased)
}
