package gladefleet

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// Started distinguishes restarts under one identifier. It is in Unix milliseconds, zero if it was not reported.
	Started int64
	// Version is the version of the server's software, empty if it is not known or does not matter.
	Version string `json:",omitempty"`
}

const (
	// initialOutage is how long a server is avoided after its first failure; a crashed one needs over a second to
	// restart.
	initialOutage = 400 * time.Millisecond
	// successorRetry is how often a failed server is tried while a successor at its address can be recognised.
	successorRetry = 100 * time.Millisecond
	// maxOutage limits the outage after further failures.
	maxOutage = 3 * time.Second
	// initialQuarantine is how long a server is avoided after its first answer that exceeded a limit.
	initialQuarantine = time.Second
	// maxQuarantine limits the quarantine after further such answers.
	maxQuarantine = 16 * time.Second
	// errorRateWeight is the weight of a new outcome in the moving average of a server's error rate.
	errorRateWeight = 0.1
	// runTokens is the load of a run besides its prompt, in prompt tokens: generating its output slows later prefills.
	runTokens = 700
	// otherDomainTokens is added to the cost of a server in another failure domain, so that the own domain is used
	// first.
	otherDomainTokens = 1500
	// errorRateTokens is the load added to a server with an error rate of 1.
	errorRateTokens = 8000
	// copyWeight is the load of a copy's token relative to a prompt token: copies use memory but no computing time.
	copyWeight = 0.15
)

// entry is the state of a server as known to this VM.
type entry struct {
	Server
	hash uint64
	// listing is the server as the list of the store has it, nil if the list lacks it.  The Server differs from it where this VM knows more:
	// the server itself said that it leaves, or it was recognised before the store listed it.
	listing *Server
	// unlisted reports that the store no longer lists the server.
	unlisted bool
	// lastUse limits the use of a server that leaves or is unlisted, if there is no other.
	lastUse useLimit
	// runs is the number of this VM's requests on the server.
	// prompt is the number of their prompt tokens not yet prefilled.
	// memory is the number of tokens that these runs occupy.
	// copies is the number of tokens that this VM's copies of other runs occupy.
	runs, prompt, memory, copies int
	// peers holds the shares reported by other VMs, by VM.
	peers map[string]Share
	// peerSum is the sum of peers, which each choice needs of each server.
	peerSum Share
	// failed reports that the server accepted no connection and has not responded since.
	failed bool
	// ended reports that nothing listened at the address when it was tried last.
	ended bool
	// failures counts consecutive failures, which lengthen the outage.
	failures int
	// retryAt is when a failed server should be retried.
	retryAt  time.Time
	failedAt time.Time
	// down is closed and replaced when the server fails or is replaced itself.
	down      chan struct{}
	lastHeard time.Time
	// lastAnswer is a time at which the server itself was certainly running, by Config.BootTime.
	lastAnswer time.Time
	// errorRate is the moving average of failed requests, from 0 to 1.
	errorRate float64
	// overruns counts the answers that exceeded a limit since the last good one; each doubles the quarantine.
	overruns int
	// quarantinedUntil is the time until which the server is avoided because of them.
	quarantinedUntil time.Time
	// replaced reports that another server now uses the address.
	replaced bool
	// limited reports that the server names a limit, and exhaustedUntil the time until which that leaves no room.
	limited        bool
	exhaustedUntil time.Time
	// returningSince is when the last limit ended.
	returningSince time.Time
	// backoffUntil is the time until which the server gets no request of this VM, as it asked.
	backoffUntil time.Time
	// reported is what the server said of its load, and what was measured of its answers.
	reported reportedLoad
	// stated is the last statement of the server about its load, and statedAt its time, zero if there is none. It is only shown.
	stated   LoadReport
	statedAt time.Time
	// held are the parts of prompts that this VM has left there, the last used one first.
	held []heldPart
	// placed counts the prompt tokens read there and the copies placed there for all VMs, as far as this VM was told.
	placed int
	// heldUntil is the time until which a server of a version new to its service gets no request, and heldFor the revision of the
	// store up to which the roll-outs must be known before that.
	heldUntil time.Time
	heldFor   int64
	// coldUntil is when a new process is no longer slow, zero if that is not known.
	coldUntil time.Time
}

// useLimit is a time from which a server must get no new requests; the zero value is no limit.
type useLimit struct {
	set bool
	at  time.Time
}

