package gladeroster

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
)

// ErrNoList means that neither the platform nor another VM has returned a list yet.
var ErrNoList = eris.New("no list of VMs yet")

const (
	methodGet          = "roster.get"
	rendezvousKey      = "roster"
	defaultReaders     = 2
	defaultCallTimeout = 500 * time.Millisecond
	// maxRemoved bounds the removed backend servers that are kept for partial responses. Above it, callers with older
	// versions get the whole list.
	maxRemoved = 4096
)

// Config configures a Roster.
type Config struct {
	// Peers is the membership to read the list through.
	Peers *gladepeer.Node
	// Read reads the list from the platform.
	Read func(context.Context) (gladeapi.VMList, error)
	// Readers is the number of VMs of each failure domain that read from the platform. Zero means 2.
	Readers int
	// OnChange, if set, is called with each new version of the list.
	OnChange func(gladeapi.VMList)
	// CallTimeout bounds each call to another VM. Zero means 500 ms.
	CallTimeout time.Duration
	Log         hclog.Logger
	Metrics     metrics.Registry
}

// Roster holds this VM's copy of the list.
type Roster struct {
	config        Config
	platformReads metrics.Counter
	peerReads     metrics.Counter

	mu       sync.Mutex
	version  int64
	backends map[string]backend
	entries  []gladeapi.EntryVM
	// entriesChanged is the list version that last changed the entries.
	entriesChanged int64
	// removed holds the list version that removed each backend server, by ID.
	removed map[string]int64
	// minDeltaVersion is the oldest version for which a partial response is possible.
	minDeltaVersion int64
}

type backend struct {
	gladeapi.BackendServer
	// changedVersion is the list version that last changed the backend server.
	changedVersion int64
}

// New returns an empty roster and registers its handler for requests of other VMs.
func New(c Config) *Roster {
	c.Readers = cmp.Or(c.Readers, defaultReaders)
	c.CallTimeout = cmp.Or(c.CallTimeout, defaultCallTimeout)
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	r := &Roster{
		config:        c,
		platformReads: metrics.GetOrRegisterCounter("roster.platformReads", c.Metrics),
		peerReads:     metrics.GetOrRegisterCounter("roster.peerReads", c.Metrics),
		backends:      map[string]backend{},
		removed:       map[string]int64{},
	}
	gladepeer.Handle(c.Peers, methodGet, r.serveGet)
	return r
}

// VMs refreshes the list from the platform or another VM and returns it.
//
// If the refresh fails, VMs returns the last known list, or an error if there is none.
func (r *Roster) VMs(ctx context.Context) (gladeapi.VMList, error) {
	before := r.currentVersion()
	local, remote := r.readers()
	err := r.refresh(ctx, local, remote)
	if r.currentVersion() == 0 {
		return gladeapi.VMList{}, cmp.Or(err, ErrNoList)
	}
	if err != nil {
		r.config.Log.Debug("List of VMs not refreshed.", "error", err)
	}
	list := r.list()
	if list.Version != before {
		r.config.Peers.SetListed(list.Entries)
		if r.config.OnChange != nil {
			r.config.OnChange(list)
		}
	}
	return list, nil
}

// refresh tries the readers of this failure domain, then the platform, then the readers of other failure domains.
// The readers of this failure domain are skipped if this VM is one of them.
func (r *Roster) refresh(ctx context.Context, local, remote []string) error {
	if !slices.Contains(local, r.config.Peers.Self().Name) && r.readFromPeers(ctx, local) {
		return nil
	}
	r.platformReads.Inc(1)
	list, err := r.config.Read(ctx)
	if err == nil {
		r.merge(list)
		return nil
	}
	if r.readFromPeers(ctx, remote) {
		return nil
	}
	return err
}

// readers returns the names of the readers in this failure domain and of one reader in each other domain.
func (r *Roster) readers() (local, remote []string) {
	self := r.config.Peers.Self()
	domains := map[string][]string{}
	for _, m := range append(r.config.Peers.Members(), self) {
		if !m.Leaving || m.Name == self.Name && len(domains) == 0 {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m.Name)
		}
	}
	for domain, names := range domains {
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Compare(gladepeer.RendezvousWeight(rendezvousKey, b), gladepeer.RendezvousWeight(rendezvousKey, a))
		})
		names = names[:min(len(names), r.config.Readers)]
		if domain == self.FailureDomain {
			local = names
		} else {
			remote = append(remote, names[0])
		}
	}
	return local, remote
}

