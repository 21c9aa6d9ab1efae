package gladerollout

import (
	"sync"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

// Selector decides for each request which versions it may use. Its methods are safe for concurrent use.
type Selector struct {
	random func() float64

	mu     sync.Mutex
	orders map[string]*order // by service
	inUse  map[string]string // the version in use, by service
	phases map[phaseKey]float64
}

// order is the known order of a service.
type order struct {
	Rollout
	current bool
	// stopped holds from the decider's notice on until the status is final or another order comes.
	stopped bool
	// completed is the target of the last completed order, and from the only old version that the last status named.
	completed, from string
	// withdrawn reports that an earlier order's target was reverted, or replaced before it was complete, so that its servers may
	// still be listed.
	withdrawn bool
}

// phaseKey names an accumulator.
type phaseKey struct{ service, route string }

// NewSelector returns a selector without roll-outs. The random numbers, from 0 to 1, are the initial phases.
func NewSelector(random func() float64) *Selector {
	return &Selector{random: random, orders: map[string]*order{}, inUse: map[string]string{}, phases: map[phaseKey]float64{}}
}

// Set replaces the known roll-outs. Current reports that they were confirmed recently. A roll-out that is older than the
// known one of its service is ignored.
func (s *Selector) Set(rollouts []Rollout, current bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	orders := make(map[string]*order, len(rollouts))
	for _, r := range rollouts {
		known := s.orders[r.Service]
		if known != nil && r.Revision < known.Revision {
			r = known.Rollout
		}
		orders[r.Service] = nextOrder(known, r, current, s.inUse[r.Service])
	}
	s.orders = orders
	for k := range s.phases {
		if orders[k.service] == nil {
			delete(s.phases, k)
		}
	}
}

// SetInUse records the version of all servers of a service at the time when its first order was seen. An order for that version is no
// trial: no other version could take the requests.
func (s *Selector) SetInUse(service, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[service] = version
}

// nextOrder returns what is known of a service's order after a roll-out was read. The version in use may be empty.
func nextOrder(known *order, r Rollout, current bool, inUse string) *order {
	o := &order{Rollout: r, current: current}
	if known != nil {
		o.completed, o.from, o.withdrawn = known.completed, known.from, known.withdrawn
		if known.Target != r.Target {
			o.withdrawn = known.withdrawn || known.stopped || known.statusApplies() && known.Status.State != Complete
		}
		o.stopped = known.stopped && known.Target == r.Target && known.Duration == r.Duration && r.Pending()
	}
	switch {
	case r.Status.From != "":
		o.from = r.Status.From
	case o.from == "" && r.Status.Target == "":
		o.from = inUse
	}
	switch r.Status.State {
	case Complete:
		o.completed, o.from, o.withdrawn = r.Status.Target, r.Status.Target, false
	case Reverted, InProgress:
		o.withdrawn = o.withdrawn || r.Status.Withdrawn != "" || r.Status.Target != r.Target
	}
	return o
}

// Stop ends the use of a target, as the decider's notice says. It holds until the order's status is final.
func (s *Selector) Stop(service, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.orders[service]; o != nil && o.Target == target && o.Pending() {
		o.stopped = true
	}
}

// Choose returns the versions that a request may use. Repeat marks repeats, second sends and resumed runs, which stay
// with the old version while only a share of the requests goes to the target.
func (s *Selector) Choose(service, route string, repeat bool) gladefleet.VersionRule {
	return s.rule(service, route, repeat, s.advance)
}

// Peek returns the rule that Choose would return next and does not count the request. Before the first request of a route, whose
// phase is random, it takes the middle of the phases.
func (s *Selector) Peek(service, route string, repeat bool) gladefleet.VersionRule {
	return s.rule(service, route, repeat, func(k phaseKey, share float64) bool {
		phase, ok := s.phases[k]
		if !ok {
			phase = middlePhase
		}
		return phase+min(share, 1) >= 1
	})
}

// middlePhase is the middle of the initial phases, which are random from 0 to 1.
const middlePhase = 0.5

// rule returns the versions that a request may use; isTarget decides whether one that counts for the share goes to the target.
func (s *Selector) rule(service, route string, repeat bool, isTarget func(phaseKey, float64) bool) gladefleet.VersionRule {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.orders[service]
	if o == nil {
		return gladefleet.VersionRule{}
	}
	share, all := o.share(route)
	switch {
	case all:
		return gladefleet.VersionRule{Only: o.Target, Fallback: true}
	case !repeat && share > 0 && isTarget(phaseKey{service, route}, share):
		return gladefleet.VersionRule{Only: o.Target, Fallback: true, Concentrate: o.Status.Concentrate}
	}
	return o.oldOnly()
}

// Uses reports whether requests on a route are still meant for a version that Choose has named.
func (s *Selector) Uses(service, route, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.orders[service]
	if o == nil || o.Target != version {
		return false
	}
	share, _ := o.share(route)
	return share > 0
}

// oldOnly returns the rule of a request for the old version.
func (o *order) oldOnly() gladefleet.VersionRule {
	switch {
	case o.withdrawn && o.from != "" && o.from != o.Target:
		return gladefleet.VersionRule{Only: o.from} // servers of the earlier order's target may still be listed
	case o.completed == o.Target || o.from == o.Target:
		// An order for the version in use, or for one that a stop did not reach in time: no other may be left.
		return gladefleet.VersionRule{Only: o.Target, Fallback: !o.withdrawn}
	}
	return gladefleet.VersionRule{Except: o.Target}
}

// share returns the fraction of a route's requests that are meant for the target, and whether that is all requests of the
// service, repeats included.
func (o *order) share(route string) (share float64, all bool) {
	switch {
	case o.stopped || !o.statusApplies():
		return 0, false
	case o.Status.State == Complete || o.Status.State == InProgress && o.Status.Share >= 1:
		return 1, true
	case o.Status.State != InProgress || !o.current:
		return 0, false
	}
	if share, ok := o.Status.RouteShares[route]; ok {
		return share, false
	}
	return o.Status.Share, false
}

// advance adds a share to an accumulator and reports whether it passed a whole number. With random initial phases, the
// requests that many VMs choose add up to the share with little variance, although the VMs exchange nothing.
func (s *Selector) advance(k phaseKey, share float64) bool {
	phase, ok := s.phases[k]
	if !ok {
		phase = s.random()
	}
	phase += min(share, 1)
	s.phases[k] = phase - float64(int(phase))
	return phase >= 1
}
