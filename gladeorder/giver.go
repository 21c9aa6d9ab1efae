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
	firstWait        = 50 * time.Millisecond
	defaultInterval  = 500 * time.Millisecond
	defaultIdle      = 10 * time.Second
	defaultOrderLife = 5 * time.Second
	defaultGrace     = 30 * time.Second
	defaultDeadAfter = 5 * time.Second
	readTimeout      = time.Second
	maxCalls         = 32
	maxMissing       = 8
)

// Config configures a Giver.
type Config struct {
	FailureDomain string
	Grant         gladelease.Grant
	// Held tells whether the grant still holds; nil relies on the end of Run's ctx.
	Held func() bool
	// LeaseDuration is how long an earlier holder may have believed in its grant.
	LeaseDuration time.Duration
	// State returns the state in force.
	State func() *gladenote.State
	// Engines returns the live engines of the failure domain that are not leaving.
	Engines func() []gladeapi.BackendServer
	// Load reads what an engine holds and Send gives it an order.
	Load func(ctx context.Context, b gladeapi.BackendServer) (gladeapi.LoadReport, error)
	Send func(ctx context.Context, b gladeapi.BackendServer, o Order, fencingNumber int64) error
	// Unused tells whether every VM holds the state and none runs generations on a target that it withdrew.
	Unused func(s *gladenote.State, target string) bool
	// Report receives the account of each round.
	Report func(gladenote.EngineReport)
	// Loads is this failure domain's share of the weight store's rate; nil is no limit.
	Loads *rate.Limiter
	// Changed is signalled when State or Engines give something new, if set.
	Changed <-chan struct{}
	// Interval is the longest time between rounds while something is missing, Idle while nothing is; zero means 500 ms and 10 s.
	Interval time.Duration
	Idle     time.Duration
	// OrderLife is the longest time from the sending of an order to its effect; zero means 5 s.
	OrderLife time.Duration
	// Grace is how long a target that is no longer in force stays loaded after it is seen unused; zero means 30 s.
	Grace time.Duration
	// DeadAfter is how long an engine may be silent before it is left out of the account; zero means 5 s.
	DeadAfter time.Duration
	Log       hclog.Logger
}

// giver is one grant's work.
type giver struct {
	Config
	started time.Time
	// settled is set after a round that found nothing to do.
	settled bool
	// ordered is when a load was last ordered, by engine incarnation and order.
	ordered map[orderKey]time.Time
	// unused is when a target was first seen unused, silent when an engine stopped to answer.
	unused map[string]time.Time
	silent map[string]time.Time
}

type orderKey struct {
	engine      string
	incarnation string
	order       Order
}

// Run gives orders until ctx is done or an engine refuses the fencing number as old.
func Run(ctx context.Context, c Config) error {
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	c.Idle = cmp.Or(c.Idle, defaultIdle)
	c.OrderLife = cmp.Or(c.OrderLife, defaultOrderLife)
	c.Grace = cmp.Or(c.Grace, defaultGrace)
	c.DeadAfter = cmp.Or(c.DeadAfter, defaultDeadAfter)
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	if c.Held == nil {
		c.Held = func() bool { return true }
	}
	if c.Loads == nil {
		c.Loads = rate.NewLimiter(rate.Inf, 0)
	}
	g := &giver{
		Config: c, started: time.Now(),
		ordered: map[orderKey]time.Time{}, unused: map[string]time.Time{}, silent: map[string]time.Time{},
	}
	return g.run(ctx)
}

