package gladefleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Requirements describe what a request requires of a server.
type Requirements struct {
	Service string
	// Prompt is the number of prompt tokens to prefill, zero for a plain request.
	Prompt int
	// Tokens is the memory, in tokens, that the run occupies at its end.
	Tokens int
	// Limits bound the load of the servers considered.
	Limits CapacityLimits
	// Session is the hash of the prompt prefix that a session shares, zero for none.
	Session uint64
	// Prefix is the prompt's prefix if its value is weighed against the wait; nil prefers the session's server within a
	// fixed difference of load.
	Prefix *Prefix
	// Avoid lists the identifiers of servers on which this request has failed.
	Avoid []string
	// Unlimited prefers servers that name no limit.
	Unlimited bool
	// Waiting reports that the request can wait rather than use a server whose limit leaves no room.
	Waiting bool
	// Versions restricts the versions of the servers.
	Versions VersionRule

	// reports is set by Choose if the servers of the service report how long work takes, and value if a prefix is weighed.
	reports *serviceReports
	value   *prefixValue
}

// Reservation is the place of one run on a server, held until Release.
type Reservation struct {
	Server
	// Reason is why the server was chosen, as logged.
	Reason string
	// Load is the server's load at the time of the reservation, including this run.
	Load Load
	// Reported is what the server itself had said.
	Reported Reported
	// Prefix is what the choice weighed of the prompt's prefix.
	Prefix PrefixChoice
	// Revision is the revision of the store up to which the servers were known.
	Revision int64
	// Exhausted reports that the limits of all servers leave no room, as far as this VM has asked.
	Exhausted bool

	table      *Table
	entry      *entry
	prompt     int
	tokens     int
	reservedAt time.Time
	down       <-chan struct{}
	// prefix is the prompt's prefix if it was weighed, saved the expected number of tokens that need not be read, and recorded
	// their number if the server holds all that it may hold.
	prefix          *Prefix
	saved, recorded float64
}

// The reasons for choosing a server, as logged.
const (
	reasonLocal       = "least loaded in the failure domain"
	reasonRemote      = "least loaded elsewhere"
	reasonSession     = "has read the session"
	reasonNoneHealthy = "no sound server is left"
	reasonCopy        = "holds the copy"
	reasonExhausted   = "every server is at its limit"
	reasonLeaving     = "every server leaves or is gone"
	reasonExpected    = "soonest expected answer"
)

// Choose selects a server and reserves a place on it. It returns ErrFull if healthy servers exist but none has room,
// and ErrNoServer if no server can be used.
func (t *Table) Choose(n Requirements, now time.Time) (*Reservation, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, reason, err := t.find(&n, now)
	if err != nil {
		return nil, err
	}
	prompt := n.Prompt
	if n.value != nil {
		prompt = n.value.unread(best)
	}
	k := t.reserve(best, prompt, n.Tokens, reason, now)
	if n.value != nil {
		t.reservePrefix(k, &n)
	}
	k.Reported = best.known(now)
	k.Exhausted = reason == reasonExhausted && now.Before(best.exhaustedUntil)
	return k, nil
}

// find returns the server that Choose selects and the reason, or why there is none. It changes nothing but the requirements, in
// which it sets what is known of reports and of the prefix.
func (t *Table) find(n *Requirements, now time.Time) (*entry, string, error) {
	n.reports, n.value = t.measured(n.Service, now), t.prefixValueOf(n)
	best, reason, full := t.selectServer(*n, now)
	switch {
	case full:
		return nil, "", eris.Wrap(ErrFull, n.Service)
	case best == nil:
		if until := t.firstBackoffEnd(*n, now); !until.IsZero() {
			return nil, "", &BackoffError{Until: until}
		}
		return nil, "", eris.Wrap(ErrNoServer, n.Service)
	}
	return best, reason, nil
}

// healthRank orders servers by health. A server is chosen only if none with a lower rank can be used.
type healthRank int

const (
	healthy     healthRank = iota
	unlisted               // the store no longer lists it, possibly by mistake
	leaving                // it leaves, and still serves for a known time
	suspected              // several servers of its failure domain failed together
	exhausted              // its limit leaves no room
	quarantined            // its answers exceeded a limit
	unreachable            // it accepted no connection
)

// healthRank returns a server's rank, and false if the server must not get new requests.
func (t *Table) healthRank(e *entry, now time.Time) (healthRank, bool) {
	switch {
	case e.servesLeaving(now):
		return leaving, true
	case !e.eligible(now):
		return 0, false
	case e.failed:
		return unreachable, true
	case now.Before(e.quarantinedUntil):
		return quarantined, true
	case now.Before(e.exhaustedUntil):
		return exhausted, true
	case t.suspectedDown(e, now):
		return suspected, true
	case e.unlisted:
		return unlisted, true
	}
	return healthy, true
}

