package gladestream

import (
	"encoding/json"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// OpenRequest holds what an engine needs to start or resume a generation.
type OpenRequest struct {
	Generation *gladeapi.Generation
	Backend    gladeapi.BackendServer
	Attempt    gladeapi.Attempt
	// PromptTokens holds the tokens of the prompt, or nil while no engine has reported them.
	PromptTokens []int32
	// Delivered holds the tokens of earlier attempts, which the engine receives as part of its prompt.
	Delivered []int32
	// Texts holds the texts of Delivered; it is set if an engine reported tokens without identifiers.
	Texts []string
	// Priority is passed to the engine; lower values run first.
	Priority int
}

// EventToken is one token as received from an engine.
type EventToken struct {
	ID       int32
	Text     string
	Logprobs json.RawMessage
}

// Event is one event of an engine's stream.
type Event struct {
	// First is the index of the first token within the attempt, or -1 if the engine does not number its events.
	First        int
	Tokens       []EventToken
	PromptTokens []int32
	Finish       gladeapi.FinishReason
	// End marks the last event of the stream.
	End bool
}

// Source is the event stream of one attempt.
type Source struct {
	// Next blocks until the next event; it returns an error once the stream has ended.
	Next func() (Event, error)
	// Close ends the stream and unblocks Next.
	Close func()
}
