package gladeconfig

import "time"

// Calls sets how calls to plain services are made.
type Calls struct {
	// MaxAttempts bounds the attempts of an idempotent call.
	MaxAttempts int `toml:"maxAttempts"`
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes int64 `toml:"maxAnswerBytes"`
	// ClaimTimeout bounds the time to claim a caller's key on the platform.
	ClaimTimeout Duration `toml:"claimTimeout"`
	// Retention is how long claims are kept.
	Retention Duration `toml:"retention"`
	// KeptBytes bounds the body of an outcome that is kept for repeats.
	KeptBytes int `toml:"keptBytes"`
	// KeyLifetime is how long a key made by a VM can be used.
	KeyLifetime Duration `toml:"keyLifetime"`
	// RepeatWindow is the time in which callers repeat a call at the latest.
	RepeatWindow Duration `toml:"repeatWindow"`
	// SweepInterval is the time between sweeps of one shard of old claims.
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

func (c *Calls) check(complain complainer) {
	const maxKeptBytes = 512 << 10
	if c.MaxAttempts < 1 {
		complain("calls.maxAttempts", "must be at least 1")
	}
	if c.MaxAnswerBytes <= 0 {
		complain("calls.maxAnswerBytes", "must be more than zero")
	}
	if c.KeptBytes < 0 || c.KeptBytes > maxKeptBytes {
		complain("calls.keptBytes", "want 0 to %d", maxKeptBytes)
	}
	complain.positive("calls.claimTimeout", c.ClaimTimeout)
	complain.positive("calls.retention", c.Retention)
	complain.positive("calls.keyLifetime", c.KeyLifetime)
	complain.positive("calls.repeatWindow", c.RepeatWindow)
	complain.positive("calls.sweepInterval", c.SweepInterval)
}
