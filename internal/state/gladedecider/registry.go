package gladedecider

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
)

// Known is a roll-out as one VM tells it to another.
type Known struct {
	Rollout gladerollout.Rollout `json:"rollout"`
	// ElapsedMillis is the time since the order was first seen, in milliseconds.
	ElapsedMillis int64 `json:"elapsedMillis,omitempty"`
	// SeenMillis is the same without an estimate of how long the order was there unseen. Earlier builds leave it out.
	SeenMillis int64 `json:"seenMillis,omitempty"`
	// AbsentMillis is the time since the sender last knew that the store did not have the order, zero if it did not.
	AbsentMillis int64 `json:"absentMillis,omitempty"`
}

// States holds the roll-outs that a VM knows.
type States struct {
	// Revision is the store's revision up to which all of them are known.
	Revision int64 `json:"revision"`
	// Current reports that the sender reaches the store, which would have told it of later ones.
	Current bool `json:"current,omitempty"`
	// Partial reports that orders are left out that ended some time ago.
	Partial bool    `json:"partial,omitempty"`
	Known   []Known `json:"known,omitempty"`
}

// recentTime is how long an order that has ended is told with the pending ones, for VMs that lost a datagram.
const recentTime = 1200 * time.Millisecond

// maxUnseen bounds the age that an order is taken to have when a list shows it for the first time. It covers the 1.2 s between the two
// lists of a restarted VM and the 2 s between lists of a kind that the store does not know. After a longer gap, counting from its start
// would leave a good version too little time.
const maxUnseen = 2500 * time.Millisecond

// Registry holds the roll-outs that this VM knows. Its methods may be called concurrently.
type Registry struct {
	// currentFor is how long a confirmation holds.
	currentFor time.Duration

	mu          sync.Mutex
	known       bool
	revision    int64
	records     map[string]*record
	confirmedAt time.Time
	// completeAt is when all orders in the store were known last.
	completeAt time.Time
}

// record is a roll-out and when it last changed here.
type record struct {
	rollout   gladerollout.Rollout
	changedAt time.Time
	age       orderAge
}

// orderAge is what is known of when an order was made.
type orderAge struct {
	// countsFrom is the earliest time from which a VM counts the order's time. It may be an estimate: a VM that had no answer of the
	// store for a while counts from before it has seen the order.
	countsFrom time.Time
	// seenAt is when a VM saw the order first, and absentAt when a VM last knew that the store did not have it, zero if none knew.
	seenAt, absentAt time.Time
	// ownAbsentAt is when this VM last knew that, zero if it did not.  VMs tell only this time: one that is passed on would become later with
	// each message, by the time that the message takes.
	ownAbsentAt time.Time
}

// seen returns the age of an order that is seen at a time.
func seen(at time.Time) orderAge { return orderAge{countsFrom: at, seenAt: at} }

// start returns the time from which the order's time counts: an estimate is no earlier than another VM knew that there was no such order.
func (a orderAge) start() time.Time {
	return earlier(a.seenAt, later(a.countsFrom, a.absentAt))
}

// merge adds what another observation says about the same order.
func (a orderAge) merge(o orderAge) orderAge {
	return orderAge{
		countsFrom: earlier(a.countsFrom, o.countsFrom), seenAt: earlier(a.seenAt, o.seenAt),
		absentAt: later(a.absentAt, o.absentAt), ownAbsentAt: later(a.ownAbsentAt, o.ownAbsentAt),
	}
}

// ageOf returns the age that another VM tells.
func ageOf(k Known, now time.Time) orderAge {
	ago := func(millis int64) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	a := seen(ago(k.ElapsedMillis))
	if k.SeenMillis > 0 {
		a.seenAt = ago(k.SeenMillis)
	}
	if k.AbsentMillis > 0 {
		a.absentAt = ago(k.AbsentMillis)
	}
	return a
}

// tell returns the roll-out for other VMs.
func (x *record) tell(now time.Time) Known {
	k := Known{Rollout: x.rollout}
	if x.rollout.Pending() {
		k.ElapsedMillis, k.SeenMillis = now.Sub(x.age.start()).Milliseconds(), max(now.Sub(x.age.seenAt).Milliseconds(), 1)
		if !x.age.ownAbsentAt.IsZero() {
			k.AbsentMillis = max(now.Sub(x.age.ownAbsentAt).Milliseconds(), 1)
		}
	}
	return k
}

// NewRegistry returns an empty registry, in which a confirmation of the roll-outs holds for some time.
func NewRegistry(currentFor time.Duration) *Registry {
	return &Registry{currentFor: currentFor, records: map[string]*record{}}
}

// List records all roll-outs that the store lists at a revision, and reports whether that changed anything. An order that is listed for the
// first time may be as old as the time since the orders were last known: its time counts from then, so that it ends within its limit.
func (b *Registry) List(rollouts []gladerollout.Rollout, revision int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := !b.known || revision > b.revision
	unseen := time.Duration(0)
	if !b.completeAt.IsZero() {
		unseen = min(now.Sub(b.completeAt), maxUnseen)
	}
	for _, r := range rollouts {
		a := seen(now)
		if x := b.records[r.Service]; x == nil || x.replacedBy(r) {
			a.countsFrom = now.Add(-unseen)
		}
		changed = b.put(r, a, now) || changed
	}
	if revision >= b.revision {
		listed := map[string]bool{}
		for _, r := range rollouts {
			listed[r.Service] = true
		}
		for service, x := range b.records {
			if !listed[service] && x.rollout.Revision <= revision {
				changed = x.withdraw(now) || changed
			}
		}
	}
	b.known, b.revision, b.completeAt = true, max(b.revision, revision), now
	return changed
}

