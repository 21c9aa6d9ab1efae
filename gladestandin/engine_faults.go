package gladestandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/eelgrassglade/eelgrassglade/gladeengine"
)

// Faults are the failures that an Engine shows; those named At happen once, after that many tokens of an attempt.
type Faults struct {
	// DieAt ends the engine without notice.
	DieAt int `json:"dieAt,omitempty"`
	// StallAt ends the tokens of one stream, whose connection stays open.
	StallAt int `json:"stallAt,omitempty"`
	// Stall ends the tokens of all streams while /health still answers.
	Stall bool `json:"stall,omitempty"`
	// Pause holds everything until it is false again.
	Pause bool `json:"pause,omitempty"`
	// Slow multiplies the time of each step, if set.
	Slow float64 `json:"slow,omitempty"`
	// RepeatAt sends a token twice and SkipAt leaves one out.
	RepeatAt int `json:"repeatAt,omitempty"`
	SkipAt   int `json:"skipAt,omitempty"`
	// CrossAt sends an event of another stream.
	CrossAt int `json:"crossAt,omitempty"`
	// LateAt sends an event of an older attempt.
	LateAt int `json:"lateAt,omitempty"`
	// BreakAt closes the connection of a stream that goes on.
	BreakAt int `json:"breakAt,omitempty"`
	// IgnoreCancel answers an order to cancel and does nothing.
	IgnoreCancel bool `json:"ignoreCancel,omitempty"`
	// Poison kills the engine when a prompt with these words has been read.
	Poison string `json:"poison,omitempty"`
	// PoisonFingerprint kills the engine when a prompt with this fingerprint has been read.
	PoisonFingerprint uint64 `json:"poisonFingerprint,omitempty"`
	// NoEnd sends neither a finish reason nor an end event after the last token.
	NoEnd bool `json:"noEnd,omitempty"`
	// NoDone sends the finish reason and no end event.
	NoDone bool `json:"noDone,omitempty"`
	// Mute accepts requests for completions and never answers.
	Mute bool `json:"mute,omitempty"`
}

// SetFaults replaces the faults.
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
	e.kick()
}

// Faults returns the faults that are still to happen.
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

// due reports whether a fault that happens once happens by token n, and takes it away.
func due(at *int, n int) bool {
	if *at == 0 || n < *at {
		return false
	}
	*at = 0
	return true
}

// poisonous reports whether the engine dies of a prompt.
func (e *Engine) poisonous(target string, prompt []int32) bool {
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

// distort adds to a stream's events what the faults that are due at token n make of its event.
func (e *Engine) distort(s *engineStream, c gladeengine.CompletionChunk, n int) {
	f := &e.faults
	switch {
	case due(&f.SkipAt, n):
		return
	case due(&f.RepeatAt, n):
		s.events = append(s.events, c, c)
	case due(&f.CrossAt, n):
		s.events = append(s.events, e.crossed(s, c), c)
	case due(&f.LateAt, n):
		late := c
		late.ID = olderAttempt(c.ID)
		s.events = append(s.events, late, c)
	case due(&f.BreakAt, n):
		s.events = append(s.events, c)
		s.breakAt = len(s.events)
	default:
		s.events = append(s.events, c)
	}
}

func (e *Engine) crossed(s *engineStream, c gladeengine.CompletionChunk) gladeengine.CompletionChunk {
	for _, other := range e.streams {
		if other != s && len(other.events) > 0 {
			return other.events[len(other.events)-1]
		}
	}
	c.ID = gladeengine.IDPrefix + "someone-else.1.0"
	return c
}

func olderAttempt(id string) string {
	parts := strings.Split(id, ".")
	if len(parts) < 3 {
		return id + "-old"
	}
	number, _ := strconv.Atoi(parts[len(parts)-2])
	parts[len(parts)-2] = strconv.Itoa(number - 1)
	return strings.Join(parts, ".")
}
