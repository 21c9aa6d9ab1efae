package gladeroute

import (
	"slices"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const (
	firstQuarantine = 500 * time.Millisecond
	maxQuarantine   = 30 * time.Second
	probeInterval   = time.Second
	// waitingWeight is the load of a waiting request in a report; a running request counts 1.
	waitingWeight = 2
)

// server is this VM's state of one backend server.
type server struct {
	backend gladeapi.BackendServer
	// hash enters the rendezvous weights of prefixes and is the same on all VMs.
	hash     uint64
	local    bool
	inFlight int
	suspects int

	// otherVMLoad is the load in the last report, less the requests that this VM had in flight when it was received.
	otherVMLoad float64
	// reportedAt is the time at which the last report was made.
	reportedAt time.Time
	// targets are the targets in the last report that listed any; nil means that there was none.
	targets []gladeapi.Target

	// failures is the number of failures in a row.
	failures int
	// quarantineEnd is the time until which a server with failures gets no request. Each probe sets it
	// probeInterval ahead.
	quarantineEnd time.Time
	// backoffUntil is the time until which the server gets no request, as it asked.
	backoffUntil time.Time
	// load is the load at the last scan; it is negative if the server may not run that request.
	load float64
}

// loadAt returns the number of requests that this VM runs on the server plus the weighted load of other VMs, which
// falls to zero as the report reaches reportAge.
func (s *server) loadAt(now time.Time, reportAge time.Duration, weight float64) float64 {
	load := float64(s.inFlight)
	if s.otherVMLoad > 0 {
		if freshness := 1 - float64(now.Sub(s.reportedAt))/float64(reportAge); freshness > 0 {
			load += weight * s.otherVMLoad * min(1, freshness)
		}
	}
	return load
}

// eligible reports whether the server may run a request, regardless of its failures.
func (s *server) eligible(n *gladeapi.Requirements, now time.Time) bool {
	if s.backend.Leaving || now.Before(s.backoffUntil) {
		return false
	}
	if len(n.Avoid) > 0 && slices.Contains(n.Avoid, s.backend.ID) {
		return false
	}
	return n.Target.Model == "" || s.targets == nil || slices.Contains(s.targets, n.Target)
}

// quarantined reports whether the server failed recently and is not due for a probe.
func (s *server) quarantined(now time.Time) bool {
	return s.failures > 0 && now.Before(s.quarantineEnd)
}

func (s *server) start(n *gladeapi.Requirements, now time.Time) {
	s.inFlight++
	if n.Isolate {
		s.suspects++
	}
	if s.failures > 0 {
		s.quarantineEnd = now.Add(probeInterval)
	}
}

func (s *server) release(o gladeapi.Outcome, isolated bool, now time.Time) {
	s.inFlight--
	if isolated {
		s.suspects--
	}
	switch o {
	case gladeapi.OutcomeDone:
		s.failures = 0
	case gladeapi.OutcomeFailed, gladeapi.OutcomeStalled:
		if s.failures > 0 && now.Sub(s.quarantineEnd) > maxQuarantine {
			s.failures = 0
		}
		quarantine := min(maxQuarantine, firstQuarantine<<min(s.failures, 10))
		s.failures++
		s.quarantineEnd = now.Add(quarantine)
	}
}

func (s *server) setReport(r *gladeapi.LoadReport, taken time.Time) {
	if taken.Before(s.reportedAt) {
		return
	}
	s.reportedAt = taken
	s.otherVMLoad = max(0, float64(r.Running+waitingWeight*r.Waiting-s.inFlight))
	if r.Targets == nil {
		return
	}
	s.targets = make([]gladeapi.Target, 0, len(r.Targets))
	for _, text := range r.Targets {
		if t, err := gladeapi.ParseTarget(text); err == nil {
			s.targets = append(s.targets, t)
		}
	}
}
