package gladesuspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const (
	// minPartDeaths is the number of deaths on a part from which it is held, if it was not answered before.
	minPartDeaths = 3
	// minAnsweredPartDeaths is the same for a part that was answered before, which is also held only once there has been no answer
	// for answerPause: requests that share it and are harmless are answered meanwhile.
	minAnsweredPartDeaths = 5
	answerPause           = 2500 * time.Millisecond
	// minPartRequests is the number of different requests with a part under which servers must have died.
	minPartRequests = 2
	// answerMemory is how long an answer shows that a part is in use.
	answerMemory = time.Minute
	// maxAnsweredParts is the number of parts whose last answers are remembered.
	maxAnsweredParts = 8192
	// maxToldParts is the number of parts for which it is remembered when a VM last told the others of an answer.
	maxToldParts = 1024
	// maxPartRefs is the largest number of parts of lost runs that are stored, all deaths together.
	maxPartRefs = 1 << 16
	// maxHeld is the largest number of sets of parts that are held.
	maxHeld = 256
	// maxReleased is the number of released sets that are remembered, so that an older report does not hold them again.
	maxReleased = 1024
)

// partDeath is the death of one server, with the runs that had not progressed.
type partDeath struct {
	server gladeapi.BackendServer
	at     time.Time
	runs   []partRun
	// causes are the fingerprints of the requests that are refused for the death by themselves.
	causes []uint64
}

// partRun is a lost run that may have caused a death.
type partRun struct {
	fingerprint uint64
	parts       []uint64
}

// partLog holds the deaths and answers by the parts of requests. The Tracker's lock guards it.
type partLog struct {
	// deaths are sorted by time.
	deaths []*partDeath
	// refs is the number of parts in deaths.
	refs int
	// byPart holds the deaths with a part, sorted by time.
	byPart map[uint64][]*partDeath
	// answered is the time of the last answer, told the last one that all VMs know of, by part.
	answered, told *lru.Cache[uint64, time.Time]
	held           map[uint64]*heldSet
	released       *lru.Cache[uint64, struct{}]
	// isMassLoss reports whether a server was lost together with others of its failure domain on which no request with a part ran.
	isMassLoss func(d *partDeath, part uint64) bool
}

func newPartLog(isMassLoss func(d *partDeath, part uint64) bool) partLog {
	return partLog{
		isMassLoss: isMassLoss,
		byPart:     map[uint64][]*partDeath{}, held: map[uint64]*heldSet{},
		answered: newCache[time.Time](maxAnsweredParts), told: newCache[time.Time](maxToldParts), released: newCache[struct{}](maxReleased),
	}
}

func newCache[V any](size int) *lru.Cache[uint64, V] {
	c, err := lru.New[uint64, V](size)
	if err != nil {
		panic(err) // the size is positive
	}
	return c
}

// addLoss records that a run with those parts was lost as its server died.
func (l *partLog) addLoss(server gladeapi.BackendServer, at time.Time, fingerprint uint64, parts []uint64) {
	if len(parts) == 0 {
		return
	}
	d := l.recentDeath(server, at)
	if d == nil {
		d = &partDeath{server: server, at: at}
		i, _ := slices.BinarySearchFunc(l.deaths, at, func(o *partDeath, at time.Time) int { return o.at.Compare(at) })
		l.deaths = slices.Insert(l.deaths, i, d)
	}
	if slices.ContainsFunc(d.runs, func(r partRun) bool { return r.fingerprint == fingerprint }) {
		return
	}
	d.runs = append(d.runs, partRun{fingerprint: fingerprint, parts: parts})
	l.refs += len(parts)
	for _, p := range parts {
		l.index(p, d)
	}
	for l.refs > maxPartRefs && len(l.deaths) > 1 {
		l.removeOldest()
	}
}

func (l *partLog) index(part uint64, d *partDeath) {
	deaths := l.byPart[part]
	if slices.Contains(deaths, d) {
		return
	}
	i := len(deaths)
	for i > 0 && deaths[i-1].at.After(d.at) {
		i--
	}
	l.byPart[part] = slices.Insert(deaths, i, d)
}

func (l *partLog) recentDeath(server gladeapi.BackendServer, at time.Time) *partDeath {
	for _, d := range slices.Backward(l.deaths) {
		if at.Sub(d.at) > reportWindow {
			break
		}
		if d.server.ID == server.ID && d.server.Incarnation == server.Incarnation {
			return d
		}
	}
	return nil
}

