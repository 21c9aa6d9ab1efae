package gladefleet

import (
	"math"
	"slices"
	"time"
)

const (
	// connectionTime is the time that a new connection costs, in seconds.
	connectionTime = 0.001
	// noConnectionCost is added to the cost of a server that is left for one with an idle connection, in seconds. It exceeds all
	// expected times and is below fullCost.
	noConnectionCost = 1e2
	// freeChoiceShare is the share of plain choices in which idle connections do not count. Without it a VM stays with the servers that
	// it has connections to, and the load of three servers differed by 10% in 40 s.
	freeChoiceShare = 0.15
)

// hasIdleConnection reports whether this VM has an idle connection to a server.
func (t *Table) hasIdleConnection(e *entry) bool {
	return t.config.IdleConnection != nil && t.config.IdleConnection(e.Address)
}

// connectionSurcharge returns what is added to the cost of a plain server without an idle connection if the expected time on one with
// an idle connection is not longer by connectionTime or more.
func (t *Table) connectionSurcharge(s *selection, e *entry, n *Requirements, now time.Time) float64 {
	if t.config.IdleConnection == nil {
		return 0
	}
	if s.best == nil { // the first server of its rank that is considered
		n.reports.connectedTime = math.Inf(1)
		if t.config.Random() >= freeChoiceShare {
			n.reports.connectedTime = t.leastConnectedTime(n, e, s.rank, now)
		}
	}
	if t.plainTime(e, n.reports, now) <= n.reports.connectedTime-connectionTime || t.hasIdleConnection(e) {
		return 0
	}
	if math.IsInf(n.reports.connectedTime, 1) {
		return 0
	}
	return noConnectionCost
}

// leastConnectedTime returns the least expected time of an answer, in seconds, among the servers of a rank to which this VM has an idle
// connection, that are not known to be full, and that the request may use in the same step of its version rule as the first server.
func (t *Table) leastConnectedTime(n *Requirements, first *entry, rank healthRank, now time.Time) float64 {
	steps := t.versionSteps(*n, now)
	step, least := steps.step(first), math.Inf(1)
	for _, e := range t.services[n.Service] {
		if !t.hasIdleConnection(e) || now.Before(e.reported.fullUntil) || slices.Contains(n.Avoid, e.ID) || steps.step(e) != step {
			continue
		}
		if own, ok := t.healthRank(e, now); ok && own == rank {
			least = min(least, t.plainTime(e, n.reports, now))
		}
	}
	return least
}
