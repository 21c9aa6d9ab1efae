package gladefront

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeforward"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedatagram"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedecider"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladeview"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

const (
	// rolloutWatchWait is how long a watch of the roll-outs waits. Calls to the store are dear, and a new version's first server
	// causes a read of its own.
	rolloutWatchWait = 5 * time.Second
	// unknownKindWait is how long the reader waits until it lists the orders again if the store does not know their kind.
	unknownKindWait = 2 * time.Second
	// rolloutCheckInterval is how often a VM checks whether its knowledge of the roll-outs is current.
	rolloutCheckInterval = 250 * time.Millisecond
	// rolloutReadTimeout bounds the read of the roll-outs that precedes the publication of a new version's servers.
	rolloutReadTimeout = 500 * time.Millisecond
	// fullStatesInterval is how often the feed has the states of all roll-outs, for VMs that start.
	fullStatesInterval = 2 * time.Second
	// maxRolloutWait is how long a VM that starts holds a request until it knows the roll-outs.
	maxRolloutWait = 500 * time.Millisecond

	// The bounds that apply where the settings name none.
	defaultCanaryShare   = 0.1
	defaultCanarySlack   = 50
	defaultRollbackBound = 5 * time.Second
)

// rolloutStopNotice is the kind of notice by which a decider tells all VMs to stop the use of a version.
const rolloutStopNotice = "rolloutStop"

// rollouts is what a VM has for the roll-outs of server versions.
type rollouts struct {
	registry *gladedecider.Registry
	selector *gladerollout.Selector
	recorder *gladerollout.Recorder
	decider  *gladedecider.Decider
	socket   *gladedatagram.Socket[rolloutMessage]
	// follow reads the orders from the store.
	follow gladeview.FollowConfig[entry[gladerollout.Rollout]]
	// start distinguishes the incarnations of this VM.
	start int64
	// heard is closed once the roll-outs are known.
	heard     chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// logged holds the revisions of the states that were logged last, and current whether they were current then.
	logged  map[string]int64
	current bool
	// stopped holds the last notice to stop a version that was logged, by service, and fullAt is when the feed last had all states.
	stopped map[string]gladedecider.Stop
	fullAt  time.Time
}

// rolloutMessage is a datagram on roll-outs.
type rolloutMessage struct {
	Report    *gladedecider.Report    `json:"report,omitempty"`
	Heartbeat *gladedecider.Heartbeat `json:"heartbeat,omitempty"`
}

func newRollouts(f *Front) *rollouts {
	start := time.Now().UnixNano()
	return &rollouts{
		registry: gladedecider.NewRegistry(cmp.Or(f.config.Settings.RollbackBound, defaultRollbackBound) / 2),
		selector: gladerollout.NewSelector(rand.Float64),
		recorder: gladerollout.NewRecorder(f.config.Settings.VM, start),
		start:    start, heard: make(chan struct{}), logged: map[string]int64{}, stopped: map[string]gladedecider.Stop{},
		follow: followRollouts(f),
	}
}

// followRollouts returns the configuration of a Follow of the orders. A store that has never had one may not know their kind.
func followRollouts(f *Front) gladeview.FollowConfig[entry[gladerollout.Rollout]] {
	c := followConfig(f, gladeplatform.KindRollouts, rolloutWatchWait, gladeplatform.DecodeRollout, f.onRollouts, f.onRolloutChanges, f.confirmRollouts)
	list, watch := c.List, c.Watch
	c.List = func(ctx context.Context) ([]gladeview.Item[entry[gladerollout.Rollout]], int64, error) {
		items, revision, err := list(ctx)
		if errors.Is(err, gladestore.ErrNotFound) {
			return nil, 0, nil
		}
		return items, revision, err
	}
	c.Watch = func(ctx context.Context, revision int64) ([]gladeview.Change[entry[gladerollout.Rollout]], int64, error) {
		changes, next, err := watch(ctx, revision)
		if errors.Is(err, gladestore.ErrNotFound) {
			select {
			case <-ctx.Done():
			case <-time.After(unknownKindWait):
			}
			return nil, revision, gladeview.ErrHistoryGone
		}
		if err == nil && len(changes) == 0 { // Follow reports only changes
			f.rollouts.registry.Advance(next)
		}
		return changes, next, err
	}
	return c
}

