package gladeentry

import (
	"encoding/json"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// ModelList is the response body of GET /v1/models.
type ModelList struct {
	Object string       `json:"object"`
	Data   []ModelEntry `json:"data"`
}

// ModelEntry is a model or adapter that callers can request.
type ModelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

// Answer is a completion, a chat completion or a chunk of either.
type Answer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []AnswerChoice  `json:"choices"`
	Usage   *gladeapi.Usage `json:"usage,omitempty"`
}

// AnswerChoice is the only choice of an Answer.
type AnswerChoice struct {
	Index        int                    `json:"index"`
	Text         *string                `json:"text,omitempty"`
	Message      *Message               `json:"message,omitempty"`
	Delta        *Message               `json:"delta,omitempty"`
	Logprobs     json.RawMessage        `json:"logprobs"`
	FinishReason *gladeapi.FinishReason `json:"finish_reason"`
}

// Message is a chat message or the delta of one.
type Message struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

func (q *request) answer(object string) Answer {
	return Answer{
		ID:      q.idPrefix() + q.generation.ID,
		Object:  object,
		Created: q.generation.Arrived.Unix(),
		Model:   q.model,
		Choices: []AnswerChoice{},
	}
}

func (q *request) idPrefix() string {
	if q.chat {
		return "chatcmpl-"
	}
	return "cmpl-"
}

// fullAnswer returns the response to a request without streaming.
func (q *request) fullAnswer(t *answerBuilder, finish gladeapi.FinishReason, usage gladeapi.Usage) Answer {
	text := t.text.String()
	choice := AnswerChoice{FinishReason: &finish, Logprobs: q.joinLogprobs(t.logprobs...)}
	object := "text_completion"
	if q.chat {
		object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: &text}
	} else {
		choice.Text = &text
	}
	a := q.answer(object)
	a.Choices = append(a.Choices, choice)
	a.Usage = &usage
	return a
}

// chunk returns the chunk that contains one piece.
func (q *request) chunk(p *piece) Answer {
	choice := AnswerChoice{}
	if len(p.token.Logprobs) > 0 {
		choice.Logprobs = q.joinLogprobs(p.token.Logprobs)
	}
	object := "text_completion"
	if q.chat {
		object = "chat.completion.chunk"
		choice.Delta = &Message{Content: &p.text}
		if p.first {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &p.text
	}
	a := q.answer(object)
	a.Choices = append(a.Choices, choice)
	return a
}
