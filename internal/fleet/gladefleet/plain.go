package gladefleet

import (
	"slices"
	"time"
)

const (
	// answerWeight is the weight of a new answer time in the moving averages of a server and of its service. A VM gets about
	// one answer per second from each server.
	answerWeight = 0.2
	// answerHalfLife halves the influence of a server's own answer times against those of its service.
	answerHalfLife = 10 * time.Second
	// defaultAnswerTime is the expected answer time in seconds before any was measured.
	defaultAnswerTime = 0.05
	// otherDomainTime is added to the expected answer time of a server in another failure domain that has not answered yet,
	// in seconds.
	otherDomainTime = 0.002
	// errorTimeFactor is how much a server that fails all requests is expected to prolong an answer.
	errorTimeFactor = 3.0
	// minSpread is the random part of a cost where the knowledge is fresh, so that VMs that hear the same report do not all
	// choose the same server; 1 is a choice in proportion.
	minSpread = 0.3
	// minFullTime and maxFullTime bound the time for which a server that refused a request is left out.
	minFullTime, maxFullTime = 10 * time.Millisecond, 300 * time.Millisecond
	// fullCost is added to the cost of a server that is probably full, in seconds. It exceeds all expected times.
	fullCost = 1e3
)

// RecordAnswerTime records how long a plain request took on a server. complete is false if it was given up before its
// answer, so that its true time is longer.
func (t *Table) RecordAnswerTime(id string, took time.Duration, complete bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil || took <= 0 || !complete && took.Seconds() < e.reported.answerTime {
		return
	}
	update := func(mean *float64) {
		if *mean == 0 {
			*mean = took.Seconds()
		}
		*mean += answerWeight * (took.Seconds() - *mean)
	}
	update(&e.reported.answerTime)
	e.reported.answeredAt = now
	if s := t.measured(e.Service, now); s != nil {
		update(&s.answerTime)
	}
}

// answerTime returns the expected time of an answer on a server without waiting, in seconds.
func (t *Table) answerTime(e *entry, s *serviceReports, now time.Time) float64 {
	usual := s.answerTime
	if usual == 0 {
		usual = defaultAnswerTime
	}
	k := &e.reported
	age := now.Sub(k.at)
	expected := usual * k.work(age)
	switch {
	case k.answerTime > 0:
		own := decay(now.Sub(k.answeredAt), answerHalfLife)
		expected = own*k.answerTime + (1-own)*expected
	case e.FailureDomain != t.config.FailureDomain:
		expected += otherDomainTime
	}
	if !k.at.IsZero() {
		expected *= 1 + (k.last/k.mean-1)*decay(age, lastWorkHalfLife)
	}
	return expected
}

// plainCost returns the expected time of an answer on a server, divided by its slots and times a random factor. With the
// factor of old knowledge, each server is chosen with a probability in proportion to the work it completes.
func (t *Table) plainCost(e *entry, s *serviceReports, now time.Time) float64 {
	k := &e.reported
	expected, slots := t.answerTime(e, s, now), float64(max(1, e.Slots))
	fresh := 0.0
	if !k.at.IsZero() {
		fresh = decay(now.Sub(k.at), lastWorkHalfLife)
	}
	// The peers' counts are not used: they are up to a second old, and a plain request takes some 10 ms.
	ahead := float64(e.runs) + float64(k.others)*fresh
	expected *= 1 + max(0, ahead+1-slots)/slots
	expected *= 1 + errorTimeFactor*e.errorRate
	spread := max(minSpread, 1-fresh)
	cost := expected / slots * (1 - spread + spread*t.exponential())
	if now.Before(k.fullUntil) {
		cost += fullCost + k.fullUntil.Sub(now).Seconds()
	}
	return cost
}

// MarkFull records that a server refused a plain request for lack of room. Until it has probably worked off its queue it is
// chosen only if all others are full too. It returns for how long, zero if the servers of its service report no work times.
func (t *Table) MarkFull(id string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil {
		return 0
	}
	s := t.measured(e.Service, now)
	if s == nil {
		return 0
	}
	slots := max(1, e.Slots)
	waiting := max(0, e.reported.requests-slots)
	lasts := t.answerTime(e, s, now) * float64(waiting+1) / float64(slots)
	full := min(maxFullTime, max(minFullTime, time.Duration(lasts*float64(time.Second))))
	e.reported.fullUntil = now.Add(full)
	return full
}

// FullUntil returns when the first of a service's healthy servers probably has room again, apart from the given ones. It is
// zero if one has room now or none is left.
func (t *Table) FullUntil(service string, apart []string, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first time.Time
	for _, e := range t.services[service] {
		if rank, ok := t.healthRank(e, now); !ok || rank != healthy || slices.Contains(apart, e.ID) {
			continue
		}
		full := e.reported.fullUntil
		if !now.Before(full) {
			return time.Time{}
		}
		if first.IsZero() || full.Before(first) {
			first = full
		}
	}
	return first
}
