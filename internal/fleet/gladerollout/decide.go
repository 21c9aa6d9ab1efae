package gladerollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// firstStagePart and firstStageMin are how long the target must have answered before its share rises.
	firstStagePart, firstStageMin = 0.35, 4 * time.Second
	// halfShare is the share after the first stage.
	halfShare = 0.5
	// stepInterval is the shortest time between two changes that raise a share.
	stepInterval = 800 * time.Millisecond
	// ratesKnown is the time since the order after which the reports of all VMs have arrived. Until then the share is
	// one that does not depend on the number of requests.
	ratesKnown = 1500 * time.Millisecond
	// reportsKnown is the same from the first status on, which VMs know after 0.3 s and report on every 0.5 s. An order may be
	// older when it is first seen.
	reportsKnown = 1200 * time.Millisecond
	// minAnswers is the number of answers on each route that a step up requires, and blockingRate the number of requests
	// per second below which a route's lack of answers does not count.
	minAnswers, blockingRate = 8, 0.5
	// expectedPart is the part of a route's requests since the step, but at least of those in minEvidence, whose answers
	// are required where that is less than minAnswers.
	expectedPart, minEvidence = 0.5, 2 * time.Second
	// spreadDelay is the time in which a step reaches the VMs and reports are under way.
	spreadDelay = 800 * time.Millisecond
	// reactionTime is the time between badness at half of the traffic and the end of the requests to the target: an
	// answer, its report, the decision and the notice take about this long.
	reactionTime = time.Second
	// maxCanaryShare bounds the share that a status names in the first stage. A higher share means that it has passed.
	maxCanaryShare = 0.25
	// maxRouteShares bounds the routes in a status.
	maxRouteShares = 16

	// The parts of the time limit from which on: runs that have copies may remain on old servers; the evidence is taken as
	// it is; all traffic must have moved if nothing is against the target; an order completes even if some runs have no
	// copies.
	copiesPart, evidencePart, lastStepPart, lastPart = 0.85, 0.8, 0.9, 0.95
)

// Input is what a decision depends on.
type Input struct {
	Rollout Rollout
	// Elapsed is the time since the order was first seen.
	Elapsed time.Duration
	// SinceAnswer is the time since the target's first answer, zero if there was none.
	SinceAnswer time.Duration
	// Evidence holds the last report of each VM.
	Evidence []Evidence
	// TargetServers and OldServers count the servers that may get requests.
	TargetServers, OldServers int
	// OldRuns counts the runs still on old servers over all VMs, and OldRunsWithoutCopy those of them that have no copy
	// on a server of the target version.
	OldRuns, OldRunsWithoutCopy int
	// StoreCurrent reports that the store was reached recently. Without it the share does not rise.
	StoreCurrent bool
	// CanaryShare and CanarySlack bound the requests at a bad version: the share of all requests plus the slack.
	CanaryShare, CanarySlack float64
}

// Decision is the status that an order is to have.
type Decision struct {
	Status Status
	// Stop reports that all VMs must be told at once to stop using the target.
	Stop bool
	// Reason is why, as logged. It is empty if the status stays as it is.
	Reason string
}

// decision is a decision being made.
type decision struct {
	Input
	sums    *sums
	verdict verdict
	// answered reports that the target has given an answer.
	answered bool
}

// Decide returns the status that the order is to have. It keeps nothing between calls: a decider that has just taken over
// continues from the status and the reports.
func Decide(in Input) Decision {
	if in.Rollout.statusApplies() && !in.Rollout.Pending() {
		return Decision{Status: in.Rollout.Status}
	}
	if !in.Rollout.statusApplies() || in.Rollout.Status.State != InProgress {
		return begin(in)
	}
	d := &decision{Input: in, sums: sum(in.Evidence, in.Rollout)}
	d.SinceAnswer = max(in.SinceAnswer, d.sums.sinceAnswer(in.Elapsed))
	d.answered = d.sums.answered(in.Elapsed)
	d.verdict = d.sums.judge(in.Elapsed, d.sinceStep())
	switch {
	case d.verdict.bad != "":
		return d.revert(d.verdict.bad)
	case d.after(1) && in.Rollout.Status.Share < 1:
		return d.revert("time limit passed")
	case in.Rollout.Status.Share >= 1:
		return d.finish()
	case d.after(evidencePart):
		return d.hurry()
	}
	return d.advance()
}

