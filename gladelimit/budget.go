package gladelimit

import (
	"sync"
	"time"
)

const (
	defaultRetryShare       = 0.1
	defaultRetriesPerSecond = 1
	defaultRetryReserve     = 10
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Share is the number of retries that each request adds; zero means 0.1.
	Share float64
	// PerSecond is the number of retries per second allowed in addition, even without requests; zero means 1.
	PerSecond float64
	// Reserve is the largest number of unused retries that are kept; zero means 10.
	Reserve float64
}

// Budget allows retries as a share of requests, so that retries cannot amplify an overload.
type Budget struct {
	config BudgetConfig

	mu        sync.Mutex
	available float64
	refilled  time.Time
	allowed   uint64
	refused   uint64
}

// NewBudget returns a Budget with a full reserve.
func NewBudget(c BudgetConfig) *Budget {
	if c.Share == 0 {
		c.Share = defaultRetryShare
	}
	if c.PerSecond == 0 {
		c.PerSecond = defaultRetriesPerSecond
	}
	if c.Reserve == 0 {
		c.Reserve = defaultRetryReserve
	}
	return &Budget{config: c, available: c.Reserve, refilled: time.Now()}
}

// CountRequest counts one new request, which adds its share of a retry to the budget.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.config.Reserve, b.available+b.config.Share)
}

// TryRetry reports whether the budget allows a retry, and if so takes it from the budget.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.available = min(b.config.Reserve, b.available+b.config.PerSecond*now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.available < 1 {
		b.refused++
		return false
	}
	b.available--
	b.allowed++
	return true
}

// BudgetCounts counts the retries that a Budget has allowed and refused since its start.
type BudgetCounts struct {
	Allowed uint64 `json:"allowed"`
	Refused uint64 `json:"refused"`
}

// Counts returns the numbers of retries that were allowed and refused.
func (b *Budget) Counts() BudgetCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetCounts{Allowed: b.allowed, Refused: b.refused}
}
