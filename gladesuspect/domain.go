package gladesuspect

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	probeTimeout = 300 * time.Millisecond
	maxProbes    = 12
)

// withdrawLostDomains withdraws the deaths in failure domains that are down now from all requests, and reports whether
// there is such a domain.
func (t *Tracker) withdrawLostDomains(ctx context.Context, deaths []*death) bool {
	if t.config.Servers == nil || t.config.Down == nil {
		return false
	}
	lost := false
	exclude := serverIDs(deaths)
	for _, domain := range failureDomains(deaths) {
		if !t.domainLost(ctx, domain, exclude) {
			continue
		}
		lost = true
		t.mu.Lock()
		for _, d := range deaths {
			if d.server.FailureDomain == domain {
				t.withdrawDeath(d)
			}
		}
		t.mu.Unlock()
	}
	return lost
}

func failureDomains(deaths []*death) []string {
	var names []string
	for _, d := range deaths {
		if !slices.Contains(names, d.server.FailureDomain) {
			names = append(names, d.server.FailureDomain)
		}
	}
	return names
}

// domainLost reports whether at least half of the other servers of a failure domain do not answer now. It probes no more
// than maxProbes.
func (t *Tracker) domainLost(ctx context.Context, domain string, exclude []string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var down atomic.Int32
	var tasks sync.WaitGroup
	probed := 0
	for _, s := range t.config.Servers() {
		if s.FailureDomain != domain || slices.Contains(exclude, s.ID) || probed == maxProbes {
			continue
		}
		probed++
		tasks.Go(func() {
			if t.config.Down(ctx, s) {
				down.Add(1)
			}
		})
	}
	tasks.Wait()
	return probed > 0 && int(down.Load())*2 >= probed
}
