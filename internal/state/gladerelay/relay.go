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
	// Fact is the name of the published fact that holds a State.
	Fact = "state"

	methodRelease = "release"
	methodServers = "servers"

	// pollInterval is how often the states of the peers are checked; a release must be in force within two seconds.
	pollInterval = 200 * time.Millisecond
	// watchGrace is how long to wait for a release from this VM's own watch before asking a peer that has it.
	watchGrace = 300 * time.Millisecond
	// serversInterval is how often a VM that cannot reach the store asks for the servers.
	serversInterval = 700 * time.Millisecond
	callTimeout     = time.Second
	// publishInterval limits how often a new revision of the servers alone is published.
	publishInterval = 2 * time.Second
)

// State is how recent the data of a VM is.
type State struct {
	// Release is the version in force, zero for none.
	Release int64 `json:"release"`
	// Servers is the store's revision of the list of servers, zero for none.
	Servers int64 `json:"servers"`
	// Lost reports that the VM cannot reach the store.
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
	// State returns how recent this VM's data is.
	State func() State
	// Release returns the release in force at this VM.
	Release func() *gladerelease.Release
	// Servers returns this VM's list of servers.
	Servers func() Servers
	// OnRelease receives the release of a peer; from is the peer's name.
	OnRelease func(r *gladerelease.Release, from string)
	// OnServers receives the list of servers of a peer; from is the peer's name.
	OnServers func(s Servers, from string)
	// OnNewest receives the newest version that the peers have published, at each check of their states.
	OnNewest func(version int64)
	Log      hclog.Logger
}

// Relay exchanges releases and lists of servers with peers.
type Relay struct {
	config         Config
	pendingSince   time.Time
	serversAskedAt time.Time
	publishedAt    time.Time
	published      State
	pendingVersion int64
}

// New registers the peer calls, starts polling the states of the peers, and returns the clean-up function.
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
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				r.poll(ctx, time.Now())
			}
		}
	})
	return r, func() {
		cancel()
		tasks.Wait()
	}
}

// poll publishes this VM's state and asks peers that have newer data.
func (r *Relay) poll(ctx context.Context, now time.Time) {
	own := r.config.State()
	r.publish(own, now)
	release, servers := r.newest()
	r.config.OnNewest(release.state.Release)
	if release.state.Release > own.Release && r.shouldAskRelease(release.state.Release, own, now) {
		r.FetchRelease(ctx, release.vm)
	}
	if (own.Lost || own.Servers == 0) && servers.state.Servers > own.Servers && now.Sub(r.serversAskedAt) > serversInterval {
		r.serversAskedAt = now
		r.FetchServers(ctx, servers.vm)
	}
}

// publish sends this VM's state to the peers, at once if the release or the access to the store has changed, otherwise
// at most once per publishInterval.
func (r *Relay) publish(own State, now time.Time) {
	if own.Release == r.published.Release && own.Lost == r.published.Lost && now.Sub(r.publishedAt) < publishInterval {
		return
	}
	r.published, r.publishedAt = own, now
	if err := r.config.Node.Publish(Fact, own); err != nil {
		r.config.Log.Error("State cannot be published.", "reason", err)
	}
}

// shouldAskRelease reports whether a peer should be asked for a release. It gives this VM's own watch time to receive
// the release first. That time begins anew only once this VM has the version that it began with: releases may follow each other
// faster.
func (r *Relay) shouldAskRelease(version int64, own State, now time.Time) bool {
	if own.Release >= r.pendingVersion {
		r.pendingVersion, r.pendingSince = version, now
	}
	return own.Lost || own.Release == 0 || now.Sub(r.pendingSince) >= watchGrace
}

// peerState is the state that a peer has published.
type peerState struct {
	vm    string
	state State
}

// newest returns the peer with the newest release and the peer with the newest servers.
func (r *Relay) newest() (release, servers peerState) {
	for _, m := range r.config.Node.Members() {
		var s State
		if raw, ok := m.Facts[Fact]; !ok || json.Unmarshal(raw, &s) != nil {
			continue // the peer has published nothing yet
		}
		if s.Release > release.state.Release {
			release = peerState{m.Name, s}
		}
		if s.Servers > servers.state.Servers {
			servers = peerState{m.Name, s}
		}
	}
	return release, servers
}

// FetchRelease requests the release in force at a peer.
func (r *Relay) FetchRelease(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	release, err := gladepeer.Call[struct{}, *gladerelease.Release](ctx, r.config.Node, vm, methodRelease, struct{}{})
	if err != nil || release == nil {
		r.config.Log.Warn("Release cannot be fetched from the peer.", "peer", vm, "reason", err)
		return
	}
	release.Index()
	r.config.OnRelease(release, vm)
}

// FetchServers requests the list of servers known to a peer.
func (r *Relay) FetchServers(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	servers, err := gladepeer.Call[struct{}, Servers](ctx, r.config.Node, vm, methodServers, struct{}{})
	if err != nil {
		r.config.Log.Warn("Backend servers cannot be fetched from the peer.", "peer", vm, "reason", err)
		return
	}
	r.config.OnServers(servers, vm)
}