func (l *partLog) removeOldest() {
	oldest := l.deaths[0]
	for _, r := range oldest.runs {
		l.refs -= len(r.parts)
		for _, p := range r.parts {
			remaining := slices.DeleteFunc(l.byPart[p], func(d *partDeath) bool { return d == oldest })
			if l.byPart[p] = remaining; len(remaining) == 0 {
				delete(l.byPart, p)
			}
		}
	}
	l.deaths = slices.Delete(l.deaths, 0, 1)
}

func (l *partLog) expire(now time.Time, retention time.Duration) {
	for len(l.deaths) > 0 && now.Sub(l.deaths[0].at) > retention {
		l.removeOldest()
	}
	maps.DeleteFunc(l.held, func(_ uint64, h *heldSet) bool { return now.After(h.Until) })
}

// lastAnswer returns the time of the last answer to a request with a part, or the zero time.
func (l *partLog) lastAnswer(part uint64) time.Time {
	at, _ := l.answered.Peek(part)
	return at
}

// holding returns the held set all of whose parts a request has, or nil.
func (l *partLog) holding(parts []uint64) *heldSet {
	if len(parts) == 0 {
		return nil
	}
	for _, h := range l.held {
		if containsAll(parts, h.Parts) {
			return h
		}
	}
	return nil
}

func containsAll(parts, subset []uint64) bool {
	return !slices.ContainsFunc(subset, func(p uint64) bool { return !slices.Contains(parts, p) })
}

// suspect is a part on which servers died since it was last answered.
type suspect struct {
	part   uint64
	deaths []*partDeath
	// together are the parts that were in every one of those deaths beside it, itself included, and that were not answered since.
	together []uint64
}

// culprit returns the suspect to hold next, which is not held yet. It looks no further if no server died on the parts of the request in
// question.
func (l *partLog) culprit(parts []uint64, now time.Time, gap time.Duration) (suspect, bool) {
	best := suspect{}
	if !slices.ContainsFunc(parts, l.isSuspected) {
		return best, false
	}
	for p, all := range l.byPart {
		if len(all) < minPartDeaths || len(all) == len(best.deaths) && slices.Contains(best.together, p) {
			continue
		}
		deaths := l.deathsOn(p)
		if !l.enough(p, deaths, now, gap) {
			continue
		}
		s := suspect{part: p, deaths: deaths, together: l.together(p, deaths)}
		if s.precedes(best) && !l.hasNarrower(s) && l.holding(s.together) == nil {
			best = s
		}
	}
	return best, len(best.deaths) > 0
}

// precedes orders suspects by the number of parts, as more parts refuse fewer requests, and then by the deaths that they explain. A part
// that very many requests share is in most deaths, whatever the cause.
func (s suspect) precedes(o suspect) bool {
	return cmp.Or(
		cmp.Compare(len(o.together), len(s.together)), cmp.Compare(len(o.deaths), len(s.deaths)), cmp.Compare(s.part, o.part),
	) < 0
}

// hasNarrower reports whether the few deaths on a suspect may be those on another part that came with it in several requests, so that it is
// too early to hold all requests with this one.
func (l *partLog) hasNarrower(s suspect) bool {
	if len(s.deaths) >= minAnsweredPartDeaths {
		return false
	}
	requests := map[uint64]map[uint64]bool{}
	for _, d := range s.deaths {
		for _, r := range d.runs {
			if slices.Contains(r.parts, s.part) {
				addRequest(requests, r)
			}
		}
	}
	for p, fingerprints := range requests {
		if len(fingerprints) >= minPartRequests && !slices.Contains(s.together, p) && !l.lastAnswer(p).After(s.deaths[0].at) {
			return true
		}
	}
	return false
}

// addRequest adds the request of a run to those with each of its parts.
func addRequest(requests map[uint64]map[uint64]bool, r partRun) {
	for _, p := range r.parts {
		if requests[p] == nil {
			requests[p] = map[uint64]bool{}
		}
		requests[p][r.fingerprint] = true
	}
}

// isSuspected reports whether a server died on a part since it was last answered.
func (l *partLog) isSuspected(part uint64) bool {
	deaths := l.byPart[part]
	return len(deaths) > 0 && deaths[len(deaths)-1].at.After(l.lastAnswer(part))
}

// deathsOn returns the deaths on a part since it was last answered that neither a held set nor the loss of a failure domain explains.
func (l *partLog) deathsOn(part uint64) []*partDeath {
	answered := l.lastAnswer(part)
	var deaths []*partDeath
	for _, d := range l.byPart[part] {
		if d.at.After(answered) && !l.isExplained(d, part) && !l.isMassLoss(d, part) {
			deaths = append(deaths, d)
		}
	}
	return deaths
}

