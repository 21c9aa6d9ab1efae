package gladefleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// ErrFull means that the backend servers that could take the request have no room for it.
var ErrFull = eris.New("no backend server has room")

const (
	// openShare is the share of a server's memory below which it takes one more run or copy.  It is the same for all
	// sizes, so that large prompts are not passed over for small ones; a run fills what is left only at its end.
	openShare = 0.85
	// speedWeight is the weight of one more prompt in the speed at which a service's servers read.
	speedWeight = 0.1
	// minSpread spreads VMs that see the same loads, in tokens; herdSpread is the number of requests by which loads are
	// blurred just after a crash, when all VMs place at once what they had there.
	minSpread, herdSpread = 100.0, 6.0
	// crashMemory is how long after a crash further ones are expected.
	crashMemory = time.Minute
)

// Room bounds what a server may hold to get one more run; zero values bound nothing.
type Room struct {
	// Memory is the number of tokens that a server holds.
	Memory int
	// Unread is the number of tokens of prompts that may wait to be read on a server, the new one's included.
	Unread int
}

// Load is what this VM knows to be on a server.
type Load struct {
	Runs int
	// Unread are the tokens of prompts that wait to be read, Filled those that runs and copies take up.
	Unread, Filled int
}

// fits reports whether a server that is open to a share of its memory has room for a request.
func (r Room) fits(e *entry, n Need, open float64) bool {
	if r.Memory > 0 && e.Slots > 0 && e.held() >= e.Slots {
		return false
	}
	if unread := e.unread(); r.Unread > 0 && unread > 0 && unread+n.Prompt > r.Unread {
		return false
	}
	return r.remembers(e, open)
}

// remembers reports whether the memory of a server that is open to a share of it has room for one more run or copy.
func (r Room) remembers(e *entry, open float64) bool {
	return r.Memory <= 0 || float64(e.filled()) <= open*float64(r.Memory)
}

// SetWide tells whether the fleet is so large that of what other failure domains' VMs have on the servers only the sum on
// the own domain's is known, and that late.
func (t *Table) SetWide(wide bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wide = wide
}

// KeepDomain drops the shares of servers outside a failure domain.
func (t *Table) KeepDomain(shares map[string]Share, domain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(shares, func(id string, _ Share) bool {
		e := t.servers[id]
		return e == nil || e.FailureDomain != domain
	})
}

// late reports whether this VM does not learn what most other VMs place on a server: those of the server's own failure
// domain.
func (t *Table) late(e *entry) bool {
	return t.wide && e.FailureDomain != t.config.FailureDomain
}

// openShare returns the share of its memory up to which a server takes one more run or copy; where only what the own
// failure domain has there is known, each domain has an equal part.
func (t *Table) openShare(e *entry) float64 {
	if t.late(e) {
		return openShare / float64(max(1, t.config.FailureDomains))
	}
	return openShare
}

// unread returns the tokens of prompts that wait to be read on a server.
func (e *entry) unread() int {
	n := e.prompt
	for _, s := range e.peers {
		n += s.Prompt
	}
	return n
}

// filled returns the tokens that runs and copies take up on a server.
func (e *entry) filled() int {
	n := e.memory + e.copies
	for _, s := range e.peers {
		n += s.Memory + s.Copies
	}
	return n
}

// measure takes in how long a service's server took to read a number of tokens.
func (t *Table) measure(service string, tokens int, took time.Duration) {
	if took <= 0 {
		return
	}
	speed := float64(tokens) / took.Seconds()
	if known, ok := t.speeds[service]; ok {
		speed = known + speedWeight*(speed-known)
	}
	t.speeds[service] = speed
}

// Speed returns the tokens of prompts that a service's servers read in a second, zero as long as none was seen to.
func (t *Table) Speed(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.speeds[service]
}

// Crashing reports whether a service's servers have crashed of late.
func (t *Table) Crashing(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.crashed[service]
	return ok && now.Sub(at) < crashMemory
}

// CopyPlaces reports whether any other server could keep a copy of a run, were there room.
func (t *Table) CopyPlaces(run Server, avoid []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.services[run.Service] {
		if t.keepsCopy(e, run, avoid, now) {
			return true
		}
	}
	return false
}

// keepsCopy reports whether a server could keep a copy of a run.
func (t *Table) keepsCopy(e *entry, run Server, avoid []string, now time.Time) bool {
	return e.ID != run.ID && e.open(now) && !t.out(e, now) && !slices.Contains(avoid, e.ID)
}

// spread is the largest random part of a server's load, in tokens, for a request that adds some itself.
func (t *Table) spread(service string, tokens int, now time.Time) float64 {
	if at, ok := t.herd[service]; ok && now.Sub(at) < burstWindow {
		return max(minSpread, herdSpread*float64(tokens))
	}
	return minSpread
}

// blurred returns a server's load with a random part up to spread, so that VMs which see the same loads choose different
// servers; where loads are known late they are blurred as after a crash.
func (t *Table) blurred(e *entry, spread float64, tokens int) float64 {
	if t.late(e) {
		spread = max(spread, herdSpread*float64(tokens))
	}
	return e.load() + spread*rand.Float64()
}

// Crowded reports whether a place should be given up, because other VMs took room on the server at the same moment.
//
// Of those that took it together as many keep it as there is room for, by chance.
func (t *Table) Crowded(k *Taken, r Room) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, keep := k.entry, 1.0
	if unread := e.unread(); r.Unread > 0 && unread > k.prompt {
		keep = min(keep, float64(r.Unread)/float64(unread))
	}
	if filled := e.filled(); r.Memory > 0 {
		keep = min(keep, float64(r.Memory)/float64(filled))
	}
	return rand.Float64() > keep
}
