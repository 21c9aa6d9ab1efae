package gladesuspect

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// Restrictions say on which servers a request may run next.
type Restrictions struct {
	// Suspect is set if the request should not run with other suspects.
	Suspect bool
	// Avoid are the servers that run other suspects.
	Avoid []string
	// Forbid are the servers in Avoid on which StartRun refuses the request.
	Forbid []string
	// Trial is set if the request has held parts and may be sent once, to see whether servers still die on them.
	Trial bool
}

// Check returns where a request may run next, or ErrPoison if it is refused, by itself or for its parts. Before a first refusal it
// waits for the Window, to see other deaths of the same time.
func (t *Tracker) Check(ctx context.Context, r Request) (Restrictions, error) {
	if t == nil || r.Fingerprint == 0 {
		return Restrictions{}, nil
	}
	t.mu.Lock()
	trial, err := t.checkRefused(r)
	reached := t.reachesLimit(r.Fingerprint)
	_, suspected := t.parts.culprit(r.Parts, time.Now(), t.config.Window)
	t.mu.Unlock()
	if err != nil {
		return Restrictions{}, err
	}
	if reached {
		if err := t.confirmPoison(ctx, r.Fingerprint); err != nil {
			return Restrictions{}, err
		}
	}
	if suspected && !trial {
		if err := t.confirmHeld(ctx, r); err != nil {
			return Restrictions{}, err
		}
	}
	if trial && !r.Trial {
		if err := t.confirmTrial(ctx, r); err != nil {
			return Restrictions{}, err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.restrictions(r.Fingerprint)
	v.Trial = trial
	return v, nil
}

// checkRefused returns ErrPoison if the request is refused already, by itself or for its parts.
func (t *Tracker) checkRefused(r Request) (trial bool, err error) {
	if err := t.refusal(r.Fingerprint); err != nil {
		return false, err
	}
	return t.checkParts(r)
}

// refusal returns ErrPoison if the request is refused already. The caller holds the lock.
func (t *Tracker) refusal(fingerprint uint64) error {
	if r, ok := t.refused[fingerprint]; ok && time.Now().Before(r.Until) {
		return poisonError(r)
	}
	return nil
}

func (t *Tracker) restrictions(fingerprint uint64) Restrictions {
	if t.countedDeaths(fingerprint) == 0 {
		return Restrictions{}
	}
	v := Restrictions{Suspect: true}
	for server := range t.runs {
		if t.runsSuspect(server, fingerprint) {
			v.Avoid = append(v.Avoid, server)
		}
		if t.mustSeparate(server, fingerprint) {
			v.Forbid = append(v.Forbid, server)
		}
	}
	return v
}

// runsSuspect reports whether a server runs a suspect other than the request.
func (t *Tracker) runsSuspect(server string, fingerprint uint64) bool {
	return slices.ContainsFunc(t.runs[server], func(o *TrackedRun) bool {
		return o.fingerprint != fingerprint && t.countedDeaths(o.fingerprint) > 0
	})
}

// mustSeparate reports whether a request must not run with the suspects on a server. A suspect under which more than one
// server died runs with no other suspect.
func (t *Tracker) mustSeparate(server string, fingerprint uint64) bool {
	own := t.countedDeaths(fingerprint)
	if own == 0 {
		return false
	}
	return slices.ContainsFunc(t.runs[server], func(o *TrackedRun) bool {
		other := t.countedDeaths(o.fingerprint)
		return o.fingerprint != fingerprint && other > 0 && max(own, other) > 1
	})
}

// countedDeaths returns the number of deaths that count against a request.
func (t *Tracker) countedDeaths(fingerprint uint64) int {
	n := 0
	for _, d := range t.deathsByRequest[fingerprint] {
		if t.countsAgainst(d, fingerprint) {
			n++
		}
	}
	return n
}

// countsAgainst reports whether a death counts against a request: it did not come after progress or in a mass loss.
func (t *Tracker) countsAgainst(d *death, fingerprint uint64) bool {
	return !d.runs[fingerprint].progressed && !t.isMassLoss(d, fingerprint)
}

// Evidence is what a Tracker knows against a request.
type Evidence struct {
	// Deaths is the number of servers that died while they ran the request.
	Deaths int
	// Counted is the number of them that count against it: neither after progress nor in a mass loss.
	Counted int
	// Attributed is the number of those that no other suspect explains.
	Attributed int
	// LastDeath is the time of the last death, zero without one.
	LastDeath time.Time
}

// Evidence returns what is known against a request.
func (t *Tracker) Evidence(fingerprint uint64) Evidence {
	if t == nil {
		return Evidence{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	deaths := t.deathsByRequest[fingerprint]
	e := Evidence{
		Deaths: len(deaths), Counted: t.countedDeaths(fingerprint), Attributed: len(t.attributedDeaths(fingerprint)),
	}
	for _, d := range deaths {
		if d.at.After(e.LastDeath) {
			e.LastDeath = d.at
		}
	}
	return e
}

// DeadServers returns the identifiers of the servers that died while they ran a request.
func (t *Tracker) DeadServers(fingerprint uint64) []string {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return serverIDs(t.deathsByRequest[fingerprint])
}

// reachesLimit reports whether a request is to be refused.
//
// That needs deaths one after another, since servers that are lost together may all have run the same harmless request. The
// limit is MaxDeaths such deaths that are attributed to it, or twice as many of any kind. Twice as many that count
// against it are enough too if at least one followed another: few harmless requests have so many copies.
func (t *Tracker) reachesLimit(fingerprint uint64) bool {
	all := t.deathsByRequest[fingerprint]
	if len(all) < t.config.MaxDeaths {
		return false
	}
	counted := slices.DeleteFunc(slices.Clone(all), func(d *death) bool { return !t.countsAgainst(d, fingerprint) })
	return t.successive(t.attributedDeaths(fingerprint), fingerprint) >= t.config.MaxDeaths ||
		len(counted) >= 2*t.config.MaxDeaths && t.successive(counted, fingerprint) > 1 ||
		t.successive(all, fingerprint) >= 2*t.config.MaxDeaths
}

// successive returns the largest number of deaths under a request of which each run began after the death before.
func (t *Tracker) successive(deaths []*death, fingerprint uint64) int {
	sorted := slices.SortedFunc(slices.Values(deaths), func(a, b *death) int { return a.at.Compare(b.at) })
	n := 0
	last := time.Time{}
	for _, d := range sorted {
		if !d.runs[fingerprint].began.Before(last) && d.at.Sub(last) >= t.config.MinGap {
			n++
			last = d.at
		}
	}
	return n
}

// attributedDeaths returns the deaths that are attributed to a request. Of the deaths that count against it, these are
// the first one and each later one that no other suspect explains as well.
func (t *Tracker) attributedDeaths(fingerprint uint64) []*death {
	var deaths []*death
	for _, d := range t.deathsByRequest[fingerprint] {
		if !t.countsAgainst(d, fingerprint) || len(deaths) > 0 && t.hasOtherSuspect(d, fingerprint) {
			continue
		}
		deaths = append(deaths, d)
	}
	return deaths
}

// isMassLoss reports whether MassDeaths other servers, whose deaths no request explains, died in the same failure domain
// within the window around a death.
func (t *Tracker) isMassLoss(d *death, fingerprint uint64) bool {
	return t.isLostWithOthers(d.server, d.at, func(o *death) bool {
		_, same := o.runs[fingerprint]
		return !same && !t.isExplained(o)
	})
}

// isMassPartLoss reports the same of a death on a part.
func (t *Tracker) isMassPartLoss(d *partDeath, part uint64) bool {
	return t.isLostWithOthers(d.server, d.at, func(o *death) bool { return !t.parts.diedWith(part, o.server, o.at) && !o.explained })
}

// isLostWithOthers reports whether MassDeaths other servers, whose deaths counts accepts, died in the failure domain of a server within
// the window around its death.
func (t *Tracker) isLostWithOthers(server gladeapi.BackendServer, at time.Time, counts func(*death) bool) bool {
	others := map[string]bool{}
	first, _ := slices.BinarySearchFunc(t.deaths, at.Add(-t.config.Window), func(o *death, at time.Time) int { return o.at.Compare(at) })
	for _, o := range t.deaths[first:] {
		if o.at.Sub(at) > t.config.Window {
			break
		}
		if o.server.ID != server.ID && o.server.FailureDomain == server.FailureDomain && counts(o) {
			others[o.server.ID] = true
		}
	}
	return len(others) >= t.config.MassDeaths
}

// isExplained reports whether a request that ran on a dead server may be the cause: it is refused, or another server died under
// it at another time.
func (t *Tracker) isExplained(d *death) bool {
	if d.explained {
		return true
	}
	for f, v := range d.runs {
		apart := func(o *death) bool { return !o.runs[f].progressed && o.at.Sub(d.at).Abs() > t.config.Window }
		if !v.progressed && slices.ContainsFunc(t.deathsByRequest[f], apart) {
			return true
		}
	}
	return false
}

// hasOtherSuspect reports whether another request, which was a suspect before a death, may have caused it: it explains as
// many deaths.
func (t *Tracker) hasOtherSuspect(d *death, fingerprint uint64) bool {
	own := t.countedDeaths(fingerprint)
	for other := range d.runs {
		earlier := func(o *death) bool { return o.sequence < d.sequence && !o.runs[other].progressed }
		if other != fingerprint && slices.ContainsFunc(t.deathsByRequest[other], earlier) && t.countedDeaths(other) >= own {
			return true
		}
	}
	return false
}

// confirmPoison waits for other deaths of the same time and refuses the request unless it is cleared by then. If a
// failure domain is lost, it clears the request at once.
func (t *Tracker) confirmPoison(ctx context.Context, fingerprint uint64) error {
	cleared := t.cleared(ctx, fingerprint)
	if !cleared {
		if err := t.wait(ctx); err != nil {
			return err
		}
		cleared = t.cleared(ctx, fingerprint)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.refusal(fingerprint); err != nil || cleared { // another check of the same time may have refused it
		return err
	}
	r := Refused{
		Fingerprint: fingerprint, Until: time.Now().Add(t.config.Retention), Servers: serverIDs(t.deathsByRequest[fingerprint]),
	}
	t.addRefused(r)
	t.config.Log.Warn("Request refused as poison.", "fingerprint", fingerprint, "servers", r.Servers)
	if t.config.OnRefused != nil {
		go t.config.OnRefused(r)
	}
	return poisonError(r)
}

// cleared reports whether the request does not reach the limit of deaths, or one of their failure domains is lost.
func (t *Tracker) cleared(ctx context.Context, fingerprint uint64) bool {
	t.mu.Lock()
	reached := t.reachesLimit(fingerprint)
	deaths := slices.Clone(t.deathsByRequest[fingerprint])
	t.mu.Unlock()
	return !reached || t.withdrawLostDomains(ctx, deaths)
}

func serverIDs(deaths []*death) []string {
	ids := make([]string, len(deaths))
	for i, d := range deaths {
		ids[i] = d.server.ID
	}
	return ids
}

// addRefused stores a refusal and ends the runs of the request. It withdraws the deaths under it from all requests that ran on
// those servers, as the cause is known. If there are more than maxRefused, it removes the one that expires first.
func (t *Tracker) addRefused(r Refused) {
	t.refused[r.Fingerprint] = r
	t.parts.explain(r.Fingerprint, r.Servers)
	for _, d := range slices.Clone(t.deathsByRequest[r.Fingerprint]) {
		t.withdrawDeath(d)
		d.explained = true
	}
	for _, runs := range t.runs {
		for _, v := range runs {
			if v.fingerprint == r.Fingerprint && v.onRefused != nil && !v.Progressed() {
				go v.onRefused()
				v.onRefused = nil
			}
		}
	}
	if len(t.refused) <= maxRefused {
		return
	}
	oldest := r
	for _, o := range t.refused {
		if o.Until.Before(oldest.Until) {
			oldest = o
		}
	}
	delete(t.refused, oldest.Fingerprint)
}

// Refused returns the refused requests, sorted by expiry.
func (t *Tracker) Refused() []Refused {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	all := make([]Refused, 0, len(t.refused))
	for _, r := range t.refused {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Refused) int { return a.Until.Compare(b.Until) })
	return all
}

// ImportRefused adds the refused requests of another Tracker, which expire after this Tracker's retention at the
// latest.
func (t *Tracker) ImportRefused(rs []Refused) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := time.Now().Add(t.config.Retention)
	for _, r := range rs {
		if r.Until.After(latest) {
			r.Until = latest
		}
		if _, known := t.refused[r.Fingerprint]; !known && time.Now().Before(r.Until) {
			t.addRefused(r)
		}
	}
}

// SuspectCount returns the number of requests that a death counts against.
func (t *Tracker) SuspectCount() int {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for fingerprint := range t.deathsByRequest {
		if t.countedDeaths(fingerprint) > 0 {
			n++
		}
	}
	return n
}

func poisonError(r Refused) error {
	return eris.Wrapf(ErrPoison, "%d servers", len(r.Servers))
}

// Refusal returns the answer to the caller of a poison request.
func Refusal(err error, ran gladeapi.Ran) *gladeapi.Refusal {
	return &gladeapi.Refusal{Status: http.StatusUnprocessableEntity, Code: gladeapi.CodePoison, Message: err.Error(), Ran: ran}
}
