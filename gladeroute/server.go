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
	waitingWeight   = 2
)

// server is a backend server as this VM knows it.
type server struct {
	backend gladeapi.BackendServer
	// hash spreads prefixes over servers and is the same on all VMs.
	hash     uint64
	near     bool
	inFlight int
	suspects int

	// others is the load that the last report told beyond this VM's own, heard when it was taken.
	others  float64
	heard   time.Time
	targets []gladeapi.Target

	// failures in a row keep the server out until the quarantine ends; then one probe in a while.
	failures int
	until    time.Time
	// load is what the current choice found.
	load float64
}

// loadAt returns the number of requests that this VM runs on the server and, by weight, what others are thought to.
func (s *server) loadAt(now time.Time, reportAge time.Duration, weight float64) float64 {
	load := float64(s.inFlight)
	if s.others > 0 {
		if fresh := 1 - float64(now.Sub(s.heard))/float64(reportAge); fresh > 0 {
			load += weight * s.others * min(1, fresh)
		}
	}
	return load
}

// may reports whether the server may run a request at all, failures aside.
func (s *server) may(n *gladeapi.Need) bool {
	if s.backend.Leaving {
		return false
	}
	if len(n.Avoid) > 0 && slices.Contains(n.Avoid, s.backend.ID) {
		return false
	}
	return n.Target.Model == "" || s.targets == nil || slices.Contains(s.targets, n.Target)
}

// failed reports whether the server failed lately and is not due for a probe.
func (s *server) failed(now time.Time) bool {
	return s.failures > 0 && now.Before(s.until)
}

func (s *server) take(n *gladeapi.Need, now time.Time) {
	s.inFlight++
	if n.Isolate {
		s.suspects++
	}
	if s.failures > 0 {
		s.until = now.Add(probeInterval)
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
		if s.failures > 0 && now.Sub(s.until) > maxQuarantine {
			s.failures = 0
		}
		quarantine := min(maxQuarantine, firstQuarantine<<min(s.failures, 10))
		s.failures++
		s.until = now.Add(quarantine)
	}
}

func (s *server) learn(r *gladeapi.LoadReport, taken time.Time) {
	if taken.Before(s.heard) {
		return
	}
	s.heard = taken
	s.others = max(0, float64(r.Running+waitingWeight*r.Waiting-s.inFlight))
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
