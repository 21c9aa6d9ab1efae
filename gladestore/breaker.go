package gladestore

import (
	"sync"
	"time"
)

// breaker refuses calls for coolDown after threshold calls failed in a row, which limits the load in an outage.
type breaker struct {
	threshold int
	coolDown  time.Duration

	mu       sync.Mutex
	failures int
	until    time.Time
}

// allow reports whether a call may be sent now. An open breaker allows one probe per cool-down.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < b.threshold {
		return true
	}
	if time.Now().Before(b.until) {
		return false
	}
	b.until = time.Now().Add(b.coolDown)
	return true
}

// record records the result of a call and reports whether it opened the breaker.
func (b *breaker) record(failed bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !failed {
		b.failures = 0
		return false
	}
	b.failures++
	if b.failures != b.threshold {
		return false
	}
	b.until = time.Now().Add(b.coolDown)
	return true
}

func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= b.threshold
}
