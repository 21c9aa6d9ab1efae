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

	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladebudget"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladeline"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeserve"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestop"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

const (
	// startRetryAfter is the Retry-After value while this VM has no release; it receives one within a second of its
	// start.
	startRetryAfter = time.Second
	// behindRetryAfter is the Retry-After value while this VM is known not to have the newest release; it requests that at once.
	behindRetryAfter = 500 * time.Millisecond
	// releaseWaitShare is the part of a request's time for which it may wait for a newer release.
	releaseWaitShare = 3
	// noServerRetryAfter is the Retry-After value when no server can take a request; a crashed server restarts in about
	// that time.
	noServerRetryAfter = time.Second
	// defaultTimeout is the time limit of a request if neither its route nor its caller sets one; generations run for
	// minutes.
	defaultTimeout = 5 * time.Minute
	// probeTimeout is the time limit of a connection that checks whether a silent server is up; a live server accepts
	// within a few milliseconds.
	probeTimeout = 120 * time.Millisecond
)

// Config configures a Forwarder.
type Config struct {
	// Release returns the release in force, or nil if none is known yet.
	Release func() *gladerelease.Release
	// AwaitRelease waits, at most for the limit, until the newest release that is known to exist is in force. It returns the one in
	// force, and false if that is older. Nil means that the one in force is always the newest.
	AwaitRelease func(ctx context.Context, limit time.Duration) (*gladerelease.Release, bool)
	Fleet        *gladefleet.Table
	Client       *gladesend.Client
	Engine       Engine
	// Budget limits how many requests are sent again.
	Budget *gladebudget.Budget
	// Limits keeps the limits that backend servers name; the zero value keeps none.
	Limits Limits
	// Versions returns the versions of servers that a request may use; repeat marks repeats, second sends and resumed runs. Nil
	// restricts none.
	Versions func(service, route string, repeat bool) gladefleet.VersionRule
	// UsesVersion reports whether requests are still meant for a version that Versions has named; nil means that they are.
	UsesVersion func(service, route, version string) bool
	// PeekVersions returns what Versions would return next, without counting the request. It is used by Explain only.
	PeekVersions func(service, route string, repeat bool) gladefleet.VersionRule
	// Recorder counts what is seen of each version of the servers; nil counts nothing.
	Recorder *gladerollout.Recorder
	// Others returns addresses of other parties that are known to be up, the best first: connections are opened to them, and closed at
	// once, where there are too few servers to compare one with. Nil means that there are none.
	Others func() []string
	// Suspects refuses requests that crash the servers that run them.
	Suspects *gladesuspect.Tracker
	// OnServerDeath is called when a server dies while it runs a request.
	OnServerDeath func(ServerDeath)
	// StopPlan returns the times of the planned stop, or nil if this process is not stopping.
	StopPlan func() *gladestop.Plan
	// Decode reads the platform's headers of a request.
	Decode func(http.Header) gladesend.Call
	// SetAnswerID sets the identifier of the request on an answer that this VM generates.
	SetAnswerID func(http.Header, string)
	// CopyName returns the name of the copy of a run on the server at address.
	CopyName func(address, requestID string) string
	// Instance returns the identifier of the server that answers at an address now; nil means that none can be asked.
	Instance func(ctx context.Context, address, healthPath string) (string, error)
	// OnSuccessor is called when a server has taken over the address of another one and is not listed yet.
	OnSuccessor func(gladefleet.Successor)
	// BootTime returns the time by a clock that no step changes and that counts the time for which the VM is suspended.
	BootTime func() time.Time
	// OnLoadChange is called after this VM's share of a server's load has changed.
	OnLoadChange func()
	Log          hclog.Logger
	Metrics      metrics.Registry
}