// HealthyServers returns the number of servers of a service that may get new requests and are not known or suspected to
// fail, apart from the given ones.
func (t *Table) HealthyServers(service string, apart []string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.services[service] {
		if rank, ok := t.healthRank(e, now); ok && (rank == healthy || rank == exhausted) && !slices.Contains(apart, e.ID) {
			n++
		}
	}
	return n
}

// selection is the best of the servers that were considered.
type selection struct {
	best, preferred         *entry
	bestLoad, preferredLoad float64
	rank                    healthRank
	// full reports that servers of this rank exist but have no room.
	full bool
}

// selectServer returns the best server and the reason for choosing it. full reports that healthy servers exist but none
// has room.
func (t *Table) selectServer(n Requirements, now time.Time) (_ *entry, reason string, full bool) {
	s := t.selectVersion(n, now)
	switch {
	case s.best == nil:
		return nil, "", s.full
	case s.rank == exhausted:
		return s.best, reasonExhausted, false
	case s.rank == leaving:
		return s.best, reasonLeaving, false
	case s.rank > healthy:
		return s.best, reasonNoneHealthy, false
	case n.value != nil:
		best, reason := t.choosePrefix(&s, &n)
		return best, reason, false
	case s.preferred != nil && s.preferredLoad <= s.bestLoad+sessionAffinityTokens:
		return s.preferred, reasonSession, false
	case n.reports != nil && n.Prompt == 0:
		return s.best, reasonExpected, false
	case s.best.FailureDomain == t.config.FailureDomain:
		return s.best, reasonLocal, false
	}
	return s.best, reasonRemote, false
}

// selectAmong selects among the servers that are permitted; nil permits all.
func (t *Table) selectAmong(n Requirements, permitted func(*entry) bool, now time.Time) selection {
	s := selection{rank: unreachable + 1}
	jitter := t.maxJitter(n.Service, n.Prompt, now)
	for _, e := range t.services[n.Service] {
		if permitted != nil && !permitted(e) {
			continue
		}
		if rank, ok := t.rankFor(e, n, now); ok && rank <= s.rank {
			t.consider(&s, e, rank, n, jitter, now)
		}
	}
	return s
}

// rankFor returns a server's rank for a request, and false if the request must not be sent there.
func (t *Table) rankFor(e *entry, n Requirements, now time.Time) (healthRank, bool) {
	rank, ok := t.healthRank(e, now)
	if !ok || slices.Contains(n.Avoid, e.ID) {
		return 0, false
	}
	if rank < exhausted && t.passedOver(e, n, now) {
		rank = exhausted
	}
	return rank, true
}

// consider updates a selection by a server that ranks no lower than the best so far.
func (t *Table) consider(s *selection, e *entry, rank healthRank, n Requirements, jitter float64, now time.Time) {
	if rank < s.rank {
		*s = selection{rank: rank}
	}
	if t.lacksRoom(e, rank, &n, now) != "" {
		s.full = s.full || rank == healthy || rank == exhausted
		return
	}
	load := t.rankedCost(s, e, rank, jitter, &n, now)
	if s.best == nil || load < s.bestLoad {
		s.best, s.bestLoad = e, load
	}
	if n.Session != 0 && t.prefers(n.Session, e, s.preferred) {
		s.preferred, s.preferredLoad = e, load
	}
}

// lacksRoom returns what leaves a server no room for a request, empty if it has room.
func (t *Table) lacksRoom(e *entry, rank healthRank, n *Requirements, now time.Time) Exclusion {
	if lack := n.Limits.lack(e, n, t.memoryShare(e)); lack != "" {
		return lack
	}
	if rank == exhausted && n.Waiting && (e.limited || now.Before(e.exhaustedUntil)) {
		return ExcludedLimit
	}
	return ""
}

// rankedCost returns the cost by which a server is compared with others of its rank.
func (t *Table) rankedCost(s *selection, e *entry, rank healthRank, jitter float64, n *Requirements, now time.Time) float64 {
	cost := t.placementCost(s, e, jitter, n, now)
	if rank == exhausted { // the one that has room first
		return e.exhaustedUntil.Sub(now).Seconds()
	}
	return cost
}

// prefers reports whether a session's affinity to e is stronger than to the current server, nil for none. Servers of
// this VM's failure domain come first.
func (t *Table) prefers(session uint64, e, current *entry) bool {
	if current == nil {
		return true
	}
	local, currentLocal := e.FailureDomain == t.config.FailureDomain, current.FailureDomain == t.config.FailureDomain
	if local != currentLocal {
		return local
	}
	return mix(session^e.hash) > mix(session^current.hash)
}

// sessionAffinityTokens is how much more load than the least loaded server the session's own server may have and still
// be chosen.
const sessionAffinityTokens = 600

