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

// versionStep orders the servers of a service by when a version rule lets a request use them.
type versionStep int

const (
	stepFirst     versionStep = iota // the rule prefers them
	stepOthers                       // used if no healthy one of the first has room
	stepLast                         // of the preferred version, but cold or not among the concentrated ones
	stepForbidden                    // the rule does not permit them
)

// versionSteps is a version rule applied to the servers of a service.
type versionSteps struct {
	rule VersionRule
	// fallback reports that the rule prefers one version and permits others.
	fallback bool
	// concentrated are the servers that get the requests for the preferred version, empty for all of its warm ones.
	concentrated []*entry
	now          time.Time
}

// versionSteps returns the steps in which a request may use servers. Servers that are slow because they have just started come
// last where the rule permits others: their times would count against their version.
func (t *Table) versionSteps(n Requirements, now time.Time) *versionSteps {
	v := &versionSteps{rule: n.Versions, fallback: n.Versions.Only != "" && n.Versions.Fallback, now: now}
	if v.fallback && n.Versions.Concentrate > 0 && n.Versions.Concentrate < 1 {
		v.concentrated = t.concentrated(n, v.permits(stepFirst), now)
	}
	return v
}

// step returns the step in which the rule lets a request use a server.
func (v *versionSteps) step(e *entry) versionStep {
	switch {
	case !v.rule.Permits(e.Version):
		return stepForbidden
	case !v.fallback:
		return stepFirst
	case !v.rule.Prefers(e.Version):
		return stepOthers
	case v.now.Before(e.coldUntil) || len(v.concentrated) > 0 && !slices.Contains(v.concentrated, e):
		return stepLast
	}
	return stepFirst
}

// permits returns whether a server is in one of the given steps.
func (v *versionSteps) permits(steps ...versionStep) func(*entry) bool {
	return func(e *entry) bool { return slices.Contains(steps, v.step(e)) }
}

// selectVersion selects among the servers that a rule permits: first among those that it prefers, and, if these cannot take the
// request, among the others.
func (t *Table) selectVersion(n Requirements, now time.Time) selection {
	if n.Versions == (VersionRule{}) {
		return t.selectAmong(n, nil, now)
	}
	v := t.versionSteps(n, now)
	first := t.selectAmong(n, v.permits(stepFirst), now)
	if !v.fallback || first.best != nil && first.rank == healthy {
		return first
	}
	others := t.selectAmong(n, v.permits(stepOthers), now)
	switch {
	case others.best != nil && (first.best == nil || others.rank < first.rank):
		return others
	case first.best == nil:
		first = t.selectAmong(n, v.permits(stepFirst, stepLast), now)
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
