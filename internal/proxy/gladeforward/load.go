package gladeforward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

const (
	// silentFactor is how many times as long as usual a plain request may take before its server is probed. Requests go to all
	// failure domains by load; if one is cut off, that must be found out before many requests have gone there.
	silentFactor = 3
	// minSilence is the least time before that. A probe costs a connection, and answers take up to this time in a burst.
	minSilence = 100 * time.Millisecond
)

// watchSilence probes the server of a place if the request takes long and no other request has been answered there meanwhile, where
// servers report how long work takes. It returns a function that ends the watch.
func (j *job) watchSilence(k *gladefleet.Reservation) func() {
	if !j.config.Fleet.ReportsWork(j.service, time.Now()) {
		return func() {}
	}
	limit := max(minSilence, silentFactor*k.Reported.AnswerTime)
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(limit, func() {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		if wait := nextSilenceCheck(j.config.Fleet.SilentFor(k.ID, time.Now()), limit); wait > 0 {
			timer.Reset(wait)
			return
		}
		if !j.probe(k.Server, probeSilent) { // the last probe may have come before the server failed
			timer.Reset(minSilence)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// fullWaitShare is the share of a route's target time that a refused plain request waits until a server has room, if all the
// others are known to be full too. The rest is needed for the answer.
const fullWaitShare = 0.2

// reportedFields returns the log fields of what the server of a reservation had reported, none if it had reported nothing.
func reportedFields(k *gladefleet.Reservation) []any {
	if k.Reported.WorkPercent == 0 {
		return nil
	}
	return []any{
		"workPercent", int(k.Reported.WorkPercent), "reported", k.Reported.Requests, "reportedMs", k.Reported.Age.Milliseconds(),
		"answerMs", k.Reported.AnswerTime.Milliseconds(),
	}
}

// recordAnswerTime records how long a plain request took. A request that was given up took at least that long; without it, a
// server whose answers always come after those of second sends would seem to be as fast as the others.
func (j *job) recordAnswerTime(ctx context.Context, a *answer, server string, took time.Duration) {
	switch {
	case a.err == nil && !notRun(a) && a.status < http.StatusInternalServerError:
		j.config.Fleet.RecordAnswerTime(server, took, true, time.Now())
	case a.err != nil && ctx.Err() != nil:
		j.config.Fleet.RecordAnswerTime(server, took, false, time.Now())
	}
}

// markFull records that a server had no room for the request. The request may go there again: by then another request has
// probably ended, while a request that left out each server that refused it once found none after a few milliseconds.
func (j *job) markFull(a *answer) {
	if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
		return
	}
	if l := a.mark.Load; l.Running+l.Waiting < l.Slots {
		return // it has free slots and refused for another reason
	}
	if full := j.config.Fleet.MarkFull(a.server.ID, time.Now()); full > 0 {
		j.count("servers.full")
		j.avoid = slices.DeleteFunc(j.avoid, func(id string) bool { return id == a.server.ID })
	}
}

// awaitSlot waits a short time before a refused request is sent again if all servers are known to be full. It does not wait
// while another send of the request is in progress, or after it may have run. If the wait would be too long, the request is
// tried at once at the server that probably has room first, since what this VM knows of it may be out of date.
func (j *job) awaitSlot(a *answer, running int) {
	if !notRun(a) || j.mayHaveRun || running > 0 {
		return
	}
	now := time.Now()
	until := j.config.Fleet.FullUntil(j.service, j.avoid, now)
	wait := until.Sub(now)
	if until.IsZero() || wait > time.Duration(fullWaitShare*float64(j.route.Target)) || wait >= j.deadline.Sub(now) {
		return
	}
	j.count("plain.waited")
	j.log("Waiting for a server to have room.", "forMs", wait.Milliseconds())
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-j.ctx.Done():
	}
}