// Forwarder forwards requests to backend servers.
type Forwarder struct {
	config      Config
	started     time.Time
	heldPrompts heldCache
	priorities  priorityCache
	durations   *gladestop.Durations

	mu sync.Mutex
	// probing is the set of servers with a probe in progress, and judging of those with a check of isUnreachable that no probe makes, by
	// identifier.
	probing    map[string]bool
	judging    map[string]bool
	probeLimit probeLimiter
	// link is the state of this VM's own link.
	link linkState
	// closed ends probing: one that a lost run asks for may come later than the end.
	closed bool
	// queues hold the requests that wait for room on a server, by service.
	queues map[string]*gladeline.Queue
	// versionRuns are the runs in progress on servers whose version is known, if there is a Recorder.
	versionRuns map[*versionRun]struct{}
	tasks       sync.WaitGroup
}

// New returns a forwarder and a function that stops its probes.
func New(c Config) (*Forwarder, func()) {
	f := &Forwarder{
		config: c, started: time.Now(), heldPrompts: heldCache{answers: map[string]heldAnswer{}}, probing: map[string]bool{},
		judging: map[string]bool{}, queues: map[string]*gladeline.Queue{}, durations: gladestop.NewDurations(),
		versionRuns: map[*versionRun]struct{}{}, probeLimit: probeLimiter{last: map[probeKey]time.Time{}},
	}
	done := make(chan struct{})
	f.tasks.Go(func() {
		ticker := time.NewTicker(retryCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				f.refreshLink()
				for _, s := range c.Fleet.DueForRetry(time.Now()) {
					f.probe(s, probeDue)
				}
			}
		}
	})
	return f, func() {
		close(done)
		f.mu.Lock()
		f.closed = true
		f.mu.Unlock()
		f.tasks.Wait()
	}
}

// retryCheckInterval is how often the forwarder looks for failed servers that are due for a probe.
const retryCheckInterval = 100 * time.Millisecond

// job is a request in progress.
type job struct {
	*Forwarder
	ctx      context.Context
	incoming *gladeserve.Exchange
	call     gladesend.Call
	release  *gladerelease.Release
	route    *gladerelease.Route
	service  string
	// organisation is the name of the organisation that owns the caller's key.
	organisation string
	// deadline is the time limit of the request.
	deadline time.Time
	// hasDeadline reports whether deadline is set.
	hasDeadline bool
	// avoid lists the identifiers of the servers on which this request failed.
	avoid []string
	// sends is the number of times that the request was sent.
	sends int
	// arrivals is the number of sends that may have reached a server, and retries the number of those that the retry
	// budget allowed.
	arrivals, retries int
	// firstServer is the server to which a plain request was sent first, and firstSentAt the time.
	firstServer gladefleet.Server
	firstSentAt time.Time
	// hedgeConsidered reports that its second send is almost due, and hedgeHeld that it was held back.
	hedgeConsidered, hedgeHeld bool
	// prepaid reports that the next retry was taken from the budget already.
	prepaid bool
	// unplaced is why there was no server for the last repeat.
	unplaced error
	// unsent is the number of sends that reached no server.
	unsent int
	// mayHaveRun reports whether a server may have run the request.
	mayHaveRun bool
	// fingerprint is a hash that is equal for repeats of the request.
	fingerprint uint64
	// trial reports that the request has held parts and may be sent once in spite of that.
	trial bool
	// lost is the number of runs that were lost with little of an answer, and lastLost the last one.
	lost     int
	lastLost *trackedRun
	// loggedDeaths is the number of deaths under the request that were logged last.
	loggedDeaths int
	// rule holds the versions that the first send may use, once ruled is set.
	rule  gladefleet.VersionRule
	ruled bool
}

// Handle answers one request.  The context ends when the caller disconnects, or with gladeserve.ErrStopping.
func (f *Forwarder) Handle(ctx context.Context, x *gladeserve.Exchange) {
	call := f.config.Decode(x.Request.Header)
	gladesend.StripHopHeaders(call.Header)
	call.Method, call.Target, call.Host, call.Body = x.Request.Method, x.Request.RequestURI, x.Request.Host, x.Body
	call.Hold = x.Hold
	j := &job{Forwarder: f, ctx: ctx, incoming: x, call: call, release: f.config.Release()}
	x.Note.ID = call.ID
	defer func() { x.Note.Sent = j.arrivals > 0 }()
	if j.release == nil {
		j.refuse(http.StatusServiceUnavailable, "no release known", startRetryAfter)
		return
	}
	if !j.admit() {
		return
	}
	f.count("requests." + j.route.Kind.String())
	f.count("route.requests." + j.route.Name)
	f.config.Budget.CountRequest(j.service, x.LastByteAt)
	if j.route.Kind == gladerelease.Stream {
		j.serveStream()
	} else {
		run := f.durations.Begin(j.durationKey(), time.Now())
		j.servePlain()
		run.End(time.Now(), j.arrivals > 0)
	}
	j.endAtStop()
	f.observe("latency."+j.route.Kind.String(), time.Since(x.LastByteAt))
}

