package gladerollout

import "time"

// The conditions for holding a version for bad, as stated in docs/design/rollouts.md.
const (
	failureMargin = 0.15
	slowMargin    = 0.25
	// slowMarginAlone replaces slowMargin where the old version has no answers in the same time to compare with: a burst
	// of requests may make a good version exceed the last known times.
	slowMarginAlone = 0.5
	// slowBuckets is the distance from the old version's median from which on an answer is slow: at least 2.8 times as
	// long, whatever the position in the buckets.
	slowBuckets = 4
	// suspectBuckets is the same for doubts: at least 1.4 times as long. Times on the way to being slow count.
	suspectBuckets = 2
	badLevel       = 0.01
	// likelyFactor is the part of the old version's own rate by which the target's must exceed it significantly when time
	// runs out: faulty servers and bursts of requests do not strike the versions exactly alike.
	likelyFactor = 1.5
	likelyLevel  = 0.03
	suspectLevel = 0.1
	// Spans of two spanIntervals are judged apart, up to the age of maxSpanAge: good answers at other times don't hide that a version was bad for some seconds.
	spanInterval, maxSpanAge = 2 * time.Second, 10 * time.Second
	// minSuspectAnswers is the number of answers from which on a version can be in doubt.
	minSuspectAnswers = 3
	// minOldAnswers is the number of the old version's answers that give a rate or a median.
	minOldAnswers = 5
	// manyOldAnswers is the number from which on a rate needs no support by that of the other routes.
	manyOldAnswers = 20
	// Failures must have occurred on a part of the target's servers in use, since a few faulty servers don't make a bad
	// version: on all of up to minFailing, and on more if more are in use, up to maxFailing.
	minFailing, maxFailing, failingPart = 3, 8, 0.16
	// If the old version has cleanAnswers with a rate of failures below cleanRate, there are no faulty servers to allow
	// for, and failures on two servers suffice.
	cleanAnswers, cleanRate = 100, 0.01
)

// verdict is what the evidence says about a target.
type verdict struct {
	// bad names the proof that the version is bad. Suspect names a doubt: the share does not rise.
	bad, suspect string
	// likely names an excess above the margin that is significant at a lower one. It decides when time runs out.
	likely string
}

// measure is one way to count hits among a version's answers.
type measure struct {
	name          string
	margin, alone float64
	slow          bool
	// count returns the hits and the total of one class, with a distance from the median in buckets.
	count func(k *counts, median, distance int) proportion
	// times returns the times whose median is taken.
	times func(k *counts) *histogram
}

var measures = []measure{
	{name: "failures", margin: failureMargin, alone: failureMargin, count: func(k *counts, _, _ int) proportion {
		return proportion{float64(k.failed), float64(k.conclusive())}
	}},
	{name: "slow first events", margin: slowMargin, alone: slowMarginAlone, slow: true, count: countSlow, times: func(k *counts) *histogram { return &k.first }},
	{name: "slow events", margin: slowMargin, alone: slowMarginAlone, slow: true, count: func(k *counts, median, distance int) proportion {
		return proportion{float64(k.gaps.from(median + distance)), float64(k.gaps.total())}
	}, times: func(k *counts) *histogram { return &k.gaps }},
}

// countSlow counts the requests that waited for the first event for long, and all whose wait is known to be long or short.
func countSlow(k *counts, median, distance int) proportion {
	slow := k.first.from(median+distance) + k.open.from(median+distance)
	return proportion{float64(slow), float64(k.first.total() + k.open.from(median+distance))}
}

// judge judges the target by the requests since the order was first seen, by those since the last step, and by spans of
// some seconds.
func (s *sums) judge(elapsed, sinceStep time.Duration) verdict {
	var v verdict
	spans := []span{within(elapsed)}
	if c := within(min(sinceStep, elapsed)); c != spans[0] {
		spans = append(spans, c)
	}
	for from := time.Duration(0); from+spanInterval <= min(elapsed, maxSpanAge); from += spanInterval {
		spans = append(spans, between(from, from+2*spanInterval))
	}
	for _, m := range measures {
		for _, c := range spans {
			s.judgeSpan(m, c, &v)
		}
	}
	return v
}

// judgeSpan judges each route and all routes together.
func (s *sums) judgeSpan(m measure, c span, v *verdict) {
	var all, allNear comparison
	// Medians of equal times may lie in neighbouring buckets, so other routes' rates are taken one bucket lower.
	rates, nearRates := s.oldRates(m, c, slowBuckets-1), s.oldRates(m, c, suspectBuckets-1)
	for _, name := range s.names() {
		r := s.routes[name]
		k, near := r.compare(m, c, slowBuckets, &rates), r.compare(m, c, suspectBuckets, &nearRates)
		s.weigh(m, "route "+name, k, near, v)
		all, allNear = all.plus(k), allNear.plus(near)
	}
	s.weigh(m, "all routes", all, allNear, v)
}

