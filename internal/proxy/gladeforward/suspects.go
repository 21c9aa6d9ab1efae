package gladeforward

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

// ServerDeath reports that a server died while it ran a request.
type ServerDeath struct {
	Fingerprint uint64 `json:"fingerprint"`
	// Parts are the parts of the request's prompt but the last.
	Parts  []uint64               `json:"parts,omitempty"`
	Server gladeapi.BackendServer `json:"server"`
	// Ran is how long the run had lasted, and Age the time since its end.
	Ran time.Duration `json:"ran"`
	Age time.Duration `json:"age"`
}

// Loss returns the lost run of a report that arrives now.
func (d ServerDeath) Loss() gladesuspect.Loss {
	at := time.Now().Add(-max(0, d.Age))
	return gladesuspect.Loss{Fingerprint: d.Fingerprint, Parts: d.Parts, Server: d.Server, Began: at.Add(-max(0, d.Ran)), At: at}
}

// computeFingerprint hashes the parts of a request that are equal in its repeats, which may arrive at other VMs.
func (j *job) computeFingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{j.call.Method, j.call.Host, j.call.Target, j.call.Key} {
		_, _ = d.WriteString(part + "\x00") // a hash returns no errors
	}
	_, _ = d.Write(j.call.Body)
	return d.Sum64()
}

// checkSuspect reports whether the request may be sent; if not, it ends the request.
func (j *job) checkSuspect() bool {
	switch err := j.maySend(); {
	case err == nil:
		return true
	case j.ctx.Err() != nil:
		j.logInterrupted("sends", j.sends)
	case errors.Is(err, errLastServer):
		j.refuseOrFail(err.Error())
	case j.refuseHeld(err):
	default:
		j.fail(http.StatusBadGateway, "it crashes the servers that run it")
	}
	return false
}

// maxHeldRetryAfter is the longest Retry-After value of a request with held parts.
const maxHeldRetryAfter = 30 * time.Second

// refuseHeld refuses a request that has not run and has held parts, and reports whether it was one. Its caller may come back once
// the next trial of these parts is due.
func (j *job) refuseHeld(err error) bool {
	var held *gladesuspect.HeldError
	if !errors.As(err, &held) || j.mayHaveRun {
		return false
	}
	after := min(max(noServerRetryAfter, held.RetryAfter), maxHeldRetryAfter).Round(time.Millisecond)
	j.refuse(http.StatusServiceUnavailable, err.Error(), after)
	return true
}

// tracked returns the request as the tracker of suspects knows it.
func (j *job) tracked() gladesuspect.Request {
	return gladesuspect.Request{Fingerprint: j.fingerprint, Parts: j.call.Parts, Trial: j.trial && j.sends == 0}
}

// errLastServer means that a request may crash the last healthy server of its service.
var errLastServer = eris.New("it may crash the last healthy server")

const (
	// minSuspectDeaths is the number of deaths under a request from which it is not sent to the last healthy server.
	minSuspectDeaths = 2
	// restartTime is how long after the last death this holds; crashed servers restart within that time.
	restartTime = 5 * time.Second
)

// maySend returns an error if the request crashes its servers, or may crash the last one.
func (j *job) maySend() error {
	e := j.config.Suspects.Evidence(j.fingerprint)
	if e.Deaths > j.loggedDeaths {
		j.loggedDeaths = e.Deaths
		j.log("Servers died under it.", "fingerprint", j.fingerprint, "deaths", e.Deaths, "counted", e.Counted,
			"attributed", e.Attributed, "lastMs", time.Since(e.LastDeath).Milliseconds())
	}
	v, err := j.config.Suspects.Check(j.ctx, j.tracked())
	j.trial = v.Trial
	if err == nil && e.Counted >= minSuspectDeaths && time.Since(e.LastDeath) < restartTime &&
		j.config.Fleet.HealthyServers(j.service, j.config.Suspects.DeadServers(j.fingerprint), time.Now()) < 2 {
		err = errLastServer
	}
	if err != nil {
		j.log("Not sent again.", "fingerprint", j.fingerprint, "reason", err)
	}
	return err
}

// backendServer returns the identity by which the tracker of suspects knows a server.
func backendServer(s gladefleet.Server) gladeapi.BackendServer {
	return gladeapi.BackendServer{ID: s.ID, Incarnation: strconv.FormatInt(s.Started, 10), FailureDomain: s.FailureDomain}
}

