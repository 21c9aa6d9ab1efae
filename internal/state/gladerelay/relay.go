package gladerelay

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedecider"
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
	// gapDelay is how long to wait for an update that closes a gap before asking for the whole list.
	gapDelay = 50 * time.Millisecond
	// serversInterval is how often a VM that cannot reach the store asks for the servers.
	serversInterval = 700 * time.Millisecond
	callTimeout     = time.Second
	// largeTimeout bounds a call for a large answer over a slow link.
	largeTimeout = 3 * time.Second
	// publishInterval limits how often a new revision of the servers alone is published.
	publishInterval = 2 * time.Second
	// announcementTime is how long an announcement counts.
	announcementTime = 2 * time.Second

	// maxSmallAnswer and minSmallAnswer bound the size in bytes up to which an answer is sent to every VM that asks.
	maxSmallAnswer = 32 << 10
	minSmallAnswer = 2 << 10
	// minLinkRate is the rate in bytes a second of the slowest link of a VM. Larger answers follow each other at this rate.
	minLinkRate = 10_000_000 / 8
	// budgetPart is the part of a second for which a VM may use its link to send one release to its failure domain.
	budgetPart = 5
	// maxBacklog is how long large answers may wait at a fast link when another one is sent. Events that are delayed by 200 ms are
	// late; a link of 200 Mbit/s sends 15 compressed releases of 3,000 routes in that time.
	maxBacklog = 100 * time.Millisecond
	// fastTimeout bounds a call to a VM with a fast link, after which the store is read. A compressed release of 3,000 routes takes
	// 130 ms over 10 Mbit/s and waits for others for up to maxBacklog; one of 1 MB from the store takes 0.8 s more, and it has to be
	// in force within 2 s.
	fastTimeout = 400 * time.Millisecond
	// maxPrepared is the number of answers of one version that are kept, for VMs that have different versions.
	maxPrepared = 8
)

// LinkBudget is the number of bytes that a VM may send to all others of its failure domain for one release: a fifth of a second of
// the slowest link.
const LinkBudget = minLinkRate / budgetPart

// State is how recent the data of a VM is.
type State struct {
	// Release is the version in force, zero for none.
	Release int64 `json:"release"`
	// Servers is the store's revision of the list of servers, zero for none.
	Servers int64 `json:"servers"`
	// Lost reports that the VM cannot reach the store.
	Lost bool `json:"lost,omitempty"`
	// Rollouts is the revision of the roll-out that changed last, zero for none.
	Rollouts int64 `json:"rollouts,omitempty"`
}

// Servers is the list of backend servers at a revision.
type Servers struct {
	Revision int64               `json:"revision"`
	Servers  []gladefleet.Server `json:"servers"`
	// Unlisted is what the VM knows beyond the list, as of gladefleet.Table.Unlisted.
	Unlisted []gladefleet.Server `json:"unlisted,omitempty"`
	// Rollouts are those that the VM knows, nil for none.
	Rollouts *gladedecider.States `json:"rollouts,omitempty"`
}

// Config configures a Relay.
type Config struct {
	Node *gladepeer.Node
	// LinkRate is the rate of this VM's link in bytes a second, zero if it is not known.
	LinkRate int64
	// State returns how recent this VM's data is.
	State func() State
	// Reading reports whether this VM reads the store itself.
	Reading func() bool
	// Release returns the release in force at this VM, and History holds the changes that led to it.
	Release func() *gladerelease.Release
	History *gladerelease.History
	// Servers returns this VM's list of servers.
	Servers func() Servers
	// ReadRelease reads the release from the store once.
	ReadRelease func(context.Context) error
	// OnRelease receives a newer release; from is the name of the peer that had it.
	OnRelease func(r *gladerelease.Release, from string)
	// OnServers receives the list of servers of a peer; from is the peer's name.
	OnServers func(s Servers, from string)
	// OnNewest receives the newest version that the peers have published, at each check of their states.
	OnNewest func(version int64)
	// Metrics receives the metrics, nil for none.
	Metrics metrics.Registry
	Log     hclog.Logger
}

