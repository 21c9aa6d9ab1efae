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

// ErrNoList means that neither the platform nor another VM has told a list yet.
var ErrNoList = eris.New("no list of VMs yet")

const (
	methodGet          = "roster.get"
	rendezvousKey      = "roster"
	defaultReaders     = 2
	defaultCallTimeout = 500 * time.Millisecond
	// maxRemoved bounds the removals that are remembered for others.
	maxRemoved = 4096
)

// Config configures a Roster.
type Config struct {
	Peers *gladepeer.Node
	// Read reads the list from the platform.
	Read func(context.Context) (gladeapi.VMList, error)
	// Readers is the number of VMs of a failure domain that read from the platform; zero means 2.
	Readers int
	// OnChange is called with each new version of the list, if set.
	OnChange func(gladeapi.VMList)
	// CallTimeout bounds each call to another VM; zero means 500 ms.
	CallTimeout time.Duration
	Log         hclog.Logger
	Metrics     metrics.Registry
}

// Roster is this VM's copy of the list.
type Roster struct {
	config Config
	reads  metrics.Counter
	asks   metrics.Counter

	mu       sync.Mutex
	version  int64
	backends map[string]backend
	entries  []gladeapi.EntryVM
	// entriesChanged is the version that last changed the entries.
	entriesChanged int64
	removed        map[string]int64
	// floor is the oldest version from which changes can be told.
	floor int64
}

type backend struct {
	gladeapi.BackendServer
	changed int64
}

// New returns an empty roster and answers other VMs from it.
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
		config:   c,
		reads:    metrics.GetOrRegisterCounter("roster.platformReads", c.Metrics),
		asks:     metrics.GetOrRegisterCounter("roster.peerReads", c.Metrics),
		backends: map[string]backend{},
		removed:  map[string]int64{},
	}
	gladepeer.Handle(c.Peers, methodGet, r.serveGet)
	return r
}

// VMs brings the list up to date, from the platform or another VM, and returns it.
func (r *Roster) VMs(ctx context.Context) (gladeapi.VMList, error) {
	before := r.have()
	local, remote := r.readers()
	err := r.refresh(ctx, local, remote)
	if r.have() == 0 {
		return gladeapi.VMList{}, cmp.Or(err, ErrNoList)
	}
	if err != nil {
		r.config.Log.Debug("List not refreshed.", "error", err)
	}
	list := r.list()
	if list.Version != before {
		r.config.Peers.Learn(list.Entries)
		if r.config.OnChange != nil {
			r.config.OnChange(list)
		}
	}
	return list, nil
}

// refresh asks the readers of the failure domain, then the platform, then readers elsewhere.
func (r *Roster) refresh(ctx context.Context, local, remote []string) error {
	if !slices.Contains(local, r.config.Peers.Self().Name) && r.ask(ctx, local) {
		return nil
	}
	r.reads.Inc(1)
	list, err := r.config.Read(ctx)
	if err == nil {
		r.merge(list)
		return nil
	}
	if r.ask(ctx, remote) {
		return nil
	}
	return err
}

// readers returns the VMs that read the list in this failure domain and elsewhere.
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
			return cmp.Compare(gladepeer.Rendezvous(rendezvousKey, b), gladepeer.Rendezvous(rendezvousKey, a))
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

func (r *Roster) ask(ctx context.Context, names []string) bool {
	for _, name := range names {
		if name == r.config.Peers.Self().Name {
			continue
		}
		r.asks.Inc(1)
		ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
		a, err := gladepeer.Call[GetRequest, GetAnswer](ctx, r.config.Peers, name, methodGet, GetRequest{Have: r.have()})
		cancel()
		if err == nil && a.Version > 0 {
			r.apply(&a)
			return true
		}
	}
	return false
}

// GetRequest asks for what has changed since a version.
type GetRequest struct {
	Have int64 `json:"have"`
}

// GetAnswer is what has changed, or the whole list.
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
	a := GetAnswer{Version: r.version, Whole: q.Have < r.floor || q.Have == 0}
	if q.Have >= r.version {
		return GetAnswer{Version: r.version}, nil
	}
	for _, b := range r.backends {
		if a.Whole || b.changed > q.Have {
			a.Backends = append(a.Backends, b.BackendServer)
		}
	}
	for id, version := range r.removed {
		if !a.Whole && version > q.Have {
			a.Removed = append(a.Removed, id)
		}
	}
	if a.Whole || r.entriesChanged > q.Have {
		a.Entries = r.entries
	}
	return a, nil
}

// apply takes in the answer of another VM.
func (r *Roster) apply(a *GetAnswer) {
	if a.Version <= r.have() {
		return
	}
	list := gladeapi.VMList{Version: a.Version, Backends: a.Backends, Entries: a.Entries}
	if !a.Whole {
		list.Backends = r.changed(a)
	}
	if len(a.Entries) == 0 {
		list.Entries = r.list().Entries
	}
	r.merge(list)
}

// changed returns the whole list of backend servers after the changes of an answer.
func (r *Roster) changed(a *GetAnswer) []gladeapi.BackendServer {
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

// merge takes in a whole list unless it is older than the one held.
func (r *Roster) merge(list gladeapi.VMList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list.Version <= r.version {
		return
	}
	if r.version == 0 {
		r.floor = list.Version
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

func (r *Roster) mergeBackends(listed []gladeapi.BackendServer) {
	named := map[string]bool{}
	for _, b := range listed {
		named[b.ID] = true
		old, known := r.backends[b.ID]
		if known && old.Leaving && old.Incarnation == b.Incarnation && !b.Leaving {
			b.Leaving, b.LeaveBy = true, old.LeaveBy
		}
		if !known || old.BackendServer != b {
			r.backends[b.ID] = backend{BackendServer: b, changed: r.version}
		}
		delete(r.removed, b.ID)
	}
	for id := range r.backends {
		if !named[id] {
			delete(r.backends, id)
			r.removed[id] = r.version
		}
	}
	if len(r.removed) > maxRemoved {
		clear(r.removed)
		r.floor = r.version
	}
}

func (r *Roster) have() int64 {
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
