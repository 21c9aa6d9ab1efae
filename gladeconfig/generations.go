package gladeconfig

import "time"

// Generations sets how generations are run.
type Generations struct {
	// StallFloor and StallTimeout bound the wait between tokens, StallMultiple scales the observed time between them.
	StallFloor    Duration `toml:"stallFloor"`
	StallTimeout  Duration `toml:"stallTimeout"`
	StallMultiple float64  `toml:"stallMultiple"`
	// FirstTokenTimeout and ResumedTokenTimeout are the least waits for the first token of a new and of a resumed
	// attempt, FirstTokenCeiling the longest, PerPromptToken what each token of the prompt adds.
	FirstTokenTimeout   Duration `toml:"firstTokenTimeout"`
	ResumedTokenTimeout Duration `toml:"resumedTokenTimeout"`
	FirstTokenCeiling   Duration `toml:"firstTokenCeiling"`
	PerPromptToken      Duration `toml:"perPromptToken"`
	// JoinTimeout bounds the wait for an engine to join a running attempt or to answer a probe.
	JoinTimeout Duration `toml:"joinTimeout"`
	// MaxAttempts bounds the attempts of one generation that reach an engine.
	MaxAttempts int `toml:"maxAttempts"`
	// LeaveLead is how long before an engine's leave time its streams are moved.
	LeaveLead Duration `toml:"leaveLead"`
	// PoisonKills is the number of engines that may die under a request, PoisonMemory how long that is remembered.
	PoisonKills int `toml:"poisonKills"`
	// PoisonProgress is the number of tokens after which an engine's death no longer speaks against a request.
	PoisonProgress int      `toml:"poisonProgress"`
	PoisonMemory   Duration `toml:"poisonMemory"`
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

func (g *Generations) check(complain complainer) {
	complain.positive("generations.stallFloor", g.StallFloor)
	complain.positive("generations.stallTimeout", g.StallTimeout)
	complain.positive("generations.firstTokenTimeout", g.FirstTokenTimeout)
	complain.positive("generations.resumedTokenTimeout", g.ResumedTokenTimeout)
	complain.positive("generations.firstTokenCeiling", g.FirstTokenCeiling)
	complain.positive("generations.perPromptToken", g.PerPromptToken)
	complain.positive("generations.joinTimeout", g.JoinTimeout)
	complain.positive("generations.poisonMemory", g.PoisonMemory)
	if g.StallFloor > g.StallTimeout {
		complain("generations.stallFloor", "must not be more than generations.stallTimeout")
	}
	if g.StallMultiple < 1 {
		complain("generations.stallMultiple", "must be at least 1")
	}
	if g.MaxAttempts < 1 {
		complain("generations.maxAttempts", "must be at least 1")
	}
	if g.PoisonProgress < 1 {
		complain("generations.poisonProgress", "must be at least 1")
	}
	if g.PoisonKills < 1 {
		complain("generations.poisonKills", "must be at least 1")
	}
	if g.LeaveLead < 0 {
		complain("generations.leaveLead", "must not be negative")
	}
}