// counters counts the answers to questions for releases and lists of servers.
type counters struct {
	// compressed and compressedBytes are the compressed answers, large those that named the store instead of a release, and busy
	// those that were refused for the link's sake.
	compressed, compressedBytes, large, busy metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("relay."+name, registry) }
	return counters{
		compressed: counter("compressed"), compressedBytes: counter("compressedBytes"), large: counter("large"), busy: counter("busy"),
	}
}

// Relay exchanges releases and lists of servers with peers.
type Relay struct {
	config   Config
	metrics  counters
	releases *fetcher[*gladerelease.Release]
	servers  *fetcher[Servers]
	// wake holds a value when the states should be checked at once.
	wake chan struct{}
	// readingStore is held while the release is read from the store.
	readingStore sync.Mutex
	// fastCalls is the number of calls in progress each of which brings the release from a VM with a fast link, or reads the store.
	fastCalls atomic.Int32

	serversAskedAt time.Time
	publishedAt    time.Time
	published      State
	pendingSince   time.Time
	pendingVersion int64

	mu sync.Mutex
	// announced holds what readers have said that they have.
	announced map[string]announcement
	// encoded is the release in force, encoded for peers.
	encoded        json.RawMessage
	encodedVersion int64
	// largeUntil is when the large answers that were sent have passed the link.
	largeUntil time.Time

	// preparing is held while an answer is prepared.
	preparing sync.Mutex
	// prepared holds the answers about preparedVersion by question.
	prepared        map[releaseQuestion]prepared
	preparedVersion int64
}

// announcement is what a reader says that it has.
type announcement struct {
	State

	// at is when it said so last, and since when it first named a list of servers that this VM still lacks.
	at, since time.Time
}

// New registers the peer calls, starts polling the states of the peers, and returns the clean-up function.
func New(c Config) (*Relay, func()) {
	var tasks sync.WaitGroup
	r := &Relay{config: c, metrics: newCounters(c.Metrics), wake: make(chan struct{}, 1), announced: map[string]announcement{}}
	r.releases = &fetcher[*gladerelease.Release]{
		kind: "release", call: r.callRelease, deliver: c.OnRelease, wake: r.wakeUp, tasks: &tasks, log: c.Log,
		asked: map[string]bool{}, pausedUntil: map[string]time.Time{},
	}
	r.servers = &fetcher[Servers]{
		kind: "servers", call: r.callServers, deliver: c.OnServers, wake: r.wakeUp, tasks: &tasks, log: c.Log,
		asked: map[string]bool{}, pausedUntil: map[string]time.Time{},
	}
	gladepeer.Handle(c.Node, methodRelease, func(_ context.Context, _ string, q releaseQuestion) (releaseAnswer, error) {
		return r.serveRelease(q)
	})
	gladepeer.Handle(c.Node, methodServers, func(_ context.Context, _ string, q serversQuestion) (serversAnswer, error) {
		return r.serveServers(q)
	})
	ctx, cancel := context.WithCancel(context.Background())
	tasks.Go(func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-r.wake:
			}
			r.poll(ctx, time.Now())
		}
	})
	return r, func() {
		cancel()
		tasks.Wait()
	}
}

func (r *Relay) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Announce records what a reader of this failure domain says that it has. What this VM misses is asked for without further wait,
// and without holding up the caller.
func (r *Relay) Announce(vm string, s State) {
	now, known := time.Now(), r.config.State().Servers
	r.mu.Lock()
	a := r.announced[vm]
	if now.Sub(a.at) > announcementTime || a.Servers <= known {
		a.since = now
	}
	a.State, a.at = s, now
	r.announced[vm] = a
	r.mu.Unlock()
	r.wakeUp()
}