// startRollouts starts the decider and the exchange of evidence.
func (f *Front) startRollouts(forwarder *gladeforward.Forwarder) error {
	x, s := f.rollouts, f.config.Settings
	address, err := offsetPort(s.PeerAddress, rolloutPortOffset)
	if err != nil {
		return err
	}
	socket, closeSocket, err := gladedatagram.Open(gladedatagram.Config[rolloutMessage]{
		Address: address, OnReceive: f.onRolloutMessage, Log: f.log.Named("rollouts"),
	})
	if err != nil {
		return eris.Wrap(err, "opening the socket for evidence on roll-outs")
	}
	decider, closeDecider := gladedecider.New(gladedecider.Config{
		VM: s.VM, Registry: x.registry, CanaryShare: cmp.Or(s.CanaryShare, defaultCanaryShare), CanarySlack: cmp.Or(s.CanarySlack, defaultCanarySlack),
		Candidates: f.rolloutCandidates, Reached: f.reachesStore, Write: f.writeRollout,
		Read:    func(ctx context.Context) error { return f.readRollouts(withStoreCause(ctx, causeRollout)) },
		Servers: func(service, target string) (int, int) { return f.fleet.VersionCounts(service, target, time.Now()) },
		Stop:    f.sendRolloutStop, Heartbeat: f.sendHeartbeat, OnChange: f.announceRollouts,
		Now: bootTime, Log: f.log.Named("rollouts"), Metrics: f.metrics,
	})
	x.mu.Lock()
	x.socket, x.decider = socket, decider
	x.mu.Unlock()
	gladepeer.HandleNotice(f.node, rolloutStopNotice, func(_ string, n gladedecider.Stop) {
		f.onRolloutStop(n)
		decider.HandleStop(n)
	})
	closeReporter := gladedecider.StartReporter(gladedecider.ReporterConfig{
		VM: s.VM, Start: x.start, Registry: x.registry, Runs: forwarder.RunsOnOthers, Send: f.sendReport, Now: bootTime,
		Evidence: func(service string) gladerollout.Evidence { return x.recorder.Evidence(service, time.Now()) },
		Log:      f.log.Named("rollouts"),
	})
	closeChecks := f.checkRollouts()
	f.cleanup(func() {
		closeChecks()
		closeReporter()
		closeDecider()
		closeSocket()
	})
	return nil
}

// checkRollouts keeps the selector's view of how current the roll-outs are up to date, and returns the clean-up function.
func (f *Front) checkRollouts() func() {
	done := make(chan struct{})
	var task sync.WaitGroup
	task.Go(func() {
		ticker := time.NewTicker(rolloutCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				f.confirmRollouts()
				f.applyRollouts("")
			}
		}
	})
	return func() {
		close(done)
		task.Wait()
	}
}

// rolloutsKnown reports whether this VM knows the roll-outs, if there are any on this platform.
func (f *Front) rolloutsKnown() bool {
	if f.rollouts == nil {
		return true
	}
	_, known := f.rollouts.registry.Revision()
	return known
}

// useRollouts makes a forwarder choose versions by the roll-outs and record what it sees of them.
func (f *Front) useRollouts(c *gladeforward.Config) {
	s := f.rollouts.selector
	c.Versions, c.PeekVersions, c.UsesVersion = s.Choose, s.Peek, s.Uses
	c.Recorder, c.Release = f.rollouts.recorder, f.usableRelease
}

// usableRelease returns the release in force, or nil if this VM does not know the roll-outs: it might use a bad version.
func (f *Front) usableRelease() *gladerelease.Release {
	if !f.rolloutsKnown() {
		return nil
	}
	return f.release.Load()
}

