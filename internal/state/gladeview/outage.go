package gladeview

import (
	"sync"
	"time"
)

const (
	// minOutage is the shortest outage of the store in which entries may have expired. A new reader takes over within less, and its
	// list is no sign of an outage.
	minOutage = time.Second
	// outageMemory is how long after an outage a list may still lack entries that expired in it: the reader's next call, its list and
	// the way of the list to the other VMs.
	outageMemory = 2 * time.Second
)

// Outage records when no VM of a failure domain reached the store. Its methods may be called concurrently.
type Outage struct {
	mu sync.Mutex
	// began and last are the first and the last time of the latest outage, and reached is when the store was reached last.
	began, last, reached time.Time
	// expiring is the last time of the latest outage that was long enough for entries to expire.
	expiring time.Time
}

// RecordLost records that a VM that should read the store cannot reach it.
func (o *Outage) RecordLost(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.began.IsZero() || o.reached.After(o.began) {
		o.began = now
	}
	o.last = now
	if o.last.Sub(o.began) >= minOutage {
		o.expiring = now
	}
}

// RecordReached records that a VM reaches the store.
func (o *Outage) RecordReached(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reached = now
}

// MayHaveExpired reports whether entries that are missing from the store may have expired in an outage.
func (o *Outage) MayHaveExpired(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.expiring.IsZero() && now.Sub(o.expiring) < outageMemory
}
