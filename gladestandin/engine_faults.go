package gladestandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/eelgrassglade/eelgrassglade/gladeengine"
)

// Faults are the faults of an Engine. A field whose name ends in At is the number of generated tokens of an attempt
// after which the fault happens once; zero disables it.
type Faults struct {
	// DieAt crashes the engine.
	DieAt int `json:"dieAt,omitempty"`
	// StallAt stops the tokens of one stream and leaves its connection open.
	StallAt int `json:"stallAt,omitempty"`
	// Stall stops the tokens of all streams while /health still succeeds.
	Stall bool `json:"stall,omitempty"`
	// Pause delays all steps and requests until it is false again.
	Pause bool `json:"pause,omitempty"`
	// Slow multiplies the duration of each step, if positive.
	Slow float64 `json:"slow,omitempty"`
	// RepeatAt sends an event twice.
	RepeatAt int `json:"repeatAt,omitempty"`
	// SkipAt omits an event.
	SkipAt int `json:"skipAt,omitempty"`
	// CrossAt sends an event of another stream before the stream's own.
	CrossAt int `json:"crossAt,omitempty"`
	// LateAt sends an event with the identifier of the previous attempt before the stream's own.
	LateAt int `json:"lateAt,omitempty"`
	// BreakAt closes the connection of a stream, which continues to run.
	BreakAt int `json:"breakAt,omitempty"`
	// IgnoreCancel accepts cancel requests without cancelling the stream.
	IgnoreCancel bool `json:"ignoreCancel,omitempty"`
	// Poison crashes the engine after the prefill of a prompt that contains these words.
	Poison string `json:"poison,omitempty"`
	// PoisonFingerprint crashes the engine after the prefill of a prompt with this PromptFingerprint.
	PoisonFingerprint uint64 `json:"poisonFingerprint,omitempty"`
	// NoEnd omits the finish reason and the end event after the last token and leaves the connection open.
	NoEnd bool `json:"noEnd,omitempty"`
	// NoDone sends the finish reason but no end event.
	NoDone bool `json:"noDone,omitempty"`
	// Mute accepts completion requests and sends no response.
	Mute bool `json:"mute,omitempty"`
}

// SetFaults replaces the faults and begins or ends a pause.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Pause && e.gate == nil {
		e.gate = make(chan struct{})
	}
	if !f.Pause && e.gate != nil {
		close(e.gate)
		e.gate = nil
	}
	e.startSteps()
}

// Faults returns the current faults without those that have already happened once.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

// takeDue reports whether a fault that happens once is due at token n, and clears it if so.
func takeDue(at *int, n int) bool {
	if *at == 0 || n < *at {
		return false
	}
	*at = 0
	return true
}

// matchesPoison reports whether a prompt crashes the engine.
func (e *Engine) matchesPoison(target string, prompt []int32) bool {
	if f := e.faults.PoisonFingerprint; f != 0 && f == PromptFingerprint(target, prompt) {
		return true
	}
	words := Tokenize(e.faults.Poison)
	if len(words) == 0 {
		return false
	}
	for i := range prompt {
		if slices.Equal(prompt[i:min(i+len(words), len(prompt))], words) {
			return true
		}
	}
	return false
}

// PromptFingerprint returns a hash of a target and the tokens of a prompt.
func PromptFingerprint(target string, prompt []int32) uint64 {
	return NewSequence(target, 0, prompt).digest.Sum64()
}

// appendWithFaults appends an event to a stream, changed by the first fault that is due at token n.
func (e *Engine) appendWithFaults(s *engineStream, c gladeengine.CompletionChunk, n int) {
	f := &e.faults
	switch {
	case takeDue(&f.SkipAt, n):
		return
	case takeDue(&f.RepeatAt, n):
		s.events = append(s.events, c, c)
	case takeDue(&f.CrossAt, n):
		s.events = append(s.events, e.foreignEvent(s, c), c)
	case takeDue(&f.LateAt, n):
		late := c
		late.ID = previousAttemptID(c.ID)
		s.events = append(s.events, late, c)
	case takeDue(&f.BreakAt, n):
		s.events = append(s.events, c)
		s.breakAt = len(s.events)
	default:
		s.events = append(s.events, c)
	}
}

func (e *Engine) foreignEvent(s *engineStream, c gladeengine.CompletionChunk) gladeengine.CompletionChunk {
	for _, other := range e.streams {
		if other != s && len(other.events) > 0 {
			return other.events[len(other.events)-1]
		}
	}
	c.ID = gladeengine.IDPrefix + "someone-else.1.0"
	return c
}

func previousAttemptID(id string) string {
	parts := strings.Split(id, ".")
	if len(parts) < 3 {
		return id + "-old"
	}
	number, _ := strconv.Atoi(parts[len(parts)-2])
	parts[len(parts)-2] = strconv.Itoa(number - 1)
	return strings.Join(parts, ".")
}
