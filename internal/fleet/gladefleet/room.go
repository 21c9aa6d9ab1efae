package gladefleet

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// ErrFull means that the backend servers that could take the request have no room for it.
var ErrFull = eris.New("no backend server has room")

const (
	// maxMemoryShare is the share of a server's memory up to which it accepts another run or copy. It does not depend
	// on the size of the request, so that small prompts do not starve large ones. A run fills the remaining memory only
	// at its end.
	maxMemoryShare = 0.85
	// prefillRateWeight is the weight of a new prompt in the moving average of a service's prefill rate.
	prefillRateWeight = 0.1
	// minJitterTokens is the smallest jitter of loads. It makes VMs that see the same loads choose different servers.
	// burstJitter is the jitter just after a burst of failures, in multiples of the request's tokens. All VMs move what
	// they had on the failed servers at that moment.
	minJitterTokens, burstJitter = 100.0, 6.0
	// crashWindow is how long after a crash further ones are expected.
	crashWindow = time.Minute
)

// CapacityLimits bound the load of a server that may get another run. Zero values set no bound.
type CapacityLimits struct {
	// Memory is the number of tokens that fit into a server's memory.
	Memory int
	// MaxPendingPrefill is the largest number of prompt tokens that may wait for prefill on a server, including the new
	// prompt.
	MaxPendingPrefill int
}

// Load is the load of a server as known to this VM.
type Load struct {
	Runs int
	// PendingPrefill is the number of prompt tokens waiting for prefill.
	// UsedMemory is the number of tokens that runs and copies occupy.
	PendingPrefill, UsedMemory int
}

// lack returns what a server lacks for a request when at most the given share of its memory may be used, empty if it has room.
func (r CapacityLimits) lack(e *entry, n *Requirements, memoryShare float64) Exclusion {
	if r.Memory > 0 && e.Slots > 0 && e.totalRuns() >= e.Slots {
		return ExcludedSlots
	}
	if unread := e.pendingPrefill(); r.MaxPendingPrefill > 0 && unread > 0 && unread+n.Prompt > r.MaxPendingPrefill {
		return ExcludedPrefill
	}
	if !r.hasMemory(e, memoryShare) {
		return ExcludedMemory
	}
	return ""
}

// hasMemory reports whether a server uses no more than the given share of its memory, so that it accepts another run or
// copy.
func (r CapacityLimits) hasMemory(e *entry, memoryShare float64) bool {
	return r.Memory <= 0 || float64(e.usedMemory()) <= memoryShare*float64(r.Memory)
}

// SetLargeFleet sets whether the fleet is so large that the load from VMs of other failure domains is known late, and
// only as a sum on the servers of this VM's own domain.
func (t *Table) SetLargeFleet(wide bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.largeFleet = wide
}

// KeepDomain removes the shares of servers outside a failure domain.
func (t *Table) KeepDomain(shares map[string]Share, domain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(shares, func(id string, _ Share) bool {
		e := t.servers[id]
		return e == nil || e.FailureDomain != domain
	})
}

// loadIsStale reports whether this VM learns late, or not at all, what most VMs place on a server. These are the VMs of
// the server's own failure domain.
func (t *Table) loadIsStale(e *entry) bool {
	return t.largeFleet && e.FailureDomain != t.config.FailureDomain
}

// memoryShare returns the share of its memory up to which a server accepts another run or copy. Where only the load
// from this VM's failure domain is known, each domain gets an equal part.
func (t *Table) memoryShare(e *entry) float64 {
	if t.loadIsStale(e) {
		return maxMemoryShare / float64(max(1, t.config.FailureDomains))
	}
	return maxMemoryShare
}

// pendingPrefill returns the number of prompt tokens waiting for prefill on a server.
func (e *entry) pendingPrefill() int {
	return e.prompt + e.peerSum.Prompt
}

// usedMemory returns the number of tokens that runs and copies occupy on a server.
func (e *entry) usedMemory() int {
	return e.memory + e.copies + e.peerSum.Memory + e.peerSum.Copies
}

// recordPrefill updates a service's prefill rate with the time that one server needed for a number of tokens.
func (t *Table) recordPrefill(service string, tokens int, took time.Duration) {
	if took <= 0 {
		return
	}
	speed := float64(tokens) / took.Seconds()
	if known, ok := t.prefillRates[service]; ok {
		speed = known + prefillRateWeight*(speed-known)
	}
	t.prefillRates[service] = speed
}

// PrefillRate returns a service's prefill rate in tokens per second, zero until a prefill was recorded.
func (t *Table) PrefillRate(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prefillRates[service]
}

// CrashedRecently reports whether a service's servers crashed recently.
func (t *Table) CrashedRecently(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.lastCrash[service]
	return ok && now.Sub(at) < crashWindow
}

// HasCopyCandidate reports whether another server could hold a copy of a run, regardless of free memory.
func (t *Table) HasCopyCandidate(run Server, versions VersionRule, avoid []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.services[run.Service] {
		if t.canHoldCopy(e, run, versions, avoid, now) {
			return true
		}
	}
	return false
}

// canHoldCopy reports whether a server could hold a copy of a run, regardless of free memory.
func (t *Table) canHoldCopy(e *entry, run Server, versions VersionRule, avoid []string, now time.Time) bool {
	return e.ID != run.ID && versions.Permits(e.Version) && e.eligible(now) && !t.suspectedDown(e, now) && !slices.Contains(avoid, e.ID)
}

// maxJitter returns the upper limit of the random part of a server's load, in tokens, for a request of the given size.
func (t *Table) maxJitter(service string, tokens int, now time.Time) float64 {
	if at, ok := t.lastBurst[service]; ok && now.Sub(at) < burstWindow {
		return max(minJitterTokens, burstJitter*float64(tokens))
	}
	return minJitterTokens
}

// jitteredLoad returns a server's load plus a random part below jitter, so that VMs which see the same loads choose
// different servers. A stale load gets as much jitter as after a burst of failures.
func (t *Table) jitteredLoad(e *entry, jitter float64, tokens int) float64 {
	if t.loadIsStale(e) {
		jitter = max(jitter, burstJitter*float64(tokens))
	}
	if jitter == 0 {
		return e.load()
	}
	return e.load() + jitter*t.config.Random()
}

// ShouldRelease reports whether a reservation should be released, because other VMs reserved room on the server at the
// same moment.
//
// Each of these VMs decides at random, so that about as many of them stay as there is room for.
func (t *Table) ShouldRelease(k *Reservation, r CapacityLimits) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, keep := k.entry, 1.0
	if unread := e.pendingPrefill(); r.MaxPendingPrefill > 0 && unread > k.prompt {
		keep = min(keep, float64(r.MaxPendingPrefill)/float64(unread))
	}
	if filled := e.usedMemory(); r.Memory > 0 {
		keep = min(keep, float64(r.Memory)/float64(filled))
	}
	return t.config.Random() > keep
}
