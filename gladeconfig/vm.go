package gladeconfig

import (
	"net"
	"slices"
	"time"
)

// VM says which VM this is.
type VM struct {
	Name          string `toml:"name"`
	FailureDomain string `toml:"failureDomain"`
}

func (v *VM) check(complain complainer) {
	if v.Name == "" {
		complain("vm.name", "must be set")
	}
	if v.FailureDomain == "" {
		complain("vm.failureDomain", "must be set")
	}
}

// Entry is the callers' listener and its limits.
type Entry struct {
	Listen string `toml:"listen"`
	// MaxBodyBytes bounds a request's body, in bytes.
	MaxBodyBytes int64 `toml:"maxBodyBytes"`
	// RequestDeadline is the longest time a request may take.
	RequestDeadline Duration `toml:"requestDeadline"`
	// LameDuck is how long a stopping VM still serves what arrives.
	LameDuck Duration `toml:"lameDuck"`
	// ReconnectGrace is how long a generation with a key goes on without a caller.
	ReconnectGrace Duration `toml:"reconnectGrace"`
}

func defaultEntry() Entry {
	return Entry{
		Listen:          "127.0.0.1:8080",
		MaxBodyBytes:    4 << 20,
		RequestDeadline: Duration(10 * time.Minute),
		LameDuck:        Duration(5 * time.Second),
		ReconnectGrace:  Duration(10 * time.Second),
	}
}

func (e *Entry) check(complain complainer) {
	complain.address("entry.listen", e.Listen)
	complain.positive("entry.requestDeadline", e.RequestDeadline)
	if e.MaxBodyBytes <= 0 {
		complain("entry.maxBodyBytes", "must be more than zero")
	}
	if e.LameDuck < 0 {
		complain("entry.lameDuck", "must not be negative")
	}
}

// Log sets what is logged.
type Log struct {
	// Level is one of trace, debug, info, warn, error.
	Level string `toml:"level"`
	JSON  bool   `toml:"json"`
}

func (l *Log) check(complain complainer) {
	if !slices.Contains([]string{"trace", "debug", "info", "warn", "error"}, l.Level) {
		complain("log.level", "%q is not one of trace, debug, info, warn, error", l.Level)
	}
}

func (c complainer) address(key, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		c(key, "%v", err)
	}
}
