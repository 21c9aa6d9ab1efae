package gladeconfig

import "time"

// Calls configures calls to plain services.
type Calls struct {
	// MaxAttempts is the maximum number of attempts of an idempotent call.
	MaxAttempts int `toml:"maxAttempts"`
	// MaxAnswerBytes is the maximum size of a response body, in bytes.
	MaxAnswerBytes int64 `toml:"maxAnswerBytes"`
	// ClaimTimeout is the timeout for claiming a caller's key on the platform.
	ClaimTimeout Duration `toml:"claimTimeout"`
	// Retention is how long claims are kept.
	Retention Duration `toml:"retention"`
	// KeptBytes is the maximum size of a response body that is kept to answer repeated calls, in bytes.
	KeptBytes int `toml:"keptBytes"`
	// KeyLifetime is the validity period of a key that a VM issues.
	KeyLifetime Duration `toml:"keyLifetime"`
	// RepeatWindow is the longest time after which a caller still repeats a call.
	RepeatWindow Duration `toml:"repeatWindow"`
	// SweepInterval is the time between sweeps for old claims. Each sweep covers one shard.
	SweepInterval Duration `toml:"sweepInterval"`
}

func defaultCalls() Calls {
	return Calls{
		MaxAttempts:    3,
		MaxAnswerBytes: 4 << 20,
		ClaimTimeout:   Duration(time.Second),
		Retention:      Duration(24 * time.Hour),
		KeptBytes:      64 << 10,
		KeyLifetime:    Duration(10 * time.Minute),
		RepeatWindow:   Duration(10 * time.Minute),
		SweepInterval:  Duration(10 * time.Second),
	}
}

func (c *Calls) check(report reporter) {
	const maxKeptBytes = 512 << 10
	if c.MaxAttempts < 1 {
		report("calls.maxAttempts", "must be at least 1")
	}
	if c.MaxAnswerBytes <= 0 {
		report("calls.maxAnswerBytes", "must be more than zero")
	}
	if c.KeptBytes < 0 || c.KeptBytes > maxKeptBytes {
		report("calls.keptBytes", "want 0 to %d", maxKeptBytes)
	}
	report.positive("calls.claimTimeout", c.ClaimTimeout)
	report.positive("calls.retention", c.Retention)
	report.positive("calls.keyLifetime", c.KeyLifetime)
	report.positive("calls.repeatWindow", c.RepeatWindow)
	report.positive("calls.sweepInterval", c.SweepInterval)
}
