package gladestore

import (
	"sync"
	"time"
)

// outage refuses calls for a time after several failed in a row, so that an outage costs little.
type outage struct {
	threshold int
	coolDown  time.Duration

	mu       sync.Mutex
	failures int
	until    time.Time
}

// allow reports whether a call may be sent now; after a cool-down one call at a time tries again.
func (o *outage) allow() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures < o.threshold {
		return true
	}
	if time.Now().Before(o.until) {
		return false
	}
	o.until = time.Now().Add(o.coolDown)
	return true
}

// observe notes how a call ended and reports whether it opened the circuit.
func (o *outage) observe(failed bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !failed {
		o.failures = 0
		return false
	}
	o.failures++
	if o.failures != o.threshold {
		return false
	}
	o.until = time.Now().Add(o.coolDown)
	return true
}

func (o *outage) open() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failures >= o.threshold
}
