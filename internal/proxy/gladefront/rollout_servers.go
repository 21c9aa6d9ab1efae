package gladefront

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladeview"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

// decodeServer decodes the entry of a backend server. Without roll-outs, versions do not matter.
func (f *Front) decodeServer(o gladeplatform.Object) (gladefleet.Server, error) {
	s, err := gladeplatform.DecodeServer(o)
	if f.rollouts == nil {
		s.Version = ""
	}
	return s, err
}

// listedServers returns the servers in changes that can be decoded.
func (f *Front) listedServers(changes []gladeview.Change[entry[gladefleet.Server]]) []gladefleet.Server {
	var servers []gladefleet.Server
	for _, c := range changes {
		if f.rollouts != nil && !c.Deleted && c.Value.err == nil {
			servers = append(servers, c.Value.value)
		}
	}
	return servers
}

// readRolloutsFor reads the roll-outs if one of the servers listed at a revision has a version new to its service: the version may
// belong to an order that this VM does not know yet.
func (f *Front) readRolloutsFor(servers []gladefleet.Server, revision int64) {
	if f.rollouts == nil || !f.fleet.HasNewVersion(servers, revision, time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(withStoreCause(context.Background(), causeVersion), rolloutReadTimeout)
	defer cancel()
	if err := f.readRollouts(ctx); err != nil {
		f.log.Warn("Roll-outs not read before servers of a new version are published; these are held.", "revision", revision, "reason", err)
	}
}

// holdRevision returns the revision up to which the roll-outs must be known before a server that is listed at a revision is used. None need
// be known for versions that the known order names: its state says how much the target gets, and the old version gets the rest.
func (f *Front) holdRevision(s gladefleet.Server, revision int64) int64 {
	r, _, ok := f.rollouts.registry.Get(s.Service, bootTime())
	if ok && s.Version != "" && (s.Version == r.Target || s.Version == r.Status.From) {
		return 0
	}
	return revision
}

// targetsLast orders servers so that those of the targets of known orders come last: the first version of a service is not held, and the
// old version may not be named in a status yet.
func (f *Front) targetsLast(servers []gladefleet.Server) {
	if f.rollouts == nil {
		return
	}
	all, _ := f.rollouts.registry.Rollouts(bootTime())
	targets := map[string]string{}
	for _, r := range all {
		targets[r.Service] = r.Target
	}
	slices.SortStableFunc(servers, func(a, b gladefleet.Server) int {
		target := func(s gladefleet.Server) int {
			if s.Version != "" && targets[s.Service] == s.Version {
				return 1
			}
			return 0
		}
		return cmp.Compare(target(a), target(b))
	})
}

// onlyVersion returns the version of all servers of a service that this VM knows, gone ones included, empty if they differ.
func (f *Front) onlyVersion(service string) string {
	version, found := "", false
	for _, s := range f.fleet.Statuses() {
		switch {
		case s.Service != service:
		case found && s.Version != version:
			return ""
		default:
			version, found = s.Version, true
		}
	}
	return version
}
