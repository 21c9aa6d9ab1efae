package gladeforward

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

// priorityCache holds the services of one release whose routes differ in priority.
type priorityCache struct {
	mu      sync.Mutex
	release *gladerelease.Release
	mixed   map[string]bool
}

// differ reports whether the routes of a service differ in priority.
func (c *priorityCache) differ(r *gladerelease.Release, service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.release != r {
		c.release, c.mixed = r, map[string]bool{}
		first := map[string]int{}
		for i := range r.Routes {
			for _, share := range r.Routes[i].Shares {
				if p, ok := first[share.Service]; ok && p != r.Routes[i].Priority {
					c.mixed[share.Service] = true
				} else if !ok {
					first[share.Service] = r.Routes[i].Priority
				}
			}
		}
	}
	return c.mixed[service]
}

// prefix returns the prefix of the prompt if its value is to be weighed against the wait, nil otherwise. It is where the service's
// servers report how long work takes or its routes differ in priority.
func (s *stream) prefix() *gladefleet.Prefix {
	engine := s.release.Services[s.service].Engine
	if engine == nil || len(s.call.Prefix) == 0 || s.call.Prefix[0].Tokens == 0 {
		return nil
	}
	if !s.priorities.differ(s.release, s.service) && !s.config.Fleet.ReportsWork(s.service, time.Now()) {
		return nil
	}
	p := &gladefleet.Prefix{Capacity: engine.KVTokens, Parts: make([]gladefleet.PromptPart, 0, len(s.call.Prefix))}
	for _, part := range s.call.Prefix {
		p.Parts = append(p.Parts, gladefleet.PromptPart(part))
	}
	return p
}

// prefixFields returns the log fields of what was weighed of a prompt's prefix, and counts it.
func (s *stream) prefixFields(k *gladefleet.Reservation) []any {
	p := k.Prefix
	if p == (gladefleet.PrefixChoice{}) {
		return nil
	}
	metrics.GetOrRegisterCounter("prefix.savedTokens", s.config.Metrics).Inc(int64(p.Saved))
	metrics.GetOrRegisterCounter("prefix.leftTokens", s.config.Metrics).Inc(int64(p.Elsewhere))
	return []any{"savedTokens", p.Saved, "elsewhereTokens", p.Elsewhere, "extraWaitMs", p.ExtraWait.Milliseconds()}
}
