package gladeforward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladebudget"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladeline"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeserve"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

const (
	// startRetryAfter is told while this VM knows no release: it starts within a second.
	startRetryAfter = time.Second
	// noServerRetryAfter is told when no server can take a request: a crashed one is back after about that time.
	noServerRetryAfter = time.Second
	// streamTime is the time that a stream takes as a rule: a stopping VM with less time left refuses new ones.
	streamTime = 7 * time.Second
	// elsewhereRetryAfter is told by a stopping VM: other VMs can take the request at once.
	elsewhereRetryAfter = 20 * time.Millisecond
	// defaultLimit ends a request for which neither its route nor its caller sets a limit; generations run for minutes.
	defaultLimit = 5 * time.Minute
	// probeTimeout bounds the connection that shows whether a silent server lives; a live one accepts in a few ms.
	probeTimeout = 120 * time.Millisecond
)

// Config configures a Forwarder.
type Config struct {
	// Release returns the release in force, nil until one is known.
	Release func() *gladerelease.Release
	Fleet   *gladefleet.Table
	Client  *gladesend.Client
	Engine  Engine
	// Budget bounds what is sent once more.
	Budget *gladebudget.Budget
	// Suspects refuses requests that crash the servers which run them; OnDeath is told of each such crash.
	Suspects *gladesuspect.Tracker
	OnDeath  func(Death)
	// StopsAt returns when this process ends, the zero time unless it is stopping.
	StopsAt func() time.Time
	// Decode takes a call out of a request's header, AnswerID names the request on an own answer and CopyOf names
	// a server's copy of a run; all three are the platform's.
	Decode   func(http.Header) gladesend.Call
	AnswerID func(http.Header, string)
	CopyOf   func(address, requestID string) string
	// Changed is called when this VM's share of a server's load has changed.
	Changed func()
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Death is the crash of a server under a request.
type Death struct {
	Fingerprint uint64                 `json:"fingerprint"`
	Server      gladeapi.BackendServer `json:"server"`
}

// Forwarder answers requests.
type Forwarder struct {
	config Config
	began  time.Time
	held   held

	mu      sync.Mutex
	probing map[string]bool
	// lines hold the requests that wait for room, by service.
	lines map[string]*gladeline.Line
	tasks sync.WaitGroup
}

// New returns a forwarder and its clean-up function, which ends its probes.
func New(c Config) (*Forwarder, func()) {
	f := &Forwarder{
		config: c, began: time.Now(), held: held{answers: map[string]heldAnswer{}}, probing: map[string]bool{},
		lines: map[string]*gladeline.Line{},
	}
	done := make(chan struct{})
	f.tasks.Go(func() {
		ticker := time.NewTicker(dueEvery)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				for _, s := range c.Fleet.Due(time.Now()) {
					f.probe(s)
				}
			}
		}
	})
	return f, func() {
		close(done)
		f.tasks.Wait()
	}
}

// dueEvery is how often failed servers are looked for that should be tried again.
const dueEvery = 100 * time.Millisecond

// job is one request under way.
type job struct {
	*Forwarder
	ctx     context.Context
	x       *gladeserve.Exchange
	call    gladesend.Call
	release *gladerelease.Release
	route   *gladerelease.Route
	service string
	// organisation is the holder of the caller's key.
	organisation string
	// deadline ends the request, once limited.
	deadline time.Time
	limited  bool
	// avoid are the servers that this request failed on, sends the times it was sent.
	avoid []string
	sends int
	// ran tells that a server may have run it.
	ran bool
	// fingerprint is the same whenever the caller sends the request again.
	fingerprint uint64
}

// Handle answers one request; the context ends when the caller leaves.
func (f *Forwarder) Handle(ctx context.Context, x *gladeserve.Exchange) {
	call := f.config.Decode(x.Request.Header)
	gladesend.StripHop(call.Header)
	call.Method, call.Target, call.Host, call.Body = x.Request.Method, x.Request.RequestURI, x.Request.Host, x.Body
	j := &job{Forwarder: f, ctx: ctx, x: x, call: call, release: f.config.Release()}
	if j.release == nil {
		j.refuse(http.StatusServiceUnavailable, "no release known", startRetryAfter)
		return
	}
	if !j.admit() {
		return
	}
	f.count("requests." + j.route.Kind.String())
	f.count("route.requests." + j.route.Name)
	f.config.Budget.Request(j.service, x.Received)
	if j.route.Kind == gladerelease.Stream {
		j.stream()
	} else {
		j.plain()
	}
	f.observe("latency."+j.route.Kind.String(), time.Since(x.Received))
}