// Put records a roll-out as the store has it, and reports whether that is new.
func (b *Registry) Put(r gladerollout.Rollout, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.put(r, seen(now), now)
}

// Withdraw records that the store no longer lists the order of a service. Its target gets no requests if it was on trial.
func (b *Registry) Withdraw(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.records[service]
	return x != nil && x.withdraw(now)
}

// Advance records that all roll-outs are known up to a revision, the newest one.
func (b *Registry) Advance(revision int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revision, b.completeAt = max(b.revision, revision), now
}

// Merge records what another VM knows, and reports whether that changed anything.
func (b *Registry) Merge(s States, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := !b.known || s.Revision > b.revision
	for _, k := range s.Known {
		changed = b.put(k.Rollout, ageOf(k, now), now) || changed
	}
	if s.Partial && !b.known {
		return changed
	}
	b.known, b.revision = true, max(b.revision, s.Revision)
	if s.Current && b.coveredBy(s) {
		b.confirmedAt, b.completeAt = now, now
	}
	return changed
}

// coveredBy reports whether another VM knows the pending orders as well as this one. It may have heard of no change since, so that its
// revision says nothing. The caller holds b.mu.
func (b *Registry) coveredBy(s States) bool {
	newest := map[string]int64{}
	for _, k := range s.Known {
		newest[k.Rollout.Service] = k.Rollout.Revision
	}
	for service, x := range b.records {
		if x.rollout.Pending() && newest[service] < x.rollout.Revision {
			return false
		}
	}
	return true
}

// put records a roll-out unless a later state of it is known. The caller holds b.mu.
func (b *Registry) put(r gladerollout.Rollout, a orderAge, now time.Time) bool {
	if r.Pending() && !vacant(r) { // the last step was that long after the order, also if all VMs have restarted since
		step := now.Add(-time.Duration(r.Status.StepS * float64(time.Second)))
		a.countsFrom, a.seenAt = earlier(a.countsFrom, step), earlier(a.seenAt, step)
	}
	x := b.records[r.Service]
	switch {
	case x == nil || r.Revision > x.rollout.Revision && x.replacedBy(r): // an order that was not there when all were known last
		a.ownAbsentAt = b.completeAt
		a.absentAt = later(a.absentAt, b.completeAt)
		b.records[r.Service] = &record{rollout: r, changedAt: now, age: a}
		return true
	case r.Revision < x.rollout.Revision:
		return false
	case r.Revision == x.rollout.Revision:
		x.age = x.age.merge(a)
		if x.rollout.Pending() && !r.Pending() { // withdrawn, as the other VM has read
			x.rollout, x.changedAt = r, now
			return true
		}
		return false
	}
	x.age = x.age.merge(a)
	x.rollout, x.changedAt = r, now
	return true
}

// replacedBy reports whether a later state of the same object is another order.
func (x *record) replacedBy(r gladerollout.Rollout) bool {
	return r.Target != x.rollout.Target || r.Duration != x.rollout.Duration || !x.rollout.Pending() && r.Pending()
}

// withdraw ends an order that is no longer listed, and reports whether that changes anything.
func (x *record) withdraw(now time.Time) bool {
	if !x.rollout.Pending() {
		return false
	}
	x.changedAt = now
	x.rollout.Status = gladerollout.Status{
		State: gladerollout.Reverted, Target: x.rollout.Target, DurationS: x.rollout.Duration.Seconds(), Term: x.rollout.Status.Term,
	}
	return true
}

// Confirm records that the store would have told this VM of later roll-outs.
func (b *Registry) Confirm(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known {
		b.confirmedAt = now
	}
}

// Current reports whether the roll-outs were confirmed recently.
func (b *Registry) Current(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current(now)
}

func (b *Registry) current(now time.Time) bool {
	return !b.confirmedAt.IsZero() && now.Sub(b.confirmedAt) <= b.currentFor
}

// Revision returns the store's revision up to which the roll-outs are known, and false if none are known yet.
func (b *Registry) Revision() (int64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revision, b.known
}

// Newest returns the revision of the roll-out that changed last, zero for none.
func (b *Registry) Newest() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	newest := int64(0)
	for _, x := range b.records {
		newest = max(newest, x.rollout.Revision)
	}
	return newest
}

// Get returns the roll-out of a service and the time since its order was first seen.
func (b *Registry) Get(service string, now time.Time) (r gladerollout.Rollout, elapsed time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.records[service]
	if x == nil {
		return gladerollout.Rollout{}, 0, false
	}
	return x.rollout, now.Sub(x.age.start()), true
}

// States returns the roll-outs for other VMs, ordered by service. Current is left to the caller.
func (b *Registry) States(now time.Time) States {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := States{Revision: b.revision}
	for _, x := range b.records {
		s.Known = append(s.Known, x.tell(now))
	}
	slices.SortFunc(s.Known, func(a, b Known) int { return cmp.Compare(a.Rollout.Service, b.Rollout.Service) })
	return s
}

// Recent returns the roll-outs that are pending or have changed lately. They are few, also where many have ended.
func (b *Registry) Recent(now time.Time) States {
	s := b.States(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	all := len(s.Known)
	s.Known = slices.DeleteFunc(s.Known, func(k Known) bool {
		return !k.Rollout.Pending() && now.Sub(b.records[k.Rollout.Service].changedAt) > recentTime
	})
	s.Partial = len(s.Known) < all
	return s
}

// Rollouts returns the roll-outs, ordered by service, and whether they were confirmed recently.
func (b *Registry) Rollouts(now time.Time) ([]gladerollout.Rollout, bool) {
	s := b.States(now)
	rollouts := make([]gladerollout.Rollout, len(s.Known))
	for i, k := range s.Known {
		rollouts[i] = k.Rollout
	}
	return rollouts, b.Current(now)
}
