package gladeconfig

import "time"

// Standby configures the replication of journals to other VMs.
type Standby struct {
	// Copies is the number of standby VMs for each journal.
	Copies int `toml:"copies"`
	// ProtectTokens delays replication until a generation has this number of tokens or ProtectAfter has passed.
	ProtectTokens int `toml:"protectTokens"`
	// ProtectAfter delays replication until a generation has this age or ProtectTokens is reached.
	ProtectAfter Duration `toml:"protectAfter"`
	// BatchInterval is the minimum time between two batches to a standby.
	BatchInterval Duration `toml:"batchInterval"`
	// ReleaseAtOnce allows tokens to be sent to callers before a standby holds them.
	ReleaseAtOnce bool `toml:"releaseAtOnce"`
	// CallTimeout is the timeout of each call to another VM.
	CallTimeout Duration `toml:"callTimeout"`
	// CatchUp is the timeout for a generation that was taken over to reach the position of its caller.
	CatchUp Duration `toml:"catchUp"`
	// Retention is the time for which a journal is kept after the end of its generation.
	Retention Duration `toml:"retention"`
	// MaxHeldBytes is the maximum total size of the journals held for other VMs, in bytes.
	MaxHeldBytes int `toml:"maxHeldBytes"`
}

func defaultStandby() Standby {
	return Standby{
		Copies:        1,
		BatchInterval: Duration(20 * time.Millisecond),
		CallTimeout:   Duration(500 * time.Millisecond),
		CatchUp:       Duration(2500 * time.Millisecond),
		Retention:     Duration(2 * time.Minute),
		MaxHeldBytes:  64 << 20,
	}
}

func (s *Standby) check(report reporter) {
	if s.Copies < 1 {
		report("standby.copies", "must be at least 1")
	}
	if s.ProtectTokens < 0 {
		report("standby.protectTokens", "must not be negative")
	}
	if s.ProtectAfter < 0 {
		report("standby.protectAfter", "must not be negative")
	}
	if s.MaxHeldBytes <= 0 {
		report("standby.maxHeldBytes", "must be more than zero")
	}
	report.positive("standby.batchInterval", s.BatchInterval)
	report.positive("standby.callTimeout", s.CallTimeout)
	report.positive("standby.catchUp", s.CatchUp)
	report.positive("standby.retention", s.Retention)
}
