package gladeconfig

import "time"

// Generations configures the execution of generations.
type Generations struct {
	// StallFloor is the minimum timeout between two tokens.
	StallFloor Duration `toml:"stallFloor"`
	// StallTimeout is the maximum timeout between two tokens.
	StallTimeout Duration `toml:"stallTimeout"`
	// StallMultiple is the factor by which the timeout exceeds the observed time between two tokens.
	StallMultiple float64 `toml:"stallMultiple"`
	// FirstTokenTimeout is the minimum timeout for the first token of a new attempt.
	FirstTokenTimeout Duration `toml:"firstTokenTimeout"`
	// ResumedTokenTimeout is the minimum timeout for the first token of a resumed attempt.
	ResumedTokenTimeout Duration `toml:"resumedTokenTimeout"`
	// FirstTokenCeiling is the maximum timeout for the first token of any attempt.
	FirstTokenCeiling Duration `toml:"firstTokenCeiling"`
	// PerPromptToken is added to the first-token timeout for each token of the prompt.
	PerPromptToken Duration `toml:"perPromptToken"`
	// JoinTimeout is the timeout for joining an attempt that an engine already runs, and for probing an engine.
	JoinTimeout Duration `toml:"joinTimeout"`
	// MaxAttempts is the maximum number of attempts of one generation that reach an engine.
	MaxAttempts int `toml:"maxAttempts"`
	// LeaveLead is the time before an engine's shutdown at which its streams are moved.
	LeaveLead Duration `toml:"leaveLead"`
	// PoisonKills is the number of engine crashes attributed to a request from which on it is refused.
	PoisonKills int `toml:"poisonKills"`
	// PoisonProgress is the number of tokens after which a crash of the engine is no longer attributed to the request.
	PoisonProgress int `toml:"poisonProgress"`
	// PoisonMemory is the time for which crashes are remembered.
	PoisonMemory Duration `toml:"poisonMemory"`
}

func defaultGenerations() Generations {
	return Generations{
		StallFloor:          Duration(400 * time.Millisecond),
		StallTimeout:        Duration(1500 * time.Millisecond),
		StallMultiple:       4,
		FirstTokenTimeout:   Duration(5 * time.Second),
		ResumedTokenTimeout: Duration(1200 * time.Millisecond),
		FirstTokenCeiling:   Duration(time.Minute),
		PerPromptToken:      Duration(500 * time.Microsecond),
		JoinTimeout:         Duration(250 * time.Millisecond),
		MaxAttempts:         32,
		LeaveLead:           Duration(2 * time.Second),
		PoisonKills:         2,
		PoisonProgress:      16,
		PoisonMemory:        Duration(15 * time.Minute),
	}
}

func (g *Generations) check(report reporter) {
	report.positive("generations.stallFloor", g.StallFloor)
	report.positive("generations.stallTimeout", g.StallTimeout)
	report.positive("generations.firstTokenTimeout", g.FirstTokenTimeout)
	report.positive("generations.resumedTokenTimeout", g.ResumedTokenTimeout)
	report.positive("generations.firstTokenCeiling", g.FirstTokenCeiling)
	report.positive("generations.perPromptToken", g.PerPromptToken)
	report.positive("generations.joinTimeout", g.JoinTimeout)
	report.positive("generations.poisonMemory", g.PoisonMemory)
	if g.StallFloor > g.StallTimeout {
		report("generations.stallFloor", "must not be more than generations.stallTimeout")
	}
	if g.StallMultiple < 1 {
		report("generations.stallMultiple", "must be at least 1")
	}
	if g.MaxAttempts < 1 {
		report("generations.maxAttempts", "must be at least 1")
	}
	if g.PoisonProgress < 1 {
		report("generations.poisonProgress", "must be at least 1")
	}
	if g.PoisonKills < 1 {
		report("generations.poisonKills", "must be at least 1")
	}
	if g.LeaveLead < 0 {
		report("generations.leaveLead", "must not be negative")
	}
}
