package gladeroute

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
)

// ErrNoBackend means that no backend server can take the request now.
var ErrNoBackend = eris.New("no backend server available")

const (
	boundFactor           = 1.25
	defaultAffinityBlocks = 4
	defaultAffinityFloor  = 8
	defaultSpill          = 4
	defaultReportAge      = 5 * time.Second
	defaultReportWeight   = 0.25
	maxIncarnations       = 4096
)

// Table holds the known backend servers and what this VM runs on each; its zero value is empty.
type Table struct {
	// FailureDomain is where this VM is, which is preferred.
	FailureDomain string
	// AffinityBlocks is the number of leading blocks that pick a server; zero means 4.
	AffinityBlocks int
	// AffinityFloor is the load up to which a server takes its prefixes whatever the others hold; zero means 8.
	AffinityFloor float64
	// Spill is the mean load by which the own failure domain must exceed the others to use them; zero means 4.
	Spill float64
	// ReportAge is the age at which a load report counts for nothing; zero means 5 s.
	ReportAge time.Duration
	// ReportWeight is what a request that another VM runs counts, against one of this VM; zero means a quarter.
	ReportWeight float64
	// LeastLoaded takes the least loaded of all servers, the first by identifier, instead of the less loaded of two
	// random ones; several VMs with the same reports would all choose alike.
	LeastLoaded bool
	Check       *gladecheck.Checker

	mu      sync.Mutex
	servers map[string]*server
	pools   map[string][]*server
	// past are the incarnations that were replaced, left those that were leaving.
	past, left *lru.Cache[incarnation, struct{}]
}

type incarnation struct {
	id, incarnation string
}

func (t *Table) affinityBlocks() int      { return cmp.Or(t.AffinityBlocks, defaultAffinityBlocks) }
func (t *Table) floor() float64           { return cmp.Or(t.AffinityFloor, defaultAffinityFloor) }
func (t *Table) spill() float64           { return cmp.Or(t.Spill, defaultSpill) }
func (t *Table) reportWeight() float64    { return cmp.Or(t.ReportWeight, defaultReportWeight) }
func (t *Table) reportAge() time.Duration { return cmp.Or(t.ReportAge, defaultReportAge) }

// Set replaces the known backend servers; leaving is sticky for an incarnation, and a replaced one never comes back.
func (t *Table) Set(backends []gladeapi.BackendServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	next := make(map[string]*server, len(backends))
	for _, b := range backends {
		next[b.ID] = t.update(b)
	}
	t.servers = next
	t.pools = map[string][]*server{}
	for _, s := range next {
		t.pools[s.backend.Pool] = append(t.pools[s.backend.Pool], s)
	}
	for _, pool := range t.pools {
		slices.SortFunc(pool, func(a, b *server) int { return cmp.Compare(a.backend.ID, b.backend.ID) })
	}
}

func (t *Table) init() {
	if t.past == nil {
		t.past, _ = lru.New[incarnation, struct{}](maxIncarnations)
		t.left, _ = lru.New[incarnation, struct{}](maxIncarnations)
	}
}

func (t *Table) update(b gladeapi.BackendServer) *server {
	key := incarnation{b.ID, b.Incarnation}
	s := t.servers[b.ID]
	switch {
	case s != nil && s.backend.Incarnation != b.Incarnation && t.past.Contains(key):
		return s
	case s != nil && s.backend.Incarnation != b.Incarnation:
		t.past.Add(incarnation{b.ID, s.backend.Incarnation}, struct{}{})
		s = nil
	}
	if s == nil {
		s = &server{hash: xxhash.Sum64String(b.ID), near: b.FailureDomain == t.FailureDomain}
	}
	if b.Leaving {
		t.left.Add(key, struct{}{})
	}
	b.Leaving = t.left.Contains(key)
	s.backend = b
	return s
}

// Incarnation names one life of a backend server.
type Incarnation struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
}

// SetLeaving marks incarnations that another source knows to leave.
func (t *Table) SetLeaving(leaving []Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	for _, l := range leaving {
		t.left.Add(incarnation{l.ID, l.Incarnation}, struct{}{})
		if s := t.servers[l.ID]; s != nil && s.backend.Incarnation == l.Incarnation {
			s.backend.Leaving = true
		}
	}
}

// Leaving returns the known incarnations that are leaving.
func (t *Table) Leaving() []Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var leaving []Incarnation
	for _, s := range t.servers {
		if s.backend.Leaving {
			leaving = append(leaving, Incarnation{ID: s.backend.ID, Incarnation: s.backend.Incarnation})
		}
	}
	return leaving
}

// Learn takes in a load report that is age old.
func (t *Table) Learn(r gladeapi.LoadReport, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[r.Backend]
	if s == nil || r.Incarnation != "" && r.Incarnation != s.backend.Incarnation {
		return
	}
	s.learn(&r, time.Now().Add(-age))
}

// Choose picks the backend server of a pool for a need.
func (t *Table) Choose(pool string, n gladeapi.Need) (gladeapi.Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	s, reason := t.pick(t.pools[pool], &n, now)
	if s == nil {
		return gladeapi.Choice{}, eris.Wrapf(ErrNoBackend, "pool %q", pool)
	}
	if s.backend.Leaving {
		t.Check.That(false, gladecheck.LeavingGetsNoWork, "%s was chosen", s.backend.ID)
	}
	s.take(&n, now)
	isolated := n.Isolate
	return gladeapi.Choice{
		Backend: s.backend,
		Reason:  reason,
		Release: func(o gladeapi.Outcome) { t.release(s, o, isolated) },
	}, nil
}

func (t *Table) release(s *server, o gladeapi.Outcome, isolated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.release(o, isolated, time.Now())
}

// Backends returns all known backend servers, by identifier.
func (t *Table) Backends() []gladeapi.BackendServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]gladeapi.BackendServer, 0, len(t.servers))
	for _, s := range t.servers {
		all = append(all, s.backend)
	}
	slices.SortFunc(all, func(a, b gladeapi.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Status is what the table knows of one backend server.
type Status struct {
	gladeapi.BackendServer
	InFlight   int       `json:"inFlight"`
	Others     float64   `json:"others"`
	Heard      time.Time `json:"heard,omitzero"`
	Failures   int       `json:"failures,omitempty"`
	Quarantine time.Time `json:"quarantine,omitzero"`
	Targets    []string  `json:"targets,omitempty"`
}

// Statuses returns what the table knows of all backend servers, by identifier.
func (t *Table) Statuses() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Status, 0, len(t.servers))
	for _, s := range t.servers {
		x := Status{
			BackendServer: s.backend, InFlight: s.inFlight, Others: s.others, Heard: s.heard,
			Failures: s.failures, Quarantine: s.until,
		}
		for _, target := range s.targets {
			x.Targets = append(x.Targets, target.String())
		}
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