// refusal is why a release does not allow a request: a final status, so that the caller does not come back.
type refusal struct {
	status int
	reason string
}

// admit sets the request's route, organisation and time limit.  It refuses the request and returns false if there is no
// route for it or its key is unknown.
func (j *job) admit() bool {
	refused := j.resolve()
	if refused != nil && j.config.AwaitRelease != nil {
		release, newest := j.config.AwaitRelease(j.ctx, j.releaseWait())
		if release.Version > j.release.Version {
			j.release = release
			refused = j.resolve()
		}
		if refused != nil && !newest { // a newer release may allow it
			j.refuse(http.StatusServiceUnavailable, "release is behind: "+refused.reason, behindRetryAfter)
			return false
		}
	}
	if refused != nil {
		j.refuse(refused.status, refused.reason, 0)
		return false
	}
	j.fingerprint = j.computeFingerprint()
	j.service = j.route.Service(j.call.ID)
	if j.route.Timeout > 0 {
		j.capDeadline(j.incoming.LastByteAt.Add(j.route.Timeout))
	}
	if j.call.HasTimeLimit {
		j.capDeadline(j.incoming.LastByteAt.Add(j.call.TimeLeft))
	}
	if !j.hasDeadline {
		j.capDeadline(j.incoming.LastByteAt.Add(defaultTimeout))
	}
	return true
}

// resolve sets the request's route and organisation by its release, or returns why the release does not allow the request.
func (j *job) resolve() *refusal {
	path, _, _ := strings.Cut(j.call.Target, "?")
	j.route = j.release.Match(hostName(j.call.Host), path)
	if j.route == nil {
		return &refusal{http.StatusNotFound, "no route"}
	}
	organisation, known := j.release.Organisations[j.call.Key]
	if !known && j.release.Restricted && !j.route.Public {
		return &refusal{http.StatusUnauthorized, "unknown key"}
	}
	j.organisation = organisation.Name
	return nil
}

// releaseWait returns the longest time for which the request may wait for a newer release: callers need the rest to come back.
func (j *job) releaseWait() time.Duration {
	if !j.call.HasTimeLimit {
		return defaultTimeout
	}
	return time.Until(j.incoming.LastByteAt.Add(j.call.TimeLeft / releaseWaitShare))
}

// capDeadline sets the deadline unless an earlier one is set.
func (j *job) capDeadline(t time.Time) {
	if !j.hasDeadline || t.Before(j.deadline) {
		j.deadline, j.hasDeadline = t, true
	}
}

// hostName returns a Host header without its port.
func hostName(host string) string {
	name, port, found := strings.Cut(host, ":")
	if _, err := strconv.Atoi(port); found && err == nil {
		return name
	}
	return host
}

// deadlineTimer returns a channel that fires at the time limit, and a function that stops its timer.
func (j *job) deadlineTimer() (<-chan time.Time, func()) {
	t := time.NewTimer(time.Until(j.deadline))
	return t.C, func() { t.Stop() }
}

// maxUnsent is the maximum number of sends of one request that reach no server.  Streams that have begun are sent again until their
// time limit.
const maxUnsent = 10

// tryRetry reports whether the request may be sent again.  The retry budget limits only what reaches a server more than
// once.
func (j *job) tryRetry() bool {
	if j.prepaid {
		j.prepaid = false
		return true
	}
	switch {
	case j.unsent >= maxUnsent && !j.incoming.Started():
		return false
	case j.arrivals == 0:
		return true
	case !j.config.Budget.TryRetry(j.service, time.Now()):
		return false
	}
	j.retries++
	return true
}

