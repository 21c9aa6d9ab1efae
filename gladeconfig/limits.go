package gladeconfig

import "time"

// Limits configures admission, the limits of organisations and the retry budget.
type Limits struct {
	// RetryShare is the number of retries that each request adds to the retry budget.
	RetryShare float64 `toml:"retryShare"`
	// RetriesPerSecond is the rate at which the retry budget grows independently of requests.
	RetriesPerSecond float64 `toml:"retriesPerSecond"`
	// RetryReserve is the maximum number of retries in the budget.
	RetryReserve float64 `toml:"retryReserve"`
	// MaxRunning is the maximum number of requests that the VM runs concurrently.
	MaxRunning int `toml:"maxRunning"`
	// MaxQueued is the maximum number of queued requests.
	MaxQueued int `toml:"maxQueued"`
	// QueueShare is the fraction of the queue that one organisation may use.
	QueueShare float64 `toml:"queueShare"`
	// ExchangeInterval is the time between exchanges with other VMs about the demand of organisations.
	ExchangeInterval Duration `toml:"exchangeInterval"`
}

func defaultLimits() Limits {
	return Limits{
		RetryShare:       0.1,
		RetriesPerSecond: 1,
		RetryReserve:     20,
		MaxRunning:       1024,
		MaxQueued:        1024,
		QueueShare:       0.25,
		ExchangeInterval: Duration(2 * time.Second),
	}
}

func (l *Limits) check(report reporter) {
	if l.RetryShare <= 0 || l.RetryShare > 1 {
		report("limits.retryShare", "want more than 0 and at most 1")
	}
	if l.RetriesPerSecond <= 0 {
		report("limits.retriesPerSecond", "must be more than zero")
	}
	if l.RetryReserve < 1 {
		report("limits.retryReserve", "must be at least 1")
	}
	if l.MaxRunning < 1 {
		report("limits.maxRunning", "must be at least 1")
	}
	if l.MaxQueued < 1 {
		report("limits.maxQueued", "must be at least 1")
	}
	if l.QueueShare <= 0 || l.QueueShare > 1 {
		report("limits.queueShare", "want more than 0 and at most 1")
	}
	report.positive("limits.exchangeInterval", l.ExchangeInterval)
}
