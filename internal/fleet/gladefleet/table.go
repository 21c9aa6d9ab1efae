package gladefleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrNoServer means that no backend server can take the request.
var ErrNoServer = eris.New("no backend server can take the request")

const (
	// unlistedGrace is the longest time for which a server that the store no longer lists, or lists as leaving, may still be
	// chosen if there is no other. It covers entries that expired by mistake.
	unlistedGrace = 800 * time.Millisecond
	// listDelay is the longest time in which a change of the list reaches a VM (docs/design/budget.md).
	listDelay = 1500 * time.Millisecond
	// wordMargin is the time between a server's own word of its leaving and what a VM counts from.
	wordMargin = 500 * time.Millisecond
	// burstWindow is the time within which failures in one failure domain count as one burst.
	burstWindow = 1200 * time.Millisecond
	// burstThreshold is the number of failed servers in one burst from which the rest of their failure domain is
	// suspected.
	burstThreshold = 2
	// aliveWindow is how long after its last response a server needs no probe.
	aliveWindow = 100 * time.Millisecond
)

// Config configures a Table.
type Config struct {
	// FailureDomain is the failure domain of this VM.
	FailureDomain string
	// FailureDomains is the number of failure domains.
	FailureDomains int
	// AddressReuse is the time after the end of a server from which a server of another service may have its address.
	AddressReuse time.Duration
	// DrainBound is the time after which a leaving server must get no new requests; zero means at once.
	DrainBound time.Duration
	// BootTime returns the time by a clock that no step changes and that counts the time for which the VM is suspended;
	// nil means time.Now.
	BootTime func() time.Time
	// Random returns a random number from 0 up to but not including 1; nil means that of math/rand.
	Random func() float64
}

// Table holds the known backend servers, their load and their failures.
type Table struct {
	config Config

	mu       sync.Mutex
	servers  map[string]*entry
	services map[string][]*entry
	// failures holds recent failures by service and failure domain.
	failures map[domainKey]*domainFailures
	// lastCrash is the time of the last failure of a server, by service.
	// lastBurst is the time of the last burst of failures, by service.
	lastCrash, lastBurst map[string]time.Time
	// prefillRates are in tokens per second, by service.
	prefillRates map[string]float64
	// reports holds the services whose servers report how long work takes.
	reports map[string]*serviceReports
	// prefixes is what this VM remembers of the prefixes of prompts.
	prefixes prefixMemory
	// revision is the revision of the store up to which the servers are known, and digest the combined digest of their list.
	revision int64
	digest   uint64
	// rolloutsRevision is the revision of the store up to which the roll-outs are known.
	rolloutsRevision int64
	// lastHeard is when this VM last received anything from any server.
	lastHeard time.Time
	// largeFleet reports that the load from VMs of other failure domains is known late and only in part.
	largeFleet bool
}

// domainKey identifies a service's servers in one failure domain.
type domainKey struct{ service, domain string }

func (s *Server) domainKey() domainKey { return domainKey{s.Service, s.FailureDomain} }

// domainFailures counts the failures in the current burst of one service's servers in one failure domain.
type domainFailures struct {
	// first is the time of the first failure of the burst.
	first time.Time
	// last is the time of the latest failure of the burst.
	last time.Time
	// servers lists the identifiers of the servers that failed.
	servers []string
}

// isBurst reports whether so many servers failed recently that the others are suspected until they respond.
func (d *domainFailures) isBurst(now time.Time) bool {
	return d != nil && len(d.servers) >= burstThreshold && now.Sub(d.last) < burstWindow
}

// recent reports whether a server failed within burstWindow.
func (d *domainFailures) recent(now time.Time) bool {
	return d != nil && now.Sub(d.last) < burstWindow
}

