package gladedecider

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
)

// claim writes this VM into the status of an order that nobody decides on. The caller holds d.mu.
func (d *Decider) claim(o *order, k Known, now time.Time) {
	r := k.Rollout
	s := r.Status
	if vacant(r) {
		s = d.config.Decide(d.collect(o, k, now)).Status
		if s.State == "" || s.Target != r.Target {
			s = gladerollout.Status{State: gladerollout.InProgress}
		}
		s.Target, s.DurationS = r.Target, r.Duration.Seconds()
	} else {
		o.settledAt = now.Add(settleTime)
		d.count("rollout.takeovers")
		d.config.Log.Warn("The decider of the order is silent; this VM takes over.", "service", o.service, "decider", s.Decider, "term", s.Term,
			"silentMs", now.Sub(o.heardAt).Milliseconds())
	}
	s.Decider, s.Term = d.config.VM, max(o.heardTerm, r.Status.Term, o.term)+1
	o.term = s.Term
	d.write(o, r, s, "claimed")
}

// decide asks for a decision on an order of this VM and carries it out. The caller holds d.mu.
func (d *Decider) decide(o *order, k Known, now time.Time) {
	r := k.Rollout
	if o.notice != "" && o.stopped == nil {
		o.stopped = stopDecision(r, "stopped by an earlier decider: "+o.notice)
	}
	if o.stopped == nil && now.Before(o.settledAt) { // without the reports of all VMs, the target seems to have no answers
		return
	}
	decision := d.config.Decide(d.collect(o, k, now))
	if decision.Stop && o.stopped == nil {
		o.stopped, o.notice = &decision, cmp.Or(decision.Reason, "stopped")
	}
	if o.stopped != nil {
		decision = *o.stopped
		d.stop(o, r, now)
	}
	final := decision.Status.State == gladerollout.Complete || decision.Status.State == gladerollout.Reverted
	switch {
	case decision.Reason == "" && !final: // the status stays
	case o.calling || o.unsure || now.Before(o.retryAt):
	case !final && !d.config.Reached():
	default:
		s := decision.Status
		s.Decider, s.Term, s.Target, s.DurationS = d.config.VM, o.term, r.Target, r.Duration.Seconds()
		d.write(o, r, s, decision.Reason)
	}
}

// stopDecision returns the decision to end the use of the target.
func stopDecision(r gladerollout.Rollout, reason string) *gladerollout.Decision {
	s := r.Status
	s.State, s.Share, s.RouteShares, s.Concentrate = gladerollout.Reverted, 0, nil, 0
	return &gladerollout.Decision{Status: s, Stop: true, Reason: reason}
}

// stop tells all VMs to stop the use of the target, and repeats that until the end of the order is written. The caller holds d.mu.
func (d *Decider) stop(o *order, r gladerollout.Rollout, now time.Time) {
	if o.stops >= maxStops || now.Sub(o.stopAt) < stopRepeat {
		return
	}
	if o.stops == 0 {
		d.count("rollout.stops")
		d.config.Log.Warn("The target version is stopped at all VMs.", "service", o.service, "target", o.target, "reason", o.stopped.Reason)
	}
	o.stops++
	o.stopAt = now
	d.config.Stop(Stop{Service: o.service, Target: o.target, DurationS: r.Duration.Seconds(), Reason: o.stopped.Reason})
}

// write starts to write a status at the revision that the decision was based on. The caller holds d.mu.
func (d *Decider) write(o *order, r gladerollout.Rollout, s gladerollout.Status, reason string) {
	o.calling = true
	d.count("rollout.writes")
	d.config.Log.Info("Writing the status of the order.", "service", o.service, "target", s.Target, "state", s.State, "share", s.Share,
		"routeShares", s.RouteShares, "term", s.Term, "revision", r.Revision, "reason", reason,
		"elapsedMs", o.input.Elapsed.Milliseconds(), "reports", len(o.input.Evidence), "requests", requests(o.input.Evidence),
		"targetServers", o.input.TargetServers, "oldServers", o.input.OldServers, "oldRuns", o.input.OldRuns,
		"oldRunsWithoutCopy", o.input.OldRunsWithoutCopy, "storeCurrent", o.input.StoreCurrent)
	d.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
		defer cancel()
		written, err := d.config.Write(ctx, o.service, r.Revision, s)
		d.finishWrite(o, written, reason, err)
	})
}

// finishWrite records the outcome of a write.
func (d *Decider) finishWrite(o *order, written gladerollout.Rollout, reason string, err error) {
	now := d.config.Now()
	conflict := errors.Is(err, ErrConflict)
	if err == nil || conflict {
		d.config.Registry.Put(written, now)
	}
	d.mu.Lock()
	o.calling = false
	switch {
	case err == nil:
		o.backoff, o.reason = 0, reason
	case conflict:
		d.count("rollout.conflicts")
		d.config.Log.Warn("The order has changed; its status is taken from the store.", "service", o.service, "revision", written.Revision,
			"state", written.Status.State, "decider", written.Status.Decider, "term", written.Status.Term)
	default:
		d.count("rollout.unanswered")
		d.retryLater(o, now)
		o.unsure = true
		d.config.Log.Warn("It is not known whether the status was written; the order is read.", "service", o.service, "reason", err)
	}
	d.mu.Unlock()
	if err == nil || conflict {
		d.config.OnChange()
	}
}

// retryLater postpones the next call to the store. The caller holds d.mu.
func (d *Decider) retryLater(o *order, now time.Time) {
	o.backoff = min(maxBackoff, max(minBackoff, 2*o.backoff))
	o.retryAt = now.Add(o.backoff)
}

// read starts to read the orders from the store, so that it is known whether this VM still decides. The caller holds d.mu.
func (d *Decider) read(o *order, now time.Time) {
	if o.calling || now.Before(o.retryAt) {
		return
	}
	o.calling = true
	d.count("rollout.reads")
	d.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
		defer cancel()
		err := d.config.Read(ctx)
		now := d.config.Now()
		d.mu.Lock()
		o.calling = false
		// A pause during the call makes its answer old.
		if err == nil && now.Sub(d.lastStep) <= pauseLimit {
			o.unsure, o.backoff, o.retryAt = false, 0, time.Time{}
		} else {
			d.retryLater(o, now)
		}
		d.mu.Unlock()
		if err == nil {
			d.config.OnChange()
		}
	})
}
