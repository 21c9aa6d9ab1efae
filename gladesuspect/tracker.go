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

// ErrPoison means that a request is refused because backend servers died while they ran it.
var ErrPoison = eris.New("backend servers died under this request")

const (
	defaultMaxDeaths  = 2
	defaultRetention  = 15 * time.Minute
	defaultWindow     = time.Second
	defaultProgress   = 16
	defaultMassDeaths = 3
	maxRefused        = 1024
	// reportWindow is the time within which all VMs report the same death; a silent server is found down later than one
	// that closes its connections.
	reportWindow = 3 * time.Second
)

// Config configures a Tracker.
type Config struct {
	// MaxDeaths is the number of server deaths at which a request is refused; zero means 2.
	MaxDeaths int
	// Retention is the time for which deaths and refusals are kept; zero means 15 min.
	Retention time.Duration
	// Window is the time within which deaths count as simultaneous; zero means 1 s. A first refusal waits as long.
	Window time.Duration
	// Progress is the number of tokens after which a death no longer counts against the request; zero means 16.
	Progress int
	// MassDeaths is the number of other servers of a failure domain whose deaths in the same Window clear a request; zero
	// means 3.
	MassDeaths int
	// Servers returns all known servers. Before a refusal they are probed with Down to see whether a failure domain is
	// lost; nil means that none ever is.
	Servers func() []gladeapi.BackendServer
	// Down reports whether a server does not answer now; nil means that no failure domain is ever lost.
	Down func(context.Context, gladeapi.BackendServer) bool
	// OnRefused is called with each new refusal by this Tracker.
	OnRefused func(Refused)
	Log       hclog.Logger
}

// Refused is a refused request, identified by its fingerprint.
type Refused struct {
	Fingerprint uint64 `json:"fingerprint"`
	// Until is the time at which the refusal expires.
	Until time.Time `json:"until"`
	// Servers are the identifiers of the servers that died under the request.
	Servers []string `json:"servers"`
}

// Tracker holds the suspects and the refused requests. A nil Tracker suspects and refuses none.
type Tracker struct {
	config Config

	mu       sync.Mutex
	sequence uint64
	runs     map[string][]*TrackedRun
	// deaths are sorted by time.
	deaths          []*death
	deathsByRequest map[uint64][]*death
	refused         map[uint64]Refused
}

// death is the death of one server, with the requests that it ran.
type death struct {
	server   gladeapi.BackendServer
	at       time.Time
	sequence uint64
	requests map[uint64]bool
	// progressed are the requests whose run had more tokens than Config.Progress and is unlikely to be the cause.
	progressed map[uint64]bool
	// nearbyDeaths is the number of other deaths in the same failure domain within the window.
	nearbyDeaths int
}

// TrackedRun is one run of a request on one server.
type TrackedRun struct {
	tracker     *Tracker
	fingerprint uint64
	server      gladeapi.BackendServer
	sequence    uint64
	tokens      atomic.Int64
}

// New returns a Tracker.
func New(c Config) *Tracker {
	c.MaxDeaths = cmp.Or(c.MaxDeaths, defaultMaxDeaths)
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	c.Window = cmp.Or(c.Window, defaultWindow)
	c.Progress = cmp.Or(c.Progress, defaultProgress)
	c.MassDeaths = cmp.Or(c.MassDeaths, defaultMassDeaths)
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	return &Tracker{
		config:          c,
		runs:            map[string][]*TrackedRun{},
		deathsByRequest: map[uint64][]*death{},
		refused:         map[uint64]Refused{},
	}
}

