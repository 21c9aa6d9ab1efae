package gladeorder

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladelease"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
)

const (
	minWait              = 50 * time.Millisecond
	defaultInterval      = 500 * time.Millisecond
	defaultIdleInterval  = 10 * time.Second
	defaultOrderLifetime = 5 * time.Second
	defaultUnloadGrace   = 30 * time.Second
	defaultDeadAfter     = 5 * time.Second
	loadReadTimeout      = time.Second
	maxConcurrentCalls   = 32
	maxReportedMissing   = 8
)

// Config configures Run.
type Config struct {
	FailureDomain string
	// Grant is the lease grant under which orders are sent.
	Grant gladelease.Grant
	// GrantHeld reports whether the grant is still valid; if it is nil, the grant lasts until Run's ctx is done.
	GrantHeld func() bool
	// LeaseDuration is the longest time for which an earlier holder may still consider its grant valid.
	LeaseDuration time.Duration
	// State returns the state in force.
	State func() *gladenote.State
	// Engines returns the live engines of the failure domain, without those that are leaving.
	Engines func() []gladeapi.BackendServer
	// ReadLoad reads an engine's load report, which lists the targets that it holds.
	ReadLoad func(ctx context.Context, b gladeapi.BackendServer) (gladeapi.LoadReport, error)
	// Send sends an order to an engine, as Client.Send does.
	Send func(ctx context.Context, b gladeapi.BackendServer, o Order, fencingNumber int64) error
	// Unused reports whether every VM has applied the state and no VM runs generations on a target that the state
	// withdrew. If it is nil, such a target counts as unused.
	Unused func(s *gladenote.State, target string) bool
	// OnReport is called after each round with the state of the engines, if set.
	OnReport func(gladenote.EngineReport)
	// LoadLimiter limits the rate of load orders to this failure domain's share of the weight store's rate; nil means no
	// limit.
	LoadLimiter *rate.Limiter
	// Changed, if set, receives a value when the result of State or Engines changes.
	Changed <-chan struct{}
	// Interval is the longest time between rounds while the engines differ from the state; zero means 500 ms.
	Interval time.Duration
	// IdleInterval is the longest time between rounds while the engines match the state; zero means 10 s.
	IdleInterval time.Duration
	// OrderLifetime is the longest time from sending an order until it takes effect; zero means 5 s.
	OrderLifetime time.Duration
	// UnloadGrace is how long a target that is no longer in force stays loaded after it was first found unused; zero means
	// 30 s.
	UnloadGrace time.Duration
	// DeadAfter is how long an engine may fail to answer before reports leave it out; zero means 5 s.
	DeadAfter time.Duration
	Log       hclog.Logger
}

// controller reconciles the engines with the state under one grant.
type controller struct {
	Config
	started time.Time
	// settled is set if the last round found no difference between engines and state.
	settled bool
	// orderedAt is the time at which each load was last ordered.
	orderedAt map[orderKey]time.Time
	// unusedSince is the time at which each target was first found unused.
	unusedSince map[string]time.Time
	// silentSince is the time of the first failed read after an engine's last answer, by engine ID.
	silentSince map[string]time.Time
}

type orderKey struct {
	engine      string
	incarnation string
	order       Order
}

// Run reconciles the engines with the state until ctx is done.
// If an engine refuses the grant's fencing number as old, Run returns an error that wraps ErrFenced.
func Run(ctx context.Context, c Config) error {
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	c.IdleInterval = cmp.Or(c.IdleInterval, defaultIdleInterval)
	c.OrderLifetime = cmp.Or(c.OrderLifetime, defaultOrderLifetime)
	c.UnloadGrace = cmp.Or(c.UnloadGrace, defaultUnloadGrace)
	c.DeadAfter = cmp.Or(c.DeadAfter, defaultDeadAfter)
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	if c.GrantHeld == nil {
		c.GrantHeld = func() bool { return true }
	}
	if c.LoadLimiter == nil {
		c.LoadLimiter = rate.NewLimiter(rate.Inf, 0)
	}
	g := &controller{
		Config: c, started: time.Now(),
		orderedAt: map[orderKey]time.Time{}, unusedSince: map[string]time.Time{}, silentSince: map[string]time.Time{},
	}
	return g.run(ctx)
}