// prepayRetry takes the next retry from the budget before the present attempt is given up, and reports whether there was one.
func (j *job) prepayRetry() bool {
	j.prepaid = j.prepaid || j.tryRetry()
	return j.prepaid
}

// recordUnsent records that a send reached no server, and returns its retry to the budget.
func (j *job) recordUnsent() {
	j.unsent++
	j.arrivals--
	if j.retries > max(0, j.arrivals-1) {
		j.retries--
		j.config.Budget.Refund(j.service, time.Now())
	}
}

// newSend counts a send and returns its parameters, including the time left for the request.
func (j *job) newSend(s gladefleet.Server) *gladesend.SendParams {
	j.sends++
	j.arrivals++
	return &gladesend.SendParams{
		Server: s.ID, Started: s.Started, Address: s.Address, Organisation: j.organisation, LastEvent: j.call.LastEvent,
		HasTimeLimit: true, TimeLeft: time.Until(j.deadline), Urgency: j.urgency(), HasUrgency: j.release.Services[j.service].Engine != nil,
		Repeat: j.sends > 1,
	}
}

// refuse answers a request that no server has run, with a Retry-After header if after is positive.
func (j *job) refuse(status int, reason string, after time.Duration) {
	h := http.Header{}
	j.config.SetAnswerID(h, j.call.ID)
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	j.count("refused." + strconv.Itoa(status))
	j.countRoute("refused")
	j.log("Refused.", "status", status, "reason", reason, "retryAfter", after)
	j.incoming.Reply(status, h, nil)
}

// fail ends a request that may have run: with an error status, or by cutting off an answer that has begun.
func (j *job) fail(status int, reason string) {
	j.count("failed." + strconv.Itoa(status))
	j.countRoute("failed")
	j.log("Failed.", "status", status, "reason", reason, "begun", j.incoming.Started(), "written", j.incoming.Written())
	j.incoming.Note.Reason = reason
	if j.incoming.Started() {
		return // the connection is closed before the end of the answer
	}
	h := http.Header{}
	j.config.SetAnswerID(h, j.call.ID)
	j.incoming.Reply(status, h, nil)
}

// refuseOrFail ends a request that is not sent again: it fails if a server may have run it and is refused otherwise.
func (j *job) refuseOrFail(reason string) {
	if j.mayHaveRun {
		j.fail(http.StatusBadGateway, reason)
		return
	}
	j.refuse(http.StatusServiceUnavailable, reason, j.serverRetryAfter())
}

// failDeadline fails a request at its time limit.
func (j *job) failDeadline() {
	j.fail(http.StatusGatewayTimeout, "time limit")
}

// sessionHash returns the hash by which requests of one session are sent to one server, or zero without a session.
func (j *job) sessionHash() uint64 {
	if j.call.Session == "" {
		return 0
	}
	return xxhash.Sum64String(j.call.Session)
}

func (f *Forwarder) count(name string) {
	metrics.GetOrRegisterCounter(name, f.config.Metrics).Inc(1)
}

// countRoute counts an outcome by route, if the request has a route.
func (j *job) countRoute(outcome string) {
	if j.route != nil {
		j.count("route." + outcome + "." + j.route.Name)
	}
}

// sampleSize is the number of values kept per histogram.
const sampleSize = 256

func (f *Forwarder) observe(name string, d time.Duration) {
	h := metrics.GetOrRegisterHistogram(name, f.config.Metrics, metrics.NewUniformSample(sampleSize))
	h.Update(d.Microseconds())
}

// log logs a message with the fields of the request.
func (j *job) log(message string, args ...any) {
	name, version := "", int64(0)
	if j.release != nil {
		version = j.release.Version
	}
	if j.route != nil {
		name = j.route.Name
	}
	j.config.Log.Info(message, append([]any{
		"request", j.call.ID, "route", name, "release", version, "ageMs", time.Since(j.incoming.LastByteAt).Milliseconds(),
	}, args...)...)
}
