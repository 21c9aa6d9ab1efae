package gladerelay

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

const (
	// Fact is the name of the fact that holds a State.
	Fact = "state"

	methodRelease = "release"
	methodServers = "servers"

	// interval is how often the peers' states are looked at; a release must be in force within two seconds.
	interval = 200 * time.Millisecond
	// patience is how long this VM's own watch may still bring a release that a peer has.
	patience = 300 * time.Millisecond
	// serversEvery is how often a VM without the store asks for the servers.
	serversEvery = 700 * time.Millisecond
	callTimeout  = time.Second
	// publishEvery bounds how often the progress of the servers' revision alone is published.
	publishEvery = 2 * time.Second
)

// State is how new a VM's knowledge is.
type State struct {
	// Release is the version in force, zero for none.
	Release int64 `json:"release"`
	// Servers is the revision of the store up to which the servers are known, zero for none.
	Servers int64 `json:"servers"`
	// Lost tells that the VM cannot reach the store.
	Lost bool `json:"lost,omitempty"`
}

// Servers is the list of backend servers at a revision.
type Servers struct {
	Revision int64               `json:"revision"`
	Servers  []gladefleet.Server `json:"servers"`
}

// Config configures a Relay.
type Config struct {
	Node *gladepeer.Node
	// State, Release and Servers return what this VM knows.
	State   func() State
	Release func() *gladerelease.Release
	Servers func() Servers
	// OnRelease and OnServers receive what a peer knows.
	OnRelease func(r *gladerelease.Release, from string)
	OnServers func(s Servers, from string)
	Log       hclog.Logger
}

// Relay is a running relay.
type Relay struct {
	config  Config
	newer   time.Time
	asked   time.Time
	told    time.Time
	last    State
	waiting int64
}

// New registers the calls, starts looking at the peers' states and returns the clean-up function.
func New(c Config) (*Relay, func()) {
	gladepeer.Handle(c.Node, methodRelease, func(context.Context, string, struct{}) (*gladerelease.Release, error) {
		return c.Release(), nil
	})
	gladepeer.Handle(c.Node, methodServers, func(context.Context, string, struct{}) (Servers, error) {
		return c.Servers(), nil
	})
	r := &Relay{config: c}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				r.look(ctx, time.Now())
			}
		}
	})
	return r, func() {
		cancel()
		tasks.Wait()
	}
}

// look publishes this VM's state and asks a peer that knows more.
func (r *Relay) look(ctx context.Context, now time.Time) {
	own := r.config.State()
	r.publish(own, now)
	release, servers := r.newest()
	if release.state.Release > own.Release && r.due(release.state.Release, own, now) {
		r.AskRelease(ctx, release.vm)
	}
	if (own.Lost || own.Servers == 0) && servers.state.Servers > own.Servers && now.Sub(r.asked) > serversEvery {
		r.asked = now
		r.AskServers(ctx, servers.vm)
	}
}

// publish tells the peers this VM's state: at once if it matters to them, else seldom.
func (r *Relay) publish(own State, now time.Time) {
	if own.Release == r.last.Release && own.Lost == r.last.Lost && now.Sub(r.told) < publishEvery {
		return
	}
	r.last, r.told = own, now
	if err := r.config.Node.Publish(Fact, own); err != nil {
		r.config.Log.Error("State not published.", "reason", err)
	}
}

// due reports whether the own watch has had its time to bring a release.
func (r *Relay) due(version int64, own State, now time.Time) bool {
	if r.waiting != version {
		r.waiting, r.newer = version, now
	}
	return own.Lost || own.Release == 0 || now.Sub(r.newer) >= patience
}

// known is what a peer has published.
type known struct {
	vm    string
	state State
}

// newest returns the peers that know the newest release and the newest servers.
func (r *Relay) newest() (release, servers known) {
	for _, m := range r.config.Node.Members() {
		var s State
		if raw, ok := m.Facts[Fact]; !ok || json.Unmarshal(raw, &s) != nil {
			continue // the peer has published nothing yet
		}
		if s.Release > release.state.Release {
			release = known{m.Name, s}
		}
		if s.Servers > servers.state.Servers {
			servers = known{m.Name, s}
		}
	}
	return release, servers
}

// AskRelease asks a peer for the release that it has in force.
func (r *Relay) AskRelease(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	release, err := gladepeer.Call[struct{}, *gladerelease.Release](ctx, r.config.Node, vm, methodRelease, struct{}{})
	if err != nil || release == nil {
		r.config.Log.Warn("Peer did not tell its release.", "peer", vm, "reason", err)
		return
	}
	release.Index()
	r.config.OnRelease(release, vm)
}

// AskServers asks a peer for the servers that it knows.
func (r *Relay) AskServers(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	servers, err := gladepeer.Call[struct{}, Servers](ctx, r.config.Node, vm, methodServers, struct{}{})
	if err != nil {
		r.config.Log.Warn("Peer did not tell its backend servers.", "peer", vm, "reason", err)
		return
	}
	r.config.OnServers(servers, vm)
}
