package gladefront

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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
	// followed reports that this VM has listed the orders since it began to read the store for its failure domain.
	followed atomic.Bool
	// appliedAt is when the roll-outs were put in force last, in nanoseconds of bootTime.
	appliedAt atomic.Int64
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
	onList := func(items []gladeview.Item[entry[gladerollout.Rollout]], revision int64) {
		f.rollouts.followed.Store(true)
		f.onRollouts(items, revision)
	}
	c := followConfig(f, gladeplatform.KindRollouts, rolloutWatchWait, gladeplatform.DecodeRollout, onList, f.onRolloutChanges, f.confirmRollouts)
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
			f.rollouts.registry.Advance(next, bootTime())
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
	x.mu.Lock()
	x.socket = socket // before the decider, whose first step may send
	x.mu.Unlock()
	decider, closeDecider := gladedecider.New(gladedecider.Config{
		VM: s.VM, Registry: x.registry, CanaryShare: cmp.Or(s.CanaryShare, defaultCanaryShare), CanarySlack: cmp.Or(s.CanarySlack, defaultCanarySlack),
		Candidates: f.rolloutCandidates, Reached: f.followsRollouts, Write: f.writeRollout,
		Read:    func(ctx context.Context) error { return f.readRollouts(withStoreCause(ctx, causeRollout)) },
		Servers: func(service, target string) (int, int) { return f.fleet.VersionCounts(service, target, time.Now()) },
		Stop:    f.sendRolloutStop, Heartbeat: f.sendHeartbeat, OnChange: f.announceRollouts,
		Now: bootTime, Log: f.log.Named("rollouts"), Metrics: f.metrics,
	})
	x.mu.Lock()
	x.decider = decider
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

// refreshRollouts puts the known roll-outs in force if the periodic check is overdue: a VM that was suspended may use a share that has been
// withdrawn since.
func (f *Front) refreshRollouts() {
	if bootTime().UnixNano()-f.rollouts.appliedAt.Load() > (2 * rolloutCheckInterval).Nanoseconds() {
		f.applyRollouts("")
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
	c.Versions = func(service, route string, repeat bool) gladefleet.VersionRule {
		f.refreshRollouts()
		return s.Choose(service, route, repeat)
	}
	c.UsesVersion = func(service, route, version string) bool {
		f.refreshRollouts()
		return s.Uses(service, route, version)
	}
	c.PeekVersions = s.Peek
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

// followsRollouts reports whether the store would tell this VM of a change of the roll-outs. A new reader may know of a change of the
// release before it has listed the orders.
func (f *Front) followsRollouts() bool { return f.rollouts.followed.Load() && f.reachesStore() }

// confirmRollouts records that this VM knows the newest roll-outs if it follows them: its watch of them would have ended.
func (f *Front) confirmRollouts() {
	if f.followsRollouts() {
		f.rollouts.registry.Confirm(bootTime())
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
	f.rollouts.registry.Advance(revision, now)
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
	s.Current = f.followsRollouts()
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
	s.Current = f.followsRollouts()
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
	now := bootTime()
	all, current := x.registry.Rollouts(now)
	for _, r := range all {
		if x.logged[r.Service] == 0 && r.Status.Target == "" {
			x.selector.SetInUse(r.Service, f.onlyVersion(r.Service))
		}
	}
	x.selector.Set(all, current)
	x.appliedAt.Store(now.UnixNano())
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
	f.countStoreCall(withStoreCause(ctx, causeRollout), "write", gladeplatform.KindRollouts)
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
