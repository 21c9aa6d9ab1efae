package gladefleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrNoServer means that no backend server can take the request.
var ErrNoServer = eris.New("no backend server can take the request")

const (
	// goneGrace is how long a server that the store no longer lists may still be chosen; well below the bound on
	// leaving servers, and long enough for entries that lapsed by mistake.
	goneGrace = 800 * time.Millisecond
	// burstWindow is the time within which failures in one failure domain belong together.
	burstWindow = 1200 * time.Millisecond
	// burstServers is the number of servers of a failure domain whose failures in burstWindow cast doubt on the rest.
	burstServers = 2
	// aliveFor is how long a server that was heard needs no probe.
	aliveFor = 100 * time.Millisecond
)

// Config configures a Table.
type Config struct {
	// FailureDomain is where this VM is.
	FailureDomain string
	// FailureDomains is the number of failure domains.
	FailureDomains int
}

// Table holds the known backend servers.
type Table struct {
	config Config

	mu       sync.Mutex
	servers  map[string]*entry
	services map[string][]*entry
	// domains holds the failures of late by failure domain.
	domains map[string]*domain
	// crashed is when a server failed last, herd when several did together, and speeds how many tokens servers read in a
	// second, by service.
	crashed, herd map[string]time.Time
	speeds        map[string]float64
	// wide tells that what other failure domains' VMs place is known in part and late.
	wide bool
}

// domain is what this VM knows of one service's servers in one failure domain.
type domain struct {
	// first and last are the times of the failures that belong together, count their number.
	first, last time.Time
	count       int
}

// doubtful reports whether so many servers failed of late that the others are doubted until they are heard.
func (d *domain) doubtful(now time.Time) bool {
	return d != nil && d.count >= burstServers && now.Sub(d.last) < burstWindow
}

// recent reports whether any server failed of late.
func (d *domain) recent(now time.Time) bool {
	return d != nil && now.Sub(d.last) < burstWindow
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{
		config: c, servers: map[string]*entry{}, services: map[string][]*entry{}, domains: map[string]*domain{},
		crashed: map[string]time.Time{}, herd: map[string]time.Time{}, speeds: map[string]float64{},
	}
}

// Put takes in a listed server and reports whether that changes anything.
//
// A new life under an old identifier begins without the old one's failures.
func (t *Table) Put(s Server, _ time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[s.ID]
	switch {
	case e == nil:
		e = &entry{Server: s, hash: xxhash.Sum64String(s.ID), down: make(chan struct{})}
		t.servers[s.ID] = e
	case s.Started < e.Started || e.Server == s && e.gone.IsZero():
		return false
	case s.Started > e.Started:
		e.failed, e.failures, e.faults, e.replaced = false, 0, 0, false
	case e.Leaving:
		s.Leaving = true
	}
	e.Server = s
	e.gone = time.Time{}
	for _, o := range t.servers {
		if o.Address == s.Address && o.ID != s.ID && o.Started < s.Started {
			t.replace(o)
		}
	}
	t.index()
	return true
}

// Replaced notes that another server has a server's address.
func (t *Table) Replaced(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		t.replace(e)
	}
}

func (t *Table) replace(e *entry) {
	if !e.replaced {
		e.replaced = true
		close(e.down)
		e.down = make(chan struct{})
	}
}

// Remove notes that the store no longer lists a server; grace is added to the time for which it may be a mistake.
func (t *Table) Remove(id string, now time.Time, grace time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil && e.gone.IsZero() {
		e.gone = now.Add(goneGrace + grace)
		t.index()
	}
}

// lapsedShare is the share of a service's servers that a new list must still have to be taken at its word.
const lapsedShare = 0.5

// Lapsed returns the services of which a new list has so few servers left that their entries may have expired while
// the store was away; a replaced server does not count, since another stands for it.
func Lapsed(before []Status, listed []Server) map[string]bool {
	old, left := map[string]int{}, map[string]int{}
	for _, s := range before {
		if s.Listed {
			old[s.Service]++
		}
	}
	for _, s := range listed {
		left[s.Service]++
	}
	lapsed := map[string]bool{}
	for service, n := range old {
		lapsed[service] = float64(left[service]) < lapsedShare*float64(n)
	}
	return lapsed
}

