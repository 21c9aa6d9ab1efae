package gladeconfig

import "time"

// Standby sets how journals are replicated to other VMs.
type Standby struct {
	// Copies is the number of standby VMs of each journal.
	Copies int `toml:"copies"`
	// ProtectTokens and ProtectAfter delay replication until a generation has so many tokens or is so old.
	ProtectTokens int      `toml:"protectTokens"`
	ProtectAfter  Duration `toml:"protectAfter"`
	// BatchInterval is the shortest time between two batches to a standby.
	BatchInterval Duration `toml:"batchInterval"`
	// ReleaseAtOnce lets callers see tokens before a standby holds them.
	ReleaseAtOnce bool `toml:"releaseAtOnce"`
	// CallTimeout bounds each call to another VM.
	CallTimeout Duration `toml:"callTimeout"`
	// CatchUp bounds the wait until a run that was taken over reaches the caller's position.
	CatchUp Duration `toml:"catchUp"`
	// Retention is how long a journal is kept after its generation has ended.
	Retention Duration `toml:"retention"`
	// MaxHeldBytes bounds the journals held for other VMs, in bytes.
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

func (s *Standby) check(complain complainer) {
	if s.Copies < 1 {
		complain("standby.copies", "must be at least 1")
	}
	if s.ProtectTokens < 0 {
		complain("standby.protectTokens", "must not be negative")
	}
	if s.ProtectAfter < 0 {
		complain("standby.protectAfter", "must not be negative")
	}
	if s.MaxHeldBytes <= 0 {
		complain("standby.maxHeldBytes", "must be more than zero")
	}
	complain.positive("standby.batchInterval", s.BatchInterval)
	complain.positive("standby.callTimeout", s.CallTimeout)
	complain.positive("standby.catchUp", s.CatchUp)
	complain.positive("standby.retention", s.Retention)
}
