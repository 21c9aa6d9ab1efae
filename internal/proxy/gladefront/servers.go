package gladefront

import (
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladefeed"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelay"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladeview"
)

func (f *Front) onServers(items []gladeview.Item[entry[gladefleet.Server]], revision int64) {
	var servers []gladefleet.Server
	for _, i := range items {
		if f.decoded(i) {
			servers = append(servers, i.Value.value)
		}
	}
	f.readRolloutsFor(servers, revision)
	f.serversMu.Lock()
	f.mu.Lock()
	known, stale := f.serversKnown, f.serversKnown && revision < f.revision
	before := f.revision
	f.mu.Unlock()
	if stale {
		f.serversMu.Unlock()
		return // a peer has sent a newer revision; the watch brings what follows
	}
	update := gladefeed.Update{Before: revision, Revision: revision, Reading: true}
	changes, complete := f.replaceServers(servers, revision, time.Now())
	if known && complete {
		// The other VMs have followed up to about the same revision.  With the changes since, they need not all request the
		// whole list from this VM, whose link would be busy for seconds.
		update.Before, update.Changes = min(before, revision), changes
	}
	f.mu.Lock()
	f.serversKnown, f.revision = true, revision
	f.mu.Unlock()
	update.Digest = f.fleet.Digest()
	f.serversMu.Unlock()
	f.publishServers(update)
}

func (f *Front) onServerChanges(changes []gladeview.Change[entry[gladefleet.Server]], revision int64) {
	f.readRolloutsFor(f.listedServers(changes), revision)
	now := time.Now()
	update := gladefeed.Update{Revision: revision, Reading: true}
	f.serversMu.Lock()
	f.mu.Lock()
	update.Before = f.revision
	f.mu.Unlock()
	if revision <= update.Before {
		f.serversMu.Unlock()
		return // another reader has sent these changes and later ones
	}
	for _, c := range changes {
		if c.Deleted || !f.decoded(c.Item) {
			f.removeServer(c.Name, now, false)
			update.Changes = append(update.Changes, gladefeed.Change{Removed: c.Name})
			continue
		}
		f.putServer(c.Value.value, revision, now)
		update.Changes = append(update.Changes, gladefeed.Change{Server: &c.Value.value})
	}
	f.mu.Lock()
	f.revision = revision
	f.mu.Unlock()
	update.Digest = f.fleet.Digest()
	f.serversMu.Unlock()
	f.publishServers(update)
}

// publishServers sends an update of the servers to the failure domain.
func (f *Front) publishServers(u gladefeed.Update) {
	if r := f.release.Load(); r != nil {
		u.Release = r.Version
	}
	f.mu.Lock()
	u.AgeMillis = bootTime().Sub(f.confirmedAt).Milliseconds()
	f.mu.Unlock()
	f.feed.Publish(u)
}

// applyServerChanges applies the changes of servers in an update, and returns false if changes before them are missing.
func (f *Front) applyServerChanges(u gladefeed.Update) bool {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	f.mu.Lock()
	known, serversKnown := f.revision, f.serversKnown
	f.mu.Unlock()
	switch {
	case !serversKnown:
		return false
	case u.Revision <= known:
		return true
	case u.Before > known && (u.Digest == 0 || u.Digest != f.fleet.Digest()):
		return false
	}
	if u.Before <= known {
		now := time.Now()
		for _, c := range u.Changes {
			if c.Server != nil {
				f.putServer(*c.Server, u.Revision, now)
			} else {
				f.removeServer(c.Removed, now, false)
			}
		}
	}
	f.mu.Lock()
	f.revision = max(f.revision, u.Revision)
	f.mu.Unlock()
	return true
}

func (f *Front) knownServers() gladerelay.Servers {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	f.mu.Lock()
	revision := f.revision
	f.mu.Unlock()
	s := gladerelay.Servers{Revision: revision, Rollouts: f.rolloutStates()}
	for _, x := range f.fleet.Statuses() {
		if x.Listed {
			s.Servers = append(s.Servers, x.Server)
		}
	}
	return s
}

// onPeerServers replaces the servers by a peer's list unless this VM's own is as new.
func (f *Front) onPeerServers(s gladerelay.Servers, from string) {
	f.mergeRollouts(s.Rollouts)
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	f.mu.Lock()
	known := f.serversKnown && s.Revision <= f.revision
	f.mu.Unlock()
	if known || len(s.Servers) == 0 {
		return
	}
	f.log.Info("Received backend servers from a peer.", "peer", from, "revision", s.Revision, "servers", len(s.Servers))
	f.targetsLast(s.Servers)
	f.replaceServers(s.Servers, s.Revision, time.Now())
	f.mu.Lock()
	f.revision, f.serversKnown = s.Revision, true
	f.mu.Unlock()
}

// replaceServers updates the table to hold exactly the listed servers.  It returns the changes, and whether they tell
// another VM all that has changed; they do not where entries may only have expired.  Without an outage of the store, servers that
// the list lacks have left, however many they are: longer use would exceed the bound on leaving servers.
func (f *Front) replaceServers(servers []gladefleet.Server, revision int64, now time.Time) (changes []gladefeed.Change, complete bool) {
	listed := map[string]bool{}
	for _, s := range servers {
		listed[s.ID] = true
	}
	before := f.fleet.Statuses()
	var lapsed map[string]bool
	if f.outage.MayHaveExpired(bootTime()) {
		lapsed = gladefleet.PossiblyExpired(before, servers)
	}
	for i, s := range servers {
		if f.putServer(s, revision, now) {
			changes = append(changes, gladefeed.Change{Server: &servers[i]})
		}
	}
	complete = true
	for _, s := range before {
		if s.Listed && !listed[s.ID] {
			f.removeServer(s.ID, now, lapsed[s.Service])
			changes = append(changes, gladefeed.Change{Removed: s.ID})
			complete = complete && !lapsed[s.Service]
		}
	}
	return changes, complete
}

// decoded reports whether an entry was decoded to a backend server, and logs the error if not.
func (f *Front) decoded(i gladeview.Item[entry[gladefleet.Server]]) bool {
	if i.Value.err != nil {
		f.log.Warn("Entry names no backend server.", "entry", i.Name, "reason", i.Value.err)
	}
	return i.Value.err == nil
}

// putServer adds a server that is listed at a revision to the table or updates it, and reports whether that changed anything.
func (f *Front) putServer(s gladefleet.Server, revision int64, now time.Time) bool {
	if f.rollouts == nil && !f.fleet.Put(s, now) || f.rollouts != nil && !f.fleet.PutAt(s, f.holdRevision(s, revision), now) {
		return false
	}
	f.log.Info("Backend server listed.", "server", s.ID, "service", s.Service, "address", s.Address, "domain", s.FailureDomain,
		"leaving", s.Leaving, "started", s.Started, "version", s.Version)
	return true
}

// removeServer marks a server as no longer listed; lapsed means that its entry may only have expired.
func (f *Front) removeServer(id string, now time.Time, lapsed bool) {
	grace := time.Duration(0)
	if lapsed {
		grace = lapsedServerGrace
	}
	f.log.Info("Backend server gone.", "server", id, "grace", grace)
	f.fleet.Remove(id, now, grace)
}
