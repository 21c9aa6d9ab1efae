package gladeconfig

import (
	"net"
	"slices"
	"time"
)

// VM identifies the VM that the daemon runs on.
type VM struct {
	Name          string `toml:"name"`
	FailureDomain string `toml:"failureDomain"`
}

func (v *VM) check(report reporter) {
	if v.Name == "" {
		report("vm.name", "must be set")
	}
	if v.FailureDomain == "" {
		report("vm.failureDomain", "must be set")
	}
}

// Entry configures the listener for callers and its limits.
type Entry struct {
	Listen string `toml:"listen"`
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int64 `toml:"maxBodyBytes"`
	// RequestDeadline is the maximum duration of a request.
	RequestDeadline Duration `toml:"requestDeadline"`
	// LameDuck is the time for which a stopping VM still accepts requests.
	LameDuck Duration `toml:"lameDuck"`
	// ReconnectGrace is the time for which a generation with an idempotency key continues without a caller.
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

func (e *Entry) check(report reporter) {
	report.address("entry.listen", e.Listen)
	report.positive("entry.requestDeadline", e.RequestDeadline)
	if e.MaxBodyBytes <= 0 {
		report("entry.maxBodyBytes", "must be more than zero")
	}
	if e.LameDuck < 0 {
		report("entry.lameDuck", "must not be negative")
	}
}

// Log configures the log.
type Log struct {
	// Level is the lowest level that is logged: trace, debug, info, warn or error.
	Level string `toml:"level"`
	// JSON selects JSON as the log format.
	JSON bool `toml:"json"`
}

func (l *Log) check(report reporter) {
	if !slices.Contains([]string{"trace", "debug", "info", "warn", "error"}, l.Level) {
		report("log.level", "%q is not one of trace, debug, info, warn, error", l.Level)
	}
}

func (c reporter) address(key, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		c(key, "%v", err)
	}
}