func (d *partDeath) has(parts ...uint64) bool {
	return slices.ContainsFunc(d.runs, func(r partRun) bool { return containsAll(r.parts, parts) })
}

// diedWith reports whether the death of a server was one on a part.
func (l *partLog) diedWith(part uint64, server gladeapi.BackendServer, at time.Time) bool {
	return slices.ContainsFunc(l.byPart[part], func(d *partDeath) bool {
		return d.server.ID == server.ID && d.server.Incarnation == server.Incarnation && d.at.Sub(at).Abs() <= reportWindow
	})
}

// isExplained reports whether a request without the part that is refused by itself, or one with held parts, was among the runs of a death.
func (l *partLog) isExplained(d *partDeath, part uint64) bool {
	for _, f := range d.causes {
		if !slices.ContainsFunc(d.runs, func(r partRun) bool { return r.fingerprint == f && slices.Contains(r.parts, part) }) {
			return true
		}
	}
	for _, h := range l.held {
		if d.has(h.Parts...) {
			return true
		}
	}
	return false
}

// explain records that a request is refused by itself for the deaths of servers.
func (l *partLog) explain(fingerprint uint64, servers []string) {
	for _, d := range l.deaths {
		if slices.Contains(servers, d.server.ID) && !slices.Contains(d.causes, fingerprint) {
			d.causes = append(d.causes, fingerprint)
		}
	}
}

// enough reports whether deaths on a part suffice to hold it. They must be of several moments, as servers that are lost together
// may all run requests with the same harmless part, and of several requests.
func (l *partLog) enough(part uint64, deaths []*partDeath, now time.Time, gap time.Duration) bool {
	least := minPartDeaths
	if at := l.lastAnswer(part); !at.IsZero() && len(deaths) > 0 && deaths[0].at.Sub(at) < answerMemory {
		if now.Sub(at) < answerPause {
			return false
		}
		least = minAnsweredPartDeaths
	}
	if len(deaths) < least {
		return false
	}
	moments, last := 0, time.Time{}
	requests := map[uint64]bool{}
	for _, d := range deaths {
		if d.at.Sub(last) >= gap {
			moments++
			last = d.at
		}
		for _, r := range d.runs {
			if slices.Contains(r.parts, part) {
				requests[r.fingerprint] = true
			}
		}
	}
	return moments >= minPartDeaths && len(requests) >= minPartRequests
}

func (l *partLog) together(part uint64, deaths []*partDeath) []uint64 {
	var candidates []uint64
	for _, r := range deaths[0].runs {
		if slices.Contains(r.parts, part) {
			candidates = append(candidates, r.parts...)
		}
	}
	slices.Sort(candidates)
	return slices.DeleteFunc(slices.Compact(candidates), func(p uint64) bool {
		if p == part {
			return false
		}
		return l.lastAnswer(p).After(deaths[0].at) ||
			slices.ContainsFunc(deaths, func(d *partDeath) bool { return !d.has(part, p) })
	})
}

// release removes an answered part from the held sets and returns the sets that changed.
func (l *partLog) release(part uint64, at time.Time) []HeldParts {
	var changed []HeldParts
	for id, h := range l.held {
		if !at.After(h.since) || !slices.Contains(h.Parts, part) {
			continue
		}
		changed = append(changed, h.HeldParts)
		h.Parts = slices.DeleteFunc(slices.Clone(h.Parts), func(p uint64) bool { return p == part })
		if len(h.Parts) == 0 {
			delete(l.held, id)
			l.released.Add(id, struct{}{})
		}
	}
	return changed
}

// heldAs returns the held set that another VM reports, or nil. If both VMs have held the same parts by themselves, the set is known by
// the smaller identifier from then on.
func (l *partLog) heldAs(h HeldParts) *heldSet {
	if known := l.held[h.ID]; known != nil {
		return known
	}
	for id, o := range l.held {
		if !slices.Equal(o.Parts, h.Parts) {
			continue
		}
		if h.ID > id {
			l.released.Add(h.ID, struct{}{})
			return o
		}
		delete(l.held, id)
		l.released.Add(id, struct{}{})
		o.ID = h.ID
		l.held[h.ID] = o
		return o
	}
	return nil
}

// add holds a set, instead of the held sets that contain it.
func (l *partLog) add(h *heldSet) {
	for id, o := range l.held {
		if containsAll(o.Parts, h.Parts) {
			delete(l.held, id)
			l.released.Add(id, struct{}{})
		}
	}
	l.held[h.ID] = h
	if len(l.held) <= maxHeld {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(l.held)), func(a, b *heldSet) int { return a.Until.Compare(b.Until) })
	delete(l.held, oldest.ID)
}
