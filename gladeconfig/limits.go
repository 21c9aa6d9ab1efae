package gladeconfig

import "time"

// Limits sets admission, organisations' limits and the retry budget.
type Limits struct {
	// RetryShare is the number of retries allowed for each request.
	RetryShare float64 `toml:"retryShare"`
	// RetriesPerSecond is the number of retries a second allowed without any requests.
	RetriesPerSecond float64 `toml:"retriesPerSecond"`
	// RetryReserve is the largest number of retries saved up.
	RetryReserve float64 `toml:"retryReserve"`
	// MaxRunning bounds the requests that the VM runs at one time.
	MaxRunning int `toml:"maxRunning"`
	// MaxQueued bounds the requests that wait for their turn.
	MaxQueued int `toml:"maxQueued"`
	// QueueShare is the part of the queue that one organisation may fill.
	QueueShare float64 `toml:"queueShare"`
	// ExchangeInterval is the time between exchanges of organisations' demand with other VMs.
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

func (l *Limits) check(complain complainer) {
	if l.RetryShare <= 0 || l.RetryShare > 1 {
		complain("limits.retryShare", "want more than 0 and at most 1")
	}
	if l.RetriesPerSecond <= 0 {
		complain("limits.retriesPerSecond", "must be more than zero")
	}
	if l.RetryReserve < 1 {
		complain("limits.retryReserve", "must be at least 1")
	}
	if l.MaxRunning < 1 {
		complain("limits.maxRunning", "must be at least 1")
	}
	if l.MaxQueued < 1 {
		complain("limits.maxQueued", "must be at least 1")
	}
	if l.QueueShare <= 0 || l.QueueShare > 1 {
		complain("limits.queueShare", "want more than 0 and at most 1")
	}
	complain.positive("limits.exchangeInterval", l.ExchangeInterval)
}