// New returns an empty table.
func New(c Config) *Table {
	if c.BootTime == nil {
		c.BootTime = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	return &Table{
		config: c, servers: map[string]*entry{}, services: map[string][]*entry{}, failures: map[domainKey]*domainFailures{},
		lastCrash: map[string]time.Time{}, lastBurst: map[string]time.Time{}, prefillRates: map[string]float64{},
		reports: map[string]*serviceReports{}, prefixes: newPrefixMemory(),
	}
}

// Put adds or updates a listed server and reports whether that changed the list, whatever this VM knew of the server before.
//
// A server restarted under the same identifier begins without its earlier failures.
func (t *Table) Put(s Server, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.putListed(s, now)
}

// putListed adds or updates a listed server. The caller holds t.mu.
func (t *Table) putListed(s Server, now time.Time) bool {
	if e := t.servers[s.ID]; e != nil && s.Leaving && s.Started == e.Started {
		e.lastUse.lower(now.Add(min(t.listedGrace(), t.config.DrainBound)))
	}
	t.put(s)
	return t.setListing(t.servers[s.ID], &s)
}

// listedGrace returns how long a server may still be chosen once the store no longer lists it as active, if there is no other.
func (t *Table) listedGrace() time.Duration {
	if t.config.DrainBound == 0 {
		return unlistedGrace
	}
	return min(unlistedGrace, max(0, t.config.DrainBound-listDelay))
}

// put adds or updates a server, and reports whether that changed what this VM knows of it.  A process that is first known as leaving gets
// no requests: it may have left for any time.
func (t *Table) put(s Server) bool {
	e := t.servers[s.ID]
	switch {
	case e == nil:
		e = &entry{Server: s, hash: xxhash.Sum64String(s.ID), down: make(chan struct{})}
		t.servers[s.ID] = e
		e.limitNewProcess(s)
	case s.Started < e.Started || e.Server == s && !e.unlisted:
		return false
	case s.Started > e.Started:
		e.failed, e.ended, e.failures, e.errorRate, e.replaced = false, false, 0, 0, false
		e.overruns, e.quarantinedUntil = 0, time.Time{}
		e.limited, e.exhaustedUntil, e.returningSince, e.backoffUntil = false, time.Time{}, time.Time{}, time.Time{}
		e.reported, e.stated, e.statedAt = reportedLoad{}, LoadReport{}, time.Time{}
		t.prefixes.forget(e, 0)
		e.limitNewProcess(s)
	case e.Leaving:
		s.Leaving = true
	case !s.Leaving:
		e.lastUse = useLimit{} // its entry was missing by mistake
	}
	e.Server = s
	e.unlisted = false
	for _, o := range t.servers {
		if o.Address == s.Address && o.ID != s.ID && o.Started < s.Started {
			t.markReplaced(o)
		}
	}
	t.index()
	return true
}

// limitNewProcess sets the limit of a process that was not known before.
func (e *entry) limitNewProcess(s Server) {
	e.lastUse = useLimit{set: s.Leaving}
}

// Digest returns a hash of the list of servers, which is equal at VMs that have the same list, whatever else they know.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(1, t.digest)
}

// setListing sets what the list says of a server, nil if it lacks the server, and reports whether that is new.  The caller holds t.mu.
func (t *Table) setListing(e *entry, s *Server) bool {
	old := e.listing
	if old == s || old != nil && s != nil && *old == *s {
		return false
	}
	for _, x := range []*Server{old, s} {
		if x != nil {
			t.digest ^= x.digest()
		}
	}
	e.listing = s
	return true
}

// SetRevision records the revision of the store up to which the servers are known, for Reservation.Revision.
func (t *Table) SetRevision(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = revision
}

// MarkReplaced records that another server now uses the address of a server.
func (t *Table) MarkReplaced(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		t.markReplaced(e)
	}
}

func (t *Table) markReplaced(e *entry) {
	if !e.replaced {
		e.replaced = true
		t.prefixes.forget(e, 0)
		close(e.down)
		e.down = make(chan struct{})
	}
}

// MarkLeaving records that a server itself said that it leaves, and reports whether that is new. started is the start time of
// the process that said so; only a later one under the same identifier gets requests again. Until shortly before DrainBound it
// may be chosen if there is no other, because it still serves.
func (t *Table) MarkLeaving(id string, started int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil || e.Leaving || e.Started > started {
		return false
	}
	e.Leaving, e.Started = true, started // it may be a process that the store does not list yet
	e.lastUse.lower(now.Add(max(0, t.config.DrainBound-wordMargin)))
	return true
}

// Remove records that the store no longer lists a server. grace extends the time for which the server may still be
// chosen in case its entry is missing by mistake.
func (t *Table) Remove(id string, now time.Time, grace time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		t.setListing(e, nil)
		e.unlisted = true
		e.lastUse.lower(now.Add(t.listedGrace() + grace))
		t.index()
	}
}

// minListedShare is the share of a service's servers that a new list must still contain to be trusted.
const minListedShare = 0.5

// PossiblyExpired returns the services of which a new list has so few servers left that their entries may have expired
// while the store was unavailable.
//
// A replaced server does not count as missing, because its successor is listed.
func PossiblyExpired(before []Status, listed []Server) map[string]bool {
	old, left := map[string]int{}, map[string]int{}
	for _, s := range before {
		if s.Listed {
			old[s.Service]++
		}
	}
	for _, s := range listed {
		left[s.Service]++
	}
	lapsed := map[string]bool{}
	for service, n := range old {
		lapsed[service] = float64(left[service]) < minListedShare*float64(n)
	}
	return lapsed
}

