package gladestream

import (
	"encoding/json"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// OpenRequest is what an engine needs to start or continue a generation.
type OpenRequest struct {
	Generation *gladeapi.Generation
	Backend    gladeapi.BackendServer
	Attempt    gladeapi.Attempt
	// PromptTokens are the engine's own prompt tokens, once an engine has told them.
	PromptTokens []int32
	// Delivered are the tokens of earlier attempts, which the engine gets as part of its prompt.
	Delivered []int32
	// Texts are those of Delivered, set if some engine told no token identifiers.
	Texts []string
	// Priority is passed to the engine, lower first.
	Priority int
}

// EventToken is one token as an engine sent it.
type EventToken struct {
	ID       int32
	Text     string
	Logprobs json.RawMessage
}

// Event is one event of an engine's stream.
type Event struct {
	// First is the index of the first token within the attempt, or -1 if the engine does not number.
	First        int
	Tokens       []EventToken
	PromptTokens []int32
	Finish       gladeapi.FinishReason
	// End marks the last event of the stream.
	End bool
}

// Source is a stream of events from one engine; both functions are set by whoever opens it.
type Source struct {
	// Next blocks for the next event.
	Next func() (Event, error)
	// Close ends the stream and unblocks Next.
	Close func()
}
