package gladeforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

// versionRule returns the versions of servers that the next send of the request may use. The first one counts for the share of a
// version, so that is decided once; a request that has waited for room meanwhile follows the roll-out, whose target may have been
// withdrawn, or may be all that is left.
func (j *job) versionRule() gladefleet.VersionRule {
	if j.config.Versions == nil {
		return gladefleet.VersionRule{}
	}
	if j.sends > 0 || j.mayHaveRun || j.call.LastEvent != gladesend.NoEvent {
		return j.repeatRule()
	}
	if !j.ruled {
		j.rule, j.ruled = j.config.Versions(j.service, j.route.Name, false), true
		return j.rule
	}
	meant := j.rule.Only != "" && j.rule.Fallback
	if meant && (j.config.UsesVersion == nil || j.config.UsesVersion(j.service, j.route.Name, j.rule.Only)) {
		return j.rule
	}
	return j.repeatRule()
}

// repeatRule returns the versions of servers that repeats of the request and copies of its run may use.
func (j *job) repeatRule() gladefleet.VersionRule {
	if j.config.Versions == nil {
		return gladefleet.VersionRule{}
	}
	return j.config.Versions(j.service, j.route.Name, true)
}

// versionRun is a run on a server of a service that may have roll-outs. A nil versionRun records nothing.
type versionRun struct {
	*gladerollout.Run
	forwarder *Forwarder
	service   string
	server    gladefleet.Server
	down      <-chan struct{}
	// heard is when the last event arrived, or the run began.
	heard time.Time
	// copyVersion is the version of the server that holds a copy of the run, empty for none; Forwarder.mu protects it.
	copyVersion string
}

// beginVersionRun records that a request is sent to a server. The times of a resumed run say nothing about the server's version. A server
// without a version gives no evidence, but its runs are among those that the end of a roll-out waits for.
func (j *job) beginVersionRun(place *gladefleet.Reservation, resumed bool) *versionRun {
	if j.config.Recorder == nil {
		return nil
	}
	u := &versionRun{forwarder: j.Forwarder, service: j.service, server: place.Server, down: place.Down(), heard: time.Now()}
	if !resumed && place.Version != "" {
		u.Run = j.config.Recorder.Begin(j.service, place.Version, j.route.Name, place.ID, time.Now())
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.versionRuns[u] = struct{}{}
	return u
}

// setCopy records the version of the server that holds a copy of the run, empty for none.
func (u *versionRun) setCopy(version string) {
	if u == nil {
		return
	}
	u.forwarder.mu.Lock()
	defer u.forwarder.mu.Unlock()
	u.copyVersion = version
}

// recordEvents records the number of events that have arrived.
func (u *versionRun) recordEvents(events int, now time.Time) {
	if u == nil {
		return
	}
	u.heard = now
	if events == 1 {
		u.FirstEvent(now)
		return
	}
	u.Progress(events)
}

// end records the outcome of the run.
func (u *versionRun) end(o gladerollout.Outcome, events int) {
	if u == nil {
		return
	}
	u.remove()
	u.End(o, events, time.Now())
}

func (u *versionRun) remove() {
	u.forwarder.mu.Lock()
	defer u.forwarder.mu.Unlock()
	delete(u.forwarder.versionRuns, u)
}

// endLost records the outcome of a run whose answer was lost, once it is known whether its server is alive. A server that crashed,
// leaves or cannot be reached says nothing about its version. One that was not heard after the loss may be out of reach for this VM, whose
// own link may have failed; if that was silent since the last event, it may have lost the answer.
func (u *versionRun) endLost(events int) {
	if u == nil {
		return
	}
	u.remove()
	lostAt := time.Now()
	go func() {
		again := time.AfterFunc(secondProbeDelay, func() {
			if !u.forwarder.heardSince(u.server, lostAt) {
				u.forwarder.reach(u.server, deathCheckDelay-secondProbeDelay)
			}
		})
		defer again.Stop()
		timer := time.NewTimer(deathCheckDelay)
		defer timer.Stop()
		select {
		case <-u.down:
		case <-timer.C:
		}
		fleet, now := u.forwarder.config.Fleet, time.Now()
		outcome := gladerollout.Failed
		if fleet.Ended(u.server.ID) || fleet.Unavailable(u.server.ID, now) || !fleet.Usable(u.server.ID, now) ||
			!u.forwarder.heardSince(u.server, lostAt) || u.forwarder.linkSilentSince(u.heard) {
			outcome = gladerollout.Inconclusive
		}
		u.End(outcome, events, lostAt)
	}()
}

// answerOutcome returns what an answer that a server signed says about its version: a 4xx is the caller's own fault.
func answerOutcome(status int) gladerollout.Outcome {
	switch {
	case status >= http.StatusInternalServerError:
		return gladerollout.Failed
	case status >= http.StatusBadRequest:
		return gladerollout.Inconclusive
	}
	return gladerollout.Succeeded
}

// endPlain records the outcome of one send of a plain request; canceled reports that this VM ended it.
func (u *versionRun) endPlain(a *answer, canceled bool) {
	switch {
	case notRun(a) || errors.Is(a.err, gladesend.ErrNotSent) || errors.Is(a.err, gladesuspect.ErrPoison) || isNoRoom(a.err):
		u.end(gladerollout.Inconclusive, 0)
	case a.err != nil && canceled:
		u.end(gladerollout.Abandoned, 0)
	case a.err != nil:
		u.endLost(0)
	default:
		u.end(answerOutcome(a.status), 0)
	}
}

// endVersionRun records the outcome of an attempt.
func (a *attempt) endVersionRun(result attemptResult) {
	switch {
	case result == attemptFinished:
		a.versionRun.end(answerOutcome(a.exchange.Status), a.received)
	case result == attemptBroken && a.serverFailed:
		a.versionRun.end(gladerollout.Failed, a.received)
	case result == attemptAbandoned:
		a.versionRun.end(gladerollout.Abandoned, a.received)
	case result == attemptBroken && !a.suspected:
		a.versionRun.endLost(a.received)
	default:
		a.versionRun.end(gladerollout.Inconclusive, a.received)
	}
}

// sendContext returns the context of a send of a plain request. The answer of a version on trial is awaited even if another
// server's comes first: cancelled sends would hide that the version is slow.
func (j *job) sendContext(ctx context.Context, place *gladefleet.Reservation) (context.Context, context.CancelFunc) {
	if j.config.Recorder == nil || place.Version == "" || j.route.Kind != gladerelease.Safe || j.repeatRule().Permits(place.Version) {
		return ctx, func() {}
	}
	return context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
}

// RunsOnOthers returns the number of runs of a service on servers of other versions than the target, and how many of them have no
// copy on a server of the target.
func (f *Forwarder) RunsOnOthers(service, target string) (runs, withoutCopy int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for u := range f.versionRuns {
		if u.service != service || u.server.Version == target {
			continue
		}
		runs++
		if u.copyVersion != target {
			withoutCopy++
		}
	}
	return runs, withoutCopy
}
