package gladesuspect

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	lru "github.com/hashicorp/golang-lru/v2"
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
	// successWindow is how long a success shows a request to be harmless: one that crashes its servers never finishes.
	successWindow = 10 * time.Second
	// maxSuccesses is the number of requests whose last success is remembered.
	maxSuccesses = 1024
)

// Config configures a Tracker.
type Config struct {
	// MaxDeaths is the number of server deaths at which a request is refused; zero means 2.
	MaxDeaths int
	// Retention is the time for which deaths and refusals are kept; zero means 15 min.
	Retention time.Duration
	// Window is the time within which deaths count as simultaneous; zero means 1 s. A first refusal waits as long.
	Window time.Duration
	// MinGap is the time between two deaths from which the second one may have followed from a retry of the first; servers that
	// are lost together die within less. Zero means no time.
	MinGap time.Duration
	// Progress is the number of tokens, or of what else TrackedRun.Progress is told, after which a death no longer counts against
	// the request; zero means 16.
	Progress int
	// MassDeaths is the number of other servers of a failure domain whose deaths in the same Window clear a request; zero
	// means 3.
	MassDeaths int
	// Servers returns all known servers. Before a refusal they are probed with Down to see whether a failure domain is
	// lost; nil means that none ever is.
	Servers func() []gladeapi.BackendServer
	// Down reports whether a server does not answer now; nil means that no failure domain is ever lost.
	Down func(context.Context, gladeapi.BackendServer) bool
	// OnRefused is called in a goroutine of its own with each new refusal by this Tracker.
	OnRefused func(Refused)
	// OnHeld is called in a goroutine of its own with each set of parts that this Tracker holds, and with each trial that it starts.
	OnHeld func(HeldParts)
	// OnAnswered is called in a goroutine of its own with the parts of answered requests that are suspected here.
	OnAnswered func([]PartAnswer)
	// OnCleared is called in a goroutine of its own when a run of this Tracker has cleared a suspected request.
	OnCleared func(fingerprint uint64)
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
	// successes are the times of the last successes, by request.
	successes *lru.Cache[uint64, time.Time]
	parts     partLog
}

// Request is what a Tracker knows of a request.
type Request struct {
	// Fingerprint is equal for repeats of the request; zero means that it is not tracked.
	Fingerprint uint64
	// Parts identify what the request shares with others, such as the parts of its prompt.
	Parts []uint64
	// Resumed reports that a run goes on from an earlier answer, so that its progress is no evidence that an answer can begin.
	Resumed bool
	// Trial reports that Check has allowed the request as a trial of held parts.
	Trial bool
}

// death is the death of one server, with the requests that it ran.
type death struct {
	server   gladeapi.BackendServer
	at       time.Time
	sequence uint64
	// runs are the runs that were lost, by request.
	runs map[uint64]lostRun
	// explained is set once a request has been refused for the death.
	explained bool
}

// lostRun is a run whose server died.
type lostRun struct {
	began time.Time
	// progressed reports that the run had more tokens than Config.Progress, so that its request is unlikely to be the cause.
	progressed bool
}

// TrackedRun is one run of a request on one server.
type TrackedRun struct {
	tracker     *Tracker
	request     Request
	fingerprint uint64
	server      gladeapi.BackendServer
	began       time.Time
	sequence    uint64
	tokens      atomic.Int64
	// onRefused is called when the request is refused during the run; nil ignores that.
	onRefused func()
	// serverDeath receives the time at which the server died during the run.
	serverDeath chan time.Time
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
	t := &Tracker{
		config:          c,
		successes:       newCache[time.Time](maxSuccesses),
		runs:            map[string][]*TrackedRun{},
		deathsByRequest: map[uint64][]*death{},
		refused:         map[uint64]Refused{},
	}
	t.parts = newPartLog(t.isMassPartLoss)
	return t
}

// StartRun records that a request runs on a server, until End or ServerDied is called on the TrackedRun. It returns
// false if the request must not run with the suspects on that server. With isolate, it also returns false for a suspect
// if the server runs any other suspect.
func (t *Tracker) StartRun(r Request, server gladeapi.BackendServer, isolate bool) (*TrackedRun, bool) {
	fingerprint := r.Fingerprint
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
	return t.addRun(r, server), true
}

