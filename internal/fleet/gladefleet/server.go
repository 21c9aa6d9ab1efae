package gladefleet

import (
	"time"
)

// Server is a backend server as the store lists it.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Leaving       bool
	// Cold is how long the server stays slow after its start.
	Cold time.Duration
	// Started tells two lives of one identifier apart, in Unix milliseconds; zero if it is not told.
	Started int64
}

const (
	// firstOutage is how long a server that failed is left out; a crashed one needs over a second to come back.
	firstOutage = 400 * time.Millisecond
	// maxOutage bounds the outage after further failures.
	maxOutage = 3 * time.Second
	// errorDecay is the weight of one more outcome in a server's share of failures.
	errorDecay = 0.1
	// runTokens is what a run counts beside its prompt, in tokens of prompt: its output slows later prompts.
	runTokens = 700
	// farTokens is what a server in another failure domain counts more, so that the own one is used first.
	farTokens = 1500
	// faultTokens is what a server counts more at a share of failures of 1.
	faultTokens = 8000
	// copyShare is the weight of a copy's tokens against those of a prompt: they fill memory and take no time.
	copyShare = 0.15
)

// entry is what this VM knows of a server.
type entry struct {
	Server
	hash uint64
	// gone tells since when the store no longer lists the server.
	gone time.Time
	// runs, prompt, memory and copies are what this VM has there: requests, tokens of prompts not yet read, tokens that
	// its runs and copies of other runs take up.
	runs, prompt, memory, copies int
	// peers are the loads that other VMs told, by VM.
	peers map[string]Share
	// failed tells that the server accepted no connection and has not been heard since; outage is when to try it.
	failed   bool
	failures int
	outage   time.Time
	downAt   time.Time
	// down is closed at each failure.
	down   chan struct{}
	heard  time.Time
	faults float64
	// replaced tells that another server has the address.
	replaced bool
}

// Share is what one VM has on a server.
type Share struct {
	Runs   int `json:"runs,omitempty"`
	Prompt int `json:"prompt,omitempty"`
	Memory int `json:"memory,omitempty"`
	Copies int `json:"copies,omitempty"`
}

// setPeer takes in what another VM has on the server.
func (e *entry) setPeer(vm string, s Share) {
	switch {
	case s == Share{}:
		delete(e.peers, vm)
	case e.peers == nil:
		e.peers = map[string]Share{vm: s}
	default:
		e.peers[vm] = s
	}
}

// Plus returns the sum of two shares.
func (s Share) Plus(o Share) Share {
	return Share{Runs: s.Runs + o.Runs, Prompt: s.Prompt + o.Prompt, Memory: s.Memory + o.Memory, Copies: s.Copies + o.Copies}
}

// due reports whether a failed server should be tried again.
func (e *entry) due(now time.Time) bool {
	return e.failed && !now.Before(e.outage)
}

// load returns the tokens that a new prompt has to wait for, and what stands for the run's own speed.
func (e *entry) load() float64 {
	prompt, runs, copies := e.prompt, e.runs, e.copies
	for _, s := range e.peers {
		prompt += s.Prompt
		runs += s.Runs
		copies += s.Copies
	}
	return float64(prompt) + runTokens*float64(runs) + copyShare*float64(copies) + faultTokens*e.faults
}

func (e *entry) held() int {
	runs := e.runs
	for _, s := range e.peers {
		runs += s.Runs
	}
	return runs
}

func (e *entry) outcome(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	e.faults += errorDecay * (x - e.faults)
}

func (e *entry) fail(now time.Time) {
	if now.Sub(e.downAt) > 2*maxOutage {
		e.failures = 0
	}
	e.outage = now.Add(min(maxOutage, firstOutage<<min(e.failures, 4)))
	e.failures++
	e.failed = true
	e.downAt = now
	close(e.down)
	e.down = make(chan struct{})
}

func (e *entry) recover(now time.Time) bool {
	e.heard = now
	failed := e.failed
	if failed {
		e.failed, e.failures = false, 0
	}
	return failed
}
