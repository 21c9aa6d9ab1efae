package gladenote

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// Errors that Replica.Ready wraps.
var (
	// ErrNoNote means that the VM holds no note.
	ErrNoNote = eris.New("no release note is known yet")
	// ErrSettling means that the VM is still looking for newer notes.
	ErrSettling = eris.New("the newest release note is still being looked for")
	// ErrBehind means that another VM holds a newer note.
	ErrBehind = eris.New("another VM holds a newer release note")
)

const (
	defaultWatchers     = 2
	defaultInterval     = time.Second
	defaultSettleTime   = time.Second
	callTimeout         = time.Second
	maxTailNotes        = 256
	maxConcurrentPushes = 16
	maxFetchCalls       = 64
	maxFetchFailures    = 3
	notesPerCompaction  = 8
)

// Member is a live VM and the number of the newest note that it has published.
type Member struct {
	Name          string
	FailureDomain string
	Number        int64
}

// Push announces a note to another VM.
type Push struct {
	Number int64 `json:"number"`
	// Note is the note itself; it is nil if the note is too large for a push.
	Note *Note `json:"note,omitempty"`
}

// FetchRequest requests either the notes after a number or one part of a given snapshot.
type FetchRequest struct {
	// After is the number of the newest note that the requesting VM holds.
	After int64 `json:"after"`
	// Number is the number of the requested snapshot. Zero requests the notes after After; if the answering VM no longer
	// has them, it starts a snapshot instead.
	Number int64 `json:"number,omitempty"`
	// Part is the index of the requested snapshot part.
	Part int `json:"part,omitempty"`
}

// FetchAnswer contains notes, one part of a snapshot, or neither if the answering VM has nothing newer.
type FetchAnswer struct {
	// Number is the number of the newest note that the answering VM holds.
	Number int64  `json:"number"`
	Notes  []Note `json:"notes,omitempty"`
	// SnapshotNumber is the number of the snapshot that Part belongs to.
	SnapshotNumber int64 `json:"snapshotNumber,omitempty"`
	// Parts is the number of parts of that snapshot; zero means that the answer contains no part.
	Parts int    `json:"parts,omitempty"`
	Part  []byte `json:"part,omitempty"`
}

// ReplicaConfig configures a Replica.
type ReplicaConfig struct {
	Name          string
	FailureDomain string
	Log           *Log
	// Members returns the other live VMs.
	Members func() []Member
	// Push calls HandlePush on another VM.
	Push func(ctx context.Context, to string, p Push) (int64, error)
	// Fetch calls HandleFetch on another VM.
	Fetch func(ctx context.Context, from string, q FetchRequest) (FetchAnswer, error)
	// OnApply is called with each new state, in order, if set.
	OnApply func(*State)
	// Watchers is the number of VMs in each failure domain that watch the platform; zero means 2.
	Watchers int
	// Interval is the time between comparisons with the other VMs; zero means 1 s.
	Interval time.Duration
	// SettleTime is how long a new VM that knows of no note on another VM waits before it is ready; zero means 1 s.
	SettleTime time.Duration
	Logger     hclog.Logger
	// Check checks that the state never goes back to an older note.
	Check *gladecheck.Checker
}

// Replica holds the state in force on one VM and updates it from the platform and from other VMs.
type Replica struct {
	config  ReplicaConfig
	log     hclog.Logger
	state   atomic.Pointer[State]
	ready   atomic.Bool
	started time.Time
	// loaded is set once the platform's notes were read.
	loaded atomic.Bool
	// comparedWithVM is set once another VM was found to hold no newer note.
	comparedWithVM atomic.Bool
	announcements  chan announcement

	mu sync.Mutex
	// tail is the newest notes, for VMs that fetch them.
	tail []Note

	// snapshotMu guards the cached snapshot, which is encoded on demand for VMs that are too far behind for the tail.
	snapshotMu     sync.Mutex
	snapshotNumber int64
	snapshot       [][]byte
}

// source is where a replica received a note from.
type source int

const (
	fromPlatform source = iota
	fromOwnDomain
	fromOther // another failure domain, or any snapshot
)

// announcement is a note to push to other VMs.
type announcement struct {
	push   Push
	source source
}