// begin returns the first status of an order.
func begin(in Input) Decision {
	r := in.Rollout
	if r.Status.State == Complete && r.Status.Target == r.Target {
		s := r.Status
		s.DurationS = r.Duration.Seconds()
		return Decision{Status: s, Reason: "the target is in use already"}
	}
	s := Status{
		State: InProgress, Target: r.Target, DurationS: r.Duration.Seconds(), Decider: r.Status.Decider, Term: r.Status.Term,
		StepS: in.Elapsed.Seconds(),
	}
	s.From, s.Withdrawn = r.before()
	if in.TargetServers > 0 {
		s.Share = budgetShare * in.CanaryShare
		s.Concentrate = concentration(s.Share, in.TargetServers, in.OldServers)
	}
	return Decision{Status: s, Reason: "order seen"}
}

// after reports whether a part of the time limit has passed.
func (d *decision) after(part float64) bool {
	return d.Elapsed >= time.Duration(part*float64(d.Rollout.Duration)).Round(time.Millisecond)
}

func (d *decision) sinceStep() time.Duration {
	return max(d.Elapsed-time.Duration(d.Rollout.Status.StepS*float64(time.Second)), 0)
}

// firstStage returns how long the target must have answered before its share rises.
func firstStage(limit time.Duration) time.Duration {
	return max(time.Duration(firstStagePart*float64(limit)), firstStageMin)
}

// keep returns the status as it is, except that it names the old version once that is known: if another order replaces this one, the
// requests go to that version.
func (d *decision) keep() Decision {
	k := Decision{Status: d.Rollout.Status}
	if k.Status.From == "" && d.sums.from != "" && d.sums.from != k.Status.Withdrawn && d.StoreCurrent {
		k.Status.From, k.Reason = d.sums.from, "old version seen"
	}
	return k
}

func (d *decision) revert(reason string) Decision {
	s := d.Rollout.Status
	s.State, s.Share, s.RouteShares, s.Concentrate, s.StepS = Reverted, 0, nil, 0, d.Elapsed.Seconds()
	return Decision{Status: s, Stop: true, Reason: reason}
}

// step returns a status with another share on all routes.
func (d *decision) step(share float64, reason string) Decision {
	s := d.Rollout.Status
	s.Share, s.RouteShares, s.Concentrate, s.StepS = share, nil, 0, d.Elapsed.Seconds()
	if d.sums.from != "" && d.sums.from != s.Withdrawn && s.From != s.Target {
		s.From = d.sums.from
	}
	return Decision{Status: s, Reason: reason}
}

// half returns a status with half of the traffic for the target, and more where a route had more already.
func (d *decision) half(reason string) Decision {
	k := d.step(halfShare, reason)
	for name, share := range d.Rollout.Status.RouteShares {
		if share > halfShare {
			if k.Status.RouteShares == nil {
				k.Status.RouteShares = map[string]float64{}
			}
			k.Status.RouteShares[name] = share
		}
	}
	return k
}

// finish completes an order whose share is 1.
func (d *decision) finish() Decision {
	s := d.Rollout.Status
	s.State = Complete
	switch {
	case !d.StoreCurrent || d.sinceStep() < stepInterval && !d.after(lastPart):
		return d.keep()
	case d.OldRuns == 0 && (d.proven() || d.after(evidencePart)):
		return Decision{Status: s, Reason: "no run is left on old servers"}
	case d.after(copiesPart) && d.OldRunsWithoutCopy == 0:
		return Decision{Status: s, Reason: fmt.Sprintf("%d runs on old servers have copies", d.OldRuns)}
	case d.after(lastPart):
		return Decision{Status: s, Reason: fmt.Sprintf("time runs out, %d runs on old servers have no copy", d.OldRunsWithoutCopy)}
	}
	return d.keep()
}