// index rebuilds the servers by service, in the order of their identifiers.
func (t *Table) index() {
	clear(t.services)
	for _, e := range t.servers {
		t.services[e.Service] = append(t.services[e.Service], e)
	}
	for _, list := range t.services {
		slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Heard notes that a server answered, sent or accepted something, and reports whether it was thought to be down.
func (t *Table) Heard(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	return e != nil && e.recover(now)
}

// Quiet returns how long a server has been silent to this VM.
func (t *Table) Quiet(id string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		return now.Sub(e.heard)
	}
	return 0
}

// Outcome notes whether a request ended well on a server that answered.
func (t *Table) Outcome(id string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		e.outcome(failed)
	}
}

// Fail notes that a server is down.
//
// It reports whether that is new, and returns other servers of its failure domain that are in doubt, because several
// failed there at about the same time.
func (t *Table) Fail(id string, now time.Time) (fresh bool, doubtful []Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil || e.failed && now.Before(e.outage) {
		return false, nil
	}
	again := e.failed
	e.fail(now)
	if again {
		return false, nil
	}
	d := t.domains[e.Service+e.FailureDomain]
	if !d.recent(now) {
		d = &domain{first: now}
		t.domains[e.Service+e.FailureDomain] = d
	}
	d.last = now
	d.count++
	t.crashed[e.Service] = now
	if !d.doubtful(now) {
		return true, nil
	}
	t.herd[e.Service] = now
	for _, o := range t.services[e.Service] {
		if o.FailureDomain == e.FailureDomain && o.runs > 0 && !o.failed && !o.replaced && o.heard.Before(now.Add(-aliveFor)) {
			doubtful = append(doubtful, o.Server)
		}
	}
	return true, doubtful
}

// Due returns the servers that failed and should be tried again; it defers their next trial.
func (t *Table) Due(now time.Time) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Server
	for _, e := range t.servers {
		if e.due(now) && e.open(now) && !e.replaced {
			e.outage = now.Add(firstOutage) // the trial's outcome sets it anew
			due = append(due, e.Server)
		}
	}
	return due
}

// Out reports whether a server is unknown, gone, replaced, or was found down of late.
func (t *Table) Out(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	return e == nil || e.failed || e.replaced || !e.gone.IsZero() && now.After(e.gone)
}

// Doubtful reports whether servers beside a server failed at about the same time.
func (t *Table) Doubtful(s Server, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.domains[s.Service+s.FailureDomain].doubtful(now)
}

// out reports whether a server is thought to be down, because of its own failure or of its failure domain's.
func (t *Table) out(e *entry, now time.Time) bool {
	if e.failed {
		return true
	}
	d := t.domains[e.Service+e.FailureDomain]
	return d.doubtful(now) && e.heard.Before(d.first)
}

// SetPeer takes in what another VM has on the servers; an empty map forgets it.
func (t *Table) SetPeer(vm string, shares map[string]Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.servers {
		e.setPeer(vm, shares[id])
	}
}

// ChangePeer takes in what has changed of what another VM has on the servers.
func (t *Table) ChangePeer(vm string, shares map[string]Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range shares {
		if e := t.servers[id]; e != nil {
			e.setPeer(vm, s)
		}
	}
}

// Shares returns what this VM has on the servers.
func (t *Table) Shares() map[string]Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares := map[string]Share{}
	for id, e := range t.servers {
		if e.runs > 0 || e.copies > 0 {
			shares[id] = Share{Runs: e.runs, Prompt: e.prompt, Memory: e.memory, Copies: e.copies}
		}
	}
	return shares
}

// Status is what the table knows of one server.
type Status struct {
	Server
	// Listed tells that the store lists the server.
	Listed   bool      `json:"listed"`
	Runs     int       `json:"runs"`
	Load     float64   `json:"load"`
	Failures int       `json:"failures"`
	Outage   time.Time `json:"outage"`
	Faults   float64   `json:"faults"`
}

// Statuses returns what the table knows of all servers, by identifier.
func (t *Table) Statuses() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Status, 0, len(t.servers))
	for _, e := range t.servers {
		all = append(all, Status{Server: e.Server, Listed: e.gone.IsZero(), Runs: e.runs, Load: e.load(), Failures: e.failures, Outage: e.outage, Faults: e.faults})
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
