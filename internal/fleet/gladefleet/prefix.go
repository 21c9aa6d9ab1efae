package gladefleet

import (
	"math"
	"slices"
	"time"
)

// PromptPart is one part of a prompt's prefix.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Prefix is the prefix of a prompt and the memory of the servers that may hold it. A server reuses a part only if it holds all
// parts before it.
type Prefix struct {
	Parts []PromptPart
	// Capacity is the number of tokens that fit into a server's memory, zero if that is unknown.
	Capacity int
}

// PrefixChoice is what a choice weighed of a prompt's prefix.
type PrefixChoice struct {
	// Saved is the expected number of tokens that the chosen server need not read, and Elsewhere the largest such number of
	// another server.
	Saved, Elsewhere int
	// ExtraWait is how much longer the prompt waits there than at the server with the least load, zero while the prefill
	// rate is unknown.
	ExtraWait time.Duration
}

const (
	// maxHeldParts is the number of parts that this VM remembers for each server. Their memory holds about ten own parts.
	maxHeldParts = 24
	// commonServers is the number of servers on which this VM has left a part from which it counts as held by all.
	commonServers = 4
	// turnoverSteepness is the exponent by which the probability that a part is held falls as its server's memory is
	// overwritten: 0.98 at half of the memory, 0.5 at all of it, 0.08 at one and a half times.
	turnoverSteepness = 6
	// unknownCapacity is assumed where the configuration states no memory.
	unknownCapacity = 50_000
	// behindShare is the delay that reading a token causes to others on the server, for each run there, in tokens: these runs
	// are slowed down, and stand for the requests that arrive meanwhile and wait.
	behindShare = 0.05
	// minSavedTokens is the number of expected tokens from which a choice is said to be due to the prefix.
	minSavedTokens = 300
	// hitWeight is the weight of a new outcome in the moving averages of hits.
	hitWeight = 0.1
	// initialHeldHit and initialHashHit are the hit rates before any outcome: of a server with a record, and of a session's
	// first server by hash without one. The second depends on how many requests begin a session.
	initialHeldHit, initialHashHit = 0.9, 0.5
	// minHeldHit and minHashHit are the least rates that are assumed, so that some requests go on showing the true ones. The
	// rate of the first server by hash is higher the more VMs choose it, and different sessions spread over the servers by
	// it, so that a high least rate costs little.
	minHeldHit, minHashHit = 0.2, 0.3
	// minJudged is the least time that a hit must save for the time to the first event to show it.
	minJudged = 100 * time.Millisecond
)

// The further reasons for choosing a server, as logged.
const (
	reasonHeld         = "probably holds the prompt's parts"
	reasonHashed       = "may hold the session"
	reasonSoonerUnread = "sooner than the server that holds the parts"
)

// heldPart is a part of a prompt that a request of this VM has left on a server.
type heldPart struct {
	PromptPart
	used time.Time
	// placed is the server's count of placed tokens at the last use.
	placed int
}

// prefixMemory is what this VM remembers of prefixes.
type prefixMemory struct {
	// servers is the number of servers on which a remembered part was left, by part.
	servers map[uint64]int
	// held and hashed are the hit rates by service.
	held, hashed map[string]float64
}

func newPrefixMemory() prefixMemory {
	return prefixMemory{servers: map[uint64]int{}, held: map[string]float64{}, hashed: map[string]float64{}}
}

// hitRate returns a moving average of hits, of at least a given value.
func hitRate(rates map[string]float64, service string, initial, least float64) float64 {
	if r, ok := rates[service]; ok {
		return max(least, r)
	}
	return initial
}

// record remembers that a request has left its parts on a server, in the order of their use. The least recently used ones are
// forgotten once they cannot fit into the server's memory.
func (m *prefixMemory) record(e *entry, p *Prefix, now time.Time) {
	for _, part := range slices.Backward(p.Parts) { // the first part is used last, as all later ones depend on it
		if part.Tokens <= 0 {
			continue
		}
		i := e.heldIndex(part.ID)
		if i < 0 {
			m.servers[part.ID]++
			e.held = append(e.held, heldPart{})
			i = len(e.held) - 1
		}
		copy(e.held[1:i+1], e.held[:i])
		e.held[0] = heldPart{PromptPart: part, used: now, placed: e.placed}
	}
	tokens, kept := 0, 0
	for ; kept < min(len(e.held), maxHeldParts); kept++ {
		if tokens += e.held[kept].Tokens; tokens > p.capacity() {
			break
		}
	}
	m.forget(e, kept)
}