// cost returns the load of a server plus the surcharges that make this VM prefer other servers, in tokens.
func (t *Table) cost(e *entry, jitter float64, prompt int) float64 {
	cost := t.jitteredLoad(e, jitter, prompt)
	if e.FailureDomain != t.config.FailureDomain {
		cost += otherDomainTokens
	}
	if t.loadIsStale(e) {
		cost += staleLoadTokens
	}
	if e.totalRuns() >= e.Slots {
		cost += noFreeSlotTokens
	}
	return cost
}

// staleLoadTokens is added to the cost of a server whose load is known late, so that the servers of this VM's own
// failure domain are used while they have room.
const staleLoadTokens = 15000

// noFreeSlotTokens is added to the cost of a server without a free slot.
const noFreeSlotTokens = 20000

// eligible reports whether a server may get new requests now.
func (e *entry) eligible(now time.Time) bool {
	return e.ineligible(now) == ""
}

// ineligible returns why a server must not get new requests now, empty if it may.
func (e *entry) ineligible(now time.Time) Exclusion {
	switch {
	case e.replaced:
		return ExcludedReplaced
	case e.Leaving:
		return ExcludedLeaving
	case e.lastUse.reached(now):
		return ExcludedGone
	case now.Before(e.backoffUntil):
		return ExcludedBackoff
	case now.Before(e.heldUntil):
		return ExcludedHeld
	}
	return ""
}

// servesLeaving reports whether a leaving server may get new requests now if there is no other.
func (e *entry) servesLeaving(now time.Time) bool {
	return e.Leaving && !e.lastUse.reached(now) && !e.replaced && !e.failed && !e.unlisted && !now.Before(e.backoffUntil)
}

// inService reports whether a server may get new requests, now or after its backoff.
func (e *entry) inService(now time.Time) bool {
	return !e.Leaving && !e.replaced && !e.lastUse.reached(now)
}

// LocalServers returns at most limit of a service's usable servers in this VM's failure domain, those first that a session
// prefers.
func (t *Table) LocalServers(service string, session uint64, limit int, now time.Time) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var local []*entry
	for _, e := range t.services[service] {
		if e.FailureDomain == t.config.FailureDomain && e.eligible(now) && !t.suspectedDown(e, now) {
			local = append(local, e)
		}
	}
	slices.SortFunc(local, func(a, b *entry) int { return cmp.Compare(mix(session^b.hash), mix(session^a.hash)) })
	servers := make([]Server, 0, min(limit, len(local)))
	for _, e := range local[:min(limit, len(local))] {
		servers = append(servers, e.Server)
	}
	return servers
}

// Reserve claims a place and memory on the server that holds a request's copy. It returns ErrNoServer if that server is
// unknown, leaving, gone, replaced or down.
func (t *Table) Reserve(id string, tokens int, now time.Time) (*Reservation, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil || !e.eligible(now) || e.failed {
		return nil, eris.Wrap(ErrNoServer, id)
	}
	return t.reserve(e, 0, tokens, reasonCopy, now), nil
}

func (t *Table) reserve(e *entry, prompt, tokens int, reason string, now time.Time) *Reservation {
	e.runs++
	e.prompt += prompt
	e.memory += tokens
	return &Reservation{
		Server: e.Server, Reason: reason, table: t, entry: e, prompt: prompt, tokens: tokens,
		Load: Load{Runs: e.totalRuns(), PendingPrefill: e.pendingPrefill(), UsedMemory: e.usedMemory()}, reservedAt: now, down: e.down,
		Revision: t.revision,
	}
}

// InService reports whether the server may still get new requests: it may have left since it was chosen.
func (k *Reservation) InService(now time.Time) bool {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	if k.Reason == reasonLeaving {
		return k.entry.servesLeaving(now)
	}
	return k.entry.inService(now)
}

// PrefillDone records that the prompt has been prefilled and updates the service's prefill rate. The rate excludes
// prompts on a session's own server, which may have them cached.
func (k *Reservation) PrefillDone(now time.Time) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.entry.placed += k.prompt
	took, readAll := now.Sub(k.reservedAt), k.Reason != reasonSession
	if k.prefix != nil {
		readAll = k.table.prefixRead(k, took, now)
	}
	if k.prompt > 0 && readAll {
		k.table.recordPrefill(k.Service, k.Load.PendingPrefill, took)
	}
	k.clearPrompt()
}

func (k *Reservation) clearPrompt() {
	k.entry.prompt -= k.prompt
	k.prompt = 0
}

// Release frees the place and its memory.
func (k *Reservation) Release() {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.clearPrompt()
	k.entry.runs--
	k.entry.memory -= k.tokens
	k.tokens = 0
}

// Down returns a channel that is closed when the server fails or is replaced after the reservation.
func (k *Reservation) Down() <-chan struct{} {
	return k.down
}

// mix spreads the bits of a hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
