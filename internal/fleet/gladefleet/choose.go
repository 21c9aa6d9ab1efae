package gladefleet

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Need is what a request asks of a server.
type Need struct {
	Service string
	// Prompt is the number of tokens to read, zero for a plain request.
	Prompt int
	// Tokens is the room that the run takes up at its end.
	Tokens int
	// Room bounds what a server may hold to get the request.
	Room Room
	// Session is the hash of what the prompt shares with others of its session, zero for none.
	Session uint64
	// Avoid are the identifiers of servers that this request has failed on.
	Avoid []string
}

// Taken is a server's place that a request holds until Release.
type Taken struct {
	Server
	// Reason tells why it was chosen.
	Reason string
	// Load is what the server held when the place was taken, this run included.
	Load Load

	table  *Table
	entry  *entry
	prompt int
	tokens int
	taken  time.Time
	down   <-chan struct{}
}

// The reasons of choices.
const (
	reasonNear    = "least loaded in the failure domain"
	reasonFar     = "least loaded elsewhere"
	reasonSession = "has read the session"
	reasonDown    = "no sound server is left"
	reasonCopy    = "holds the copy"
)

// Choose picks a server and takes a place on it; ErrFull tells that no sound server has room.
func (t *Table) Choose(n Need, now time.Time) (*Taken, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, reason, full := t.pick(n, now)
	switch {
	case full:
		return nil, eris.Wrap(ErrFull, n.Service)
	case best == nil:
		return nil, eris.Wrap(ErrNoServer, n.Service)
	}
	return t.take(best, n.Prompt, n.Tokens, reason, now), nil
}

// standing ranks what a server is thought to be; a lower one is chosen only if no better is left.
type standing int

const (
	sound    standing = iota
	expired           // the store no longer lists it, perhaps by mistake
	doubtful          // servers beside it failed together
	failing           // it accepted no connection
)

// standing returns a server's rank, and false if it may get nothing new.
func (t *Table) standing(e *entry, now time.Time) (standing, bool) {
	switch {
	case !e.open(now):
		return 0, false
	case e.failed:
		return failing, true
	case t.out(e, now):
		return doubtful, true
	case !e.gone.IsZero():
		return expired, true
	}
	return sound, true
}

// pick returns the best server and why; full tells that there are sound ones and none has room.
func (t *Table) pick(n Need, now time.Time) (_ *entry, reason string, full bool) {
	var best, favourite *entry
	bestLoad, favouriteLoad, bestStanding := 0.0, 0.0, failing+1
	spread := t.spread(n.Service, n.Prompt, now)
	for _, e := range t.services[n.Service] {
		rank, ok := t.standing(e, now)
		if !ok || rank > bestStanding || slices.Contains(n.Avoid, e.ID) {
			continue
		}
		if rank < bestStanding {
			best, favourite, bestStanding, full = nil, nil, rank, false
		}
		if !n.Room.fits(e, n, t.openShare(e)) {
			full = full || rank == sound
			continue
		}
		load := t.cost(e, spread, n.Prompt)
		if best == nil || load < bestLoad {
			best, bestLoad = e, load
		}
		if n.Session != 0 && t.prefers(n.Session, e, favourite) {
			favourite, favouriteLoad = e, load
		}
	}
	switch {
	case best == nil:
		return nil, "", full
	case bestStanding > sound:
		return best, reasonDown, false
	case favourite != nil && favouriteLoad <= bestLoad+sessionTokens:
		return favourite, reasonSession, false
	case best.FailureDomain == t.config.FailureDomain:
		return best, reasonNear, false
	}
	return best, reasonFar, false
}

// prefers reports whether a session belongs to a server rather than to the favourite so far, the own domain first.
func (t *Table) prefers(session uint64, e, favourite *entry) bool {
	if favourite == nil {
		return true
	}
	near, other := e.FailureDomain == t.config.FailureDomain, favourite.FailureDomain == t.config.FailureDomain
	if near != other {
		return near
	}
	return mix(session^e.hash) > mix(session^favourite.hash)
}

// sessionTokens is how much more load the server that has read a session may have than the least loaded one.
const sessionTokens = 600

