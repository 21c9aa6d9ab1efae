package gladefleet

import (
	"math"
	"time"
)

// LoadReport is what a server said about its load in an answer.
type LoadReport struct {
	// Running and Waiting are numbers of requests on the server, from all VMs.
	Running, Waiting, Slots int
	// WorkPercent is how long work takes there at the moment, in percent of the usual time; zero means that the server
	// did not say so.
	WorkPercent float64
}

const (
	// reportTimeout is the silence after which a service counts as one whose servers do not report how long work takes.
	reportTimeout = time.Minute
	// workHalfLife halves the influence of the average of the last reports. The figure changes many times per second, so
	// that one report says little about the next second and the average of several says more.
	workHalfLife = 2 * time.Second
	// lastWorkHalfLife is the same for the last report alone, against that average.
	lastWorkHalfLife = 250 * time.Millisecond
	// reportWeight is the weight of a new report in the average.
	reportWeight = 0.3
	// minWork and maxWork bound the factor by which a report changes expected times. Servers report 40 to 250 percent.
	minWork, maxWork = 0.25, 4.0
	// maxReportedShare bounds the reported requests, in multiples of the slots.
	maxReportedShare = 4
	// excessHalfLife halves the reported requests that this VM's counts lack. Within a second the counts of the other VMs
	// contain them, or they have ended.
	excessHalfLife = 500 * time.Millisecond
	// spreadTokens is the scale of the random part of the cost of an engine that reports nothing unusual: one run.
	spreadTokens = runTokens
)

// serviceReports is what is known of a service whose servers report how long work takes.
type serviceReports struct {
	// last is the time of the last report.
	last time.Time
	// answerTime is the moving average of the times of plain answers, in seconds, zero if there were none.
	answerTime float64
}

// reportedLoad is what a server reported and what this VM measured of its answers.
type reportedLoad struct {
	// at is the time of the last report, zero if there is none.
	at time.Time
	// last is the reported factor of the usual work time, and mean the average of the last ones.
	last, mean float64
	// requests is the number of reported requests, others those that were not this VM's, and excess those that neither this
	// VM nor its peers counted.
	requests, others, excess int
	// answerTime is the moving average of the times of plain answers, in seconds, and answeredAt the time of the last one.
	answerTime float64
	answeredAt time.Time
	// fullUntil is when a server that refused a request for lack of room probably has room again.
	fullUntil time.Time
}

// Reported is what a choice knew of a server's own reports.
type Reported struct {
	// WorkPercent is the average of the last reports in percent of the usual work time, zero if there is none.
	WorkPercent float64
	// Requests is the number of requests in the last report, and Age the age of that.
	Requests int
	Age      time.Duration
	// AnswerTime is the average time of plain answers, zero if none was measured.
	AnswerTime time.Duration
}

// decay returns the part of its first influence that a value has after some time: a half after halfLife, a hundredth after ten
// times that. An exponential function would take much of the time of a choice among 870 servers.
func decay(age, halfLife time.Duration) float64 {
	x := float64(max(0, age)) / float64(halfLife)
	return 1 / (1 + x*x)
}

// RecordLoad records what a server says about its load. Reports without WorkPercent change no choice.
func (t *Table) RecordLoad(id string, r LoadReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e != nil && !now.Before(e.statedAt) {
		e.stated, e.statedAt = r, now
	}
	if e == nil || r.WorkPercent <= 0 || now.Before(e.reported.at) {
		return
	}
	s := t.reports[e.Service]
	if s == nil {
		s = &serviceReports{}
		t.reports[e.Service] = s
	}
	s.last = now
	k := &e.reported
	k.last = min(maxWork, max(minWork, r.WorkPercent/100))
	if k.at.IsZero() {
		k.mean = k.last
	} else {
		weight := 1 - (1-reportWeight)*decay(now.Sub(k.at), workHalfLife)
		k.mean += weight * (k.last - k.mean)
	}
	k.requests = min(maxReportedShare*e.Slots, max(0, r.Running)+max(0, r.Waiting))
	k.others = max(0, k.requests-e.runs)
	k.excess = max(0, k.requests-e.totalRuns())
	k.at = now
}