// NewReplica starts a replica and returns its clean-up function.
func NewReplica(c ReplicaConfig) (*Replica, func()) {
	c.Watchers = cmp.Or(c.Watchers, defaultWatchers)
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	c.SettleTime = cmp.Or(c.SettleTime, defaultSettleTime)
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Members == nil {
		c.Members = func() []Member { return nil }
	}
	r := &Replica{config: c, log: c.Logger, started: time.Now(), announcements: make(chan announcement, maxTailNotes)}
	r.state.Store(&State{})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { r.runWatch(ctx) })
	tasks.Go(func() { r.runCatchUp(ctx) })
	tasks.Go(func() { r.runAnnouncements(ctx) })
	return r, func() {
		cancel()
		tasks.Wait()
	}
}

// State returns the state in force.
func (r *Replica) State() *State {
	return r.state.Load()
}

// Ready returns nil if the VM may serve, and otherwise an error that wraps ErrNoNote, ErrSettling or ErrBehind.
// Once the VM is ready, it stays ready.
func (r *Replica) Ready() error {
	if r.ready.Load() {
		return nil
	}
	s := r.State()
	if s.Number == 0 {
		return ErrNoNote
	}
	heard := false
	for _, m := range r.config.Members() {
		heard = heard || m.Number > 0
		if m.Number > s.Number {
			return eris.Wrapf(ErrBehind, "%s holds %d, this VM %d", m.Name, m.Number, s.Number)
		}
	}
	settled := heard || time.Since(r.started) >= r.config.SettleTime
	if !settled || !r.loaded.Load() && !r.comparedWithVM.Load() {
		return ErrSettling
	}
	r.ready.Store(true)
	return nil
}

// Submit updates the replica to the platform's newest note and then submits a note to the platform.
// Its errors are those of Log.Submit and those of reading the platform before.
func (r *Replica) Submit(ctx context.Context, n Note) (Note, error) {
	if err := r.refresh(ctx); err != nil {
		return n, eris.Wrap(err, "the platform's notes can't be read, so the note was not submitted")
	}
	accepted, err := r.config.Log.Submit(ctx, r.State(), n)
	if err != nil {
		return accepted, err
	}
	if err := r.apply(fromPlatform, accepted); err != nil {
		r.log.Warn("Accepted note was not applied yet.", "number", accepted.Number, "error", err)
	}
	return accepted, nil
}

// refresh applies the platform's newer notes. It reads them one by one if only a few are missing.
func (r *Replica) refresh(ctx context.Context) error {
	if !r.loaded.Load() {
		return r.load(ctx)
	}
	next, err := r.config.Log.Next(ctx, r.State().Number)
	if err == nil {
		err = r.apply(fromPlatform, next...)
	}
	if errors.Is(err, ErrOutOfOrder) {
		return r.load(ctx)
	}
	return err
}

// apply applies consecutive notes to the state. It skips notes that are already applied.
func (r *Replica) apply(from source, notes ...Note) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range notes {
		old := r.State()
		if notes[i].Number <= old.Number {
			continue
		}
		next, err := old.Apply(&notes[i])
		if err != nil {
			return err
		}
		r.tail = append(r.tail, notes[i])
		r.tail = r.tail[max(0, len(r.tail)-maxTailNotes):]
		r.publish(next)
		r.enqueue(announcement{push: newPush(&notes[i]), source: from})
	}
	return nil
}

// replaceState replaces the state if s is newer.
func (r *Replica) replaceState(s *State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Number <= r.State().Number {
		return
	}
	r.tail = nil
	r.publish(s)
	r.enqueue(announcement{push: Push{Number: s.Number}, source: fromOther})
}

// publish makes s the state in force. The caller holds mu.
func (r *Replica) publish(s *State) {
	old := r.state.Swap(s)
	r.config.Check.That(s.Number > old.Number, gladecheck.NoteNeverReverts,
		"%s: note %d after %d", r.config.Name, s.Number, old.Number)
	r.log.Info("Release note applied.", "number", s.Number)
	if r.config.OnApply != nil {
		r.config.OnApply(s)
	}
}

// enqueue queues an announcement. If the queue is full, the other VMs find the note at their next comparison.
func (r *Replica) enqueue(s announcement) {
	select {
	case r.announcements <- s:
	default:
	}
}

func (r *Replica) load(ctx context.Context) error {
	s, notes, err := r.config.Log.Read(ctx, r.State().Number)
	if err != nil {
		return err
	}
	if s != nil {
		r.replaceState(s)
	}
	if err := r.apply(fromPlatform, notes...); err != nil {
		return err
	}
	r.loaded.Store(true)
	return nil
}

// Watcher reports whether this VM is one of those that watch the platform for its failure domain.
func (r *Replica) Watcher() bool {
	return slices.Contains(r.watchers(r.config.FailureDomain), r.config.Name)
}

