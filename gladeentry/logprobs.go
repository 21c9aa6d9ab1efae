package gladeentry

import (
	"encoding/json"
	"slices"
)

// CompletionLogprobs is the logprobs object of the completions API.
type CompletionLogprobs struct {
	Tokens        []string             `json:"tokens"`
	TokenLogprobs []*float64           `json:"token_logprobs"`
	TopLogprobs   []map[string]float64 `json:"top_logprobs"`
	TextOffset    []int                `json:"text_offset"`
}

// ChatLogprobs is the logprobs object of the chat API.
type ChatLogprobs struct {
	Content []ChatLogprob `json:"content"`
}

// ChatLogprob is the log probability of a token and of its most likely alternatives.
type ChatLogprob struct {
	Token       string        `json:"token"`
	Logprob     float64       `json:"logprob"`
	TopLogprobs []ChatLogprob `json:"top_logprobs,omitempty"`
}

// joinLogprobs joins the engines' logprobs of several tokens and encodes them for the API of the request.
func (q *request) joinLogprobs(parts ...json.RawMessage) json.RawMessage {
	if len(parts) == 0 {
		return nil
	}
	var all CompletionLogprobs
	for _, part := range parts {
		var c CompletionLogprobs
		if err := json.Unmarshal(part, &c); err != nil {
			continue
		}
		all.Tokens = append(all.Tokens, c.Tokens...)
		all.TokenLogprobs = append(all.TokenLogprobs, c.TokenLogprobs...)
		all.TopLogprobs = append(all.TopLogprobs, c.TopLogprobs...)
	}
	offset := 0
	for _, token := range all.Tokens {
		all.TextOffset = append(all.TextOffset, offset)
		offset += len(token)
	}
	var v any = all
	if q.chat {
		v = all.toChat()
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return raw
}

func (c *CompletionLogprobs) toChat() ChatLogprobs {
	content := make([]ChatLogprob, 0, len(c.Tokens))
	for i, token := range c.Tokens {
		p := ChatLogprob{Token: token}
		if i < len(c.TokenLogprobs) && c.TokenLogprobs[i] != nil {
			p.Logprob = *c.TokenLogprobs[i]
		}
		if i < len(c.TopLogprobs) {
			p.TopLogprobs = alternatives(c.TopLogprobs[i])
		}
		content = append(content, p)
	}
	return ChatLogprobs{Content: content}
}

func alternatives(top map[string]float64) []ChatLogprob {
	var ps []ChatLogprob
	for token, logprob := range top {
		ps = append(ps, ChatLogprob{Token: token, Logprob: logprob})
	}
	slices.SortFunc(ps, func(a, b ChatLogprob) int {
		if a.Logprob > b.Logprob || a.Logprob == b.Logprob && a.Token < b.Token {
			return -1
		}
		return 1
	})
	return ps
}