func (g *giver) run(ctx context.Context) error {
	var last roundKey
	var lastTime time.Time
	wait := min(firstWait, g.Interval)
	for ctx.Err() == nil {
		now := g.key()
		if now != last {
			wait = min(firstWait, g.Interval)
		}
		if now != last || time.Since(lastTime) >= g.Idle || !g.settled {
			settled, err := g.round(ctx)
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

// roundKey changes when there may be something new to order.
type roundKey struct {
	number  int64
	engines string
}

func (g *giver) key() roundKey {
	engines := ""
	for _, b := range g.Engines() {
		engines += b.ID + "/" + b.Incarnation + " "
	}
	return roundKey{number: g.State().Number, engines: engines}
}

// round compares all engines with the state, orders the difference and tells whether there was none.
func (g *giver) round(ctx context.Context) (bool, error) {
	s := g.State()
	engines, unreachable := g.read(ctx)
	want(s, engines)
	report := g.account(s, engines, unreachable)
	guard := &guard{state: s, engines: engines, unused: func(target string) bool { return g.longUnused(s, target) }}
	settled := report.Ready == report.Wanted && len(unreachable) == 0
	orders := make([][]Order, len(engines))
	for i, e := range engines {
		if !g.mayOrder(s, e) {
			settled = false
			continue
		}
		orders[i] = append(g.due(e), e.unloads(guard)...)
		if len(orders[i]) > 0 || g.holdsUnwanted(e) {
			settled = false
		}
	}
	err := g.give(ctx, engines, orders, &report)
	if g.Report != nil && ctx.Err() == nil && err == nil {
		g.Report(report)
	}
	return settled, err
}

func (g *giver) holdsUnwanted(e *engine) bool {
	for held := range e.held {
		if _, ok := e.wanted[held]; !ok {
			return true
		}
	}
	return false
}

// read asks all engines what they hold; those that are silent for long count as dead.
func (g *giver) read(ctx context.Context) ([]*engine, []string) {
	backends := g.Engines()
	engines := make([]*engine, len(backends))
	var tasks sync.WaitGroup
	slots := make(chan struct{}, maxCalls)
	for i, b := range backends {
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			call, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			if report, err := g.Load(call, b); err == nil {
				engines[i] = &engine{backend: b, held: set(report.Targets)}
			}
		})
	}
	tasks.Wait()
	var unreachable []string
	for i, b := range backends {
		if engines[i] != nil {
			delete(g.silent, b.ID)
			continue
		}
		if g.silent[b.ID].IsZero() {
			g.silent[b.ID] = time.Now()
		}
		if time.Since(g.silent[b.ID]) < g.DeadAfter {
			unreachable = append(unreachable, b.ID)
		}
	}
	return slices.DeleteFunc(engines, func(e *engine) bool { return e == nil }), unreachable
}

func set(targets []string) map[string]bool {
	held := make(map[string]bool, len(targets))
	for _, target := range targets {
		held[target] = true
	}
	return held
}

// account counts what is wanted and ready.
func (g *giver) account(s *gladenote.State, engines []*engine, unreachable []string) gladenote.EngineReport {
	r := gladenote.EngineReport{
		FailureDomain: g.FailureDomain,
		FencingNumber: g.Grant.FencingNumber,
		Number:        s.Number,
		Taken:         time.Now().UTC(),
		Wanted:        len(unreachable),
	}
	for _, id := range unreachable {
		r.Missing = append(r.Missing, fmt.Sprintf("%s: no answer for %s", id, time.Since(g.silent[id]).Round(time.Millisecond)))
	}
	for _, e := range engines {
		for target := range e.wanted {
			r.Wanted++
			if e.held[target] {
				r.Ready++
			} else if len(r.Missing) < maxMissing {
				r.Missing = append(r.Missing, target+" on "+e.backend.ID)
			}
		}
	}
	slices.Sort(r.Missing)
	return r
}

// mayOrder tells whether late orders of earlier holders can no longer come to an engine that takes any.
func (g *giver) mayOrder(s *gladenote.State, e *engine) bool {
	if g.Grant.FencingNumber == 1 || g.checksFencing(s, e.backend.Pool) {
		return true
	}
	wait := g.OrderLife
	if g.Grant.Before {
		wait += g.LeaseDuration
	}
	return time.Since(g.started) >= wait
}

func (g *giver) checksFencing(s *gladenote.State, pool string) bool {
	for _, m := range s.Models {
		if m.Pool == pool && !m.ChecksFencing {
			return false
		}
	}
	return true
}

// due returns the loads that were not ordered lately and fit the weight store's rate.
func (g *giver) due(e *engine) []Order {
	var due []Order
	for _, o := range e.loads() {
		key := orderKey{engine: e.backend.ID, incarnation: e.backend.Incarnation, order: o}
		at, again := g.ordered[key]
		if again && time.Since(at) < g.OrderLife {
			continue
		}
		if !g.Loads.Allow() {
			return due
		}
		g.ordered[key] = time.Now()
		due = append(due, o)
	}
	return due
}

// give sends each engine its orders and adds what failed to the report.
func (g *giver) give(ctx context.Context, engines []*engine, orders [][]Order, r *gladenote.EngineReport) error {
	errs := make([]error, len(engines))
	var tasks sync.WaitGroup
	slots := make(chan struct{}, maxCalls)
	for i, e := range engines {
		if len(orders[i]) == 0 {
			continue
		}
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			errs[i] = g.giveOne(ctx, e, orders[i])
		})
	}
	tasks.Wait()
	for _, err := range errs {
		if errors.Is(err, ErrFenced) {
			return err
		}
		if err != nil && len(r.Missing) < maxMissing {
			r.Missing = append(r.Missing, err.Error())
		}
	}
	return nil
}

// giveOne sends orders one after the other for as long as the grant holds.
func (g *giver) giveOne(ctx context.Context, e *engine, orders []Order) error {
	for _, o := range orders {
		if g.ended(ctx) {
			return nil
		}
		call, cancel := context.WithTimeout(ctx, g.OrderLife)
		err := g.Send(call, e.backend, o, g.Grant.FencingNumber)
		cancel()
		if err != nil {
			g.Log.Warn("Order failed.", "order", o.String(), "engine", e.backend.ID, "error", err)
			return err
		}
		g.Log.Info("Order given.", "order", o.String(), "engine", e.backend.ID, "fencingNumber", g.Grant.FencingNumber)
	}
	return nil
}

// ended tells whether the grant no longer allows orders.
func (g *giver) ended(ctx context.Context) bool {
	return ctx.Err() != nil || !g.Held()
}

// longUnused tells whether a target that is no longer in force has been unused for the grace.
func (g *giver) longUnused(s *gladenote.State, target string) bool {
	if g.Unused != nil && !g.Unused(s, target) {
		delete(g.unused, target)
		return false
	}
	if g.unused[target].IsZero() {
		g.unused[target] = time.Now()
	}
	return time.Since(g.unused[target]) >= g.Grace
}