// admit finds the request's route, organisation and time limit.
func (j *job) admit() bool {
	path, _, _ := strings.Cut(j.call.Target, "?")
	j.route = j.release.Match(hostName(j.call.Host), path)
	if j.route == nil {
		j.refuse(http.StatusNotFound, "no route", 0)
		return false
	}
	organisation, known := j.release.Organisations[j.call.Key]
	if !known && j.release.Restricted && !j.route.Public {
		j.refuse(http.StatusUnauthorized, "unknown key", 0)
		return false
	}
	j.organisation = organisation.Name
	j.fingerprint = j.fingerprintOf()
	j.service = j.route.Service(j.call.ID)
	if j.route.Timeout > 0 {
		j.limit(j.x.Received.Add(j.route.Timeout))
	}
	if j.call.Limited {
		j.limit(j.x.Received.Add(j.call.TimeLeft))
	}
	if !j.limited {
		j.limit(j.x.Received.Add(defaultLimit))
	}
	return true
}

func (j *job) limit(t time.Time) {
	if !j.limited || t.Before(j.deadline) {
		j.deadline, j.limited = t, true
	}
}

// hostName drops the port of a Host header.
func hostName(host string) string {
	name, port, found := strings.Cut(host, ":")
	if _, err := strconv.Atoi(port); found && err == nil {
		return name
	}
	return host
}

// expired returns a channel that fires at the time limit, and its clean-up function.
func (j *job) expired() (<-chan time.Time, func()) {
	t := time.NewTimer(time.Until(j.deadline))
	return t.C, func() { t.Stop() }
}

// send returns a send to a server with what is left of the time.
func (j *job) send(s gladefleet.Server) *gladesend.Send {
	j.sends++
	return &gladesend.Send{
		Server: s.ID, Address: s.Address, Organisation: j.organisation, LastEvent: j.call.LastEvent,
		Limited: true, Left: time.Until(j.deadline), Urgency: j.urgency(), Ranked: j.release.Services[j.service].Engine != nil,
	}
}

// refuse answers a request that no server has run.
func (j *job) refuse(status int, reason string, after time.Duration) {
	h := http.Header{}
	j.config.AnswerID(h, j.call.ID)
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	j.count("refused." + strconv.Itoa(status))
	j.countRoute("refused")
	j.log("Refused.", "status", status, "reason", reason, "retryAfter", after)
	j.x.Reply(status, h, nil)
}

// fail answers a request that may have run, or breaks its answer off.
func (j *job) fail(status int, reason string) {
	j.count("failed." + strconv.Itoa(status))
	j.countRoute("failed")
	j.log("Failed.", "status", status, "reason", reason, "begun", j.x.Begun())
	if j.x.Begun() {
		return // the connection is closed without the answer's end
	}
	h := http.Header{}
	j.config.AnswerID(h, j.call.ID)
	j.x.Reply(status, h, nil)
}

// unserved ends a request for which no server is left.
func (j *job) unserved(reason string) {
	if j.ran {
		j.fail(http.StatusBadGateway, reason)
		return
	}
	j.refuse(http.StatusServiceUnavailable, reason, noServerRetryAfter)
}

// timedOut ends a request at its time limit.
func (j *job) timedOut() {
	j.fail(http.StatusGatewayTimeout, "time limit")
}

// fingerprintOf hashes what a request has in common with its repeats, also at other VMs.
func (j *job) fingerprintOf() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{j.call.Method, j.call.Host, j.call.Target, j.call.Key} {
		_, _ = d.WriteString(part + "\x00") // a hash takes all
	}
	_, _ = d.Write(j.call.Body)
	return d.Sum64()
}

// allowed ends a request that has crashed several servers, and reports whether it may be sent.
func (j *job) allowed() bool {
	if _, err := j.config.Suspects.Judge(j.ctx, j.fingerprint); err != nil {
		j.log("Not sent again.", "reason", err)
		j.fail(http.StatusBadGateway, "it crashes the servers that run it")
		return false
	}
	return true
}

