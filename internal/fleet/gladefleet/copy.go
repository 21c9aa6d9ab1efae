package gladefleet

import "time"

// CopyReservation is memory reserved on a server for the copy of a run on another one.
type CopyReservation struct {
	Server

	table  *Table
	entry  *entry
	tokens int
}

// ChooseCopy reserves memory for the copy of a run, if possible in another failure domain than the run's, and returns
// nil if no server has room.
//
// The copy of a run outside this VM's failure domain is preferably kept inside, so that one of the two stays reachable
// when the domain is cut off. A server without free memory gets no copy, because the copy would evict a run. The copy is on a
// server that the rule permits, if possible on one that it prefers.
func (t *Table) ChooseCopy(
	run Server, tokens int, room CapacityLimits, versions VersionRule, avoid []string, now time.Time,
) *CopyReservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *entry
	bestCost := 0.0
	weight := int(copyWeight * float64(tokens))
	jitter := t.maxJitter(run.Service, weight, now)
	for _, e := range t.services[run.Service] {
		if !t.canHoldCopy(e, run, versions, avoid, now) || !room.hasMemory(e, t.memoryShare(e)) {
			continue
		}
		cost := t.jitteredLoad(e, jitter, weight)
		if e.FailureDomain == run.FailureDomain {
			cost += sameDomainTokens
		}
		if run.FailureDomain != t.config.FailureDomain && e.FailureDomain != t.config.FailureDomain {
			cost += otherDomainCopyTokens
		}
		if t.failures[e.domainKey()].recent(now) {
			cost += recentFailureTokens
		}
		if e.limited {
			cost += limitedCopyTokens
		}
		if !versions.Prefers(e.Version) {
			cost += otherVersionTokens
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return nil
	}
	best.copies += tokens
	return &CopyReservation{Server: best.Server, table: t, entry: best, tokens: tokens}
}

const (
	// sameDomainTokens keeps a copy out of its run's failure domain while another domain has a server.
	sameDomainTokens = 1e6
	// otherDomainCopyTokens brings the copy of a run elsewhere into this VM's failure domain, unless that domain is
	// much fuller.
	otherDomainCopyTokens = 12000
	// recentFailureTokens keeps a copy out of a failure domain in which servers have just failed.
	recentFailureTokens = 1e5
	// limitedCopyTokens keeps a copy off servers that name a limit, which may have no room for the resumed run.
	limitedCopyTokens = 5e4
	// otherVersionTokens keeps a copy off servers that stop at the end of a roll-out, while one of the new version has room.
	otherVersionTokens = 1e7
)

// Release frees the memory. It does nothing on a nil receiver.
func (c *CopyReservation) Release() {
	if c == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.entry.copies -= c.tokens
}