func (g *controller) run(ctx context.Context) error {
	var last reconcileKey
	var lastTime time.Time
	wait := min(minWait, g.Interval)
	for ctx.Err() == nil {
		now := g.currentKey()
		if now != last {
			wait = min(minWait, g.Interval)
		}
		if now != last || time.Since(lastTime) >= g.IdleInterval || !g.settled {
			settled, err := g.reconcile(ctx)
			if err != nil {
				return err
			}
			last, lastTime, g.settled = now, time.Now(), settled
		}
		select {
		case <-time.After(wait):
		case <-g.Changed:
		case <-ctx.Done():
		}
		wait = min(2*wait, g.Interval)
	}
	return nil
}

// reconcileKey identifies the inputs of a round. If it changes, a new round starts without waiting for IdleInterval.
type reconcileKey struct {
	number  int64
	engines string
}

func (g *controller) currentKey() reconcileKey {
	engines := ""
	for _, b := range g.Engines() {
		engines += b.ID + "/" + b.Incarnation + " "
	}
	return reconcileKey{number: g.State().Number, engines: engines}
}

// reconcile compares all engines with the state and sends orders for the difference. It reports whether there was none.
func (g *controller) reconcile(ctx context.Context) (bool, error) {
	s := g.State()
	engines, unreachable := g.readEngines(ctx)
	assignTargets(s, engines)
	report := g.newReport(s, engines, unreachable)
	unloadGuard := &unloadGuard{state: s, engines: engines, unused: func(target string) bool { return g.unusedForGrace(s, target) }}
	settled := report.Ready == report.Wanted && len(unreachable) == 0
	orders := make([][]Order, len(engines))
	for i, e := range engines {
		if !g.mayOrder(s, e) {
			settled = false
			continue
		}
		orders[i] = append(g.dueLoads(e), e.surplusUnloads(unloadGuard)...)
		if len(orders[i]) > 0 || g.holdsUnwanted(e) {
			settled = false
		}
	}
	err := g.sendOrders(ctx, engines, orders, &report)
	if g.OnReport != nil && ctx.Err() == nil && err == nil {
		g.OnReport(report)
	}
	return settled, err
}

func (g *controller) holdsUnwanted(e *engine) bool {
	for held := range e.held {
		if _, ok := e.wanted[held]; !ok {
			return true
		}
	}
	return false
}

// readEngines reads the targets of all engines. It returns the engines that answered, and the IDs of those that did
// not, except for engines that have been silent for DeadAfter, which count as dead.
func (g *controller) readEngines(ctx context.Context) ([]*engine, []string) {
	backends := g.Engines()
	engines := make([]*engine, len(backends))
	var tasks sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for i, b := range backends {
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			call, cancel := context.WithTimeout(ctx, loadReadTimeout)
			defer cancel()
			if report, err := g.ReadLoad(call, b); err == nil {
				engines[i] = &engine{backend: b, held: newTargetSet(report.Targets)}
			}
		})
	}
	tasks.Wait()
	var unreachable []string
	for i, b := range backends {
		if engines[i] != nil {
			delete(g.silentSince, b.ID)
			continue
		}
		if g.silentSince[b.ID].IsZero() {
			g.silentSince[b.ID] = time.Now()
		}
		if time.Since(g.silentSince[b.ID]) < g.DeadAfter {
			unreachable = append(unreachable, b.ID)
		}
	}
	return slices.DeleteFunc(engines, func(e *engine) bool { return e == nil }), unreachable
}

func newTargetSet(targets []string) map[string]bool {
	held := make(map[string]bool, len(targets))
	for _, target := range targets {
		held[target] = true
	}
	return held
}

