package gladedecider

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
)

// ErrConflict means that an order has another revision than the one that a write was based on; nothing was written.
var ErrConflict = eris.New("the order has another revision")

const (
	// decideInterval is how often the evidence is judged.
	decideInterval = 200 * time.Millisecond
	// heartbeatInterval is how often a decider tells the other candidates that it acts.
	heartbeatInterval = 500 * time.Millisecond
	// silenceLimit is the silence of a decider after which another candidate takes over. It covers two lost heartbeats.
	silenceLimit = 1500 * time.Millisecond
	// candidateStagger is the additional wait of each further candidate, so that only one writes. It is longer than a write and
	// its distribution.
	candidateStagger = 400 * time.Millisecond
	// maxLosses bounds how often the wait of a candidate doubles that was decider and was replaced. Two candidates that do not
	// hear each other would otherwise replace each other all the time.
	maxLosses = 3
	// settleTime is how long a candidate that took over waits for the reports of all VMs before it decides: every VM knows of it
	// after 0.3 s and reports every 0.5 s.
	settleTime = time.Second
	// pauseLimit is the time between two steps from which on this VM was paused: others may have decided since. It is shorter than
	// silenceLimit less the time since the last heartbeat.
	pauseLimit = 800 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 700 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call to the store.
	minBackoff, maxBackoff = 200 * time.Millisecond, time.Second
	// stopRepeat is how often the notice to stop a version is repeated until its end is written, and maxStops the largest number.
	stopRepeat, maxStops = 500 * time.Millisecond, 6
	// reportLife is the age from which on the runs in a VM's report no longer count: VMs with such runs report more often.
	reportLife = 3 * time.Second
)

// Stop tells all VMs that a version gets no more requests.
type Stop struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// DurationS is the time limit of the order in seconds; with the target it tells a service's orders apart.
	DurationS float64 `json:"durationS"`
	Reason    string  `json:"reason"`
}

// Heartbeat tells the other candidates that a decider acts.
type Heartbeat struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	Term    int64  `json:"term"`
	// Acting reports that the decider reaches the store. Without it, another candidate that does takes over.
	Acting bool `json:"acting,omitempty"`
	// Resigned reports that the sender no longer decides: another candidate need not wait until it is silent.
	Resigned bool `json:"resigned,omitempty"`
	// Reason is the reason of the last step.
	Reason string `json:"reason,omitempty"`
}

