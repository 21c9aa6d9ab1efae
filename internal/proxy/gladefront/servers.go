package gladefront

import (
	"slices"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladefeed"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelay"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladeview"
)

// serversSource is from whom and how this VM has learned of backend servers.
type serversSource struct {
	// from is fromStore or the name of a VM.
	from string
	// how says whether it was a whole list, the changes since a revision, or a digest that equals that of this VM's list.
	how serversForm
	// revision is the revision of the store up to which it holds.
	revision int64
}

// serversForm is the form in which knowledge of backend servers arrives.
type serversForm string

const (
	formList    serversForm = "list"
	formChanges serversForm = "changes"
	formDigest  serversForm = "digest"
)

// maxNamedServers is the largest number of identifiers of leaving servers in one line of the log.
const maxNamedServers = 16

// takeRevision records that the list of servers holds up to the revision of a source.  leaving are servers that the source lists as
// leaving, and changes is the number of its changes.  The caller holds serversMu.
func (f *Front) takeRevision(source serversSource, leaving []string, changes int) {
	f.mu.Lock()
	before, known := f.revision, f.serversKnown
	f.serversKnown, f.revision = true, source.revision
	f.mu.Unlock()
	f.fleet.SetRevision(source.revision)
	if known && before == source.revision {
		return
	}
	f.log.Info("List of backend servers advanced.", "from", source.from, "how", string(source.how), "before", before, "revision", source.revision,
		"changes", changes, "leaving", leaving[:min(len(leaving), maxNamedServers)])
}