// hurry decides with the evidence that there is.
func (d *decision) hurry() Decision {
	switch {
	case d.TargetServers == 0:
		return d.revert("the target has no server")
	case !d.answered:
		return d.revert("the target has no good answer")
	case d.verdict.likely != "":
		return d.revert("likely: " + d.verdict.likely)
	case !d.StoreCurrent:
		return d.keep()
	case d.Rollout.Status.Share < halfShare && (d.Elapsed+2*stepInterval).Seconds() < lastStepPart*d.Rollout.Duration.Seconds():
		return d.half("time runs out, nothing against the target")
	}
	return d.step(1, "time runs out, nothing against the target")
}

// advance raises the share with the evidence, and lowers it on doubt.
func (d *decision) advance() Decision {
	share := d.Rollout.Status.Share
	switch {
	case d.TargetServers == 0:
		return d.keep()
	case d.OldServers == 0 && d.StoreCurrent && !d.sums.old():
		return d.step(1, "no server of another version is left")
	case d.verdict.suspect != "" && share >= halfShare:
		return d.adjust("in doubt: " + d.verdict.suspect)
	case share >= halfShare && d.proven():
		return d.step(1, "evidence at half of the traffic is sufficient")
	case share < halfShare && d.verdict.suspect == "" && d.proven() && d.room():
		return d.half("evidence of the first stage is sufficient")
	case share < halfShare:
		return d.adjust("budget")
	}
	return d.keep()
}

// proven reports whether the evidence since the last step permits the next one.
func (d *decision) proven() bool {
	if !d.StoreCurrent || d.sinceStep() < stepInterval || d.SinceAnswer < firstStage(d.Rollout.Duration) {
		return false
	}
	since, length := within(d.Elapsed), d.SinceAnswer
	if d.Rollout.Status.Share >= halfShare {
		since = span{0, max(within(d.sinceStep()-spreadDelay).to-1, 0)} // the last class holds earlier requests too
		length = max(d.sinceStep(), minEvidence)
	}
	answers := 0
	for _, name := range d.sums.names() {
		r := d.sums.routes[name]
		t := since.total(&r.target)
		answers += t.answers()
		expected := expectedPart * r.rate() * routeShare(d.Rollout.Status, name) * length.Seconds()
		if float64(t.answers()) < min(minAnswers, max(expected, 1)) && r.rate() >= blockingRate {
			return false
		}
	}
	return answers > 0
}

// room reports whether the bound leaves room for the requests that half of the traffic takes until badness is seen.
func (d *decision) room() bool {
	target, all := d.sums.exposure(d.Elapsed)
	rate := 0.0
	for _, r := range d.sums.routes {
		rate += r.rate()
	}
	return float64(target)+halfShare*rate*reactionTime.Seconds() <= d.CanaryShare*float64(all)+d.CanarySlack
}

// adjust sets the shares of the first stage.
func (d *decision) adjust(reason string) Decision {
	old := d.Rollout.Status
	if old.Share < halfShare && (d.Elapsed < ratesKnown || old.Rate == 0 && d.sinceStep() < reportsKnown) {
		return d.keep()
	}
	k := d.sums.canary(d.Input)
	mayRise := d.StoreCurrent && d.sinceStep() >= stepInterval && k.rate >= knownRate*old.Rate && old.Share < halfShare
	changed := old.Share >= halfShare
	first := budgetShare * d.CanaryShare
	for name, share := range k.routes {
		was := routeShare(old, name)
		if !mayRise {
			share = min(share, was)
		}
		k.routes[name] = math.Round(min(share, max(was, first)*maxRaise)*1e4) / 1e4
		changed = changed || math.Abs(k.routes[name]-was) > max(significantChange*was, significantChange*first)
	}
	if len(k.routes) == 0 && old.Share == 0 && mayRise {
		return d.step(first, "the target has servers")
	}
	if !changed {
		return d.keep()
	}
	share := k.total()
	s := d.step(min(share, maxCanaryShare), reason)
	s.Status.Concentrate, s.Status.Rate = concentration(share, d.TargetServers, d.OldServers), math.Round(k.rate)
	if len(k.routes) <= maxRouteShares {
		s.Status.RouteShares = k.routes
	}
	return s
}
