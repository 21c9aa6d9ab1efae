package gladeapi

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Target identifies the weights that a generation runs on.
type Target struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
}

// String returns the target as model[+adapter]@version.
func (t Target) String() string {
	if t.Adapter == "" {
		return t.Model + "@" + t.Version
	}
	return t.Model + "+" + t.Adapter + "@" + t.Version
}

// ParseTarget parses the form that Target.String returns.
func ParseTarget(s string) (Target, error) {
	rest, version, ok := strings.Cut(s, "@")
	model, adapter, _ := strings.Cut(rest, "+")
	if !ok || model == "" || version == "" {
		return Target{}, fmt.Errorf("target %q: want model[+adapter]@version", s)
	}
	return Target{Model: model, Adapter: adapter, Version: version}, nil
}

// Sampling holds the sampling parameters of a generation. They must not change between attempts.
type Sampling struct {
	MaxTokens        int      `json:"maxTokens"`
	Temperature      *float64 `json:"temperature,omitempty"`
	TopP             *float64 `json:"topP,omitempty"`
	PresencePenalty  *float64 `json:"presencePenalty,omitempty"`
	FrequencyPenalty *float64 `json:"frequencyPenalty,omitempty"`
	Seed             int64    `json:"seed"`
	Stop             []string `json:"stop,omitempty"`
	Logprobs         int      `json:"logprobs,omitempty"`
	IgnoreEOS        bool     `json:"ignoreEos,omitempty"`
}

// Generation describes a request to generate tokens. It is immutable after admission.
type Generation struct {
	ID           string   `json:"id"`
	Organisation string   `json:"organisation"`
	Key          string   `json:"key,omitempty"`
	Target       Target   `json:"target"`
	Prompt       string   `json:"prompt,omitempty"`
	PromptTokens []int32  `json:"promptTokens,omitempty"`
	Messages     []byte   `json:"messages,omitempty"`
	Sampling     Sampling `json:"sampling"`
	Priority     int      `json:"priority"`
	// Fingerprint is the xxhash64 of the target and the prompt. A repeated request has the same fingerprint.
	Fingerprint uint64    `json:"fingerprint"`
	Arrived     time.Time `json:"arrived"`
	Deadline    time.Time `json:"deadline"`
}

// Attempt identifies one run of a generation on one engine.
type Attempt struct {
	Request string `json:"request"`
	Number  int    `json:"number"`
	Nonce   string `json:"nonce"`
}

// ID returns the identifier of the attempt, which the engine echoes in each event.
func (a Attempt) ID() string {
	return a.Request + "." + strconv.Itoa(a.Number) + "." + a.Nonce
}

// Token is a generated token.
type Token struct {
	// Index is the zero-based index of the token in the whole generation, across all attempts.
	Index int    `json:"index"`
	ID    int32  `json:"id"`
	Text  string `json:"text"`
	// Prefix is the xxhash64 of the identifiers of all tokens up to and including this one.
	Prefix uint64 `json:"prefix"`
	// Logprobs is the engine's JSON for the token, empty unless the request asks for log probabilities.
	Logprobs json.RawMessage `json:"logprobs,omitempty"`
}

// EventID returns the identifier of the token's server-sent event in the form INDEX-PREFIXHASH.
func (t Token) EventID() string {
	return strconv.Itoa(t.Index) + "-" + strconv.FormatUint(t.Prefix, 16)
}

// Position identifies the last token that a caller received.
type Position struct {
	Index  int    `json:"index"`
	Prefix uint64 `json:"prefix"`
}

// ParsePosition parses the value of a Last-Event-ID header.
func ParsePosition(s string) (Position, error) {
	index, prefix, ok := strings.Cut(s, "-")
	if !ok {
		return Position{}, fmt.Errorf("event id %q: want INDEX-PREFIXHASH", s)
	}
	n, err := strconv.Atoi(index)
	if err != nil || n < 0 {
		return Position{}, fmt.Errorf("event id %q: bad index", s)
	}
	hash, err := strconv.ParseUint(prefix, 16, 64)
	if err != nil {
		return Position{}, fmt.Errorf("event id %q: bad prefix hash", s)
	}
	return Position{Index: n, Prefix: hash}, nil
}

// FinishReason is the reason for which a generation ended, as the completions API encodes it.
type FinishReason string

// The finish reasons.
const (
	// FinishStop means that the model ended the text or that a stop string matched.
	FinishStop FinishReason = "stop"
	// FinishLength means that the generation reached its maximum number of tokens.
	FinishLength FinishReason = "length"
)

// Usage counts the tokens of a generation. Each token counts once, whatever the number of attempts.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// JournalBatch is a part of a generation's journal that its owner sends to a standby VM.
type JournalBatch struct {
	// Generation is set in the first batch that a standby receives.
	Generation *Generation `json:"generation,omitempty"`
	Request    string      `json:"request"`
	// Owner is the VM that runs the generation.
	Owner string `json:"owner"`
	// Epoch increases with each takeover.
	Epoch   int     `json:"epoch"`
	Attempt Attempt `json:"attempt"`
	// Backend is the backend server of the current attempt.
	Backend BackendServer `json:"backend"`
	// Base is the number of generated tokens that the current attempt started with.
	Base int `json:"base"`
	// PromptTokens holds the engine's token identifiers of the prompt, once they are known.
	PromptTokens []int32      `json:"promptTokens,omitempty"`
	Tokens       []Token      `json:"tokens,omitempty"`
	Finish       FinishReason `json:"finish,omitempty"`
	// Dropped tells the standby to discard the generation.
	Dropped bool `json:"dropped,omitempty"`
}
