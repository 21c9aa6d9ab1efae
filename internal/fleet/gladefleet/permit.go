package gladefleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Permits reports whether a rule lets a request use servers of a version. With Fallback all but those of Except are permitted.
func (r VersionRule) Permits(version string) bool {
	return (r.Except == "" || version != r.Except) && (r.Only == "" || r.Fallback || version == r.Only)
}

// Prefers reports whether servers of a version come before others that the rule permits too.
func (r VersionRule) Prefers(version string) bool {
	return r.Only == "" || version == r.Only
}

// selectVersion selects among the servers that a rule permits: first among those that it prefers, and, if these cannot take the
// request, among the others. Servers that are slow because they have just started come last: their times would count against their
// version.
func (t *Table) selectVersion(n Requirements, now time.Time) selection {
	if n.Versions == (VersionRule{}) {
		return t.selectAmong(n, nil, now)
	}
	strict := n.Versions
	strict.Fallback = false
	if strict.Only == "" || !n.Versions.Fallback {
		return t.selectAmong(n, func(e *entry) bool { return strict.Permits(e.Version) }, now)
	}
	warm := func(e *entry) bool { return strict.Permits(e.Version) && !now.Before(e.coldUntil) }
	permitted := warm
	if strict.Concentrate > 0 && strict.Concentrate < 1 {
		if servers := t.concentrated(n, warm, now); len(servers) > 0 {
			permitted = func(e *entry) bool { return slices.Contains(servers, e) }
		}
	}
	first := t.selectAmong(n, permitted, now)
	if first.best != nil && first.rank == healthy {
		return first
	}
	others := t.selectAmong(n, func(e *entry) bool { return n.Versions.Permits(e.Version) && !strict.Prefers(e.Version) }, now)
	switch {
	case others.best != nil && (first.best == nil || others.rank < first.rank):
		return others
	case first.best == nil:
		first = t.selectAmong(n, func(e *entry) bool { return strict.Permits(e.Version) }, now)
	}
	first.full = first.full || others.full
	return first
}

// concentrated returns the part of the sound servers that a rule concentrates requests on, at least one.
func (t *Table) concentrated(n Requirements, permitted func(*entry) bool, now time.Time) []*entry {
	var servers []*entry
	for _, e := range t.services[n.Service] {
		if rank, ok := t.rankFor(e, n, now); ok && rank == healthy && permitted(e) {
			servers = append(servers, e)
		}
	}
	slices.SortFunc(servers, func(a, b *entry) int { return cmp.Compare(a.hash, b.hash) })
	return servers[:min(len(servers), max(1, int(math.Ceil(n.Versions.Concentrate*float64(len(servers))))))]
}
