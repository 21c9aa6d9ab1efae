package gladeentry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
)

const (
	maxStops       = 4
	maxStopBytes   = 256
	maxKeyBytes    = 255
	maxTemperature = 2
	maxPenalty     = 2
	maxLogprobs    = 20
	bodyTimeout    = 20 * time.Second
)

// Body is the JSON of a completion or chat request.
type Body struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Temperature         *float64        `json:"temperature"`
	TopP                *float64        `json:"top_p"`
	PresencePenalty     *float64        `json:"presence_penalty"`
	FrequencyPenalty    *float64        `json:"frequency_penalty"`
	Seed                *int64          `json:"seed"`
	Stop                json.RawMessage `json:"stop"`
	Logprobs            json.RawMessage `json:"logprobs"`
	TopLogprobs         *int            `json:"top_logprobs"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`
	Echo                bool            `json:"echo"`
	Stream              bool            `json:"stream"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	IgnoreEOS bool `json:"ignore_eos"`
}

// request is a parsed and validated request.
type request struct {
	generation   *gladeapi.Generation
	model        string
	chat         bool
	stream       bool
	includeUsage bool
	position     *gladeapi.Position
	bodyHash     uint64
	received     time.Time
}

func badField(field, format string, args ...any) *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: http.StatusBadRequest, Code: gladeapi.CodeBadRequest,
		Message: field + ": " + fmt.Sprintf(format, args...), Field: field, Ran: gladeapi.NotRun,
	}
}

func (s *Server) parse(w http.ResponseWriter, r *http.Request, o *gladenote.Organisation, chat bool) (*request, error) {
	raw, err := ReadBody(w, r, s.config.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	var b Body
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, jsonError(err)
	}
	g := &gladeapi.Generation{
		ID:           requestID(r),
		Organisation: o.Name,
		Key:          r.Header.Get(HeaderIdempotencyKey),
		Priority:     o.Priority,
		Arrived:      time.Now(),
		Deadline:     time.Now().Add(s.config.Deadline),
	}
	q := &request{generation: g, model: b.Model, chat: chat, stream: b.Stream, bodyHash: xxhash.Sum64(raw), received: time.Now()}
	q.includeUsage = b.StreamOptions != nil && b.StreamOptions.IncludeUsage
	if err := s.setGeneration(q, &b); err != nil {
		return nil, err
	}
	return q, q.parseHeaders(r)
}

// ReadBody reads a body of at most limit bytes within 20 s. Its errors are of type *gladeapi.Refusal.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	// Only the connections of tests do not support deadlines, and those do not block for long.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, bodyError(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return raw, nil
}

func (q *request) parseHeaders(r *http.Request) error {
	if len(q.generation.Key) > maxKeyBytes {
		return badField(HeaderIdempotencyKey, "longer than %d bytes", maxKeyBytes)
	}
	last := r.Header.Get(HeaderLastEventID)
	if last == "" {
		return nil
	}
	if q.generation.Key == "" {
		return badField(HeaderLastEventID, "needs an %s", HeaderIdempotencyKey)
	}
	p, err := gladeapi.ParsePosition(last)
	if err != nil {
		return badField(HeaderLastEventID, "%v", err)
	}
	q.position = &p
	return nil
}

func (s *Server) setGeneration(q *request, b *Body) error {
	if b.Model == "" {
		return badField("model", "must be set")
	}
	target, model, err := s.config.State().Resolve(b.Model)
	if err != nil {
		return &gladeapi.Refusal{
			Status: http.StatusNotFound, Code: gladeapi.CodeNotFound, Message: err.Error(), Field: "model", Ran: gladeapi.NotRun,
		}
	}
	q.generation.Target = target
	if err := b.parsePrompt(q); err != nil {
		return err
	}
	if err := b.checkUnsupported(); err != nil {
		return err
	}
	if err := b.parseSampling(q, &model); err != nil {
		return err
	}
	if err := q.checkContextLength(&model); err != nil {
		return err
	}
	q.generation.Fingerprint = fingerprint(q.generation)
	return nil
}

// checkContextLength checks the prompt's token identifiers, and that prompt and answer fit in the model's context.
func (q *request) checkContextLength(m *gladenote.Model) error {
	g := q.generation
	for i, id := range g.PromptTokens {
		if id < 0 {
			return badField("prompt", "token %d is negative", i)
		}
	}
	if m.Context > 0 && len(g.PromptTokens)+g.Sampling.MaxTokens > m.Context {
		return badField("max_tokens", "prompt of %d and answer of %d tokens exceed the context of %d",
			len(g.PromptTokens), g.Sampling.MaxTokens, m.Context)
	}
	return nil
}

func fingerprint(g *gladeapi.Generation) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(g.Target.String())
	_, _ = d.WriteString("\x00" + g.Prompt + "\x00")
	_, _ = d.Write(g.Messages)
	for _, id := range g.PromptTokens {
		_, _ = fmt.Fprintf(&d, "%d ", id)
	}
	return d.Sum64()
}

func (b *Body) parsePrompt(q *request) error {
	if q.chat {
		return b.parseMessages(q)
	}
	if len(b.Prompt) == 0 {
		return badField("prompt", "must be set")
	}
	if err := json.Unmarshal(b.Prompt, &q.generation.Prompt); err == nil && q.generation.Prompt != "" {
		return nil
	}
	if err := json.Unmarshal(b.Prompt, &q.generation.PromptTokens); err == nil && len(q.generation.PromptTokens) > 0 {
		return nil
	}
	return badField("prompt", "want one non-empty text or list of token ids")
}

func (b *Body) parseMessages(q *request) error {
	var messages []struct {
		Role string `json:"role"`
	}
	if err := json.Unmarshal(b.Messages, &messages); err != nil || len(messages) == 0 {
		return badField("messages", "want a non-empty list of messages")
	}
	for i, m := range messages {
		if m.Role == "" {
			return badField("messages", "message %d has no role", i)
		}
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, b.Messages); err != nil {
		return badField("messages", "%v", err)
	}
	q.generation.Messages = compact.Bytes()
	return nil
}

func (b *Body) checkUnsupported() error {
	switch {
	case b.N != nil && *b.N != 1:
		return badField("n", "only 1 is served")
	case b.BestOf != nil && *b.BestOf != 1:
		return badField("best_of", "only 1 is served")
	case b.Echo:
		return badField("echo", "is not served")
	}
	return nil
}

func (b *Body) parseSampling(q *request, m *gladenote.Model) error {
	p := &q.generation.Sampling
	p.MaxTokens = m.MaxTokens
	for field, v := range map[string]*int{"max_tokens": b.MaxTokens, "max_completion_tokens": b.MaxCompletionTokens} {
		if v == nil {
			continue
		}
		if *v < 1 || *v > m.MaxTokens {
			return badField(field, "want 1 to %d", m.MaxTokens)
		}
		p.MaxTokens = *v
	}
	p.Temperature, p.TopP = b.Temperature, b.TopP
	p.PresencePenalty, p.FrequencyPenalty = b.PresencePenalty, b.FrequencyPenalty
	p.IgnoreEOS = b.IgnoreEOS
	p.Seed = rand.Int64()
	if b.Seed != nil {
		p.Seed = *b.Seed
	}
	if err := b.checkRanges(); err != nil {
		return err
	}
	if err := b.parseLogprobs(p, q.chat); err != nil {
		return err
	}
	return b.parseStops(p)
}

func (b *Body) checkRanges() error {
	checks := []struct {
		field     string
		value     *float64
		low, high float64
	}{
		{"temperature", b.Temperature, 0, maxTemperature},
		{"top_p", b.TopP, 0, 1},
		{"presence_penalty", b.PresencePenalty, -maxPenalty, maxPenalty},
		{"frequency_penalty", b.FrequencyPenalty, -maxPenalty, maxPenalty},
	}
	for _, c := range checks {
		if c.value != nil && (*c.value < c.low || *c.value > c.high) {
			return badField(c.field, "want %g to %g", c.low, c.high)
		}
	}
	return nil
}

func (b *Body) parseLogprobs(p *gladeapi.Sampling, chat bool) error {
	if len(b.Logprobs) == 0 {
		return nil
	}
	if chat {
		var on bool
		if err := json.Unmarshal(b.Logprobs, &on); err != nil {
			return badField("logprobs", "want true or false")
		}
		if on {
			p.Logprobs = 1
		}
		if on && b.TopLogprobs != nil {
			p.Logprobs = max(1, *b.TopLogprobs)
		}
	} else if err := json.Unmarshal(b.Logprobs, &p.Logprobs); err != nil {
		return badField("logprobs", "want a number")
	}
	if p.Logprobs < 0 || p.Logprobs > maxLogprobs {
		return badField("logprobs", "want 0 to %d", maxLogprobs)
	}
	return nil
}

func (b *Body) parseStops(p *gladeapi.Sampling) error {
	if len(b.Stop) == 0 || string(b.Stop) == "null" {
		return nil
	}
	var one string
	if err := json.Unmarshal(b.Stop, &one); err == nil {
		p.Stop = []string{one}
	} else if err := json.Unmarshal(b.Stop, &p.Stop); err != nil {
		return badField("stop", "want a text or a list of texts")
	}
	if len(p.Stop) > maxStops {
		return badField("stop", "more than %d", maxStops)
	}
	for _, text := range p.Stop {
		if text == "" || len(text) > maxStopBytes {
			return badField("stop", "want texts of 1 to %d bytes", maxStopBytes)
		}
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &gladeapi.Refusal{
			Status: http.StatusRequestEntityTooLarge, Code: gladeapi.CodeTooLarge,
			Message: fmt.Sprintf("body is larger than %d bytes", tooLarge.Limit), Ran: gladeapi.NotRun,
		}
	}
	return &gladeapi.Refusal{
		Status: http.StatusBadRequest, Code: gladeapi.CodeBadRequest, Message: "body: " + err.Error(), Ran: gladeapi.NotRun,
	}
}

func jsonError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return badField(wrongType.Field, "want %s, got %s", wrongType.Type, wrongType.Value)
	}
	return badField("body", "%v", err)
}
