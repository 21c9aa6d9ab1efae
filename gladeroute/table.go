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

// ErrNoBackend means that no backend server of the pool can run the request now.
var ErrNoBackend = eris.New("no backend server available")

const (
	// loadBoundFactor times the mean load bounds the load of a server that is chosen for a prefix.
	loadBoundFactor        = 1.25
	defaultAffinityBlocks  = 4
	defaultAffinityFloor   = 8
	defaultSpill           = 4
	defaultReportAge       = 5 * time.Second
	defaultReportWeight    = 0.25
	maxTrackedIncarnations = 4096
)

// Table holds the known backend servers and their loads. Its zero value is empty and has the default settings.
type Table struct {
	// Random returns a random number from 0 up to but not including n; nil means that of math/rand.
	Random func(n int) int
	// FailureDomain is the failure domain of this VM, whose servers are preferred.
	FailureDomain string
	// AffinityBlocks is the number of leading blocks whose hash selects a server; zero means 4.
	AffinityBlocks int
	// AffinityFloor is the load up to which a server is chosen for its prefixes even if the others are idle; zero means 8.
	AffinityFloor float64
	// Spill is the excess in mean load over the other failure domains above which they are used too; zero means 4.
	Spill float64
	// ReportAge is the age from which a load report is ignored; zero means 5 s.
	ReportAge time.Duration
	// ReportWeight is the load of a request that another VM runs; one of this VM counts 1. Zero means 0.25.
	ReportWeight float64
	// LeastLoaded selects the least loaded server, of equals the first by identifier, instead of the less loaded of two
	// random ones. Several VMs with the same reports then all choose the same server.
	LeastLoaded bool
	// Check records a choice of a leaving server as a broken invariant.
	Check *gladecheck.Checker

	mu      sync.Mutex
	servers map[string]*server
	pools   map[string][]*server
	// replaced holds the incarnations that were replaced by another one.
	replaced *lru.Cache[incarnationKey, struct{}]
	// leaving holds the incarnations that were reported as leaving.
	leaving *lru.Cache[incarnationKey, struct{}]
}

type incarnationKey struct {
	id, incarnation string
}

func (t *Table) affinityBlocks() int      { return cmp.Or(t.AffinityBlocks, defaultAffinityBlocks) }
func (t *Table) affinityFloor() float64   { return cmp.Or(t.AffinityFloor, defaultAffinityFloor) }
func (t *Table) spill() float64           { return cmp.Or(t.Spill, defaultSpill) }
func (t *Table) reportWeight() float64    { return cmp.Or(t.ReportWeight, defaultReportWeight) }
func (t *Table) reportAge() time.Duration { return cmp.Or(t.ReportAge, defaultReportAge) }

// SetServers replaces the known backend servers. An incarnation that was once leaving stays so, and one that was
// replaced does not come back.
func (t *Table) SetServers(backends []gladeapi.BackendServer) {
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
	if t.replaced == nil {
		t.replaced, _ = lru.New[incarnationKey, struct{}](maxTrackedIncarnations)
		t.leaving, _ = lru.New[incarnationKey, struct{}](maxTrackedIncarnations)
	}
}

func (t *Table) update(b gladeapi.BackendServer) *server {
	key := incarnationKey{b.ID, b.Incarnation}
	s := t.servers[b.ID]
	switch {
	case s != nil && s.backend.Incarnation != b.Incarnation && t.replaced.Contains(key):
		return s
	case s != nil && s.backend.Incarnation != b.Incarnation:
		t.replaced.Add(incarnationKey{b.ID, s.backend.Incarnation}, struct{}{})
		s = nil
	}
	if s == nil {
		s = &server{hash: xxhash.Sum64String(b.ID), local: b.FailureDomain == t.FailureDomain}
	}
	if b.Leaving {
		t.leaving.Add(key, struct{}{})
	}
	b.Leaving = t.leaving.Contains(key)
	s.backend = b
	return s
}

// Incarnation identifies one lifetime of a backend server, from its start to its end.
type Incarnation struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
}

// SetLeaving marks incarnations as leaving that another source than the server list reported.
func (t *Table) SetLeaving(incarnations []Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	for _, l := range incarnations {
		t.leaving.Add(incarnationKey{l.ID, l.Incarnation}, struct{}{})
		if s := t.servers[l.ID]; s != nil && s.backend.Incarnation == l.Incarnation {
			s.backend.Leaving = true
		}
	}
}

// Leaving returns the incarnations of known servers that are leaving.
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

// UpdateLoad stores a load report that was made age ago, unless it is of an unknown server or of another incarnation.
func (t *Table) UpdateLoad(r gladeapi.LoadReport, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[r.Backend]
	if s == nil || r.Incarnation != "" && r.Incarnation != s.backend.Incarnation {
		return
	}
	s.setReport(&r, time.Now().Add(-age))
}

// BackOff keeps requests away from a backend server for some time from now on. It ignores the request of another incarnation than
// the known one.
func (t *Table) BackOff(b gladeapi.BackendServer, lasts time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[b.ID]
	if until := time.Now().Add(lasts); s != nil && s.backend.Incarnation == b.Incarnation && until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// Choose selects a backend server of a pool and counts the request on it until the Choice is released.
func (t *Table) Choose(pool string, n gladeapi.Requirements) (gladeapi.Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	s, reason := t.choose(t.pools[pool], &n, now)
	if s == nil {
		return gladeapi.Choice{}, eris.Wrapf(ErrNoBackend, "pool %q", pool)
	}
	if s.backend.Leaving {
		t.Check.That(false, gladecheck.LeavingGetsNoWork, "leaving backend server %s was chosen", s.backend.ID)
	}
	s.start(&n, now)
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

// Backends returns all known backend servers, sorted by identifier.
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

// Status is a table's state of one backend server.
type Status struct {
	gladeapi.BackendServer
	InFlight int `json:"inFlight"`
	// OtherVMLoad is the load of other VMs in the last report, at the time of that report.
	OtherVMLoad float64 `json:"others"`
	// ReportedAt is the time at which the last load report was made.
	ReportedAt time.Time `json:"heard,omitzero"`
	// Failures is the number of failures in a row.
	Failures int `json:"failures,omitempty"`
	// QuarantineEnd is the time at which the quarantine ends.
	QuarantineEnd time.Time `json:"quarantine,omitzero"`
	Targets       []string  `json:"targets,omitempty"`
}

// Statuses returns the state of all known backend servers, sorted by identifier.
func (t *Table) Statuses() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Status, 0, len(t.servers))
	for _, s := range t.servers {
		x := Status{
			BackendServer: s.backend, InFlight: s.inFlight, OtherVMLoad: s.otherVMLoad, ReportedAt: s.reportedAt,
			Failures: s.failures, QuarantineEnd: s.quarantineEnd,
		}
		for _, target := range s.targets {
			x.Targets = append(x.Targets, target.String())
		}
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
