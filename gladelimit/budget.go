package gladelimit

import (
	"sync"
	"time"
)

const (
	defaultRetryShare   = 0.1
	defaultRetryFloor   = 1
	defaultRetryReserve = 10
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Share is the number of retries allowed for each request; zero means 0.1.
	Share float64
	// PerSecond is the number of retries a second allowed without any requests; zero means 1.
	PerSecond float64
	// Reserve is the largest number of retries saved up; zero means 10.
	Reserve float64
}

// Budget allows retries as a share of requests, so that they cannot multiply a storm.
type Budget struct {
	config BudgetConfig

	mu      sync.Mutex
	saved   float64
	last    time.Time
	allowed uint64
	refused uint64
}

// NewBudget returns a Budget with a full reserve.
func NewBudget(c BudgetConfig) *Budget {
	if c.Share == 0 {
		c.Share = defaultRetryShare
	}
	if c.PerSecond == 0 {
		c.PerSecond = defaultRetryFloor
	}
	if c.Reserve == 0 {
		c.Reserve = defaultRetryReserve
	}
	return &Budget{config: c, saved: c.Reserve, last: time.Now()}
}

// Request counts one new request, which pays for a share of a retry.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.config.Reserve, b.saved+b.config.Share)
}

// Retry takes one retry and reports whether the budget allows it.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.saved = min(b.config.Reserve, b.saved+b.config.PerSecond*now.Sub(b.last).Seconds())
	b.last = now
	if b.saved < 1 {
		b.refused++
		return false
	}
	b.saved--
	b.allowed++
	return true
}

// BudgetCounts is what a Budget has decided since its start.
type BudgetCounts struct {
	Allowed uint64 `json:"allowed"`
	Refused uint64 `json:"refused"`
}

// Counts returns what the budget has decided.
func (b *Budget) Counts() BudgetCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetCounts{Allowed: b.allowed, Refused: b.refused}
}