// weigh sets the parts of the verdict that a comparison gives.
func (s *sums) weigh(m measure, where string, k, near comparison, v *verdict) {
	margin := m.margin
	if k.alone {
		margin = m.alone
	}
	text := m.name + " on " + where
	spread := m.slow || s.widespread()
	if v.bad == "" && spread && exceeds(k.target, k.old(), margin, badLevel) {
		v.bad = text
	}
	excess := k.target.rate() - k.old().rate()
	if v.likely == "" && spread && excess > margin && exceeds(k.target, k.old(), likelyFactor*k.old().rate(), badLevel) {
		v.likely = text
	}
	excess = near.target.rate() - near.old().rate()
	if v.suspect == "" && near.target.total >= minSuspectAnswers && excess > m.margin &&
		exceeds(near.target, near.old(), 0, suspectLevel) {
		v.suspect = text
	}
}

// comparison holds what the target showed and what the old version would have shown in its place.
type comparison struct {
	target proportion
	// expected is the number of hits that the target would have had at the old version's rates, and total the number of
	// the old version's answers that gave the rates.
	expected, total float64
	// alone reports that the old version had too few answers at these times on all routes, and earlier ones were taken.
	alone bool
}

// old returns the old version's hits, weighted as the target's answers are over routes and time.
func (k comparison) old() proportion {
	if k.target.total == 0 {
		return proportion{}
	}
	return proportion{k.expected / k.target.total * k.total, k.total}
}

func (k comparison) plus(o comparison) comparison {
	return comparison{
		target: k.target.plus(o.target), expected: k.expected + o.expected, total: k.total + o.total,
		alone: k.alone || o.alone,
	}
}

// oldRates holds the old version's rates of hits over all routes, by class of age, and the number of answers.
type oldRates struct {
	rates [classes]float64
	total float64
}

// oldRates returns the old version's rates over all routes.
func (s *sums) oldRates(m measure, c span, distance int) oldRates {
	var k oldRates
	var total [classes]proportion
	for _, r := range s.routes {
		if old, median, _, ok := r.reference(m, c); ok && old.begun > 0 {
			for i := c.from; i < c.to; i++ {
				total[i] = total[i].plus(m.count(&r.old[i], median, distance))
			}
		}
	}
	for i, p := range total {
		k.total += p.total
		if p.total >= minOldAnswers {
			k.rates[i] = p.rate()
		}
	}
	return k
}

// compare compares the versions on a route, class by class of age. Otherwise a burst of requests or a fault that strikes
// both would count against the target if its share has risen meanwhile. Where the old version has few answers on the
// route, its rate on all routes counts as well.
func (r *routeSums) compare(m measure, c span, distance int, all *oldRates) comparison {
	old, median, few, ok := r.reference(m, c)
	if !ok {
		return comparison{}
	}
	pooled := m.count(&old, median, distance)
	sum := comparison{total: max(pooled.total, all.total), alone: few && all.total < minOldAnswers}
	for i := c.from; i < c.to; i++ {
		target, rate := m.count(&r.target[i], median, distance), max(pooled.rate(), all.rates[i])
		switch o := m.count(&r.old[i], median, distance); {
		case o.total >= manyOldAnswers:
			rate = o.rate()
		case o.total >= minOldAnswers:
			rate = max(o.rate(), all.rates[i])
		}
		sum.target = sum.target.plus(target)
		sum.expected += rate * target.total
	}
	return sum
}

// reference returns the old version's requests on a route in the given classes, or in all classes if there are too few,
// which it reports. The median is that of all classes: with one of the given classes only, what is slow would differ from
// route to route in a burst. It returns false without a median.
func (r *routeSums) reference(m measure, c span) (old counts, median int, few, ok bool) {
	old = c.total(&r.old)
	history := span{0, classes}.total(&r.old)
	if m.times == nil {
		few = old.conclusive() < minOldAnswers
	} else {
		few = m.times(&old).total() < minOldAnswers
		if median, ok = m.times(&history).median(); !ok {
			return old, 0, few, false
		}
	}
	if few {
		old = history
	}
	return old, median, few, true
}

// widespread reports whether the failures occurred on enough of the target's servers.
func (s *sums) widespread() bool {
	if s.clean() {
		return s.failing > 0 && s.failing >= min(s.used, 2)
	}
	return s.failing > 0 && s.failing >= min(s.used, max(minFailing, min(int(failingPart*float64(s.used)), maxFailing)))
}

// clean reports whether the old version has hardly any failures.
func (s *sums) clean() bool {
	var old counts
	for _, r := range s.routes {
		t := span{0, classes}.total(&r.old)
		old.merge(&t)
	}
	return old.answers() >= cleanAnswers && float64(old.failed) < cleanRate*float64(old.answers())
}