// StartRun records that a request runs on a server, until End or ServerDied is called on the TrackedRun. It returns
// false if the request must not run with the suspects on that server. With isolate, it also returns false for a suspect
// if the server runs any other suspect.
func (t *Tracker) StartRun(fingerprint uint64, server gladeapi.BackendServer, isolate bool) (*TrackedRun, bool) {
	if t == nil || fingerprint == 0 {
		return nil, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mustSeparate(server.ID, fingerprint) {
		return nil, false
	}
	if isolate && t.countedDeaths(fingerprint) > 0 && t.runsSuspect(server.ID, fingerprint) {
		return nil, false
	}
	return t.addRun(fingerprint, server), true
}

// RecordRun is StartRun for a request that runs on the server beside any suspects.
func (t *Tracker) RecordRun(fingerprint uint64, server gladeapi.BackendServer) *TrackedRun {
	if t == nil || fingerprint == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addRun(fingerprint, server)
}

func (t *Tracker) addRun(fingerprint uint64, server gladeapi.BackendServer) *TrackedRun {
	t.sequence++
	v := &TrackedRun{tracker: t, fingerprint: fingerprint, server: server, sequence: t.sequence}
	t.runs[server.ID] = append(t.runs[server.ID], v)
	return v
}

// Progress records the number of tokens that the run has generated.
func (v *TrackedRun) Progress(tokens int) {
	if v != nil {
		v.tokens.Store(int64(tokens))
	}
}

// End records the end of a run. If it finished, earlier deaths no longer count against the request.
func (v *TrackedRun) End(finished bool) {
	if v == nil {
		return
	}
	t := v.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeRun(v)
	if finished {
		t.clearRequest(v.fingerprint)
	}
}

// ServerDied records that the server died while it ran the request.
func (v *TrackedRun) ServerDied() {
	if v == nil {
		return
	}
	t := v.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeRun(v)
	t.expire()
	d := t.deathDuring(v)
	if d == nil {
		d = t.newDeath(v.server)
	}
	t.addToDeath(d, v)
}

// ServerDiedElsewhere records that a server died while it ran a request of another VM. The reports about all requests on
// the server are one death.
func (t *Tracker) ServerDiedElsewhere(fingerprint uint64, server gladeapi.BackendServer) {
	if t == nil || fingerprint == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	d := t.recentDeath(server)
	if d == nil {
		d = t.newDeath(server)
	}
	t.addToDeath(d, &TrackedRun{tracker: t, fingerprint: fingerprint, server: server})
}

// recentDeath returns the death of a server that other VMs may still report, or nil.
func (t *Tracker) recentDeath(server gladeapi.BackendServer) *death {
	for _, d := range slices.Backward(t.deaths) {
		if time.Since(d.at) > reportWindow {
			break
		}
		if d.server.ID == server.ID && d.server.Incarnation == server.Incarnation {
			return d
		}
	}
	return nil
}

func (t *Tracker) removeRun(v *TrackedRun) {
	remaining := slices.DeleteFunc(slices.Clone(t.runs[v.server.ID]), func(o *TrackedRun) bool { return o == v })
	if len(remaining) == 0 {
		delete(t.runs, v.server.ID)
		return
	}
	t.runs[v.server.ID] = remaining
}

// deathDuring returns the recorded death of a run's server after the run began, or nil.
func (t *Tracker) deathDuring(v *TrackedRun) *death {
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
			o.nearbyDeaths++
			d.nearbyDeaths++
		}
	}
	t.deaths = append(t.deaths, d)
	for _, o := range t.runs[server.ID] {
		t.addToDeath(d, o)
	}
	t.config.Log.Warn("Server died.", "server", server.ID, "domain", server.FailureDomain, "requests", len(d.requests),
		"nearby", d.nearbyDeaths)
	return d
}

func (t *Tracker) addToDeath(d *death, v *TrackedRun) {
	if d.requests[v.fingerprint] {
		return
	}
	d.requests[v.fingerprint] = true
	d.progressed[v.fingerprint] = v.tokens.Load() > int64(t.config.Progress)
	t.deathsByRequest[v.fingerprint] = append(t.deathsByRequest[v.fingerprint], d)
}

func (t *Tracker) clearRequest(fingerprint uint64) {
	if n := len(t.deathsByRequest[fingerprint]); n > 0 {
		t.config.Log.Info("Request no longer suspected.", "fingerprint", fingerprint, "deaths", n)
	}
	for _, d := range t.deathsByRequest[fingerprint] {
		delete(d.requests, fingerprint)
	}
	delete(t.deathsByRequest, fingerprint)
}

// expire removes the deaths that are older than the retention, and the refusals that have ended.
func (t *Tracker) expire() {
	now := time.Now()
	for len(t.deaths) > 0 && now.Sub(t.deaths[0].at) > t.config.Retention {
		t.withdrawDeath(t.deaths[0])
		t.deaths = t.deaths[1:]
	}
	for fingerprint, r := range t.refused {
		if now.After(r.Until) {
			delete(t.refused, fingerprint)
		}
	}
}

// withdrawDeath removes a death from all requests that ran on the server.
func (t *Tracker) withdrawDeath(d *death) {
	for fingerprint := range d.requests {
		remaining := slices.DeleteFunc(slices.Clone(t.deathsByRequest[fingerprint]), func(o *death) bool { return o == d })
		if len(remaining) == 0 {
			delete(t.deathsByRequest, fingerprint)
			continue
		}
		t.deathsByRequest[fingerprint] = remaining
	}
	clear(d.requests)
}
