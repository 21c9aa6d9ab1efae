package gladefleet

import (
	"slices"
	"time"
)

// Controls returns at most n servers of different failure domains to which a connection can be expected to open, for comparison with a
// server to which none does: in each failure domain the one heard last, those of other domains than the server's first.
func (t *Table) Controls(id string, n int, now time.Time) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspect := t.servers[id]
	latest := map[string]*entry{}
	for _, e := range t.servers {
		if e.ID == id || e.failed || e.replaced || !e.eligible(now) || suspect != nil && e.Address == suspect.Address {
			continue
		}
		if o := latest[e.FailureDomain]; o == nil || e.lastHeard.After(o.lastHeard) {
			latest[e.FailureDomain] = e
		}
	}
	found := make([]*entry, 0, len(latest))
	for _, e := range latest {
		found = append(found, e)
	}
	slices.SortFunc(found, func(a, b *entry) int {
		if suspect != nil && (a.FailureDomain == suspect.FailureDomain) != (b.FailureDomain == suspect.FailureDomain) {
			if b.FailureDomain == suspect.FailureDomain {
				return -1
			}
			return 1
		}
		return b.lastHeard.Compare(a.lastHeard)
	})
	servers := make([]Server, 0, n)
	for _, e := range found[:min(n, len(found))] {
		servers = append(servers, e.Server)
	}
	return servers
}