// forget forgets the parts of a server but for the number that were used last.
func (m *prefixMemory) forget(e *entry, kept int) {
	for _, h := range e.held[kept:] {
		if m.servers[h.ID]--; m.servers[h.ID] == 0 {
			delete(m.servers, h.ID)
		}
	}
	e.held = e.held[:kept]
}

func (p *Prefix) capacity() int {
	if p.Capacity <= 0 {
		return unknownCapacity
	}
	return p.Capacity
}

// heldIndex returns the index of a part in held, negative if this VM has not left it there.
func (e *entry) heldIndex(id uint64) int {
	for i := range e.held {
		if e.held[i].ID == id {
			return i
		}
	}
	return -1
}

// probablyHeld returns the probability that a server still holds a part. used is the memory in use there. What was placed there since
// the last use of the part, or is in use, may have pushed it out.
func (h *heldPart) probablyHeld(placed, used, capacity int) float64 {
	filled := float64(max(used, placed-h.placed)+h.Tokens) / float64(capacity)
	return 1 / (1 + math.Pow(filled, turnoverSteepness))
}

// prefixValue is what the choice for one request needs to know of its prefix.
type prefixValue struct {
	parts    []PromptPart
	capacity int
	// known reports that this VM has left a part of it that is not common to many requests.
	known bool
	// prompt is the number of tokens to read if nothing but common parts is held, and own those of them that have a name.
	prompt, own float64
	// heldHit and hashHit are the rates of hits.
	heldHit, hashHit float64
	// least is the server with the least load, and mostSaved the largest number of tokens that a server saves.
	least     *entry
	leastLoad float64
	mostSaved float64
}

// prefixValueOf returns what the choice needs to know of a request's prefix, nil if that is not weighed. Parts of absurd
// sizes count as no larger than the prompt.
func (t *Table) prefixValueOf(n *Requirements) *prefixValue {
	if n.Prefix == nil || n.Prompt <= 0 {
		return nil
	}
	m := &t.prefixes
	v := &prefixValue{
		capacity: n.Prefix.capacity(), prompt: float64(n.Prompt), leastLoad: math.Inf(1),
		heldHit: hitRate(m.held, n.Service, initialHeldHit, minHeldHit), hashHit: hitRate(m.hashed, n.Service, initialHashHit, minHashHit),
	}
	first, named := 0, 0
	for i, p := range n.Prefix.Parts {
		if p.Tokens <= 0 || p.Tokens > n.Prompt-named {
			break
		}
		named += p.Tokens
		if first == i && m.servers[p.ID] >= commonServers {
			v.prompt -= float64(p.Tokens) // held nearly everywhere
			first++
			continue
		}
		v.parts = n.Prefix.Parts[first : i+1]
		v.own += float64(p.Tokens)
		v.known = v.known || m.servers[p.ID] > 0
	}
	return v
}

// saved returns the expected number of tokens that a server need not read, apart from common parts, and the number that it need
// not read if it holds all that this VM has left there. A server that holds a later part of the prompt holds the earlier ones at
// least as probably.
func (v *prefixValue) saved(e *entry) (expected, recorded float64) {
	if !v.known || len(e.held) == 0 {
		return 0, 0
	}
	last := len(v.parts)
	for i := range v.parts {
		if e.heldIndex(v.parts[i].ID) < 0 {
			last = i
			break
		}
	}
	if last == 0 {
		return 0, 0
	}
	probability, used := 0.0, e.usedMemory()
	for i := last - 1; i >= 0; i-- {
		h := &e.held[e.heldIndex(v.parts[i].ID)]
		probability = max(probability, h.probablyHeld(e.placed, used, v.capacity))
		expected += v.heldHit * probability * float64(v.parts[i].Tokens)
		recorded += float64(v.parts[i].Tokens)
	}
	return expected, recorded
}

// unread returns the number of tokens that are expected to be read on a server.
func (v *prefixValue) unread(e *entry) int {
	saved, _ := v.saved(e)
	return max(1, int(v.prompt-saved))
}

// readingCost returns the cost of reading a number of tokens on a server, including the delay of other requests there.
func readingCost(e *entry, tokens float64) float64 {
	return tokens * (1 + min(1, behindShare*float64(e.totalRuns())))
}

// prefixCost returns the expected time to the first event on a server, in tokens at the usual rate: what waits there, the part of
// the prompt that has to be read, and the delay that this causes to others.
func (t *Table) prefixCost(e *entry, jitter float64, n *Requirements, bound float64, now time.Time) float64 {
	v := n.value
	saved, _ := v.saved(e)
	reading := readingCost(e, v.prompt-saved)
	v.mostSaved = max(v.mostSaved, saved)
	var cost float64
	if n.reports == nil {
		cost = t.cost(e, jitter, n.Prompt)
	} else {
		cost = t.engineCost(e, jitter, n.Prompt, bound-reading, now)
	}
	if cost < v.leastLoad {
		v.least, v.leastLoad = e, cost
	}
	return cost + reading
}