// index rebuilds the lists of servers by service, ordered by identifier.
func (t *Table) index() {
	clear(t.services)
	for _, e := range t.servers {
		t.services[e.Service] = append(t.services[e.Service], e)
	}
	for _, list := range t.services {
		slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// MarkHeard records that a server responded, sent or accepted data, and reports whether it was considered down.
func (t *Table) MarkHeard(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	return e != nil && t.markHeard(e, now)
}

// MarkAnswered records that a server itself answered a request, and that it was certainly running at runningAt, by
// Config.BootTime.
func (t *Table) MarkAnswered(id string, runningAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		if runningAt.After(e.lastAnswer) {
			e.lastAnswer = runningAt
		}
		t.markHeard(e, now)
	}
}

// markHeard is MarkHeard for a server.  The caller holds t.mu.
func (t *Table) markHeard(e *entry, now time.Time) bool {
	if now.After(t.lastHeard) {
		t.lastHeard = now
	}
	return e.markHeard(now)
}

// LastHeard returns when this VM last received anything from any server.
func (t *Table) LastHeard() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastHeard
}

// SilentFor returns how long this VM has received nothing from a server, zero for an unknown one.
func (t *Table) SilentFor(id string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		return now.Sub(e.lastHeard)
	}
	return 0
}

// RecordOutcome records whether a request failed on a server that responded.
func (t *Table) RecordOutcome(id string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		e.recordOutcome(failed)
	}
}

// RecordOverrun records that a server's answer exceeded a limit.  It returns for how long the server is avoided from now
// on, or zero if it is avoided already.
func (t *Table) RecordOverrun(id string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil {
		return 0
	}
	return e.recordOverrun(now)
}

// MarkFailed records that a server is down.
//
// fresh reports whether the failure is new. suspects are other servers in use in its failure domain, returned if
// several failed there at about the same time.
func (t *Table) MarkFailed(id string, now time.Time) (fresh bool, suspects []Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil || e.failed && now.Before(e.retryAt) {
		return false, nil
	}
	alreadyFailed := e.failed
	e.markFailed(now, t.awaitsSuccessor(e))
	if alreadyFailed {
		return false, nil
	}
	d := t.failures[e.domainKey()]
	if !d.recent(now) {
		d = &domainFailures{first: now}
		t.failures[e.domainKey()] = d
	}
	d.last = now
	d.servers = append(d.servers, id)
	t.lastCrash[e.Service] = now
	if !d.isBurst(now) {
		return true, nil
	}
	t.lastBurst[e.Service] = now
	for _, o := range t.services[e.Service] {
		if o.FailureDomain == e.FailureDomain && o.runs > 0 && !o.failed && !o.replaced && o.lastHeard.Before(now.Add(-aliveWindow)) {
			suspects = append(suspects, o.Server)
		}
	}
	return true, suspects
}

// MarkEnded records that nothing listens at the address of a server: its process has ended.  It comes before MarkFailed, which
// wakes those that ask for it.
func (t *Table) MarkEnded(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		e.ended = true
	}
}

// Ended reports whether the process of a server is known to have ended: nothing listens at its address, or another server
// does.  A server that is silent or no longer listed may be cut off.
func (t *Table) Ended(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	return e != nil && (e.ended || e.replaced)
}

// DueForRetry returns the failed servers that should be retried, and postpones their next retry.
func (t *Table) DueForRetry(now time.Time) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Server
	for _, e := range t.servers {
		if e.retryDue(now) && e.eligible(now) && !e.replaced {
			e.retryAt = now.Add(initialOutage) // replaced by the outcome of the retry
			if t.awaitsSuccessor(e) {
				e.retryAt = now.Add(successorRetry)
			}
			due = append(due, e.Server)
		}
	}
	return due
}

// Unavailable reports whether a server is unknown, gone, replaced or down.
func (t *Table) Unavailable(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	return e == nil || e.failed || e.replaced || e.unlisted && e.lastUse.reached(now)
}

// suspectedDown reports whether a server is down, or is suspected because others of its failure domain failed and it
// has not responded since.
func (t *Table) suspectedDown(e *entry, now time.Time) bool {
	if e.failed {
		return true
	}
	d := t.failures[e.domainKey()]
	return d.isBurst(now) && e.lastHeard.Before(d.first)
}

// SetPeerShares replaces the shares reported by another VM; an empty map removes that VM.
func (t *Table) SetPeerShares(vm string, shares map[string]Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.servers {
		e.setPeer(vm, shares[id])
	}
}

// UpdatePeerShares updates only the given shares of another VM.
func (t *Table) UpdatePeerShares(vm string, shares map[string]Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range shares {
		if e := t.servers[id]; e != nil {
			e.setPeer(vm, s)
		}
	}
}

// Shares returns the load that this VM has placed on each server.
func (t *Table) Shares() map[string]Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares := map[string]Share{}
	for id, e := range t.servers {
		if e.runs > 0 || e.copies > 0 {
			shares[id] = Share{Runs: e.runs, Prompt: e.prompt, Memory: e.memory, Copies: e.copies}
		}
	}
	return shares
}