// RecordRun is StartRun for a request that runs on the server beside any suspects. If the request is refused before the
// run has progressed, onRefused is called in a goroutine of its own.
func (t *Tracker) RecordRun(r Request, server gladeapi.BackendServer, onRefused func()) *TrackedRun {
	if t == nil || r.Fingerprint == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.addRun(r, server)
	v.onRefused = onRefused
	return v
}

func (t *Tracker) addRun(r Request, server gladeapi.BackendServer) *TrackedRun {
	t.sequence++
	v := &TrackedRun{
		tracker: t, request: r, fingerprint: r.Fingerprint, server: server, began: time.Now(), sequence: t.sequence,
		serverDeath: make(chan time.Time, 1),
	}
	t.runs[server.ID] = append(t.runs[server.ID], v)
	return v
}

// Progress records the number of tokens that the run has generated.
func (v *TrackedRun) Progress(tokens int) {
	if v == nil {
		return
	}
	limit := int64(v.tracker.config.Progress)
	if before := v.tokens.Swap(int64(tokens)); before > limit || int64(tokens) <= limit {
		return
	}
	v.tracker.mu.Lock()
	defer v.tracker.mu.Unlock()
	v.tracker.recordAnswer(v)
}

// Progressed reports whether the run has more tokens than Config.Progress.
func (v *TrackedRun) Progressed() bool {
	return v != nil && v.tokens.Load() > int64(v.tracker.config.Progress)
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
		t.successes.Add(v.fingerprint, time.Now())
		if !v.Progressed() {
			t.recordAnswer(v)
		}
		t.clearAndReport(v.fingerprint)
	}
}

// FinishedRecently reports whether a run of a request has finished at this Tracker so recently that a death under the request
// is no evidence against it.
func (t *Tracker) FinishedRecently(fingerprint uint64) bool {
	if t == nil {
		return false
	}
	at, ok := t.successes.Peek(fingerprint)
	return ok && time.Since(at) < successWindow
}

// Clear records that the run shows its request to be harmless: earlier deaths no longer count against it.
func (v *TrackedRun) Clear() {
	if v == nil {
		return
	}
	v.tracker.mu.Lock()
	defer v.tracker.mu.Unlock()
	v.tracker.clearAndReport(v.fingerprint)
}

func (t *Tracker) clearAndReport(fingerprint uint64) {
	if t.clearRequest(fingerprint) && t.config.OnCleared != nil {
		go t.config.OnCleared(fingerprint)
	}
}

// ClearElsewhere records that a run at another VM has cleared a request: earlier deaths no longer count against it.
func (t *Tracker) ClearElsewhere(fingerprint uint64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clearRequest(fingerprint)
}

// ServerDied records that the server died while it ran the request.
func (v *TrackedRun) ServerDied() { v.ServerDiedAt(time.Now()) }

// ServerDiedAt is ServerDied for a death that was confirmed some time after it.
func (v *TrackedRun) ServerDiedAt(at time.Time) {
	if v == nil {
		return
	}
	t := v.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeRun(v)
	t.expire()
	d := t.deathDuring(v)
	if d == nil && v.server.Incarnation != "" {
		d = t.recentDeath(v.server) // the run was sent to a server that had died already
	}
	if d == nil {
		d = t.newDeath(v.server, at)
	}
	t.predate(d, at)
	t.addToDeath(d, v)
	t.addPartLoss(v, at)
}

// addPartLoss records the loss of a run by the parts of its request, unless it had progressed.
func (t *Tracker) addPartLoss(v *TrackedRun, at time.Time) {
	if v.Progressed() {
		return
	}
	t.parts.addLoss(v.server, at, v.fingerprint, v.request.Parts)
	t.shareAnswers(v.request.Parts)
}

// Loss is a run of another VM that was lost because its server died.
type Loss struct {
	Fingerprint uint64
	// Parts are the parts of its request.
	Parts  []uint64
	Server gladeapi.BackendServer
	// Began is when the run began; zero means at its end.
	Began time.Time
	// At is when the server died; zero means now.
	At time.Time
}

