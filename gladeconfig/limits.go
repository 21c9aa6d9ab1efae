package gladeconfig

// Limits sets admission, organisations' limits and the retry budget.
type Limits struct {
	// RetryShare is the number of retries allowed for each request.
	RetryShare float64 `toml:"retryShare"`
	// RetriesPerSecond is the number of retries a second allowed without any requests.
	RetriesPerSecond float64 `toml:"retriesPerSecond"`
	// RetryReserve is the largest number of retries saved up.
	RetryReserve float64 `toml:"retryReserve"`
}

func defaultLimits() Limits {
	return Limits{RetryShare: 0.1, RetriesPerSecond: 1, RetryReserve: 20}
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
}