// readFromPeers requests changes from the named VMs until one has a list, and reports whether one had.
func (r *Roster) readFromPeers(ctx context.Context, names []string) bool {
	for _, name := range names {
		if name == r.config.Peers.Self().Name {
			continue
		}
		r.peerReads.Inc(1)
		ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
		a, err := gladepeer.Call[GetRequest, GetAnswer](ctx, r.config.Peers, name, methodGet, GetRequest{KnownVersion: r.currentVersion()})
		cancel()
		if err == nil && a.Version > 0 {
			r.applyResponse(&a)
			return true
		}
	}
	return false
}

// GetRequest requests the changes since a version.
type GetRequest struct {
	// KnownVersion is the version that the caller holds, or zero.
	KnownVersion int64 `json:"have"`
}

// GetAnswer holds the changes since a version, or the whole list.
type GetAnswer struct {
	Version  int64                    `json:"version"`
	Whole    bool                     `json:"whole,omitempty"`
	Backends []gladeapi.BackendServer `json:"backends,omitempty"`
	Removed  []string                 `json:"removed,omitempty"`
	Entries  []gladeapi.EntryVM       `json:"entries,omitempty"`
}

func (r *Roster) serveGet(_ context.Context, _ string, q GetRequest) (GetAnswer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := GetAnswer{Version: r.version, Whole: q.KnownVersion < r.minDeltaVersion || q.KnownVersion == 0}
	if q.KnownVersion >= r.version {
		return GetAnswer{Version: r.version}, nil
	}
	for _, b := range r.backends {
		if a.Whole || b.changedVersion > q.KnownVersion {
			a.Backends = append(a.Backends, b.BackendServer)
		}
	}
	for id, version := range r.removed {
		if !a.Whole && version > q.KnownVersion {
			a.Removed = append(a.Removed, id)
		}
	}
	if a.Whole || r.entriesChanged > q.KnownVersion {
		a.Entries = r.entries
	}
	return a, nil
}

// applyResponse merges the response of another VM unless it is no newer than the list held.
func (r *Roster) applyResponse(a *GetAnswer) {
	if a.Version <= r.currentVersion() {
		return
	}
	list := gladeapi.VMList{Version: a.Version, Backends: a.Backends, Entries: a.Entries}
	if !a.Whole {
		list.Backends = r.updatedBackends(a)
	}
	if len(a.Entries) == 0 {
		list.Entries = r.list().Entries
	}
	r.merge(list)
}

// updatedBackends returns all backend servers after the changes of a partial response.
func (r *Roster) updatedBackends(a *GetAnswer) []gladeapi.BackendServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string]gladeapi.BackendServer{}
	for id, b := range r.backends {
		all[id] = b.BackendServer
	}
	for _, id := range a.Removed {
		delete(all, id)
	}
	for _, b := range a.Backends {
		all[b.ID] = b
	}
	return slices.Collect(maps.Values(all))
}

// merge replaces the list by a newer whole list. An empty part of the list changes nothing.
func (r *Roster) merge(list gladeapi.VMList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list.Version <= r.version {
		return
	}
	if r.version == 0 {
		r.minDeltaVersion = list.Version
	}
	r.version = list.Version
	if len(list.Backends) > 0 {
		r.mergeBackends(list.Backends)
	}
	if len(list.Entries) > 0 && !slices.Equal(list.Entries, r.entries) {
		r.entries = list.Entries
		r.entriesChanged = list.Version
	}
}

// mergeBackends replaces the backend servers and records which ones changed. A leaving backend server stays
// leaving until its incarnation changes. The caller holds r.mu.
func (r *Roster) mergeBackends(listed []gladeapi.BackendServer) {
	listedIDs := map[string]bool{}
	for _, b := range listed {
		listedIDs[b.ID] = true
		old, known := r.backends[b.ID]
		if known && old.Leaving && old.Incarnation == b.Incarnation && !b.Leaving {
			b.Leaving, b.LeaveBy = true, old.LeaveBy
		}
		if !known || old.BackendServer != b {
			r.backends[b.ID] = backend{BackendServer: b, changedVersion: r.version}
		}
		delete(r.removed, b.ID)
	}
	for id := range r.backends {
		if !listedIDs[id] {
			delete(r.backends, id)
			r.removed[id] = r.version
		}
	}
	if len(r.removed) > maxRemoved {
		clear(r.removed)
		r.minDeltaVersion = r.version
	}
}

func (r *Roster) currentVersion() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

func (r *Roster) list() gladeapi.VMList {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := gladeapi.VMList{Version: r.version, Entries: r.entries}
	for _, b := range r.backends {
		list.Backends = append(list.Backends, b.BackendServer)
	}
	slices.SortFunc(list.Backends, func(a, b gladeapi.BackendServer) int { return strings.Compare(a.ID, b.ID) })
	return list
}
