package gladesuspect

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// ErrPoison means that a request is refused because backend servers died under it.
var ErrPoison = eris.New("backend servers died under this request")

const (
	defaultMaxKills   = 2
	defaultMemory     = 15 * time.Minute
	defaultWindow     = time.Second
	defaultProgress   = 16
	defaultMassDeaths = 3
	maxRefused        = 1024
)

// Config configures a Tracker.
type Config struct {
	// MaxKills is the number of servers that may die under a request; zero means 2.
	MaxKills int
	// Memory is how long deaths and refusals are remembered; zero means 15 minutes.
	Memory time.Duration
	// Window is the time within which deaths belong together, and the wait before a verdict; zero means 1 s.
	Window time.Duration
	// Progress is the number of tokens after which a run no longer speaks against its request; zero means 16.
	Progress int
	// MassDeaths is the number of other servers of a failure domain whose death in a Window acquits; zero means 3.
	MassDeaths int
	// Servers are all known servers and Down reports whether one does not answer now.  Before a refusal they show
	// whether a failure domain is lost; nil says that none ever is.
	Servers func() []gladeapi.BackendServer
	Down    func(context.Context, gladeapi.BackendServer) bool
	// OnRefused is called with each new refusal of this Tracker.
	OnRefused func(Refused)
	Log       hclog.Logger
}

// Refused is a request that is refused until a time, by its fingerprint.
type Refused struct {
	Fingerprint uint64    `json:"fingerprint"`
	Until       time.Time `json:"until"`
	// Servers are the identifiers of the servers that died.
	Servers []string `json:"servers"`
}

// Tracker holds the suspects and the refused requests; a nil Tracker suspects none.
type Tracker struct {
	config Config

	mu       sync.Mutex
	sequence uint64
	visits   map[string][]*Visit
	// deaths are in the order of their times.
	deaths  []*death
	blamed  map[uint64][]*death
	refused map[uint64]Refused
}

// death is the end of one server and the requests that it ran.
type death struct {
	server   gladeapi.BackendServer
	at       time.Time
	sequence uint64
	requests map[uint64]bool
	// progressed are those of them whose run had come so far that it hardly killed the server.
	progressed map[uint64]bool
	// near is the number of deaths in the same failure domain within the window, without this one.
	near int
}

// Visit is one run of a request on one server.
type Visit struct {
	tracker     *Tracker
	fingerprint uint64
	server      gladeapi.BackendServer
	sequence    uint64
	tokens      atomic.Int64
}

// New returns a Tracker.
func New(c Config) *Tracker {
	c.MaxKills = cmp.Or(c.MaxKills, defaultMaxKills)
	c.Memory = cmp.Or(c.Memory, defaultMemory)
	c.Window = cmp.Or(c.Window, defaultWindow)
	c.Progress = cmp.Or(c.Progress, defaultProgress)
	c.MassDeaths = cmp.Or(c.MassDeaths, defaultMassDeaths)
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	return &Tracker{
		config:  c,
		visits:  map[string][]*Visit{},
		blamed:  map[uint64][]*death{},
		refused: map[uint64]Refused{},
	}
}