// poll publishes this VM's state and asks peers that have newer data.
func (r *Relay) poll(ctx context.Context, now time.Time) {
	own := r.config.State()
	r.publish(own, now)
	sources := r.sources(now)
	var release, servers, rollouts, announcedRelease, announcedServers int64
	for _, s := range sources {
		release, servers, rollouts = max(release, s.Release), max(servers, s.Servers), max(rollouts, s.Rollouts)
		if !s.at.IsZero() {
			announcedRelease = max(announcedRelease, s.Release)
		}
		if !s.at.IsZero() && now.Sub(s.since) >= gapDelay {
			announcedServers = max(announcedServers, s.Servers)
		}
	}
	r.config.OnNewest(release)
	urgent := announcedRelease > own.Release && !r.config.Reading()
	if release > own.Release && (r.watchOverdue(release, own, now) || urgent) {
		r.releases.ask(ctx, r.candidates(sources, func(s State) int64 { return s.Release }, own.Release), now)
	}
	poll := (own.Lost || own.Servers == 0) && servers > own.Servers && now.Sub(r.serversAskedAt) > serversInterval
	if !poll && own.Lost && rollouts > own.Rollouts && now.Sub(r.serversAskedAt) > serversInterval {
		r.serversAskedAt = now
		r.servers.ask(ctx, r.candidates(sources, func(s State) int64 { return s.Rollouts }, own.Rollouts), now)
	}
	if poll || announcedServers > own.Servers {
		r.serversAskedAt = now
		r.servers.ask(ctx, r.candidates(sources, func(s State) int64 { return s.Servers }, own.Servers), now)
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

// watchOverdue reports whether this VM's own watch has had time to bring a release that a peer has. That time begins anew only
// once this VM has the version that it began with: releases may follow each other faster.
func (r *Relay) watchOverdue(version int64, own State, now time.Time) bool {
	if own.Release >= r.pendingVersion {
		r.pendingVersion, r.pendingSince = version, now
	}
	return own.Lost || own.Release == 0 || now.Sub(r.pendingSince) >= watchGrace
}

// source is a peer and what it has; at is zero for a published state.
type source struct {
	announcement

	vm string
	// remote reports that the peer is in another failure domain.
	remote bool
	// link is the rate of its link in bytes a second, zero if it is not known.
	link int64
}

// sources returns what the live peers have.
func (r *Relay) sources(now time.Time) []source {
	domain := r.config.Node.Self().FailureDomain
	r.mu.Lock()
	defer r.mu.Unlock()
	var sources []source
	for _, m := range r.config.Node.Members() {
		s := source{vm: m.Name, remote: m.FailureDomain != domain, link: LinkOf(m)}
		if raw, ok := m.Facts[Fact]; ok && json.Unmarshal(raw, &s.State) != nil {
			continue // written by another build
		}
		if a, ok := r.announced[m.Name]; ok && now.Sub(a.at) <= announcementTime {
			s.at, s.since = a.at, a.since
			s.Release, s.Servers = max(s.Release, a.Release), max(s.Servers, a.Servers)
		}
		sources = append(sources, s)
	}
	for vm, a := range r.announced {
		if now.Sub(a.at) > announcementTime {
			delete(r.announced, vm)
		}
	}
	return sources
}

// candidates returns the peers that have newer data than this VM, in the order in which to ask them: this failure domain first,
// then the newest, then those with the fastest links. Different VMs ask peers that are equal in that in different order.
func (r *Relay) candidates(sources []source, version func(State) int64, own int64) []string {
	newer := slices.DeleteFunc(slices.Clone(sources), func(s source) bool { return version(s.State) <= own })
	self := r.config.Node.Self().Name
	slices.SortFunc(newer, func(a, b source) int {
		if a.remote != b.remote {
			if b.remote {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(version(b.State), version(a.State)), cmp.Compare(b.link, a.link),
			cmp.Compare(gladepeer.RendezvousWeight(self, b.vm), gladepeer.RendezvousWeight(self, a.vm)))
	})
	vms := make([]string, len(newer))
	for i, s := range newer {
		vms[i] = s.vm
	}
	return vms
}
