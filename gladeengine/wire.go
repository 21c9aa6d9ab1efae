package gladeengine

import "encoding/json"

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model            string          `json:"model"`
	Prompt           json.RawMessage `json:"prompt"`
	MaxTokens        int             `json:"max_tokens"`
	Temperature      *float64        `json:"temperature,omitempty"`
	TopP             *float64        `json:"top_p,omitempty"`
	PresencePenalty  *float64        `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64        `json:"frequency_penalty,omitempty"`
	Seed             *int64          `json:"seed,omitempty"`
	Stop             []string        `json:"stop,omitempty"`
	Logprobs         *int            `json:"logprobs,omitempty"`
	IgnoreEOS        bool            `json:"ignore_eos,omitempty"`
	Stream           bool            `json:"stream"`
	StreamOptions    *StreamOptions  `json:"stream_options,omitempty"`
	Priority         int             `json:"priority"`
	RequestID        string          `json:"request_id,omitempty"`
	ReturnTokenIDs   bool            `json:"return_token_ids,omitempty"`
}

// StreamOptions requests a final chunk with the token usage.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// CompletionChunk is one event of a streamed completion.
type CompletionChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *CompletionUsage   `json:"usage,omitempty"`
	// SequenceNumber is the index of the chunk's first token, nil from engines that do not number events.
	SequenceNumber *int `json:"sequence_number,omitempty"`
}

// CompletionChoice is the only choice of a chunk.
type CompletionChoice struct {
	Index          int             `json:"index"`
	Text           string          `json:"text"`
	TokenIDs       []int32         `json:"token_ids,omitempty"`
	PromptTokenIDs []int32         `json:"prompt_token_ids,omitempty"`
	Logprobs       json.RawMessage `json:"logprobs,omitempty"`
	FinishReason   *string         `json:"finish_reason"`
}

// CompletionUsage is the token count that the engine reports.
type CompletionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// TokenizeRequest is the body of POST /tokenize. It holds either a prompt or chat messages.
type TokenizeRequest struct {
	Model    string          `json:"model"`
	Prompt   string          `json:"prompt,omitempty"`
	Messages json.RawMessage `json:"messages,omitempty"`
	// ReturnTokenStrs requests the text of each token.
	ReturnTokenStrs bool `json:"return_token_strs,omitempty"`
}

// TokenizeResponse is the response body of POST /tokenize.
type TokenizeResponse struct {
	Count  int     `json:"count"`
	Tokens []int32 `json:"tokens"`
	// TokenStrs are the texts of the tokens, if requested.
	TokenStrs []string `json:"token_strs,omitempty"`
}

// IDPrefix is what the engine puts before the request_id in the id of each event.
const IDPrefix = "cmpl-"
