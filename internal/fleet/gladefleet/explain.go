package gladefleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Exclusion is why a server does not get a request; empty means that it may.
type Exclusion string

// The reasons that leave a server out.
const (
	ExcludedReplaced Exclusion = "replaced"
	ExcludedLeaving  Exclusion = "leaving"
	ExcludedGone     Exclusion = "no longer listed"
	ExcludedBackoff  Exclusion = "backoff"
	ExcludedHeld     Exclusion = "held: roll-outs not known"
	ExcludedAvoided  Exclusion = "avoided"
	ExcludedVersion  Exclusion = "version rule"
	ExcludedLimit    Exclusion = "limit"
	ExcludedSlots    Exclusion = "no room: slots"
	ExcludedMemory   Exclusion = "no room: memory"
	ExcludedPrefill  Exclusion = "no room: waiting prefill"
	// ExcludedRank: a server is not used while one of a better health rank, without room, exists.
	ExcludedRank Exclusion = "behind full servers of better health"
)

// explainedRandom replaces the random numbers of the choice while it is explained, so that the same state has the same
// explanation: the middle of the numbers that a choice draws.
const explainedRandom = 0.5

// Explanation is where a request would go and why.
type Explanation struct {
	// Reason is why the first server would be chosen, empty if none can be.
	Reason string
	// Err is why no server can be chosen: as returned by Choose.
	Err error
	// Candidates are the servers of the service, in the order in which they would be chosen, and those that are left out last.
	// More is the number of servers beyond these.
	Candidates []Candidate
	More       int
}

// Candidate is a server as the choice for a request sees it.
type Candidate struct {
	Server
	// Health is the name of the server's health rank, empty for a server that must not get requests.
	Health string
	// Excluded is why the server is left out, empty if it may be chosen.
	Excluded Exclusion
	// Runs are those of this VM, and PeerRuns those of the other VMs.
	Runs, PeerRuns int
	// PendingPrefill and UsedMemory are in tokens and of all VMs.
	PendingPrefill, UsedMemory int
	// Stated is the server's last statement about its load, and StatedAge its age, negative if there is none.
	Stated    LoadReport
	StatedAge time.Duration
	// HeldTokens is the number of tokens of the prompt that this VM has left there, and HeldProbability the part of them that is
	// expected to be held still.
	HeldTokens      int
	HeldProbability float64
	// Cost compares servers of one health rank: in tokens for engines, in seconds for plain services with reports and for servers
	// at their limits. It is zero for a server that is left out.
	Cost float64

	rank healthRank
	step versionStep
}

// String returns the name of a rank.
func (r healthRank) String() string {
	return [...]string{"healthy", "unlisted", "leaving", "suspected", "at its limit", "quarantined", "failed"}[r]
}

// Explain returns where Choose would send a request and why, with at most limit servers. It reserves nothing and changes no state. A
// session's affinity and the value of a prefix found by hash show in the first server only; the others follow by rank and cost.
func (t *Table) Explain(n Requirements, limit int, now time.Time) Explanation {
	t.mu.Lock()
	defer t.mu.Unlock()
	random := t.config.Random // only read while t.mu is held
	t.config.Random = func() float64 { return explainedRandom }
	defer func() { t.config.Random = random }()
	best, reason, err := t.find(&n, now)
	x := Explanation{Reason: reason, Err: err}
	steps, jitter := t.versionSteps(n, now), t.maxJitter(n.Service, n.Prompt, now)
	servers := t.services[n.Service]
	x.Candidates = make([]Candidate, 0, len(servers))
	for _, e := range servers {
		c := t.candidate(e, &n, steps, jitter, now)
		if err != nil && c.Excluded == "" {
			c.Excluded = ExcludedRank
		}
		x.Candidates = append(x.Candidates, c)
	}
	slices.SortStableFunc(x.Candidates, func(a, b Candidate) int {
		if best != nil && a.ID != b.ID && (a.ID == best.ID || b.ID == best.ID) {
			return order(a.ID != best.ID)
		}
		return cmp.Or(
			cmp.Compare(order(a.Excluded != ""), order(b.Excluded != "")), cmp.Compare(order(a.step == stepLast), order(b.step == stepLast)),
			cmp.Compare(a.rank, b.rank), cmp.Compare(a.step, b.step), cmp.Compare(a.Cost, b.Cost),
		)
	})
	if len(x.Candidates) > limit {
		x.Candidates, x.More = slices.Clone(x.Candidates[:limit]), len(x.Candidates)-limit
	}
	return x
}

// order is 1 for what comes last and -1 for the rest.
func order(last bool) int {
	if last {
		return 1
	}
	return -1
}

// candidate returns a server as the choice for a request sees it.
func (t *Table) candidate(e *entry, n *Requirements, steps *versionSteps, jitter float64, now time.Time) Candidate {
	c := Candidate{
		Server: e.Server, Runs: e.runs, PeerRuns: e.peerSum.Runs, PendingPrefill: e.pendingPrefill(), UsedMemory: e.usedMemory(),
		Stated: e.stated, StatedAge: -1, step: steps.step(e),
	}
	if !e.statedAt.IsZero() {
		c.StatedAge = now.Sub(e.statedAt)
	}
	if n.value != nil {
		expected, recorded := n.value.saved(e)
		c.HeldTokens = int(recorded)
		c.HeldProbability = expected / max(1, recorded)
	}
	if rank, ok := t.healthRank(e, now); ok {
		c.Health = rank.String()
	}
	rank, ok := t.rankFor(e, *n, now)
	switch {
	case !ok && slices.Contains(n.Avoid, e.ID):
		c.Excluded = ExcludedAvoided
	case !ok:
		c.Excluded = e.ineligible(now)
	case c.step == stepForbidden:
		c.Excluded = ExcludedVersion
	default:
		c.rank, c.Excluded = rank, t.lacksRoom(e, rank, n, now)
	}
	if c.Excluded == "" {
		c.Health = rank.String() // a server that is left to other requests counts as one at its limit
		cost := t.rankedCost(&selection{}, e, rank, jitter, n, now)
		c.Cost = min(cost, math.MaxFloat64)
	}
	return c
}