// Config configures a Decider.
type Config struct {
	// VM is the name of this VM.
	VM       string
	Registry *Registry
	// CanaryShare and CanarySlack bound the requests at a bad version.
	CanaryShare, CanarySlack float64
	// Candidates returns the names of the VMs that may decide, this one only if it may.
	Candidates func() []string
	// Reached reports whether this VM reaches the store.
	Reached func() bool
	// Write writes the status of a service's order if the order still has a revision, and returns it as the store has it then. On
	// ErrConflict it returns the order as the store has it. After other errors the write may have been or may be carried out.
	Write func(ctx context.Context, service string, revision int64, s gladerollout.Status) (gladerollout.Rollout, error)
	// Read reads all orders from the store into the registry.
	Read func(context.Context) error
	// Servers returns the numbers of servers of a service that may get requests, of the target and of other versions.
	Servers func(service, target string) (targets, others int)
	// Stop tells all VMs, this one included, to stop the use of a version.
	Stop func(Stop)
	// Heartbeat sends a heartbeat to the other candidates.
	Heartbeat func(Heartbeat)
	// OnChange is called after the decider has changed the registry.
	OnChange func()
	// Decide decides on an order; nil means gladerollout.Decide.
	Decide func(gladerollout.Input) gladerollout.Decision
	// Now returns the time by a clock that counts the time for which the VM is suspended.
	Now     func() time.Time
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Decider decides on the orders that this VM has claimed.
type Decider struct {
	config Config
	ctx    context.Context
	tasks  sync.WaitGroup

	mu     sync.Mutex
	orders map[string]*order
	// candidateSince is since when this VM is a candidate, zero if it is none.
	candidateSince time.Time
	// reachedSince is since when this VM reaches the store, zero if it does not.
	reachedSince time.Time
	// lastStep is when the last step began.
	lastStep time.Time
}

// order is an order as this VM decides on it, or watches its decider.
type order struct {
	service, target string
	duration        time.Duration
	// term is the last one that this process has tried to claim. The order is its own if the status has it and names this VM.
	term int64
	// settledAt is when the reports of all VMs are expected after a take-over.
	settledAt time.Time
	// heardAt is when the decider was last heard, or another one claimed the order.
	heardAt time.Time
	// heardTerm is the term seen last. heartbeatHeard reports that its decider's heartbeats reach this VM, and resigned that it has resigned.
	heardTerm                int64
	heartbeatHeard, resigned bool
	// owned reports that this process has decided on the order.
	owned bool
	// losses counts how often this VM was replaced as decider.
	losses int
	// calling reports that a call to the store is in progress.
	calling bool
	// unsure reports that the store's state must be read before the next write.
	unsure  bool
	retryAt time.Time
	backoff time.Duration
	// stopped holds the decision to stop the target; it holds until the end of the order is written.
	stopped *gladerollout.Decision
	// notice is the reason of another decider's notice to stop the target.
	notice      string
	stopAt      time.Time
	stops       int
	heartbeatAt time.Time
	reports     map[string]received
	// reason is that of the last step, and input what the last decision depended on.
	reason string
	input  gladerollout.Input
}

// received is the last report of a VM.
type received struct {
	Report

	at time.Time
}

// New starts a Decider and returns it with its clean-up function.
func New(c Config) (*Decider, func()) {
	if c.Decide == nil {
		c.Decide = gladerollout.Decide
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Decider{config: c, ctx: ctx, orders: map[string]*order{}}
	d.tasks.Go(func() {
		ticker := time.NewTicker(decideInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				d.step()
			}
		}
	})
	return d, func() {
		cancel()
		d.tasks.Wait()
	}
}

// step judges all pending orders once.
func (d *Decider) step() {
	known := d.config.Registry.States(d.config.Now()).Known
	pending := slices.DeleteFunc(known, func(k Known) bool { return !k.Rollout.Pending() })
	var candidates []string
	if len(pending) > 0 {
		candidates = d.config.Candidates()
	}
	now := d.config.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	updateSince(&d.candidateSince, slices.Contains(candidates, d.config.VM), now)
	updateSince(&d.reachedSince, len(pending) > 0 && d.config.Reached(), now)
	listed := map[string]bool{}
	for _, k := range pending {
		listed[k.Rollout.Service] = true
		d.stepOrder(d.order(k.Rollout, now), k, candidates, now)
	}
	for service, o := range d.orders {
		if !listed[service] && !o.calling {
			delete(d.orders, service)
		}
	}
}

// detectPause notices that this VM did not run for a while, for instance because it was frozen. The caller holds d.mu.
func (d *Decider) detectPause(now time.Time) {
	pause := now.Sub(d.lastStep)
	if !d.lastStep.IsZero() && pause > pauseLimit {
		for _, o := range d.orders {
			o.heardAt, o.settledAt = now, now.Add(settleTime)
			if o.term > 0 {
				o.unsure = true
				d.config.Log.Warn("This VM was paused; the order is read before anything is decided.", "service", o.service,
					"pauseMs", pause.Milliseconds())
			}
		}
	}
	d.lastStep = now
}

// updateSince sets the time since which something holds, zero if it does not.
func updateSince(since *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// order returns the state of an order, a new one if the service's last order was another one. The caller holds d.mu.
func (d *Decider) order(r gladerollout.Rollout, now time.Time) *order {
	o := d.orders[r.Service]
	if o == nil || o.target != r.Target || o.duration != r.Duration {
		o = &order{
			service: r.Service, target: r.Target, duration: r.Duration, heardAt: now, heardTerm: r.Status.Term, reports: map[string]received{},
		}
		d.orders[r.Service] = o
		d.config.Log.Info("Order to roll out a version.", "service", r.Service, "target", r.Target, "limit", r.Duration, "revision", r.Revision,
			"state", r.Status.State, "decider", r.Status.Decider, "term", r.Status.Term)
	}
	return o
}

// vacant reports whether nobody has claimed an order.
func vacant(r gladerollout.Rollout) bool {
	s := r.Status
	return s.State == "" || s.Decider == "" || s.Target != r.Target || s.DurationS != r.Duration.Seconds()
}

// owns reports whether this process has claimed an order.
func (d *Decider) owns(o *order, r gladerollout.Rollout) bool {
	return !vacant(r) && o.term > 0 && r.Status.Decider == d.config.VM && r.Status.Term == o.term
}

// stepOrder judges one order. The caller holds d.mu.
func (d *Decider) stepOrder(o *order, k Known, candidates []string, now time.Time) {
	r := k.Rollout
	if r.Status.Term > o.heardTerm {
		o.hear(r.Status.Term, now)
	}
	owns := d.owns(o, r)
	if o.owned && !owns && r.Status.Term > o.term {
		d.fenced(o, r)
	}
	o.owned = owns
	if o.unsure {
		d.read(o, now)
	}
	switch {
	case owns && d.candidateSince.IsZero():
		d.resign(o, r)
	case owns:
		d.heartbeat(o, now)
		d.decide(o, k, now)
	case !o.unsure && !d.candidateSince.IsZero() && d.mayClaim(o, r, candidates, now):
		d.claim(o, k, now)
	}
}

// hear records that a term has begun.
func (o *order) hear(term int64, now time.Time) {
	o.heardTerm, o.heardAt, o.heartbeatHeard, o.resigned = term, now, false, false
}

// fenced records that another VM decides. The caller holds d.mu.
func (d *Decider) fenced(o *order, r gladerollout.Rollout) {
	o.term, o.stopped = 0, nil
	o.losses = min(maxLosses, o.losses+1)
	d.count("rollout.fenced")
	d.config.Log.Warn("Another VM decides on the order.", "service", o.service, "decider", r.Status.Decider, "term", r.Status.Term,
		"state", r.Status.State, "revision", r.Revision)
}

// resign gives an order up because this VM is no candidate any longer; another one takes over at once. The caller holds d.mu.
func (d *Decider) resign(o *order, r gladerollout.Rollout) {
	d.config.Log.Info("This VM no longer decides on the order.", "service", o.service, "term", r.Status.Term)
	d.config.Heartbeat(Heartbeat{VM: d.config.VM, Service: o.service, Term: r.Status.Term, Resigned: true})
	o.term, o.owned = 0, false
}

// mayClaim reports whether this candidate should claim an order now. The caller holds d.mu.
func (d *Decider) mayClaim(o *order, r gladerollout.Rollout, candidates []string, now time.Time) bool {
	if o.calling || now.Before(o.retryAt) || !d.config.Reached() {
		return false
	}
	own := gladepeer.RendezvousWeight(o.service, d.config.VM)
	rank := 0
	for _, vm := range candidates {
		if vm != d.config.VM && vm != r.Status.Decider && gladepeer.RendezvousWeight(o.service, vm) > own {
			rank++
		}
	}
	wait := time.Duration(rank) * candidateStagger
	if vacant(r) || o.resigned {
		return now.Sub(later(o.heardAt, d.candidateSince)) >= wait
	}
	if d.reachedSince.IsZero() || now.Sub(d.reachedSince) < settleTime { // the decider may have lost the store too
		return false
	}
	wait += silenceLimit << o.losses
	if o.heartbeatHeard {
		return now.Sub(o.heardAt) >= wait
	}
	return now.Sub(later(o.heardAt, d.candidateSince)) >= wait
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// HandleHeartbeat records a heartbeat of another candidate.
func (d *Decider) HandleHeartbeat(b Heartbeat) {
	now := d.config.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.orders[b.Service]
	if o == nil || b.Term < o.heardTerm {
		return
	}
	if b.Term > o.heardTerm {
		o.hear(b.Term, now)
	}
	switch {
	case b.Resigned:
		o.resigned, o.heardAt = true, now
	case b.Acting:
		o.heardAt, o.heartbeatHeard = now, true
	}
	o.reason = cmp.Or(b.Reason, o.reason)
}

// HandleStop records the notice of another VM that decided on an order. The VMs that received it do not use the target until the order
// has ended, so whoever decides next must end it.
func (d *Decider) HandleStop(s Stop) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.orders[s.Service]
	if o != nil && o.target == s.Target && o.duration.Seconds() == s.DurationS {
		o.notice = cmp.Or(s.Reason, "stopped")
	}
}

// heartbeat tells the other candidates that this VM decides. The caller holds d.mu.
func (d *Decider) heartbeat(o *order, now time.Time) {
	if now.Sub(o.heartbeatAt) < heartbeatInterval {
		return
	}
	o.heartbeatAt = now
	d.config.Heartbeat(Heartbeat{
		VM: d.config.VM, Service: o.service, Term: o.term, Acting: d.config.Reached() && !o.unsure, Reason: o.reason,
	})
}

func (d *Decider) count(name string) {
	metrics.GetOrRegisterCounter(name, d.config.Metrics).Inc(1)
}
