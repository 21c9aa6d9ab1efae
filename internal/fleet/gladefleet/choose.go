package gladefleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Need is what a request asks of a server.
type Need struct {
	Service string
	// Prompt is the number of tokens to read, zero for a plain request.
	Prompt int
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

	table  *Table
	entry  *entry
	prompt int
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

// Choose picks a server and takes a place on it.
func (t *Table) Choose(n Need, now time.Time) (*Taken, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, reason := t.pick(n, now)
	if best == nil {
		return nil, eris.Wrap(ErrNoServer, n.Service)
	}
	return t.take(best, n.Prompt, reason), nil
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

func (t *Table) pick(n Need, now time.Time) (*entry, string) {
	var best, favourite *entry
	bestLoad, favouriteLoad, bestStanding := 0.0, 0.0, failing+1
	for _, e := range t.services[n.Service] {
		rank, ok := t.standing(e, now)
		if !ok || rank > bestStanding || slices.Contains(n.Avoid, e.ID) {
			continue
		}
		if rank < bestStanding {
			best, favourite, bestStanding = nil, nil, rank
		}
		load := t.cost(e)
		if best == nil || load < bestLoad {
			best, bestLoad = e, load
		}
		if n.Session != 0 && t.prefers(n.Session, e, favourite) {
			favourite, favouriteLoad = e, load
		}
	}
	switch {
	case best == nil || bestStanding > sound:
		return best, reasonDown
	case favourite != nil && favouriteLoad <= bestLoad+sessionTokens:
		return favourite, reasonSession
	case best.FailureDomain == t.config.FailureDomain:
		return best, reasonNear
	}
	return best, reasonFar
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

// cost is a server's load as this VM weighs it; the random part spreads VMs that see the same loads.
func (t *Table) cost(e *entry) float64 {
	cost := e.load() + 100*rand.Float64()
	if e.FailureDomain != t.config.FailureDomain {
		cost += farTokens
	}
	if e.held() >= e.Slots {
		cost += fullTokens
	}
	return cost
}

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

// Take takes a place on the server that holds a request's copy; it fails if that server is gone or down.
func (t *Table) Take(id string, now time.Time) (*Taken, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil || !e.open(now) || e.failed {
		return nil, eris.Wrap(ErrNoServer, id)
	}
	return t.take(e, 0, reasonCopy), nil
}

func (t *Table) take(e *entry, prompt int, reason string) *Taken {
	e.runs++
	e.prompt += prompt
	return &Taken{Server: e.Server, Reason: reason, table: t, entry: e, prompt: prompt, down: e.down}
}

// Read notes that the prompt has been read.
func (k *Taken) Read() {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.entry.prompt -= k.prompt
	k.prompt = 0
}

// Release gives the place back.
func (k *Taken) Release() {
	k.Read()
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.entry.runs--
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
func (t *Table) ChooseCopy(run Server, tokens int, avoid []string, now time.Time) *Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *entry
	bestCost := 0.0
	for _, e := range t.services[run.Service] {
		if e.ID == run.ID || !e.open(now) || t.out(e, now) || slices.Contains(avoid, e.ID) {
			continue
		}
		cost := e.load() + 100*rand.Float64()
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