// visit notes that a server runs the request and returns the function that notes how that ended.
func (j *job) visit(s gladefleet.Server) func(end runEnd) {
	server := gladeapi.BackendServer{ID: s.ID, Incarnation: strconv.FormatInt(s.Started, 10), FailureDomain: s.FailureDomain}
	visit, ok := j.config.Suspects.Enter(j.fingerprint, server, false)
	if !ok { // two suspects at once; the server is the fleet's choice all the same
		return func(runEnd) {}
	}
	return func(end runEnd) {
		if end != runLost {
			visit.Leave(end == runWhole)
			return
		}
		// A crash shows within a probe's time, and whether it was the whole failure domain's.
		time.AfterFunc(deathPatience, func() {
			if !j.config.Fleet.Out(s.ID, time.Now()) || j.config.Fleet.Doubtful(s, time.Now()) {
				visit.Leave(false)
				return
			}
			visit.Died()
			j.log("Server crashed under it.", "server", s.ID, "fingerprint", j.fingerprint)
			j.config.OnDeath(Death{Fingerprint: j.fingerprint, Server: server})
		})
	}
}

// runEnd is how the run of a request on one server ended.
type runEnd int

const (
	runWhole runEnd = iota // with a whole answer
	runOther               // in a way that tells nothing against the request
	runLost                // without any of its answer
)

// deathPatience is how long after a lost run its server's state is looked at: above the time of two probes.
const deathPatience = 400 * time.Millisecond

// session returns the hash that leads requests of one session to one server.
func (j *job) session() uint64 {
	if j.call.Session == "" {
		return 0
	}
	return xxhash.Sum64String(j.call.Session)
}

// failed takes note of a server that accepts no connections, and probes others that are in doubt with it.
func (f *Forwarder) failed(s gladefleet.Server, reason string) {
	f.config.Client.Pool.Forget(s.Address)
	fresh, doubtful := f.config.Fleet.Fail(s.ID, time.Now())
	if fresh {
		f.count("servers.down")
		f.config.Log.Warn("Backend server is down.", "server", s.ID, "address", s.Address, "domain", s.FailureDomain,
			"doubtful", len(doubtful), "reason", reason)
	}
	for _, o := range doubtful {
		f.probe(o)
	}
}

// declined takes note of a server that answered that it did not run a request.
func (f *Forwarder) declined(s gladefleet.Server, status int) {
	if status == http.StatusMisdirectedRequest {
		f.config.Log.Info("Another server has the address.", "server", s.ID, "address", s.Address)
		f.config.Fleet.Replaced(s.ID)
		f.config.Client.Pool.Forget(s.Address)
		return
	}
	f.config.Fleet.Heard(s.ID, time.Now())
	f.config.Fleet.Outcome(s.ID, true)
}

// probe finds out in the background whether a server accepts connections.
func (f *Forwarder) probe(s gladefleet.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.probing[s.ID] {
		return
	}
	f.probing[s.ID] = true
	f.count("probes")
	f.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if err := f.config.Client.Pool.Probe(ctx, s.Address); err != nil {
			f.failed(s, "no connection: "+err.Error())
		} else if f.config.Fleet.Heard(s.ID, time.Now()) {
			f.config.Log.Info("Backend server is back.", "server", s.ID, "domain", s.FailureDomain)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.probing, s.ID)
	})
}

func (f *Forwarder) count(name string) {
	metrics.GetOrRegisterCounter(name, f.config.Metrics).Inc(1)
}

// countRoute counts an outcome by route, of requests that have one.
func (j *job) countRoute(outcome string) {
	if j.route != nil {
		j.count("route." + outcome + "." + j.route.Name)
	}
}

// sampleSize bounds the values kept for one histogram.
const sampleSize = 256

func (f *Forwarder) observe(name string, d time.Duration) {
	h := metrics.GetOrRegisterHistogram(name, f.config.Metrics, metrics.NewUniformSample(sampleSize))
	h.Update(d.Microseconds())
}

// log writes one decision about the request.
func (j *job) log(message string, args ...any) {
	name, version := "", int64(0)
	if j.release != nil {
		version = j.release.Version
	}
	if j.route != nil {
		name = j.route.Name
	}
	j.config.Log.Info(message, append([]any{
		"request", j.call.ID, "route", name, "release", version, "ageMs", time.Since(j.x.Received).Milliseconds(),
	}, args...)...)
}