// Enter notes that a request runs on a server until Leave or Died is called, unless suspects must be kept apart
// there; with apart it also fails where a suspect would join a suspect that need not be alone.
func (t *Tracker) Enter(fingerprint uint64, server gladeapi.BackendServer, apart bool) (*Visit, bool) {
	if t == nil || fingerprint == 0 {
		return nil, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.collides(server.ID, fingerprint) {
		return nil, false
	}
	if apart && t.level(fingerprint) > 0 && t.runsSuspect(server.ID, fingerprint) {
		return nil, false
	}
	t.sequence++
	v := &Visit{tracker: t, fingerprint: fingerprint, server: server, sequence: t.sequence}
	t.visits[server.ID] = append(t.visits[server.ID], v)
	return v, true
}

// Progress notes how many tokens the run has given.
func (v *Visit) Progress(tokens int) {
	if v != nil {
		v.tokens.Store(int64(tokens))
	}
}

// Leave notes the end of a run; finished acquits the request of all deaths.
func (v *Visit) Leave(finished bool) {
	if v == nil {
		return
	}
	t := v.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(v)
	if finished {
		t.acquit(v.fingerprint)
	}
}

// Died notes that the server died while it ran the request.
func (v *Visit) Died() {
	if v == nil {
		return
	}
	t := v.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(v)
	t.expire()
	d := t.deathOf(v)
	if d == nil {
		d = t.newDeath(v.server)
	}
	t.blame(d, v)
}

// DiedElsewhere notes that a server died while it ran a request of another VM.
func (t *Tracker) DiedElsewhere(fingerprint uint64, server gladeapi.BackendServer) {
	if t == nil || fingerprint == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	for _, d := range t.deaths {
		if d.server.ID == server.ID && d.server.Incarnation == server.Incarnation && d.requests[fingerprint] {
			return
		}
	}
	t.blame(t.newDeath(server), &Visit{tracker: t, fingerprint: fingerprint, server: server})
}

func (t *Tracker) remove(v *Visit) {
	rest := slices.DeleteFunc(slices.Clone(t.visits[v.server.ID]), func(o *Visit) bool { return o == v })
	if len(rest) == 0 {
		delete(t.visits, v.server.ID)
		return
	}
	t.visits[v.server.ID] = rest
}

// deathOf returns the known death of a visit's server that came after the visit began.
func (t *Tracker) deathOf(v *Visit) *death {
	for _, d := range slices.Backward(t.deaths) {
		if d.server.ID == v.server.ID && d.sequence > v.sequence {
			return d
		}
	}
	return nil
}

func (t *Tracker) newDeath(server gladeapi.BackendServer) *death {
	t.sequence++
	d := &death{server: server, at: time.Now(), sequence: t.sequence, requests: map[uint64]bool{}, progressed: map[uint64]bool{}}
	for _, o := range slices.Backward(t.deaths) {
		if d.at.Sub(o.at) > t.config.Window {
			break
		}
		if o.server.FailureDomain == server.FailureDomain {
			o.near++
			d.near++
		}
	}
	t.deaths = append(t.deaths, d)
	for _, o := range t.visits[server.ID] {
		t.blame(d, o)
	}
	t.config.Log.Warn("Engine died.", "engine", server.ID, "requests", len(d.requests))
	return d
}

func (t *Tracker) blame(d *death, v *Visit) {
	if d.requests[v.fingerprint] {
		return
	}
	d.requests[v.fingerprint] = true
	d.progressed[v.fingerprint] = v.tokens.Load() > int64(t.config.Progress)
	t.blamed[v.fingerprint] = append(t.blamed[v.fingerprint], d)
}

func (t *Tracker) acquit(fingerprint uint64) {
	for _, d := range t.blamed[fingerprint] {
		delete(d.requests, fingerprint)
	}
	delete(t.blamed, fingerprint)
}

// expire forgets what is older than the memory.
func (t *Tracker) expire() {
	now := time.Now()
	for len(t.deaths) > 0 && now.Sub(t.deaths[0].at) > t.config.Memory {
		t.forget(t.deaths[0])
		t.deaths = t.deaths[1:]
	}
	for fingerprint, r := range t.refused {
		if now.After(r.Until) {
			delete(t.refused, fingerprint)
		}
	}
}

// forget takes a death from the requests that it is blamed on.
func (t *Tracker) forget(d *death) {
	for fingerprint := range d.requests {
		rest := slices.DeleteFunc(slices.Clone(t.blamed[fingerprint]), func(o *death) bool { return o == d })
		if len(rest) == 0 {
			delete(t.blamed, fingerprint)
			continue
		}
		t.blamed[fingerprint] = rest
	}
	clear(d.requests)
}