// measured returns the reports of a service whose servers report how long work takes, nil for other services.
func (t *Table) measured(service string, now time.Time) *serviceReports {
	if s := t.reports[service]; s != nil && now.Sub(s.last) < reportTimeout {
		return s
	}
	return nil
}

// work returns the factor of the usual work time that is expected of a server. It returns to 1 with the age of the last report.
func (k *reportedLoad) work(age time.Duration) float64 {
	if k.at.IsZero() {
		return 1
	}
	return 1 + (k.mean-1)*decay(age, workHalfLife)
}

// uncounted returns the number of requests on a server that it reported and that no VM's count contains yet.
func (e *entry) uncounted(age time.Duration) float64 {
	k := &e.reported
	if k.at.IsZero() || k.excess == 0 {
		return 0
	}
	return float64(max(0, min(k.excess, k.requests-e.totalRuns()))) * decay(age, excessHalfLife)
}

// placementCost returns the cost by which a server is compared with the others, and takes reports into account if there are any.
func (t *Table) placementCost(s *selection, e *entry, jitter float64, n *Requirements, now time.Time) float64 {
	switch {
	case n.reports == nil && n.value == nil:
		return t.cost(e, jitter, n.Prompt)
	case n.Prompt == 0:
		return t.plainCost(e, n.reports, now)
	}
	bound := math.Inf(1)
	if s.best != nil {
		bound = s.bestLoad + n.value.affinity()
	}
	if n.value != nil {
		return t.prefixCost(e, jitter, n, bound, now)
	}
	return t.engineCost(e, jitter, n.Prompt, bound, now)
}

// engineCost returns the cost of an engine by the counts and by its reports, in tokens. A cost above the bound is one that cannot
// be chosen, and may be too low.
//
// What waits there by the counts is scaled by the reported work time. All VMs may hear the same report, so the rest of what it
// says only scales a random part with an exponential distribution. Of engines with equal counts, each is then chosen with a
// probability inversely proportional to that scale, which is the square of the expected time there, and none by all VMs.
func (t *Table) engineCost(e *entry, jitter float64, prompt int, bound float64, now time.Time) float64 {
	if jitter <= minJitterTokens {
		jitter = 0 // the random part below does what the least jitter is for
	}
	cost := t.cost(e, jitter, prompt)
	if cost > bound+e.load() { // a work time below the usual takes less than the load off the cost
		return cost
	}
	age := now.Sub(e.reported.at)
	work := e.reported.work(age)
	if cost += (work - 1) * e.load(); cost > bound {
		return cost
	}
	own := runTokens + float64(prompt)
	expected := (own + e.uncounted(age)*runTokens) * work / own
	return cost + spreadTokens*expected*expected*t.exponential()
}

// exponential returns a random number with the exponential distribution of mean 1.
func (t *Table) exponential() float64 { return -math.Log(1 - t.config.Random()) }

// known returns what is known of a server's reports.
func (e *entry) known(now time.Time) Reported {
	k := &e.reported
	r := Reported{AnswerTime: time.Duration(k.answerTime * float64(time.Second))}
	if !k.at.IsZero() {
		r.WorkPercent, r.Requests, r.Age = 100*k.mean, k.requests, now.Sub(k.at)
	}
	return r
}

// ReportsWork reports whether the servers of a service report how long work takes.
func (t *Table) ReportsWork(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.measured(service, now) != nil
}

// Reporting returns the number of servers that have reported how long work takes within the last minute.
func (t *Table) Reporting(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.servers {
		if !e.reported.at.IsZero() && now.Sub(e.reported.at) < reportTimeout {
			n++
		}
	}
	return n
}
