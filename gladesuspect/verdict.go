package gladesuspect

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// Verdict says how a request may run next.
type Verdict struct {
	// Suspect requests should run apart from other suspects.
	Suspect bool
	// Avoid are the servers that run other suspects.
	Avoid []string
	// Forbid are those of them where Enter would refuse the request.
	Forbid []string
}

// Judge returns how a request may run next, or ErrPoison; it waits before it refuses a request for the first time.
func (t *Tracker) Judge(ctx context.Context, fingerprint uint64) (Verdict, error) {
	if t == nil || fingerprint == 0 {
		return Verdict{}, nil
	}
	t.mu.Lock()
	r, refused := t.refused[fingerprint]
	refused = refused && time.Now().Before(r.Until)
	guilty := t.guilty(fingerprint)
	t.mu.Unlock()
	if refused {
		return Verdict{}, refusal(r)
	}
	if guilty {
		if err := t.confirm(ctx, fingerprint); err != nil {
			return Verdict{}, err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(fingerprint), nil
}

func (t *Tracker) verdict(fingerprint uint64) Verdict {
	if t.level(fingerprint) == 0 {
		return Verdict{}
	}
	v := Verdict{Suspect: true}
	for server := range t.visits {
		if t.runsSuspect(server, fingerprint) {
			v.Avoid = append(v.Avoid, server)
		}
		if t.collides(server, fingerprint) {
			v.Forbid = append(v.Forbid, server)
		}
	}
	return v
}

// runsSuspect reports whether a server runs a suspect other than the request.
func (t *Tracker) runsSuspect(server string, fingerprint uint64) bool {
	return slices.ContainsFunc(t.visits[server], func(o *Visit) bool {
		return o.fingerprint != fingerprint && t.level(o.fingerprint) > 0
	})
}

// collides reports whether a request must not join the suspects on a server: those under which
// more than one server died run with no other suspect.
func (t *Tracker) collides(server string, fingerprint uint64) bool {
	level := t.level(fingerprint)
	if level == 0 {
		return false
	}
	return slices.ContainsFunc(t.visits[server], func(o *Visit) bool {
		other := t.level(o.fingerprint)
		return o.fingerprint != fingerprint && other > 0 && max(level, other) > 1
	})
}

// level returns the number of deaths under a request, without those of a mass loss or after progress.
func (t *Tracker) level(fingerprint uint64) int {
	n := 0
	for _, d := range t.blamed[fingerprint] {
		if t.speaks(d, fingerprint) {
			n++
		}
	}
	return n
}

// speaks reports whether a death tells anything against a request.
func (t *Tracker) speaks(d *death, fingerprint uint64) bool {
	return !d.progressed[fingerprint] && !t.mass(d, fingerprint)
}

// guilty reports whether enough deaths speak against a request and against no other suspect.
func (t *Tracker) guilty(fingerprint uint64) bool {
	if len(t.blamed[fingerprint]) >= 2*t.config.MaxKills {
		return true
	}
	return len(t.evidence(fingerprint)) >= t.config.MaxKills
}

// evidence returns the deaths that speak against a request alone: its first, and those without another earlier suspect.
func (t *Tracker) evidence(fingerprint uint64) []*death {
	var deaths []*death
	for _, d := range t.blamed[fingerprint] {
		if !t.speaks(d, fingerprint) || len(deaths) > 0 && t.shared(d, fingerprint) {
			continue
		}
		deaths = append(deaths, d)
	}
	return deaths
}

// mass reports whether servers that did not run the request died around the same time in the same failure domain.
func (t *Tracker) mass(d *death, fingerprint uint64) bool {
	others := d.near
	for _, o := range t.blamed[fingerprint] {
		if o != d && o.server.FailureDomain == d.server.FailureDomain && o.at.Sub(d.at).Abs() <= t.config.Window {
			others--
		}
	}
	return others >= t.config.MassDeaths
}

// shared reports whether a death may as well be the work of another request that was a suspect before.
func (t *Tracker) shared(d *death, fingerprint uint64) bool {
	for other := range d.requests {
		earlier := func(o *death) bool { return o.sequence < d.sequence && !o.progressed[other] }
		if other != fingerprint && slices.ContainsFunc(t.blamed[other], earlier) {
			return true
		}
	}
	return false
}

// confirm waits for other deaths of the same moment, and refuses the request if the evidence still holds; a failure
// domain that is seen to be lost acquits it at once.
func (t *Tracker) confirm(ctx context.Context, fingerprint uint64) error {
	if t.acquitted(ctx, fingerprint) {
		return nil
	}
	select {
	case <-time.After(t.config.Window):
	case <-ctx.Done():
		return ctx.Err()
	}
	if t.acquitted(ctx, fingerprint) {
		return nil
	}
	t.mu.Lock()
	r := t.refuse(fingerprint, slices.Clone(t.blamed[fingerprint]))
	t.mu.Unlock()
	t.config.Log.Warn("Request refused as poison.", "fingerprint", fingerprint, "engines", r.Servers)
	if t.config.OnRefused != nil {
		t.config.OnRefused(r)
	}
	return refusal(r)
}

// acquitted reports whether the evidence against a request no longer holds.
func (t *Tracker) acquitted(ctx context.Context, fingerprint uint64) bool {
	t.mu.Lock()
	guilty := t.guilty(fingerprint)
	deaths := slices.Clone(t.blamed[fingerprint])
	t.mu.Unlock()
	return !guilty || t.lost(ctx, deaths)
}

// refuse remembers the request and acquits the others that ran on the servers it killed.
func (t *Tracker) refuse(fingerprint uint64, deaths []*death) Refused {
	r := Refused{Fingerprint: fingerprint, Until: time.Now().Add(t.config.Memory), Servers: servers(deaths)}
	for _, d := range deaths {
		t.forget(d)
	}
	t.remember(r)
	return r
}

func servers(deaths []*death) []string {
	ids := make([]string, len(deaths))
	for i, d := range deaths {
		ids[i] = d.server.ID
	}
	return ids
}

func (t *Tracker) remember(r Refused) {
	t.refused[r.Fingerprint] = r
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

// Refused returns the refused requests, soonest to expire first.
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

// Import adds the refused requests of another Tracker, for no longer than this one's own memory.
func (t *Tracker) Import(rs []Refused) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := time.Now().Add(t.config.Memory)
	for _, r := range rs {
		if r.Until.After(latest) {
			r.Until = latest
		}
		if _, known := t.refused[r.Fingerprint]; !known && time.Now().Before(r.Until) {
			t.remember(r)
		}
	}
}

// Suspects returns the number of requests that some death speaks against.
func (t *Tracker) Suspects() int {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for fingerprint := range t.blamed {
		if t.level(fingerprint) > 0 {
			n++
		}
	}
	return n
}

func refusal(r Refused) error {
	return eris.Wrapf(ErrPoison, "%d servers", len(r.Servers))
}

// Refusal returns what a caller is told of a poison request.
func Refusal(err error, ran gladeapi.Ran) *gladeapi.Refusal {
	return &gladeapi.Refusal{Status: http.StatusUnprocessableEntity, Code: gladeapi.CodePoison, Message: err.Error(), Ran: ran}
}
