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

// Request is a request for a generation.
type Request struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Seed      int64  `json:"seed"`
	// Key is the idempotency key. Without one, the request is not repeated after an incomplete answer.
	Key    string `json:"key,omitempty"`
	Stream bool   `json:"stream,omitempty"`
	Chat   bool   `json:"chat,omitempty"`
	// Entry is the name of the VM that receives the first try.
	Entry string `json:"entry,omitempty"`
	// DropAfter is the number of tokens after which the caller closes its first connection and continues at another VM.
	// Zero means that it does not.
	DropAfter int `json:"dropAfter,omitempty"`
	// APIKey replaces Config.APIKey, if set.
	APIKey string `json:"-"`
	// EOS allows the engine to end the text before MaxTokens.
	EOS bool `json:"eos,omitempty"`
}

// Event is a token of a streamed answer as the caller received it.
type Event struct {
	// ID is the identifier of the server-sent event.
	ID   string
	Text string
	At   time.Time
}

// Answer is the result of a Request.
type Answer struct {
	// Events holds the tokens of a streamed answer.
	Events []Event
	// Text is the text received so far, streamed or not.
	Text   string
	Finish gladeapi.FinishReason
	Usage  *gladeapi.Usage
	// Refusal is set if the request was refused or ended with an error.
	Refusal *gladeapi.Refusal
	// Err is set if no answer or only a part of it was received.
	Err   error
	Tries []Try
	Sent  time.Time
	Ended time.Time
}

// Complete reports whether the answer is complete.
func (a *Answer) Complete() bool {
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

// RequestID returns the request identifier of the last response.
func (a *Answer) RequestID() string {
	for i := len(a.Tries) - 1; i >= 0; i-- {
		if a.Tries[i].RequestID != "" {
			return a.Tries[i].RequestID
		}
	}
	return ""
}

type generationBody struct {
	Model         string         `json:"model"`
	Prompt        string         `json:"prompt,omitempty"`
	Messages      []messageBody  `json:"messages,omitempty"`
	MaxTokens     int            `json:"max_tokens"`
	Seed          int64          `json:"seed"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
	IgnoreEOS     bool           `json:"ignore_eos"`
}

type streamOptions struct {
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
		b.StreamOptions = &streamOptions{IncludeUsage: true}
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

// Generate sends a request, retries it at other VMs while that is allowed, and returns the result.
func (c *Caller) Generate(ctx context.Context, q Request) *Answer {
	a := &Answer{Sent: time.Now()}
	defer func() { a.Ended = time.Now() }()
	body := q.body()
	for try := range c.config.Tries {
		if try > 0 && !c.wait(ctx) {
			break
		}
		t := c.tryGenerate(ctx, &q, body, try, a)
		a.Tries = append(a.Tries, t)
		a.Refusal, a.Err = t.Refusal, t.Err
		if !shouldRetry(&q, &t) {
			break
		}
	}
	return a
}

func shouldRetry(q *Request, t *Try) bool {
	switch {
	case t.Err == nil && t.Refusal == nil:
		return false
	case errors.Is(t.Err, ErrNotSent):
		return true
	case t.Refusal != nil:
		return retryable(t.Refusal)
	}
	return q.Key != ""
}

func (c *Caller) tryGenerate(ctx context.Context, q *Request, body []byte, n int, a *Answer) Try {
	e, ok := c.pickEntry(q.Entry, n)
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

// exchange sends a request and reads its answer. It calls cancel if no event of a stream arrives in time.
func (c *Caller) exchange(
	cancel func(), q *Request, t *Try, a *Answer, send func() (*http.Response, error),
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
		timer := time.AfterFunc(c.config.EventTimeout, cancel)
		defer timer.Stop()
		r := streamReader{answer: a, firstTry: len(a.Tries) == 0, dropAfter: q.DropAfter, onEvent: func() { timer.Reset(c.config.EventTimeout) }}
		t.Refusal, t.Err = r.read(response.Body)
	default:
		t.Err = a.readFull(response.Body)
	}
}

func sendError(err error) error {
	if isDialError(err) {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	return eris.Wrap(ErrIncomplete, err.Error())
}

func (a *Answer) readFull(body io.Reader) error {
	var whole gladeentry.Answer
	if err := json.NewDecoder(body).Decode(&whole); err != nil {
		return eris.Wrap(ErrIncomplete, err.Error())
	}
	if len(whole.Choices) != 1 {
		return eris.Wrapf(ErrIncomplete, "answer has %d choices, want 1", len(whole.Choices))
	}
	a.addChoice(&whole.Choices[0])
	a.Usage = whole.Usage
	return nil
}

func (a *Answer) addChoice(choice *gladeentry.AnswerChoice) string {
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

// streamReader reads the server-sent events of one connection and adds them to an answer.
type streamReader struct {
	answer    *Answer
	firstTry  bool
	dropAfter int
	onEvent   func()
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
		r.onEvent()
		refusal, err := r.handleEvent(data)
		if refusal != nil || err != nil {
			return refusal, err
		}
		if r.firstTry && r.dropAfter > 0 && len(r.answer.Events) == r.dropAfter {
			return nil, eris.Wrap(ErrIncomplete, "caller closed the connection")
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(ErrIncomplete, err.Error())
	}
	return nil, eris.Wrap(ErrIncomplete, "stream ended without [DONE]")
}

func (r *streamReader) handleEvent(data string) (*gladeapi.Refusal, error) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return nil, eris.Wrap(ErrIncomplete, err.Error())
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
	text := r.answer.addChoice(&c.Choices[0])
	if r.id != "" {
		r.answer.Events = append(r.answer.Events, Event{ID: r.id, Text: text, At: time.Now()})
		r.id = ""
	}
	return nil, nil
}
