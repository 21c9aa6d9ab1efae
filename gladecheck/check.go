package gladecheck

import (
	"fmt"
	"maps"
	"sync"

	"github.com/hashicorp/go-hclog"
)

// Invariant is the name of a property that must always hold.
type Invariant string

// The invariants, one for each line of "What must always hold".
const (
	// TokensOnce: a generation delivers each of its tokens exactly once.
	TokensOnce Invariant = "tokensOnce"
	// OneGeneration: all tokens of a response belong to the same generation, also after a resume.
	OneGeneration Invariant = "oneGeneration"
	// OwnAnswer: a caller receives only the response to its own request.
	OwnAnswer Invariant = "ownAnswer"
	// NotRunTrue: a request refused as not run was not executed by any backend server.
	NotRunTrue Invariant = "notRunTrue"
	// AtMostOnce: a call that is not idempotent is executed at most once.
	AtMostOnce Invariant = "atMostOnce"
	// LeavingGetsNoWork: a leaving VM or backend server gets no new work.
	LeavingGetsNoWork Invariant = "leavingGetsNoWork"
	// StopCutsNothing: stopping an entry VM cuts off no request in progress.
	StopCutsNothing Invariant = "stopCutsNothing"
	// NoteNeverReverts: the note in force is never replaced by an older one.
	NoteNeverReverts Invariant = "noteNeverReverts"
)

// Checker counts violated invariants. A nil Checker and the zero value are ready to use.
type Checker struct {
	// Log, if set, receives an error message for each violation.
	Log hclog.Logger
	// OnBroken, if set, is called with the invariant and the message of each violation.
	OnBroken func(Invariant, string)

	mu     sync.Mutex
	broken map[Invariant]int
}

// That reports a violation of an invariant if ok is false. It returns ok.
func (c *Checker) That(ok bool, i Invariant, format string, args ...any) bool {
	if ok || c == nil {
		return ok
	}
	message := fmt.Sprintf(format, args...)
	c.mu.Lock()
	if c.broken == nil {
		c.broken = map[Invariant]int{}
	}
	c.broken[i]++
	c.mu.Unlock()
	if c.Log != nil {
		c.Log.Error("Invariant broken.", "invariant", string(i), "detail", message)
	}
	if c.OnBroken != nil {
		c.OnBroken(i, message)
	}
	return false
}

// Broken returns the number of violations of each invariant.
func (c *Checker) Broken() map[Invariant]int {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.broken)
}
