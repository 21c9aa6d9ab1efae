package gladecaller

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeentry"
)

// Request asks for a generation.
type Request struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Seed      int64  `json:"seed"`
	// Key is the idempotency key; without one a cut answer is not asked for again.
	Key    string `json:"key,omitempty"`
	Stream bool   `json:"stream,omitempty"`
	Chat   bool   `json:"chat,omitempty"`
	// Entry is the VM to ask first.
	Entry string `json:"entry,omitempty"`
	// DropAfter makes the caller drop its first connection after so many tokens and go on at another VM.
	DropAfter int `json:"dropAfter,omitempty"`
	// APIKey replaces the caller's own, if set.
	APIKey string `json:"-"`
	// EOS lets the engine end the text before MaxTokens.
	EOS bool `json:"eos,omitempty"`
}

// Event is one token as it reached the caller.
type Event struct {
	// ID is the identifier of the server-sent event.
	ID   string
	Text string
	At   time.Time
}

// Answer is all that a caller got for one Request.
type Answer struct {
	// Events are the tokens of a streamed answer; Text is the whole text of any answer.
	Events []Event
	Text   string
	Finish gladeapi.FinishReason
	Usage  *gladeapi.Usage
	// Refusal is set if the request was refused or ended with an error, Err if its answer was cut.
	Refusal *gladeapi.Refusal
	Err     error
	Tries   []Try
	Sent    time.Time
	Ended   time.Time
}

// Whole reports whether the answer came to its end.
func (a *Answer) Whole() bool {
	return a.Finish != "" && a.Err == nil && a.Refusal == nil
}

// FirstToken returns the time to the first token of a streamed answer.
func (a *Answer) FirstToken() time.Duration {
	if len(a.Events) == 0 {
		return 0
	}
	return a.Events[0].At.Sub(a.Sent)
}

// LongestGap returns the longest time between two tokens of a streamed answer.
func (a *Answer) LongestGap() time.Duration {
	var longest time.Duration
	for i := 1; i < len(a.Events); i++ {
		longest = max(longest, a.Events[i].At.Sub(a.Events[i-1].At))
	}
	return longest
}

// RequestID returns the identifier under which the request was answered last.
func (a *Answer) RequestID() string {
	for i := len(a.Tries) - 1; i >= 0; i-- {
		if a.Tries[i].RequestID != "" {
			return a.Tries[i].RequestID
		}
	}
	return ""
}

type generationBody struct {
	Model         string           `json:"model"`
	Prompt        string           `json:"prompt,omitempty"`
	Messages      []messageBody    `json:"messages,omitempty"`
	MaxTokens     int              `json:"max_tokens"`
	Seed          int64            `json:"seed"`
	Stream        bool             `json:"stream"`
	StreamOptions *streamedOptions `json:"stream_options,omitempty"`
	IgnoreEOS     bool             `json:"ignore_eos"`
}

type streamedOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (q *Request) messages() []messageBody {
	return []messageBody{{Role: "user", Content: q.Prompt}}
}

func (q *Request) body() []byte {
	b := generationBody{Model: q.Model, MaxTokens: q.MaxTokens, Seed: q.Seed, Stream: q.Stream, IgnoreEOS: !q.EOS}
	if q.Stream {
		b.StreamOptions = &streamedOptions{IncludeUsage: true}
	}
	if q.Chat {
		b.Messages = q.messages()
	} else {
		b.Prompt = q.Prompt
	}
	raw, _ := json.Marshal(b)
	return raw
}