// leavingServers returns the identifiers of those of the servers that the store lists as leaving.
func leavingServers(servers []gladefleet.Server) []string {
	var ids []string
	for _, s := range servers {
		if s.Leaving {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// leavingInChanges is leavingServers for the servers in changes.
func leavingInChanges(changes []gladefeed.Change) []string {
	var ids []string
	for _, c := range changes {
		if c.Server != nil && c.Server.Leaving {
			ids = append(ids, c.Server.ID)
		}
	}
	return ids
}

// onServers takes over a list that this VM has read from the store, and tells its failure domain what has changed.
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
	source := serversSource{fromStore, formList, revision}
	changes, complete := f.replaceServers(servers, nil, source, time.Now())
	if known && complete {
		// The other VMs have followed up to about the same revision.  With the changes since, they need not all request the
		// whole list from this VM, whose link would be busy for seconds.
		update.Before, update.Changes = min(before, revision), changes
	}
	f.takeRevision(source, leavingServers(servers), len(changes))
	update.Digest = f.fleet.Digest()
	f.serversMu.Unlock()
	f.publishServers(update)
}

// onServerChanges does the same with changes that its watch has brought.
func (f *Front) onServerChanges(changes []gladeview.Change[entry[gladefleet.Server]], revision int64) {
	f.readRolloutsFor(f.listedServers(changes), revision)
	now := time.Now()
	source := serversSource{fromStore, formChanges, revision}
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
			f.removeServer(c.Name, source, now, false)
			update.Changes = append(update.Changes, gladefeed.Change{Removed: c.Name})
			continue
		}
		f.putServer(c.Value.value, source, now)
		update.Changes = append(update.Changes, gladefeed.Change{Server: &c.Value.value})
	}
	f.takeRevision(source, leavingInChanges(update.Changes), len(update.Changes))
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

// applyServerChanges applies the changes of servers in an update, and returns false if the sender's list has to be requested: changes before
// them are missing, or the two lists differ at one revision.
func (f *Front) applyServerChanges(u gladefeed.Update) bool {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	f.mu.Lock()
	known, serversKnown := f.revision, f.serversKnown
	f.mu.Unlock()
	switch {
	case !serversKnown:
		return false
	case u.Revision < known:
		return true
	case u.Revision == known:
		return !f.listDiffers(u)
	case u.Before > known && (u.Digest == 0 || u.Digest != f.fleet.Digest()):
		return false
	}
	source := serversSource{u.VM, formDigest, u.Revision}
	if u.Before <= known {
		source.how = formChanges
		now := time.Now()
		for _, c := range u.Changes {
			if c.Server != nil {
				f.putServer(*c.Server, source, now)
			} else {
				f.removeServer(c.Removed, source, now, false)
			}
		}
	}
	if f.listDiffers(u) {
		return false
	}
	f.takeRevision(source, leavingInChanges(u.Changes), len(u.Changes))
	return true
}

const (
	// listDiffersInterval is the shortest time between two series of requests for a list that differs: the list of a large fleet is tens of
	// kilobytes, and all VMs of a failure domain request it from its reader.
	listDiffersInterval = 5 * time.Second
	// listDiffersTime is how long such a series lasts; an answer takes milliseconds.
	listDiffersTime = 500 * time.Millisecond
)

// listDiffers reports whether a reader has another list than this VM at the same revision, so that it has to be requested; this VM then
// does not claim the revision.  A VM that reads the store itself does not take another one's list for it.  The caller holds serversMu.
func (f *Front) listDiffers(u gladefeed.Update) bool {
	if !u.Reading || u.Digest == 0 || u.Digest == f.fleet.Digest() {
		return false
	}
	f.mu.Lock()
	first := time.Since(f.differedAt) >= listDiffersInterval
	if first {
		f.differedAt = time.Now()
	}
	request := !f.reading && time.Since(f.differedAt) < listDiffersTime
	if request {
		f.revision = min(f.revision, u.Revision-1)
	}
	f.mu.Unlock()
	if first {
		f.countCall("servers.listDiffers")
		f.log.Warn("List of backend servers differs from a reader's at the same revision.", "from", u.VM, "revision", u.Revision, "requested", request)
	}
	return request
}

func (f *Front) knownServers() gladerelay.Servers {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	f.mu.Lock()
	revision := f.revision
	f.mu.Unlock()
	return gladerelay.Servers{Revision: revision, Servers: f.fleet.List(), Unlisted: f.fleet.Unlisted(), Rollouts: f.rolloutStates()}
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
	source := serversSource{from, formList, s.Revision}
	changes, _ := f.replaceServers(s.Servers, s.Unlisted, source, time.Now())
	f.takeRevision(source, leavingServers(s.Servers), len(changes))
}

// replaceServers updates the table to hold exactly the listed servers, and what the source knows beyond the list.  It returns the changes
// of the list, and whether they tell another VM all that has changed; they do not where entries may only have expired.  Without an outage of the store, servers that
// the list lacks have left, however many they are: longer use would exceed the bound on leaving servers.
func (f *Front) replaceServers(
	servers, unlisted []gladefleet.Server, source serversSource, now time.Time,
) (changes []gladefeed.Change, complete bool) {
	listed := map[string]bool{}
	for _, s := range slices.Concat(servers, unlisted) {
		listed[s.ID] = true
	}
	before := f.fleet.Statuses()
	var lapsed map[string]bool
	if f.outage.MayHaveExpired(bootTime()) {
		lapsed = gladefleet.PossiblyExpired(before, servers)
	}
	for i, s := range servers {
		if f.putServer(s, source, now) {
			changes = append(changes, gladefeed.Change{Server: &servers[i]})
		}
	}
	for _, s := range unlisted {
		f.fleet.AddUnlisted(s, now)
	}
	complete = true
	for _, s := range before {
		if s.Listed && !listed[s.ID] {
			f.removeServer(s.ID, source, now, lapsed[s.Service])
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

// putServer adds a server that a source lists to the table or updates it, and reports whether that changed anything.
func (f *Front) putServer(s gladefleet.Server, source serversSource, now time.Time) bool {
	if f.rollouts == nil && !f.fleet.Put(s, now) || f.rollouts != nil && !f.fleet.PutAt(s, f.holdRevision(s, source.revision), now) {
		return false
	}
	f.log.Info("Backend server listed.", "server", s.ID, "service", s.Service, "address", s.Address, "domain", s.FailureDomain,
		"leaving", s.Leaving, "started", s.Started, "version", s.Version, "from", source.from, "how", string(source.how), "revision", source.revision)
	return true
}

// removeServer marks a server as no longer listed; lapsed means that its entry may only have expired.
func (f *Front) removeServer(id string, source serversSource, now time.Time, lapsed bool) {
	grace := time.Duration(0)
	if lapsed {
		grace = lapsedServerGrace
	}
	f.log.Info("Backend server gone.", "server", id, "grace", grace, "from", source.from, "how", string(source.how), "revision", source.revision)
	f.fleet.Remove(id, now, grace)
}