// newReport counts the wanted and the ready targets. An unreachable engine counts as one wanted target.
func (g *controller) newReport(s *gladenote.State, engines []*engine, unreachable []string) gladenote.EngineReport {
	r := gladenote.EngineReport{
		FailureDomain: g.FailureDomain,
		FencingNumber: g.Grant.FencingNumber,
		Number:        s.Number,
		Taken:         time.Now().UTC(),
		Wanted:        len(unreachable),
	}
	for _, id := range unreachable {
		r.Missing = append(r.Missing, fmt.Sprintf("%s: no answer for %s", id, time.Since(g.silentSince[id]).Round(time.Millisecond)))
	}
	for _, e := range engines {
		for target := range e.wanted {
			r.Wanted++
			if e.held[target] {
				r.Ready++
			} else if len(r.Missing) < maxReportedMissing {
				r.Missing = append(r.Missing, target+" on "+e.backend.ID)
			}
		}
	}
	slices.Sort(r.Missing)
	return r
}

// mayOrder reports whether late orders of earlier holders can no longer take effect on an engine. An engine that checks
// fencing numbers refuses them. For another one, the wait covers the lifetime of an order and of an unreleased lease.
func (g *controller) mayOrder(s *gladenote.State, e *engine) bool {
	if g.Grant.FencingNumber == 1 || g.checksFencing(s, e.backend.Pool) {
		return true
	}
	wait := g.OrderLifetime
	if g.Grant.PreviousUnreleased {
		wait += g.LeaseDuration
	}
	return time.Since(g.started) >= wait
}

func (g *controller) checksFencing(s *gladenote.State, pool string) bool {
	for _, m := range s.Models {
		if m.Pool == pool && !m.ChecksFencing {
			return false
		}
	}
	return true
}

// dueLoads returns the loads that were not ordered within OrderLifetime and that the rate limit allows.
// It records them as ordered.
func (g *controller) dueLoads(e *engine) []Order {
	var dueLoads []Order
	for _, o := range e.missingLoads() {
		key := orderKey{engine: e.backend.ID, incarnation: e.backend.Incarnation, order: o}
		at, again := g.orderedAt[key]
		if again && time.Since(at) < g.OrderLifetime {
			continue
		}
		if !g.LoadLimiter.Allow() {
			return dueLoads
		}
		g.orderedAt[key] = time.Now()
		dueLoads = append(dueLoads, o)
	}
	return dueLoads
}

// sendOrders sends the orders of all engines and adds failures to the report. It returns an error only if an engine
// refused the fencing number.
func (g *controller) sendOrders(ctx context.Context, engines []*engine, orders [][]Order, r *gladenote.EngineReport) error {
	errs := make([]error, len(engines))
	var tasks sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for i, e := range engines {
		if len(orders[i]) == 0 {
			continue
		}
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			errs[i] = g.sendToEngine(ctx, e, orders[i])
		})
	}
	tasks.Wait()
	for _, err := range errs {
		if errors.Is(err, ErrFenced) {
			return err
		}
		if err != nil && len(r.Missing) < maxReportedMissing {
			r.Missing = append(r.Missing, err.Error())
		}
	}
	return nil
}

// sendToEngine sends the orders one after the other and stops at the first failure or when the grant ends.
func (g *controller) sendToEngine(ctx context.Context, e *engine, orders []Order) error {
	for _, o := range orders {
		if g.grantEnded(ctx) {
			return nil
		}
		call, cancel := context.WithTimeout(ctx, g.OrderLifetime)
		err := g.Send(call, e.backend, o, g.Grant.FencingNumber)
		cancel()
		if err != nil {
			g.Log.Warn("Order failed.", "order", o.String(), "engine", e.backend.ID, "error", err)
			return err
		}
		g.Log.Info("Order accepted by engine.", "order", o.String(), "engine", e.backend.ID, "fencingNumber", g.Grant.FencingNumber)
	}
	return nil
}

// grantEnded reports whether the grant no longer allows orders.
func (g *controller) grantEnded(ctx context.Context) bool {
	return ctx.Err() != nil || !g.GrantHeld()
}

// unusedForGrace reports whether a target that is no longer in force has been unused for the grace period.
func (g *controller) unusedForGrace(s *gladenote.State, target string) bool {
	if g.Unused != nil && !g.Unused(s, target) {
		delete(g.unusedSince, target)
		return false
	}
	if g.unusedSince[target].IsZero() {
		g.unusedSince[target] = time.Now()
	}
	return time.Since(g.unusedSince[target]) >= g.UnloadGrace
}