// awaitRollouts waits until the roll-outs are known, for a limited time.
func (f *Front) awaitRollouts(ctx context.Context) {
	if f.rollouts == nil {
		return
	}
	select { // no timer once they are known
	case <-f.rollouts.heard:
		return
	default:
	}
	timer := time.NewTimer(maxRolloutWait)
	defer timer.Stop()
	select {
	case <-f.rollouts.heard:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// reachesStore reports whether this VM reads the store and the store answers it.
func (f *Front) reachesStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, lost := range f.unreachable {
		if lost {
			return false
		}
	}
	return f.reading && !f.storeRefused && bootTime().Sub(f.confirmedAt) <= f.watchWait()+watchSlack
}

// confirmRollouts records that this VM knows the newest roll-outs if it reads the store: its watch of them would have ended.
func (f *Front) confirmRollouts() {
	if f.reachesStore() {
		f.rollouts.registry.Confirm(bootTime())
	}
}

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

// readRollouts reads the roll-outs from the store once.
func (f *Front) readRollouts(ctx context.Context) error {
	items, revision, err := f.rollouts.follow.List(ctx)
	if err == nil {
		f.onRollouts(items, revision)
	}
	return err
}

func (f *Front) onRollouts(items []gladeview.Item[entry[gladerollout.Rollout]], revision int64) {
	var listed []gladerollout.Rollout
	for _, i := range items {
		if f.rolloutDecoded(i) {
			listed = append(listed, i.Value.value)
		}
	}
	if f.rollouts.registry.List(listed, revision, bootTime()) {
		f.announceRollouts()
	}
}

func (f *Front) onRolloutChanges(changes []gladeview.Change[entry[gladerollout.Rollout]], revision int64) {
	now := bootTime()
	for _, c := range changes {
		if c.Deleted || !f.rolloutDecoded(c.Item) {
			f.rollouts.registry.Withdraw(c.Name, now)
			continue
		}
		f.rollouts.registry.Put(c.Value.value, now)
	}
	f.rollouts.registry.Advance(revision)
	f.announceRollouts()
}

func (f *Front) rolloutDecoded(i gladeview.Item[entry[gladerollout.Rollout]]) bool {
	if i.Value.err != nil {
		f.log.Warn("Object holds no order to roll out a version.", "object", i.Name, "reason", i.Value.err)
	}
	return i.Value.err == nil
}

// announceRollouts applies the roll-outs and tells the failure domain of them.
func (f *Front) announceRollouts() {
	f.confirmRollouts()
	f.applyRollouts(fromStore)
	f.mu.Lock()
	opened := f.feed != nil
	f.mu.Unlock()
	if opened {
		f.announceState()
	}
}

// mergeRollouts takes over what another VM knows of the roll-outs.
func (f *Front) mergeRollouts(s *gladedecider.States) {
	if f.rollouts != nil && s != nil && f.rollouts.registry.Merge(*s, bootTime()) {
		f.applyRollouts("peer")
	}
}

// rolloutStates returns the roll-outs for other VMs, nil if none are known.
func (f *Front) rolloutStates() *gladedecider.States {
	if f.rollouts == nil || !f.rolloutsKnown() {
		return nil
	}
	s := f.rollouts.registry.States(bootTime())
	s.Current = f.reachesStore()
	return &s
}

// feedRollouts returns the roll-outs for an update of the feed: those that matter now, and all of them every fullStatesInterval.
func (f *Front) feedRollouts() *gladedecider.States {
	if f.rollouts == nil || !f.rolloutsKnown() {
		return nil
	}
	x, now := f.rollouts, bootTime()
	x.mu.Lock()
	full := now.Sub(x.fullAt) >= fullStatesInterval
	if full {
		x.fullAt = now
	}
	x.mu.Unlock()
	if full {
		return f.rolloutStates()
	}
	s := x.registry.Recent(now)
	s.Current = f.reachesStore()
	return &s
}

// applyRollouts puts the known roll-outs in force and logs those that have changed.
func (f *Front) applyRollouts(from string) {
	x := f.rollouts
	revision, known := x.registry.Revision()
	if !known {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	all, current := x.registry.Rollouts(bootTime())
	x.selector.Set(all, current)
	f.fleet.RolloutsKnown(revision)
	pending := false
	for _, r := range all {
		pending = pending || r.Pending()
		if x.logged[r.Service] == r.Revision {
			continue
		}
		x.logged[r.Service] = r.Revision
		f.log.Info("Roll-out of a version.", "service", r.Service, "target", r.Target, "limit", r.Duration, "state", r.Status.State,
			"share", r.Status.Share, "routeShares", r.Status.RouteShares, "decider", r.Status.Decider, "term", r.Status.Term,
			"revision", r.Revision, "from", from, "current", current)
	}
	if current != x.current {
		x.current = current
		if pending {
			f.log.Warn("Knowledge of the roll-outs changed.", "current", current)
		}
	}
	x.closeOnce.Do(func() { close(x.heard) })
}

// writeRollout writes the status of an order.
func (f *Front) writeRollout(ctx context.Context, service string, revision int64, s gladerollout.Status) (gladerollout.Rollout, error) {
	f.countStoreCall(ctx, "write", gladeplatform.KindRollouts)
	known, _, _ := f.rollouts.registry.Get(service, bootTime())
	o, err := f.store.PutStatus(ctx, gladeplatform.KindRollouts, service, revision, s)
	conflict, isConflict := errors.AsType[*gladeplatform.ConflictError](err)
	switch {
	case isConflict:
		r, decodeErr := gladeplatform.DecodeRollout(conflict.Object)
		if decodeErr != nil {
			return gladerollout.Rollout{}, decodeErr
		}
		return r, eris.Wrap(gladedecider.ErrConflict, service)
	case err != nil:
		return gladerollout.Rollout{}, err
	case len(o.Spec) == 0: // the answer holds no more than the revision
		known.Revision, known.Status = o.Meta.Revision, s
		return known, nil
	}
	return gladeplatform.DecodeRollout(o)
}
