package gladefleet

import "time"

// maxHold is the longest time for which a server of a version new to its service gets no request while it is not known whether
// the version belongs to a roll-out.
const maxHold = 2 * time.Second

// maxCold is the longest time for which a new server gets no requests that judge its version.
const maxCold = 2 * time.Second

// PutAt is Put for a server that is listed at a revision of the store. If its service has no server of its version, and the
// roll-outs are not known up to that revision, the server gets no request until they are, for at most maxHold.
func (t *Table) PutAt(s Server, revision int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	hold := t.isNewVersion(s, revision, now)
	old := t.servers[s.ID]
	fresh := old == nil || s.Started > old.Started
	changed := t.putListed(s, now)
	e := t.servers[s.ID]
	if hold && e.heldUntil.IsZero() {
		e.heldUntil, e.heldFor = now.Add(maxHold), revision
	}
	if fresh {
		e.coldUntil = now.Add(min(maxCold, s.Cold))
	}
	return changed
}

// isNewVersion reports whether a listed server has a version that its service did not have before and that may belong to a
// roll-out that is not known yet. A service without servers has no version before.
func (t *Table) isNewVersion(s Server, revision int64, now time.Time) bool {
	if s.Version == "" || revision <= t.rolloutsRevision {
		return false
	}
	others := false
	for _, e := range t.services[s.Service] {
		switch {
		case e.ID == s.ID && e.Version == s.Version:
			return false
		case e.unlisted || now.Before(e.heldUntil):
		case e.Version == s.Version:
			return false
		default:
			others = true
		}
	}
	return others
}

// HasNewVersion reports whether one of the servers listed at a revision would be held by PutAt.
func (t *Table) HasNewVersion(servers []Server, revision int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := map[string]string{}
	for _, s := range servers {
		version, listed := first[s.Service]
		if t.isNewVersion(s, revision, now) || listed && version != s.Version && len(t.services[s.Service]) == 0 {
			return true
		}
		first[s.Service] = s.Version
	}
	return false
}

// RolloutsKnown records that the roll-outs are known up to a revision of the store, and ends the holds that waited for that.
func (t *Table) RolloutsKnown(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision <= t.rolloutsRevision {
		return
	}
	t.rolloutsRevision = revision
	for _, e := range t.servers {
		if !e.heldUntil.IsZero() && e.heldFor <= revision {
			e.heldUntil, e.heldFor = time.Time{}, 0
		}
	}
}

// VersionCounts returns the numbers of servers of a service that may get new requests, of one version and of all others.
func (t *Table) VersionCounts(service, version string, now time.Time) (same, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.services[service] {
		switch {
		case !e.inService(now):
		case e.Version == version:
			same++
		default:
			others++
		}
	}
	return same, others
}