// affinity returns the greatest advantage that a session's first server by hash may have, in tokens.
func (v *prefixValue) affinity() float64 {
	if v == nil {
		return sessionAffinityTokens
	}
	return 2 * v.hashHit * v.own
}

// choosePrefix returns the server with the shortest expected time to the first event, and the reason.
//
// Other VMs choose the session's first server by hash if they know nothing else, so that it may hold a session that this VM did not
// send there. Its cost is lowered by the value of that, with the rate at which this was true before.
func (t *Table) choosePrefix(s *selection, n *Requirements) (*entry, string) {
	v, best, reason := n.value, s.best, reasonRemote
	if best.FailureDomain == t.config.FailureDomain {
		reason = reasonLocal
	}
	if p := s.preferred; p != nil {
		saved, _ := v.saved(p)
		if value := v.hashHit*v.own - saved; value > 0 && s.preferredLoad-readingCost(p, value) <= s.bestLoad {
			best, reason = p, reasonHashed
		}
	}
	switch saved, _ := v.saved(best); {
	case saved >= minSavedTokens:
		return best, reasonHeld
	case reason != reasonHashed && v.mostSaved >= minSavedTokens:
		return best, reasonSoonerUnread
	}
	return best, reason
}

// reservePrefix completes the reservation of a place that was chosen with regard to a prefix.
func (t *Table) reservePrefix(k *Reservation, n *Requirements) {
	v, e := n.value, k.entry
	saved, recorded := v.saved(e)
	k.prefix, k.saved, k.recorded = n.Prefix, saved, recorded
	if k.Reason == reasonHashed {
		k.recorded = v.own
	}
	k.Prefix = PrefixChoice{Saved: int(saved), Elsewhere: int(v.mostSaved)}
	if saved == v.mostSaved {
		k.Prefix.Elsewhere = 0
	}
	if rate := t.prefillRates[n.Service]; rate > 0 && v.least != nil {
		ahead := max(0, k.Load.PendingPrefill-k.prompt-v.least.pendingPrefill())
		k.Prefix.ExtraWait = time.Duration(float64(ahead) / rate * float64(time.Second))
	}
}

// prefixRead records that the prompt of a reservation has been read after some time. It returns whether all of it was probably
// read, so that the time shows the prefill rate.
func (t *Table) prefixRead(k *Reservation, took time.Duration, now time.Time) bool {
	hit := t.judgeHit(k, took)
	t.prefixes.record(k.entry, k.prefix, now)
	return !hit && k.saved < minSavedTokens
}

// judgeHit updates the hit rates by whether a prompt was read in the time of a hit or of a miss, and reports a hit. It does not
// judge where the time mostly depends on other prompts, or where the parts had probably been pushed out.
func (t *Table) judgeHit(k *Reservation, took time.Duration) bool {
	rates, initial := t.prefixes.held, initialHeldHit
	if k.Reason == reasonHashed {
		rates, initial = t.prefixes.hashed, initialHashHit
	} else if k.saved < k.recorded/2 {
		return false
	}
	rate, ahead := t.prefillRates[k.Service], float64(k.Load.PendingPrefill-k.prompt)
	if rate <= 0 || k.recorded < minSavedTokens || k.recorded/rate < minJudged.Seconds() || ahead > k.recorded {
		return false
	}
	hit := 0.0
	if took.Seconds() < (float64(k.Load.PendingPrefill)+k.saved-k.recorded/2)/rate {
		hit = 1
	}
	known, ok := rates[k.Service]
	if !ok {
		known = initial
	}
	rates[k.Service] = known + hitWeight*(hit-known)
	return hit > 0
}

// PrefixState is what this VM remembers of prefixes.
type PrefixState struct {
	// Parts is the number of remembered parts on all servers.
	Parts int
	// HeldHits and HashHits are the rates of hits by service: on servers with a record, and on those that were chosen by hash.
	HeldHits, HashHits map[string]float64
}

// PrefixState returns what this VM remembers of prefixes.
func (t *Table) PrefixState() PrefixState {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := PrefixState{HeldHits: map[string]float64{}, HashHits: map[string]float64{}}
	for _, n := range t.prefixes.servers {
		s.Parts += n
	}
	for service, r := range t.prefixes.held {
		s.HeldHits[service] = r
	}
	for service, r := range t.prefixes.hashed {
		s.HashHits[service] = r
	}
	return s
}
