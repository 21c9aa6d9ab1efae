package gladestream

import (
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const (
	// troubleTime is how long an engine is avoided by all streams after one of them lost it, unless it sends a token.
	troubleTime = 5 * time.Second
	// domainTroubles is the number of silent engines in trouble that make a failure domain one to avoid.
	domainTroubles = 2
)

// troubles is what the streams of one Runner tell each other of the engines that they lost.
type troubles struct {
	mu      sync.Mutex
	engines map[string]trouble
	// tokens are the times of the last token from each failure domain.
	tokens map[string]time.Time
}

type trouble struct {
	domain string
	at     time.Time
}

// lost notes that a stream lost an engine.
func (t *troubles) lost(b *gladeapi.BackendServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.engines == nil {
		t.engines = map[string]trouble{}
	}
	now := time.Now()
	for id, o := range t.engines {
		if now.Sub(o.at) > troubleTime {
			delete(t.engines, id)
		}
	}
	t.engines[b.ID] = trouble{domain: b.FailureDomain, at: now}
}

// token notes that an engine sent a token.
func (t *troubles) token(b *gladeapi.BackendServer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tokens == nil {
		t.tokens = map[string]time.Time{}
	}
	t.tokens[b.FailureDomain] = now
	delete(t.engines, b.ID)
}

// avoid returns the engines in trouble, and all engines of a failure domain from which no token came since
// several of its engines were lost.
func (t *troubles) avoid(servers func() []gladeapi.BackendServer) []string {
	t.mu.Lock()
	var ids []string
	silent := map[string]int{}
	for id, o := range t.engines {
		if time.Since(o.at) > troubleTime {
			continue
		}
		ids = append(ids, id)
		if o.at.After(t.tokens[o.domain]) {
			silent[o.domain]++
		}
	}
	t.mu.Unlock()
	if servers == nil || len(ids) < domainTroubles {
		return ids
	}
	for _, s := range servers() {
		if silent[s.FailureDomain] >= domainTroubles {
			ids = append(ids, s.ID)
		}
	}
	return ids
}
