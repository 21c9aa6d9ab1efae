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
)

// Config configures a Table.
type Config struct {
	// FailureDomain is where this VM is.
	FailureDomain string
}

// Table holds the known backend servers.
type Table struct {
	config Config

	mu       sync.Mutex
	servers  map[string]*entry
	services map[string][]*entry
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{config: c, servers: map[string]*entry{}, services: map[string][]*entry{}}
}

// Put takes in a listed server; a new life under an old identifier begins without the old one's failures.
func (t *Table) Put(s Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[s.ID]
	switch {
	case e == nil:
		e = &entry{Server: s, hash: xxhash.Sum64String(s.ID), down: make(chan struct{})}
		t.servers[s.ID] = e
	case s.Started < e.Started:
		return
	case s.Started > e.Started:
		e.outage, e.failures, e.faults = time.Time{}, 0, 0
	case e.Leaving:
		s.Leaving = true
	}
	e.Server = s
	e.gone = time.Time{}
	t.index()
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

// Listed returns the identifiers of the servers that the store lists.
func (t *Table) Listed() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]string, 0, len(t.servers))
	for id, e := range t.servers {
		if e.gone.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
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

// Heard notes that a server answered, sent or accepted something.
func (t *Table) Heard(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		e.recover(now)
	}
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
// It returns other servers of its failure domain that are in doubt, because several failed there at about the same time.
func (t *Table) Fail(id string, now time.Time) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil || e.out(now) && now.Sub(e.downAt) < firstOutage/2 {
		return nil
	}
	e.fail(now)
	failed := 0
	var doubtful []Server
	for _, o := range t.services[e.Service] {
		switch {
		case o.FailureDomain != e.FailureDomain:
		case now.Sub(o.downAt) < burstWindow:
			failed++
		case o.runs > 0 && o.gone.IsZero():
			doubtful = append(doubtful, o.Server)
		}
	}
	if failed < burstServers {
		return nil
	}
	return doubtful
}

// Out reports whether a server is unknown, gone, or was found down of late.
func (t *Table) Out(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	return e == nil || e.out(now) || !e.gone.IsZero() && now.After(e.gone)
}

// SetPeer takes in what another VM has on the servers; an empty map forgets it.
func (t *Table) SetPeer(vm string, shares map[string]Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.servers {
		s, ok := shares[id]
		if !ok {
			delete(e.peers, vm)
			continue
		}
		if e.peers == nil {
			e.peers = map[string]Share{}
		}
		e.peers[vm] = s
	}
}

// Shares returns what this VM has on the servers.
func (t *Table) Shares() map[string]Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares := map[string]Share{}
	for id, e := range t.servers {
		if e.runs > 0 || e.copies > 0 {
			shares[id] = Share{Runs: e.runs, Prompt: e.prompt, Copies: e.copies}
		}
	}
	return shares
}

// Status is what the table knows of one server.
type Status struct {
	Server
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
		all = append(all, Status{Server: e.Server, Runs: e.runs, Load: e.load(), Failures: e.failures, Outage: e.outage, Faults: e.faults})
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
