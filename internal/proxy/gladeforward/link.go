package gladeforward

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

const (
	// linkCheckAge is how long this VM has received nothing from any server when a silent run leads to a check of the VM's own link.
	// It is longer than linkCheckLead: a check that reached someone still counts when the run is due.
	linkCheckAge = 120 * time.Millisecond
	// linkCheckLead is how long before a silent run would be moved the check begins, so that the move is not delayed by it: runs are looked
	// at every checkInterval.
	linkCheckLead = 2 * checkInterval
	// linkCheckInterval is the least time between the beginnings of a check that reached nobody and the next one.
	linkCheckInterval = 200 * time.Millisecond
	// maxLinkGrace is the longest time after a silence of the link in which no run is given up for want of a retry.
	maxLinkGrace = 3 * time.Second
)

// linkState tells whether anything passes this VM's own link.
//
// It is silent from a check in which no other party was reached until something is received.  The zero value is a link that works.
type linkState struct {
	// heard is the last time at which anything was received.
	heard time.Time
	// checkedAt is the beginning of the last check, and checking reports that it is in progress.
	checkedAt        time.Time
	checking, silent bool
	// backAt is when the last silence ended, and outage how long nothing was received until then.
	backAt time.Time
	outage time.Duration
}

// hear records the last time at which anything was received, and reports whether that ended a silence.
func (l *linkState) hear(at time.Time) bool {
	if !at.After(l.heard) {
		return false
	}
	back := l.silent
	if back {
		l.silent, l.backAt, l.outage = false, at, at.Sub(l.heard)
	}
	l.heard = at
	return back
}

// beginCheck reports whether a check is due once nothing was received for the given time, and records its beginning.
func (l *linkState) beginCheck(age time.Duration, now time.Time) bool {
	if l.checking || now.Sub(l.heard) < age || l.heard.Before(l.checkedAt) && now.Sub(l.checkedAt) < linkCheckInterval {
		return false
	}
	l.checking, l.checkedAt = true, now
	return true
}

// endCheck records the end of a check, and reports whether it found the link to be silent.
func (l *linkState) endCheck(outcome linkOutcome) bool {
	l.checking = false
	if outcome != linkSilent || l.silent || l.heard.After(l.checkedAt) {
		return false
	}
	l.silent = true
	return true
}

// holdReason is why a silent run is not moved.
type holdReason string

const (
	holdNone   holdReason = ""
	holdSilent holdReason = "nothing passes this VM's link"
	holdCheck  holdReason = "this VM's link is being checked"
	holdBack   holdReason = "this VM's link was silent a moment ago"
	holdBudget holdReason = "this VM's link was silent and the retry budget is empty" // does not hold if a retry can be paid for
)

// hold returns why a run is not moved that was last heard at the given time and has been silent for longer than a limit, if there is a
// reason.
//
// Once the link is back, the run has the limit again.  The senders of lost segments wait up to as long as the silence lasted until they
// send them again, so that for this time a run that no retry could pay for is left where it is.
func (l *linkState) hold(lastHeard time.Time, limit time.Duration, now time.Time) holdReason {
	back := now.Sub(l.backAt)
	switch {
	case l.silent:
		return holdSilent
	case l.checking && !l.heard.After(l.checkedAt):
		return holdCheck
	case !l.backAt.After(lastHeard):
		return holdNone
	case back <= limit:
		return holdBack
	case back <= min(l.outage, maxLinkGrace):
		return holdBudget
	}
	return holdNone
}

// linkOutcome is the outcome of a check of the link.
type linkOutcome int

const (
	linkUnknown linkOutcome = iota // there was nobody else to connect to, or this VM could not attempt it
	linkWorks
	linkSilent
)

// checkLink checks in the background whether anything passes this VM's link, if nothing was received for the given time: it attempts
// connections to a server and to others.
func (f *Forwarder) checkLink(s gladefleet.Server, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hearLink(f.config.Fleet.LastHeard())
	if f.closed || !f.link.beginCheck(age, time.Now()) {
		return
	}
	f.count("link.checks")
	f.tasks.Go(func() {
		outcome := f.tryLink(s)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.hearLink(f.config.Fleet.LastHeard())
		if outcome == linkWorks {
			f.hearLink(time.Now())
		}
		if f.link.endCheck(outcome) {
			f.count("link.silent")
			f.config.Log.Warn("Nothing passes this VM's link.", "heardMs", time.Since(f.link.heard).Milliseconds())
		}
	})
}

// refreshLink notices the end of a silence of the link if there is no run left that would.
func (f *Forwarder) refreshLink() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.link.silent {
		f.hearLink(f.config.Fleet.LastHeard())
	}
}

// linkSilentSince reports whether the link has been silent at any time since a time.
func (f *Forwarder) linkSilentSince(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.link.silent || f.link.backAt.After(since)
}

// hearLink records that something was received.  The caller holds f.mu.
func (f *Forwarder) hearLink(at time.Time) {
	if f.link.hear(at) {
		f.config.Log.Info("This VM's link works again.", "silentMs", f.link.outage.Milliseconds())
	}
}

// tryLink attempts connections to a server and to others until one is reached.
func (f *Forwarder) tryLink(s gladefleet.Server) linkOutcome {
	controls := f.controls(s)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	outcome := linkUnknown
	attempts := f.connectAll(ctx, s, controls)
	for range 1 + len(controls) {
		a := <-attempts
		switch {
		case a.reached():
			if o, ok := f.config.Fleet.Server(a.id); ok && a.err == nil {
				f.markReached(ctx, o)
			}
			return linkWorks
		case a.id != s.ID && !errors.Is(a.err, gladesend.ErrLocal):
			outcome = linkSilent
		}
	}
	return outcome
}

// reasonToHold returns why a request that was last heard at the given time, and has been silent for longer than a limit, is not sent again
// because of this VM's own link, if there is a reason.
func (f *Forwarder) reasonToHold(lastHeard time.Time, limit time.Duration) holdReason {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hearLink(f.config.Fleet.LastHeard())
	return f.link.hold(lastHeard, limit, time.Now())
}

// silentTooLong reports whether the run has been silent for longer than a limit, and that is not because of this VM's own link.
func (a *attempt) silentTooLong(limit time.Duration) bool {
	silence := a.silence()
	if silence > limit-linkCheckLead {
		a.checkLink(a.place.Server, linkCheckAge)
	}
	if silence <= limit {
		return false
	}
	reason := a.reasonToHold(a.lastHeard, limit)
	if reason == holdBudget && a.prepayRetry() {
		reason = holdNone
	}
	if reason != a.held && reason != holdNone {
		a.count("streams.held")
		a.log("Silent, not moved.", "server", a.place.ID, "reason", string(reason), "silentMs", silence.Milliseconds(), "last", a.lastEvent)
	}
	a.held = reason
	return reason == holdNone
}
