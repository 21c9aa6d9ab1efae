package gladestream

import (
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const (
	// avoidTime is how long all streams avoid an engine that failed for one of them, unless it sends a token.
	avoidTime = 5 * time.Second
	// minDomainFailures is the number of failed engines after which a failure domain without new tokens is avoided.
	minDomainFailures = 2
)

// failureTracker shares engine failures among the streams of a Runner.
type failureTracker struct {
	mu      sync.Mutex
	engines map[string]engineFailure
	// lastTokens holds the time of the last token from each failure domain.
	lastTokens map[string]time.Time
}

type engineFailure struct {
	domain string
	at     time.Time
}

// recordFailure records that an attempt on an engine failed and removes entries older than avoidTime.
func (t *failureTracker) recordFailure(b *gladeapi.BackendServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.engines == nil {
		t.engines = map[string]engineFailure{}
	}
	now := time.Now()
	for id, o := range t.engines {
		if now.Sub(o.at) > avoidTime {
			delete(t.engines, id)
		}
	}
	t.engines[b.ID] = engineFailure{domain: b.FailureDomain, at: now}
}

// recordToken records a token of an engine, which clears the engine's failure.
func (t *failureTracker) recordToken(b *gladeapi.BackendServer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastTokens == nil {
		t.lastTokens = map[string]time.Time{}
	}
	t.lastTokens[b.FailureDomain] = now
	delete(t.engines, b.ID)
}

// enginesToAvoid returns the engines that failed recently. It adds all engines of a failure domain if
// minDomainFailures of its engines failed and no token came from the domain since.
func (t *failureTracker) enginesToAvoid(servers func() []gladeapi.BackendServer) []string {
	t.mu.Lock()
	var ids []string
	silent := map[string]int{}
	for id, o := range t.engines {
		if time.Since(o.at) > avoidTime {
			continue
		}
		ids = append(ids, id)
		if o.at.After(t.lastTokens[o.domain]) {
			silent[o.domain]++
		}
	}
	t.mu.Unlock()
	if servers == nil || len(ids) < minDomainFailures {
		return ids
	}
	for _, s := range servers() {
		if silent[s.FailureDomain] >= minDomainFailures {
			ids = append(ids, s.ID)
		}
	}
	return ids
}