// watchers returns the VMs of a failure domain that watch the platform, selected and sorted by rendezvous hash.
func (r *Replica) watchers(domain string) []string {
	members := r.config.Members()
	members = append(members, Member{Name: r.config.Name, FailureDomain: r.config.FailureDomain})
	members = slices.DeleteFunc(members, func(m Member) bool { return m.FailureDomain != domain })
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(rank(b.Name), rank(a.Name)) })
	names := collect(members, func(h Member) string { return h.Name })
	return names[:min(r.config.Watchers, len(names))]
}

func rank(name string) uint64 {
	return xxhash.Sum64String("notes/" + name)
}

// isCompactor reports whether this VM is the one that writes snapshots: the first of all VMs by rendezvous hash.
func (r *Replica) isCompactor() bool {
	own := rank(r.config.Name)
	return !slices.ContainsFunc(r.config.Members(), func(m Member) bool { return rank(m.Name) > own })
}

// runWatch watches the platform whenever this VM is a watcher.
func (r *Replica) runWatch(ctx context.Context) {
	var stop context.CancelFunc
	var done sync.WaitGroup
	defer done.Wait()
	ticker := time.NewTicker(r.config.Interval)
	defer ticker.Stop()
	for {
		switch wanted := r.Watcher(); {
		case wanted && stop == nil:
			var watch context.Context
			watch, stop = context.WithCancel(ctx)
			done.Go(func() { r.config.Log.Store.Follow(watch, r.follower(watch)) })
		case !wanted && stop != nil:
			stop()
			stop = nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if stop != nil {
				stop()
			}
			return
		}
	}
}

func (r *Replica) follower(ctx context.Context) gladestore.Follower {
	return gladestore.Follower{
		Kind: KindNotes,
		OnList: func(l gladestore.List) error {
			notes, err := decodeNotes(l.Objects)
			if err == nil {
				err = r.applyWatched(ctx, notes)
			}
			return err
		},
		OnEvent: func(e gladestore.Event) error {
			if e.Deleted {
				return nil
			}
			notes, err := decodeNotes([]gladestore.Object{e.Object})
			if err == nil {
				err = r.applyWatched(ctx, notes)
			}
			return err
		},
		OnError: func(err error) { r.log.Info("Watch ended.", "error", err) },
	}
}

// applyWatched applies notes from the watch. It reads the platform's snapshot and notes if some are missing.
func (r *Replica) applyWatched(ctx context.Context, notes []Note) error {
	err := r.apply(fromPlatform, notes...)
	if errors.Is(err, ErrOutOfOrder) || r.State().Number == 0 {
		return r.load(ctx)
	}
	if err == nil {
		r.loaded.Store(true)
	}
	return err
}

// runCatchUp fetches newer notes and compacts the log at each interval.
func (r *Replica) runCatchUp(ctx context.Context) {
	ticker := time.NewTicker(r.config.Interval)
	defer ticker.Stop()
	var compacted int64
	for {
		r.catchUp(ctx)
		if s := r.State(); r.loaded.Load() && s.Number >= compacted+notesPerCompaction && r.isCompactor() {
			compacted = s.Number
			if err := r.config.Log.Compact(ctx, s); err != nil {
				r.log.Warn("Notes not compacted.", "error", err)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// catchUp fetches newer notes from other VMs, those of the same failure domain first.
// It also reads the platform until that succeeds once or the VM is ready.
func (r *Replica) catchUp(ctx context.Context) {
	if !r.loaded.Load() && !r.ready.Load() {
		if err := r.load(ctx); err != nil {
			r.log.Warn("Notes not loaded from the platform.", "error", err)
		}
	}
	members := r.config.Members()
	slices.SortFunc(members, func(a, b Member) int {
		proximity := r.proximity(&b) - r.proximity(&a)
		return cmp.Or(proximity, cmp.Compare(b.Number, a.Number))
	})
	failures := 0
	for _, m := range members {
		if failures == maxFetchFailures {
			return
		}
		if m.Number <= r.State().Number {
			r.comparedWithVM.Store(r.comparedWithVM.Load() || m.Number > 0)
			continue
		}
		if err := r.fetch(ctx, m.Name); err != nil {
			failures++
			r.log.Debug("Notes not fetched.", "from", m.Name, "error", err)
		}
	}
}

func (r *Replica) proximity(h *Member) int {
	if h.FailureDomain == r.config.FailureDomain {
		return 1
	}
	return 0
}
