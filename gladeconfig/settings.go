package gladeconfig

import (
	"encoding"
	"time"
)

// Duration is a time.Duration that is encoded as text, such as "250ms".
type Duration time.Duration

var _ encoding.TextUnmarshaler = (*Duration)(nil)

// UnmarshalText parses text in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText returns text in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration {
	return time.Duration(d)
}

// Settings holds the settings that a daemon reads at its start.
type Settings struct {
	// Profile is the name of the profile whose defaults apply to keys that the file does not set.
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

// Default returns the default settings, which are those of the profile nile-fixer.
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

// reporter records an error about a key.
type reporter func(key, format string, args ...any)

func (s *Settings) checkSections(report reporter) {
	s.VM.check(report)
	s.Entry.check(report)
	s.Operators.check(report)
	s.Peers.check(report)
	s.Platform.check(report)
	s.Generations.check(report)
	s.Standby.check(report)
	s.Calls.check(report)
	s.Limits.check(report)
	s.Routing.check(report)
	s.Notes.check(report)
	s.Orders.check(report)
	s.Log.check(report)
}

func (c reporter) positive(key string, d Duration) {
	if d <= 0 {
		c(key, "must be more than zero")
	}
}
