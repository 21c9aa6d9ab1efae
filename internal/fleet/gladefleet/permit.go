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
// request, among the others.
func (t *Table) selectVersion(n Requirements, now time.Time) selection {
	if n.Versions == (VersionRule{}) {
		return t.selectAmong(n, nil, now)
	}
	rule := n.Versions
	strict := rule
	strict.Fallback = false
	permitted := func(e *entry) bool { return strict.Permits(e.Version) }
	if rule.Concentrate > 0 && rule.Concentrate < 1 {
		if servers := t.concentrated(n, strict, now); len(servers) > 0 {
			permitted = func(e *entry) bool { return slices.Contains(servers, e) }
		}
	}
	first := t.selectAmong(n, permitted, now)
	if rule.Only == "" || !rule.Fallback || first.best != nil && first.rank == healthy {
		return first
	}
	return t.preferSooner(first, n, now)
}

// preferSooner returns the better one of a selection among the preferred servers and of one among the others that the rule
// permits.
func (t *Table) preferSooner(first selection, n Requirements, now time.Time) selection {
	others := t.selectAmong(n, func(e *entry) bool { return n.Versions.Permits(e.Version) && !n.Versions.Prefers(e.Version) }, now)
	if others.best != nil && (first.best == nil || others.rank < first.rank) {
		return others
	}
	first.full = first.full || others.full
	return first
}

// concentrated returns the part of the sound servers that a rule concentrates requests on, at least one.
func (t *Table) concentrated(n Requirements, rule VersionRule, now time.Time) []*entry {
	var servers []*entry
	for _, e := range t.services[n.Service] {
		if rank, ok := t.rankFor(e, n, now); ok && rank == healthy && rule.Permits(e.Version) {
			servers = append(servers, e)
		}
	}
	slices.SortFunc(servers, func(a, b *entry) int { return cmp.Compare(a.hash, b.hash) })
	return servers[:min(len(servers), max(1, int(math.Ceil(rule.Concentrate*float64(len(servers))))))]
}
