package gladeconfig

import (
	"encoding"
	"time"
)

// Duration is a time.Duration that settings write as text, such as "250ms".
type Duration time.Duration

var _ encoding.TextUnmarshaler = (*Duration)(nil)

// UnmarshalText parses text in the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText returns the text that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// D returns the standard library's duration.
func (d Duration) D() time.Duration {
	return time.Duration(d)
}

// Settings is all that a daemon is told at its start.
type Settings struct {
	// Profile names the defaults for what the file does not set.
	Profile     string      `toml:"profile"`
	VM          VM          `toml:"vm"`
	Entry       Entry       `toml:"entry"`
	Operators   Operators   `toml:"operators"`
	Peers       Peers       `toml:"peers"`
	Platform    Platform    `toml:"platform"`
	Generations Generations `toml:"generations"`
	Standby     Standby     `toml:"standby"`
	Calls       Calls       `toml:"calls"`
	Limits      Limits      `toml:"limits"`
	Routing     Routing     `toml:"routing"`
	Notes       Notes       `toml:"notes"`
	Orders      Orders      `toml:"orders"`
	Log         Log         `toml:"log"`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Profile:     "nile-fixer",
		Entry:       defaultEntry(),
		Operators:   defaultOperators(),
		Peers:       defaultPeers(),
		Platform:    defaultPlatform(),
		Generations: defaultGenerations(),
		Standby:     defaultStandby(),
		Calls:       defaultCalls(),
		Limits:      defaultLimits(),
		Routing:     defaultRouting(),
		Notes:       defaultNotes(),
		Orders:      defaultOrders(),
		Log:         Log{Level: "info"},
	}
}

// complainer collects one complaint about a key.
type complainer func(key, format string, args ...any)

func (s *Settings) checkSections(complain complainer) {
	s.VM.check(complain)
	s.Entry.check(complain)
	s.Operators.check(complain)
	s.Peers.check(complain)
	s.Platform.check(complain)
	s.Generations.check(complain)
	s.Standby.check(complain)
	s.Calls.check(complain)
	s.Limits.check(complain)
	s.Routing.check(complain)
	s.Notes.check(complain)
	s.Orders.check(complain)
	s.Log.check(complain)
}

func (c complainer) positive(key string, d Duration) {
	if d <= 0 {
		c(key, "must be more than zero")
	}
}
