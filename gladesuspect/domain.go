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

// lost reports whether a failure domain is down now, and withdraws the deaths there from all requests if it is.
func (t *Tracker) lost(ctx context.Context, deaths []*death) bool {
	if t.config.Servers == nil || t.config.Down == nil {
		return false
	}
	lost := false
	apart := servers(deaths)
	for _, domain := range domains(deaths) {
		if !t.domainLost(ctx, domain, apart) {
			continue
		}
		lost = true
		t.mu.Lock()
		for _, d := range deaths {
			if d.server.FailureDomain == domain {
				t.forget(d)
			}
		}
		t.mu.Unlock()
	}
	return lost
}

func domains(deaths []*death) []string {
	var names []string
	for _, d := range deaths {
		if !slices.Contains(names, d.server.FailureDomain) {
			names = append(names, d.server.FailureDomain)
		}
	}
	return names
}

// domainLost reports whether at least half of the other servers of a failure domain do not answer now.
func (t *Tracker) domainLost(ctx context.Context, domain string, apart []string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var down atomic.Int32
	var tasks sync.WaitGroup
	probed := 0
	for _, s := range t.config.Servers() {
		if s.FailureDomain != domain || slices.Contains(apart, s.ID) || probed == maxProbes {
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
