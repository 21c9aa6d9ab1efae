package gladefront

import (
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladefeed"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelay"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

// readState returns the revision and release that this VM has read, and whether it has to read the store now.
func (f *Front) readState() (gladefeed.Update, bool) {
	if !f.isReading() {
		return gladefeed.Update{}, false
	}
	f.serversMu.Lock()
	digest := f.fleet.Digest()
	f.mu.Lock()
	revision := f.revision
	f.mu.Unlock()
	f.serversMu.Unlock()
	now := bootTime()
	f.mu.Lock()
	defer f.mu.Unlock()
	age := now.Sub(f.confirmedAt)
	u := gladefeed.Update{Before: revision, Revision: revision, Digest: digest, AgeMillis: age.Milliseconds()}
	if r := f.release.Load(); r != nil {
		u.Release = r.Version
	}
	reached := !f.storeRefused && !f.unreachable[gladeplatform.KindServers] && !f.unreachable[gladeplatform.KindConfig]
	// A VM that was frozen has answers of before; its watches end at once, but heartbeats may come first.
	u.Reading = reached && age <= f.watchWait()+watchSlack
	u.Lost = !u.Reading
	return u, f.serversKnown && f.reading
}

// onUpdate applies the update of another VM. What this VM misses is requested without holding up later updates.
func (f *Front) onUpdate(u gladefeed.Update) {
	switch {
	case u.Lost:
		f.outage.RecordLost(bootTime())
	case u.Reading:
		f.outage.RecordReached(bootTime())
	}
	f.observeRelease(u)
	f.mergeRollouts(u.Rollouts)
	f.applyReleaseChange(u)
	var missing gladerelay.State
	if r := f.release.Load(); r == nil || r.Version < u.Release {
		missing.Release = u.Release
	}
	if !f.applyServerChanges(u) {
		missing.Servers = u.Revision
	}
	if missing != (gladerelay.State{}) {
		f.relay.Announce(u.VM, missing)
	}
}

// applyReleaseChange applies the change of the release in an update if it follows the release in force.
func (f *Front) applyReleaseChange(u gladefeed.Update) {
	r := f.release.Load()
	if r == nil || u.ReleaseChange == nil || u.ReleaseChange.Before != r.Version {
		return
	}
	next, err := r.Apply(*u.ReleaseChange)
	if err != nil {
		f.log.Error("Change of the release cannot be applied; the release is requested.", "peer", u.VM, "reason", err)
		return
	}
	f.applyRelease(next, u.ReleaseChange, u.VM)
}

// onPeerRelease puts the release of a peer in force; nil means that this VM had it already.
func (f *Front) onPeerRelease(r *gladerelease.Release, from string) {
	if r != nil {
		f.applyRelease(r, nil, from)
	}
}

// setUnreachable records the start or the end of the time in which this VM cannot read a kind of objects.
func (f *Front) setUnreachable(kind string, unreachable bool) {
	if kind == gladeplatform.KindServers {
		f.outage.RecordLost(bootTime())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[kind] = unreachable
}

// recordStoreReached records that the store has just answered a call for the servers.
func (f *Front) recordStoreReached() { f.outage.RecordReached(bootTime()) }

func (f *Front) isReading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reading
}
