package gladelimit

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultInterval = 2 * time.Second
	// evenPart is the part of a limit that is divided evenly over VMs, regardless of demand.
	evenPart = 0.1
	// expiryIntervals is the number of intervals after which a VM stops reporting an organisation without demand, and
	// after which the last report of a VM is ignored.
	expiryIntervals = 5
	// warmUpIntervals is the number of intervals in which a new coordinator only collects demand and sets no shares.
	warmUpIntervals = 2
	// demandSmoothing is the weight of a new report in the moving average of a VM's demand.
	demandSmoothing = 0.5
	// shareRetention is the time for which unused shares and the largest number of VMs are kept.
	shareRetention = 10 * time.Minute
)

// SharerConfig configures a Sharer.
type SharerConfig struct {
	// VM is the name of this VM.
	VM string
	// VMs returns the names of the live VMs, including this one.
	VMs func() []string
	// RequestShares sends this VM's demand to the VM that coordinates the organisations, and returns this VM's shares.
	RequestShares func(ctx context.Context, vm string, r DemandReport) (Shares, error)
	// Interval is the time between calls of Exchange; zero means 2 s.
	Interval time.Duration
}

// DemandReport is the demand of organisations at one VM, by organisation.
type DemandReport struct {
	Demand map[string]Demand `json:"demand"`
}

// Shares are a VM's shares of the limits of organisations, from 0 to 1, by organisation.
type Shares map[string]float64

// Sharer divides the limits of organisations over VMs by demand. Each organisation has one coordinator among the VMs,
// which collects its demand at all VMs and sets their shares.
type Sharer struct {
	config SharerConfig

	mu      sync.Mutex
	shares  map[string]*share
	demands map[string]*organisationDemand
	// peakVMs is the largest recent number of VMs.
	peakVMs int
	// peakAt is the time at which peakVMs was set.
	peakAt time.Time
}

// share is this VM's share of the limits of one organisation.
type share struct {
	fraction float64
	// known is set once the coordinator has sent the share.
	known      bool
	lastDemand time.Time
}

// organisationDemand is the demand of an organisation that this VM coordinates.
type organisationDemand struct {
	// since is the time of the first report.
	since time.Time
	byVM  map[string]vmDemand
}

type vmDemand struct {
	amount     float64
	reportedAt time.Time
}

// NewSharer returns a Sharer.
func NewSharer(c SharerConfig) *Sharer {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	return &Sharer{config: c, shares: map[string]*share{}, demands: map[string]*organisationDemand{}}
}

// Share returns this VM's share of an organisation's limits, from 0 to 1. It is an even share until one is set.
func (s *Sharer) Share(organisation string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.shares[organisation]; x != nil && x.known {
		return x.fraction
	}
	return 1 / float64(max(1, s.peakSize(len(s.config.VMs()))))
}

// peakSize returns the largest recent number of VMs, so that a network partition does not enlarge shares.
func (s *Sharer) peakSize(current int) int {
	if current >= s.peakVMs || time.Since(s.peakAt) > shareRetention {
		s.peakVMs, s.peakAt = current, time.Now()
	}
	return s.peakVMs
}

// Exchange sends this VM's demand to the coordinators and sets the shares that they return.
func (s *Sharer) Exchange(ctx context.Context, demand map[string]Demand) {
	vms := s.config.VMs()
	for vm, r := range s.reports(vms, demand) {
		if vm == s.config.VM {
			s.setShares(s.HandleReport(vm, r))
			continue
		}
		if answer, err := s.config.RequestShares(ctx, vm, r); err == nil {
			s.setShares(answer)
		}
	}
}

// reports returns the report for each coordinator. It includes organisations whose demand ended recently, with zero.
func (s *Sharer) reports(vms []string, demand map[string]Demand) map[string]DemandReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name := range demand {
		if s.shares[name] == nil {
			s.shares[name] = &share{}
		}
		s.shares[name].lastDemand = now
	}
	reports := map[string]DemandReport{}
	for name, x := range s.shares {
		idle := now.Sub(x.lastDemand)
		if idle > shareRetention {
			delete(s.shares, name)
		}
		if idle > expiryIntervals*s.config.Interval {
			continue
		}
		vm := coordinator(vms, name)
		if reports[vm].Demand == nil {
			reports[vm] = DemandReport{Demand: map[string]Demand{}}
		}
		reports[vm].Demand[name] = demand[name]
	}
	return reports
}

func (s *Sharer) setShares(answer Shares) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, fraction := range answer {
		if x := s.shares[name]; x != nil {
			x.fraction, x.known = fraction, true
		}
	}
}

// HandleReport stores the demand of a VM and returns its shares of the organisations whose warm-up has passed.
func (s *Sharer) HandleReport(from string, r DemandReport) Shares {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	vms := s.peakSize(len(s.config.VMs()))
	answer := Shares{}
	for name, d := range r.Demand {
		k := s.demands[name]
		if k == nil {
			k = &organisationDemand{since: now, byVM: map[string]vmDemand{}}
			s.demands[name] = k
		}
		old := k.byVM[from]
		k.byVM[from] = vmDemand{amount: old.amount + demandSmoothing*(d.Requests-old.amount), reportedAt: now}
		total := k.total(now, expiryIntervals*s.config.Interval)
		if now.Sub(k.since) >= warmUpIntervals*s.config.Interval && total > 0 {
			answer[name] = evenPart/float64(vms) + (1-evenPart)*k.byVM[from].amount/total
		}
	}
	s.removeExpired(now)
	return answer
}

// total returns the demand at all VMs, and removes the VMs whose last report is older than maxAge.
func (k *organisationDemand) total(now time.Time, maxAge time.Duration) float64 {
	var sum float64
	for vm, d := range k.byVM {
		if now.Sub(d.reportedAt) > maxAge {
			delete(k.byVM, vm)
			continue
		}
		sum += d.amount
	}
	return sum
}

func (s *Sharer) removeExpired(now time.Time) {
	for name, k := range s.demands {
		if k.total(now, expiryIntervals*s.config.Interval) == 0 && len(k.byVM) == 0 {
			delete(s.demands, name)
		}
	}
}

// coordinator returns the VM that sets the shares of an organisation, by rendezvous hashing.
func coordinator(vms []string, organisation string) string {
	var best string
	var weight uint64
	for _, vm := range vms {
		if w := xxhash.Sum64String(vm + "/" + organisation); best == "" || w > weight {
			best, weight = vm, w
		}
	}
	return best
}