// cost is a server's load as this VM weighs it.
func (t *Table) cost(e *entry, spread float64, prompt int) float64 {
	cost := t.blurred(e, spread, prompt)
	if e.FailureDomain != t.config.FailureDomain {
		cost += farTokens
	}
	if t.late(e) {
		cost += lateTokens
	}
	if e.held() >= e.Slots {
		cost += fullTokens
	}
	return cost
}

// lateTokens is what a server counts more whose load is known late: the own domain's are used as long as they have room.
const lateTokens = 15000

// fullTokens is what a server without a free slot counts more.
const fullTokens = 20000

// open reports whether a server may get anything new.
func (e *entry) open(now time.Time) bool {
	return !e.Leaving && !e.replaced && (e.gone.IsZero() || now.Before(e.gone))
}

// Near returns the servers of a service in this VM's failure domain that can be used.
func (t *Table) Near(service string, now time.Time) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near []Server
	for _, e := range t.services[service] {
		if e.FailureDomain == t.config.FailureDomain && e.open(now) && !t.out(e, now) {
			near = append(near, e.Server)
		}
	}
	return near
}

// Take takes a place and room on the server that holds a request's copy; it fails if that server is gone or down.
func (t *Table) Take(id string, tokens int, now time.Time) (*Taken, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil || !e.open(now) || e.failed {
		return nil, eris.Wrap(ErrNoServer, id)
	}
	return t.take(e, 0, tokens, reasonCopy, now), nil
}

func (t *Table) take(e *entry, prompt, tokens int, reason string, now time.Time) *Taken {
	e.runs++
	e.prompt += prompt
	e.memory += tokens
	return &Taken{
		Server: e.Server, Reason: reason, table: t, entry: e, prompt: prompt, tokens: tokens,
		Load: Load{Runs: e.held(), Unread: e.unread(), Filled: e.filled()}, taken: now, down: e.down,
	}
}

// Read notes that the prompt has been read, which tells how fast servers read.
func (k *Taken) Read(now time.Time) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	if k.prompt > 0 && k.Reason != reasonSession {
		k.table.measure(k.Service, k.Load.Unread, now.Sub(k.taken))
	}
	k.read()
}

func (k *Taken) read() {
	k.entry.prompt -= k.prompt
	k.prompt = 0
}

// Release gives the place back.
func (k *Taken) Release() {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.read()
	k.entry.runs--
	k.entry.memory -= k.tokens
	k.tokens = 0
}

// Down returns a channel that is closed when the server is found down after the place was taken.
func (k *Taken) Down() <-chan struct{} {
	return k.down
}

// Copy is room for a copy of a run on another server.
type Copy struct {
	Server

	table  *Table
	entry  *entry
	tokens int
}

// ChooseCopy picks a server for the copy of a run, in another failure domain than the run's; nil if there is none.
//
// Of a run outside this VM's failure domain the copy is kept inside, so that one of both is reached when it is cut off.
// A server without room gets none: there it would push out a run.
func (t *Table) ChooseCopy(run Server, tokens int, room Room, avoid []string, now time.Time) *Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *entry
	bestCost := 0.0
	weight := int(copyShare * float64(tokens))
	spread := t.spread(run.Service, weight, now)
	for _, e := range t.services[run.Service] {
		if !t.keepsCopy(e, run, avoid, now) || !room.remembers(e, t.openShare(e)) {
			continue
		}
		cost := t.blurred(e, spread, weight)
		if e.FailureDomain == run.FailureDomain {
			cost += sameDomainTokens
		}
		if run.FailureDomain != t.config.FailureDomain && e.FailureDomain != t.config.FailureDomain {
			cost += farCopyTokens
		}
		if t.domains[e.Service+e.FailureDomain].recent(now) {
			cost += failingTokens
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return nil
	}
	best.copies += tokens
	return &Copy{Server: best.Server, table: t, entry: best, tokens: tokens}
}

const (
	// sameDomainTokens keeps a copy out of its run's failure domain while any other has a server.
	sameDomainTokens = 1e6
	// farCopyTokens brings the copy of a run elsewhere into the own failure domain unless that is much fuller.
	farCopyTokens = 12000
	// failingTokens keeps a copy out of a failure domain in which servers have just failed.
	failingTokens = 1e5
)

// Release gives the room back.
func (c *Copy) Release() {
	if c == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.entry.copies -= c.tokens
}

// mix spreads the bits of a hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