// lower brings the limit forward; a later time does not put it off.
func (l *useLimit) lower(at time.Time) {
	if !l.set || at.Before(l.at) {
		*l = useLimit{set: true, at: at}
	}
}

func (l useLimit) reached(now time.Time) bool { return l.set && !now.Before(l.at) }

// digest returns a hash of what the store says of the server, apart from what changes by itself.
func (s *Server) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{s.ID, s.Service, s.Address, s.FailureDomain} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	leaving := uint64(0)
	if s.Leaving {
		leaving = 1
	}
	var numbers []byte
	for _, n := range []uint64{uint64(s.Slots), uint64(s.Started), leaving} {
		numbers = binary.LittleEndian.AppendUint64(numbers, n)
	}
	_, _ = d.Write(numbers)
	if s.Version != "" { // without versions, the digest is the one of builds that know of none
		_, _ = d.WriteString(s.Version)
	}
	return d.Sum64()
}

// Share is the load that one VM has placed on a server. Runs is a number of requests; the other fields are in tokens.
type Share struct {
	Runs   int `json:"runs,omitempty"`
	Prompt int `json:"prompt,omitempty"`
	Memory int `json:"memory,omitempty"`
	Copies int `json:"copies,omitempty"`
}

// setPeer replaces the share reported by another VM; a zero share removes it.
func (e *entry) setPeer(vm string, s Share) {
	before := e.peers[vm]
	e.placed += max(0, s.Copies-before.Copies)
	if s.Memory >= before.Memory { // a place that was given up before its prompt was read takes its memory along
		e.placed += max(0, before.Prompt-s.Prompt)
	}
	e.peerSum = e.peerSum.Add(s).subtract(before)
	switch {
	case s == Share{}:
		delete(e.peers, vm)
	case e.peers == nil:
		e.peers = map[string]Share{vm: s}
	default:
		e.peers[vm] = s
	}
}

// Add returns the sum of two shares.
func (s Share) Add(o Share) Share {
	return Share{Runs: s.Runs + o.Runs, Prompt: s.Prompt + o.Prompt, Memory: s.Memory + o.Memory, Copies: s.Copies + o.Copies}
}

// subtract returns the difference of two shares.
func (s Share) subtract(o Share) Share {
	return Share{Runs: s.Runs - o.Runs, Prompt: s.Prompt - o.Prompt, Memory: s.Memory - o.Memory, Copies: s.Copies - o.Copies}
}

// retryDue reports whether a failed server should be retried.
func (e *entry) retryDue(now time.Time) bool {
	return e.failed && !now.Before(e.retryAt)
}

// load returns the load in tokens: the prompts that a new prompt has to wait for, and what runs, copies and errors
// cost.
func (e *entry) load() float64 {
	prompt, runs, copies := e.prompt+e.peerSum.Prompt, e.totalRuns(), e.copies+e.peerSum.Copies
	return float64(prompt) + runTokens*float64(runs) + copyWeight*float64(copies) + errorRateTokens*e.errorRate
}

func (e *entry) totalRuns() int {
	return e.runs + e.peerSum.Runs
}

func (e *entry) recordOutcome(failed bool) {
	x := 0.0
	if failed {
		x = 1
	} else {
		e.overruns = 0
	}
	e.errorRate += errorRateWeight * (x - e.errorRate)
}

func (e *entry) recordOverrun(now time.Time) time.Duration {
	if now.Before(e.quarantinedUntil) {
		return 0
	}
	quarantine := min(maxQuarantine, initialQuarantine<<min(e.overruns, 4))
	e.overruns++
	e.quarantinedUntil = now.Add(quarantine)
	return quarantine
}

func (e *entry) markFailed(now time.Time, awaitsSuccessor bool) {
	if now.Sub(e.failedAt) > 2*maxOutage {
		e.failures = 0
	}
	outage := min(maxOutage, initialOutage<<min(e.failures, 4))
	if awaitsSuccessor {
		outage = min(outage, successorRetry)
	}
	e.retryAt = now.Add(outage)
	e.failures++
	e.failed = true
	e.failedAt = now
	close(e.down)
	e.down = make(chan struct{})
}

func (e *entry) markHeard(now time.Time) bool {
	e.lastHeard = now
	failed := e.failed
	e.ended = false
	if failed {
		e.failed, e.failures = false, 0
	}
	return failed
}