func (q *Request) path() string {
	if q.Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// Generate sends a request, again at other VMs while it may be, and returns what came of it.
func (c *Caller) Generate(ctx context.Context, q Request) *Answer {
	a := &Answer{Sent: time.Now()}
	defer func() { a.Ended = time.Now() }()
	body := q.body()
	for try := range c.config.Tries {
		if try > 0 && !c.wait(ctx) {
			break
		}
		t := c.try(ctx, &q, body, try, a)
		a.Tries = append(a.Tries, t)
		a.Refusal, a.Err = t.Refusal, t.Err
		if !again(&q, &t) {
			break
		}
	}
	return a
}

func again(q *Request, t *Try) bool {
	switch {
	case t.Err == nil && t.Refusal == nil:
		return false
	case errors.Is(t.Err, ErrNotSent):
		return true
	case t.Refusal != nil:
		return repeatable(t.Refusal)
	}
	return q.Key != ""
}

func (c *Caller) try(ctx context.Context, q *Request, body []byte, n int, a *Answer) Try {
	e, ok := c.entry(q.Entry, n)
	if !ok {
		return Try{Err: ErrNotSent}
	}
	t := Try{Entry: e.Name, From: len(a.Events)}
	header := http.Header{}
	header.Set(headerAuthorization, "Bearer "+cmp.Or(q.APIKey, c.config.APIKey))
	if q.Key != "" {
		header.Set(gladeentry.HeaderIdempotencyKey, q.Key)
	}
	if len(a.Events) > 0 {
		header.Set(gladeentry.HeaderLastEventID, a.Events[len(a.Events)-1].ID)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.exchange(cancel, q, &t, a, func() (*http.Response, error) { return c.send(ctx, e, q.path(), body, header) })
	t.GaveUp = ctx.Err() != nil
	return t
}

// exchange sends a request and reads its answer; leave gives it up when the VM is silent.
func (c *Caller) exchange(
	leave func(), q *Request, t *Try, a *Answer, send func() (*http.Response, error),
) {
	response, err := send()
	if err != nil {
		t.Err = sendError(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	t.Status = response.StatusCode
	t.RequestID = response.Header.Get(gladeentry.HeaderRequestID)
	switch {
	case response.StatusCode != http.StatusOK:
		t.Refusal, t.Err = readRefusal(response.StatusCode, response.Body)
	case q.Stream:
		silence := time.AfterFunc(c.config.Silence, leave)
		defer silence.Stop()
		r := streamReader{answer: a, first: len(a.Tries) == 0, dropAfter: q.DropAfter, heard: func() { silence.Reset(c.config.Silence) }}
		t.Refusal, t.Err = r.read(response.Body)
	default:
		t.Err = a.readWhole(response.Body)
	}
}

func sendError(err error) error {
	if isDial(err) {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	return eris.Wrap(ErrCut, err.Error())
}

func (a *Answer) readWhole(body io.Reader) error {
	var whole gladeentry.Answer
	if err := json.NewDecoder(body).Decode(&whole); err != nil {
		return eris.Wrap(ErrCut, err.Error())
	}
	if len(whole.Choices) != 1 {
		return eris.Wrapf(ErrCut, "%d choices", len(whole.Choices))
	}
	a.take(&whole.Choices[0])
	a.Usage = whole.Usage
	return nil
}

func (a *Answer) take(choice *gladeentry.AnswerChoice) string {
	var text string
	switch {
	case choice.Text != nil:
		text = *choice.Text
	case choice.Message != nil && choice.Message.Content != nil:
		text = *choice.Message.Content
	case choice.Delta != nil && choice.Delta.Content != nil:
		text = *choice.Delta.Content
	}
	a.Text += text
	if choice.FinishReason != nil {
		a.Finish = *choice.FinishReason
	}
	return text
}

// streamReader reads the server-sent events of one connection into an answer.
type streamReader struct {
	answer    *Answer
	first     bool
	dropAfter int
	heard     func()
	id        string
}

type chunk struct {
	gladeentry.Answer
	Error *gladeentry.ErrorDetail `json:"error"`
}

func (r *streamReader) read(body io.Reader) (*gladeapi.Refusal, error) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			r.id = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil, nil
		}
		r.heard()
		refusal, err := r.event(data)
		if refusal != nil || err != nil {
			return refusal, err
		}
		if r.first && r.dropAfter > 0 && len(r.answer.Events) == r.dropAfter {
			return nil, eris.Wrap(ErrCut, "dropped by the caller")
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(ErrCut, err.Error())
	}
	return nil, eris.Wrap(ErrCut, "no end event")
}

func (r *streamReader) event(data string) (*gladeapi.Refusal, error) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return nil, eris.Wrap(ErrCut, err.Error())
	}
	if c.Error != nil {
		return refusalOf(http.StatusOK, &gladeentry.ErrorBody{Error: *c.Error}), nil
	}
	if c.Usage != nil {
		r.answer.Usage = c.Usage
	}
	if len(c.Choices) == 0 {
		return nil, nil
	}
	text := r.answer.take(&c.Choices[0])
	if r.id != "" {
		r.answer.Events = append(r.answer.Events, Event{ID: r.id, Text: text, At: time.Now()})
		r.id = ""
	}
	return nil, nil
}