// ServerDiedElsewhere records that a server died while it ran a request of another VM. The reports about all requests on
// the server are one death.
func (t *Tracker) ServerDiedElsewhere(l Loss) {
	if t == nil || l.Fingerprint == 0 {
		return
	}
	if l.At.IsZero() {
		l.At = time.Now()
	}
	if l.Began.IsZero() {
		l.Began = l.At
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	d := t.recentDeath(l.Server)
	if d == nil {
		d = t.newDeath(l.Server, l.At)
	}
	t.predate(d, l.At)
	v := &TrackedRun{
		tracker: t, request: Request{Fingerprint: l.Fingerprint, Parts: l.Parts}, fingerprint: l.Fingerprint, server: l.Server, began: l.Began,
	}
	t.addToDeath(d, v)
	t.addPartLoss(v, l.At)
}

// ServerFailed records that a server was found down, whether or not it ran a request. Failures of many servers of a failure
// domain at the same time clear the requests that ran there.
func (t *Tracker) ServerFailed(server gladeapi.BackendServer) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if t.recentDeath(server) == nil {
		t.newDeath(server, time.Now())
	}
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
		if d.at.Before(v.began) {
			break
		}
		if d.server.ID == v.server.ID && d.sequence > v.sequence {
			return d
		}
	}
	return nil
}

// newDeath records a death and keeps the deaths sorted by time.
func (t *Tracker) newDeath(server gladeapi.BackendServer, at time.Time) *death {
	t.sequence++
	d := &death{server: server, at: at, sequence: t.sequence, runs: map[uint64]lostRun{}}
	t.insertDeath(d)
	return d
}

func (t *Tracker) insertDeath(d *death) {
	i := len(t.deaths)
	for i > 0 && t.deaths[i-1].at.After(d.at) {
		i--
	}
	t.deaths = slices.Insert(t.deaths, i, d)
}

// predate sets the time of a death to that of the loss of a run, which comes before the server is found down. A retry may have begun
// between the two.
func (t *Tracker) predate(d *death, at time.Time) {
	if !at.Before(d.at) {
		return
	}
	t.deaths = slices.DeleteFunc(t.deaths, func(o *death) bool { return o == d })
	d.at = at
	t.insertDeath(d)
}

// addToDeath adds a lost run to a death. The first one brings with it the other runs of this VM on the server.
func (t *Tracker) addToDeath(d *death, v *TrackedRun) {
	if _, known := d.runs[v.fingerprint]; known {
		return
	}
	first := len(d.runs) == 0
	d.runs[v.fingerprint] = lostRun{began: v.began, progressed: v.Progressed()}
	t.deathsByRequest[v.fingerprint] = append(t.deathsByRequest[v.fingerprint], d)
	if !first {
		return
	}
	for _, o := range t.runs[d.server.ID] {
		if !o.began.After(d.at) {
			t.addToDeath(d, o)
			o.notifyDeath(d.at)
		}
	}
	t.config.Log.Warn("Server died.", "server", d.server.ID, "domain", d.server.FailureDomain, "requests", len(d.runs),
		"ageMs", time.Since(d.at).Milliseconds())
}

// clearRequest withdraws all deaths from a request and reports whether there were any.
func (t *Tracker) clearRequest(fingerprint uint64) bool {
	deaths := t.deathsByRequest[fingerprint]
	if len(deaths) == 0 {
		return false
	}
	t.config.Log.Info("Request no longer suspected.", "fingerprint", fingerprint, "deaths", len(deaths))
	for _, d := range deaths {
		delete(d.runs, fingerprint)
	}
	delete(t.deathsByRequest, fingerprint)
	return true
}

// expire removes the deaths that are older than the retention, and the refusals that have ended.
func (t *Tracker) expire() {
	now := time.Now()
	for len(t.deaths) > 0 && now.Sub(t.deaths[0].at) > t.config.Retention {
		t.withdrawDeath(t.deaths[0])
		t.deaths = t.deaths[1:]
	}
	t.parts.expire(now, t.config.Retention)
	for fingerprint, r := range t.refused {
		if now.After(r.Until) {
			delete(t.refused, fingerprint)
		}
	}
}

// withdrawDeath removes a death from all requests that ran on the server.
func (t *Tracker) withdrawDeath(d *death) {
	for fingerprint := range d.runs {
		remaining := slices.DeleteFunc(slices.Clone(t.deathsByRequest[fingerprint]), func(o *death) bool { return o == d })
		if len(remaining) == 0 {
			delete(t.deathsByRequest, fingerprint)
			continue
		}
		t.deathsByRequest[fingerprint] = remaining
	}
	clear(d.runs)
}