// trackedRun is a run as known to the tracker of suspects.
type trackedRun struct {
	*gladesuspect.TrackedRun
	job    *job
	server gladefleet.Server
	down   <-chan struct{}
	began  time.Time
	// classified is closed once it is known whether the loss of the run counts against the request.
	classified chan struct{}
}

// trackRun records that a server runs the request, resumed if it goes on from an earlier answer.  onRefused is called if it must be ended, as the request crashes its
// servers.
func (j *job) trackRun(place *gladefleet.Reservation, resumed bool, onRefused func()) *trackedRun {
	r := j.tracked()
	r.Resumed, r.Trial = resumed, j.trial
	return &trackedRun{
		TrackedRun: j.config.Suspects.RecordRun(r, backendServer(place.Server), onRefused),
		job:        j, server: place.Server, down: place.Down(), began: time.Now(), classified: make(chan struct{}),
	}
}

// progress records the number of events of the run.  A request that progresses does not crash its servers.
func (v *trackedRun) progress(events int) {
	before := v.Progressed()
	if v.Progress(events); v.Progressed() && !before {
		v.Clear()
	}
}

// end records the outcome of the run.
//
// The server of a run that was ended as refused may crash all the same. If the other VMs did not learn that the run was there, they
// would count the death against the harmless requests that it takes along. This VM has closed its connection and may not notice the
// death itself, so it also goes by the losses of other runs there.
func (v *trackedRun) end(outcome runOutcome) {
	if outcome != runLost && outcome != runRefused {
		v.End(outcome == runCompleted)
		close(v.classified)
		return
	}
	lostAt := time.Now()
	go func() {
		defer close(v.classified)
		died, diedAt := false, lostAt
		again := time.AfterFunc(secondProbeDelay, func() {
			if outcome == runLost {
				v.job.probe(v.server, probeDue)
			}
		})
		defer again.Stop()
		select {
		case <-v.down:
			diedAt = time.Now()
		case diedAt = <-v.ServerDeath():
			died = true
		case <-time.After(deathCheckDelay):
		}
		if outcome == runRefused {
			lostAt = diedAt // the end of the run is not the loss of its server
		}
		v.classifyLoss(lostAt, died || v.job.config.Fleet.Ended(v.server.ID))
	}()
}

// classifyLoss records whether the server died under a run that was lost.
func (v *trackedRun) classifyLoss(lostAt time.Time, ended bool) {
	j := v.job
	harmless := j.config.Suspects.FinishedRecently(j.fingerprint)
	if !ended || harmless {
		j.count("deaths.notCounted")
		j.log("Lost run not counted.", "server", v.server.ID, "domain", v.server.FailureDomain, "fingerprint", j.fingerprint,
			"ended", ended, "finishedBefore", harmless)
		v.End(false)
		return
	}
	j.count("deaths.counted")
	v.ServerDiedAt(lostAt)
	j.log("Server crashed under it.", "server", v.server.ID, "domain", v.server.FailureDomain, "fingerprint", j.fingerprint,
		"parts", gladesuspect.FormatParts(j.call.Parts), "lostMs", time.Since(lostAt).Milliseconds())
	j.config.OnServerDeath(ServerDeath{
		Fingerprint: j.fingerprint, Parts: j.call.Parts, Server: backendServer(v.server), Ran: lostAt.Sub(v.began), Age: time.Since(lostAt),
	})
}

// awaitClassification waits until it is known whether the last lost run of a suspected request counts against it.
func (j *job) awaitClassification() {
	if j.lost == 0 || j.lost+j.loggedDeaths < minLossesToWait {
		return
	}
	expired, stop := j.deadlineTimer()
	defer stop()
	select {
	case <-j.lastLost.classified:
	case <-expired:
	case <-j.ctx.Done():
	}
}

// minLossesToWait is the number of lost runs and known deaths of a request from which the next send waits until the last loss
// is classified; a first loss is no reason to delay a retry.
const minLossesToWait = 2

// runOutcome is the outcome of a run on one server.
type runOutcome int

const (
	runCompleted    runOutcome = iota // the answer is complete and no failure
	runInconclusive                   // the outcome does not count against the request
	runLost                           // the run ended without an answer, or with little of one
	runRefused                        // this VM ended the run, as its request crashes its servers
)

const (
	// secondProbeDelay is the time after a lost run at which its server is probed once more. A process that crashes closes its listener
	// up to some milliseconds after its connections, so that the first probe may find it accepting connections.
	secondProbeDelay = 150 * time.Millisecond
	// deathCheckDelay is the longest time between a lost run and the check of its server's state; it is longer than two probes.
	deathCheckDelay = 400 * time.Millisecond
)
