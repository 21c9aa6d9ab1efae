package gladelimit

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultInterval = 2 * time.Second
	// floorPart is the part of a limit that is shared evenly, whatever the demand.
	floorPart = 0.1
	// forgetAfter is the number of intervals after which a silent VM's demand counts for nothing.
	forgetAfter = 5
	// learnFor is the number of intervals in which a new keeper leaves shares as they are.
	learnFor       = 2
	demandSmooth   = 0.5
	rememberShares = 10 * time.Minute
)

// SharerConfig configures a Sharer.
type SharerConfig struct {
	VM string
	// VMs returns the live VMs, with this one.
	VMs func() []string
	// Ask sends the demand at this VM to the VM that keeps the organisations' shares.
	Ask func(ctx context.Context, vm string, r Report) (Shares, error)
	// Interval is the time between calls of Exchange; zero means 2 s.
	Interval time.Duration
}

// Report is the demand of some organisations at one VM.
type Report struct {
	Demand map[string]Demand `json:"demand"`
}

// Shares are a VM's shares of organisations' limits.
type Shares map[string]float64

// Sharer divides organisations' limits over VMs by their demand.
type Sharer struct {
	config SharerConfig

	mu     sync.Mutex
	shares map[string]*share
	kept   map[string]*kept
	// vms is the largest number of VMs seen of late, at widest.
	vms    int
	widest time.Time
}

// share is what this VM may use of one organisation's limits.
type share struct {
	part   float64
	known  bool
	active time.Time
}

// kept is what this VM keeps for all about one organisation.
type kept struct {
	since  time.Time
	demand map[string]keptDemand
}

type keptDemand struct {
	amount float64
	heard  time.Time
}

// NewSharer returns a Sharer.
func NewSharer(c SharerConfig) *Sharer {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	return &Sharer{config: c, shares: map[string]*share{}, kept: map[string]*kept{}}
}

// Share returns this VM's share of an organisation's limits, from 0 to 1.
func (s *Sharer) Share(organisation string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.shares[organisation]; x != nil && x.known {
		return x.part
	}
	return 1 / float64(max(1, s.size(len(s.config.VMs()))))
}

// size returns the largest number of VMs seen of late, so that a cut does not enlarge shares.
func (s *Sharer) size(now int) int {
	if now >= s.vms || time.Since(s.widest) > rememberShares {
		s.vms, s.widest = now, time.Now()
	}
	return s.vms
}

// Exchange sends this VM's demand to the keepers and takes over the shares that they answer.
func (s *Sharer) Exchange(ctx context.Context, demand map[string]Demand) {
	vms := s.config.VMs()
	for vm, r := range s.reports(vms, demand) {
		if vm == s.config.VM {
			s.take(s.Keep(vm, r))
			continue
		}
		if answer, err := s.config.Ask(ctx, vm, r); err == nil {
			s.take(answer)
		}
	}
}

// reports returns what to tell each keeper, also of organisations that fell silent of late.
func (s *Sharer) reports(vms []string, demand map[string]Demand) map[string]Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name := range demand {
		if s.shares[name] == nil {
			s.shares[name] = &share{}
		}
		s.shares[name].active = now
	}
	reports := map[string]Report{}
	for name, x := range s.shares {
		silent := now.Sub(x.active)
		if silent > rememberShares {
			delete(s.shares, name)
		}
		if silent > forgetAfter*s.config.Interval {
			continue
		}
		vm := keeper(vms, name)
		if reports[vm].Demand == nil {
			reports[vm] = Report{Demand: map[string]Demand{}}
		}
		reports[vm].Demand[name] = demand[name]
	}
	return reports
}

func (s *Sharer) take(answer Shares) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, part := range answer {
		if x := s.shares[name]; x != nil {
			x.part, x.known = part, true
		}
	}
}

// Keep takes in a VM's demand and returns its shares of those organisations whose demand is known long enough.
func (s *Sharer) Keep(from string, r Report) Shares {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	vms := s.size(len(s.config.VMs()))
	answer := Shares{}
	for name, d := range r.Demand {
		k := s.kept[name]
		if k == nil {
			k = &kept{since: now, demand: map[string]keptDemand{}}
			s.kept[name] = k
		}
		old := k.demand[from]
		k.demand[from] = keptDemand{amount: old.amount + demandSmooth*(d.Requests-old.amount), heard: now}
		total := k.total(now, forgetAfter*s.config.Interval)
		if now.Sub(k.since) >= learnFor*s.config.Interval && total > 0 {
			answer[name] = floorPart/float64(vms) + (1-floorPart)*k.demand[from].amount/total
		}
	}
	s.forget(now)
	return answer
}

// total returns the demand at all VMs and forgets those that fell silent.
func (k *kept) total(now time.Time, after time.Duration) float64 {
	var sum float64
	for vm, d := range k.demand {
		if now.Sub(d.heard) > after {
			delete(k.demand, vm)
			continue
		}
		sum += d.amount
	}
	return sum
}

func (s *Sharer) forget(now time.Time) {
	for name, k := range s.kept {
		if k.total(now, forgetAfter*s.config.Interval) == 0 && len(k.demand) == 0 {
			delete(s.kept, name)
		}
	}
}

// keeper returns the VM that keeps an organisation's shares.
func keeper(vms []string, organisation string) string {
	var best string
	var weight uint64
	for _, vm := range vms {
		if w := xxhash.Sum64String(vm + "/" + organisation); best == "" || w > weight {
			best, weight = vm, w
		}
	}
	return best
}
