package gladeforward

import (
	"maps"
	"time"
)

const (
	// probeInterval is the least time between two connections that are opened to a silent server to see whether it is up. Requests
	// in progress there wait for it together, and in a burst many of them are silent for longer than usual.
	probeInterval = time.Second
	// maxProbeTimes is the number of servers above which the limiter forgets probes older than probeInterval.
	maxProbeTimes = 64
)

// probeReason is why a server is probed.
type probeReason int

const (
	// probeSilent means that a request in progress there has received nothing for a while.
	probeSilent probeReason = iota
	// probeDoubtful means that other servers of its failure domain have just failed. Such a probe does not wait for the interval of
	// silent ones: the server may have failed with them, after the last probe.
	probeDoubtful
	// probeDue means that the answer of a request was lost, or that the server was down and is due for a retry.
	probeDue
)

// probeLimiter limits the connections that are opened to find out whether servers are up.
type probeLimiter struct {
	last map[probeKey]time.Time
}

type probeKey struct {
	server string
	reason probeReason
}

// allow reports whether a server may be probed now, and records the probe.
func (l *probeLimiter) allow(server string, reason probeReason, now time.Time) bool {
	if reason == probeDue {
		return true
	}
	k := probeKey{server, reason}
	if at, ok := l.last[k]; ok && now.Sub(at) < probeInterval {
		return false
	}
	if len(l.last) >= maxProbeTimes {
		maps.DeleteFunc(l.last, func(_ probeKey, at time.Time) bool { return now.Sub(at) >= probeInterval })
	}
	l.last[k] = now
	return true
}

// nextSilenceCheck returns how long a request that has received nothing waits until its server is checked, given the silence of that
// server for all requests of this VM; zero means that it is due.
func nextSilenceCheck(silent, limit time.Duration) time.Duration { return max(0, limit-silent) }
