package gladeengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

const maxEventBytes = 4 << 20

func (c *Client) newSource(response *http.Response, cancel context.CancelFunc, o gladestream.OpenRequest) *gladestream.Source {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	d := &decoder{scanner: scanner, attempt: o.Attempt.ID(), promptTokens: o.PromptTokens, delivered: o.Delivered}
	return &gladestream.Source{
		Next: d.next,
		Close: func() {
			if d.finished {
				go drainBody(response.Body, cancel)
				return
			}
			cancel()
			_ = response.Body.Close()
		},
	}
}

// drainBody reads the rest of a finished stream for at most drainTimeout and closes it.
func drainBody(body io.ReadCloser, cancel context.CancelFunc) {
	timer := time.AfterFunc(drainTimeout, cancel)
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxAnswerBytes))
	timer.Stop()
	_ = body.Close()
	cancel()
}

// decoder decodes the server-sent events of one attempt.
type decoder struct {
	scanner *bufio.Scanner
	attempt string
	// promptTokens are the tokens of the prompt. They are empty if the engine received the prompt as text.
	promptTokens []int32
	// delivered are the tokens that the engine received after the prompt.
	delivered []int32
	// finished is set after the event with the finish reason.
	finished bool
}

func (d *decoder) next() (gladestream.Event, error) {
	for d.scanner.Scan() {
		data, ok := bytes.CutPrefix(d.scanner.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			return gladestream.Event{End: true}, nil
		}
		e, err := parseEvent(data, d.attempt)
		if err == nil {
			err = d.checkPrompt(e.PromptTokens)
		}
		d.finished = e.Finish != ""
		return e, err
	}
	if err := d.scanner.Err(); err != nil {
		return gladestream.Event{}, eris.Wrapf(ErrStreamBroken, "read: %v", err)
	}
	return gladestream.Event{}, eris.Wrap(ErrStreamBroken, "no end event")
}

// checkPrompt returns ErrForeignEvent if the engine reports a prompt other than the one that it received.
func (d *decoder) checkPrompt(ids []int32) error {
	n := len(d.promptTokens)
	if len(ids) == 0 || n == 0 {
		return nil
	}
	if len(ids) != n+len(d.delivered) || !slices.Equal(ids[:n], d.promptTokens) || !slices.Equal(ids[n:], d.delivered) {
		return eris.Wrap(ErrForeignEvent, "stream of another prompt")
	}
	return nil
}

func parseEvent(data []byte, want string) (gladestream.Event, error) {
	var chunk CompletionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return gladestream.Event{}, eris.Wrapf(ErrStreamBroken, "event: %v", err)
	}
	if attemptID(chunk.ID) != want {
		return gladestream.Event{}, eris.Wrapf(ErrForeignEvent, "id %q, want %q", chunk.ID, want)
	}
	e := gladestream.Event{First: -1}
	if chunk.SequenceNumber != nil {
		e.First = *chunk.SequenceNumber
	}
	if len(chunk.Choices) == 0 {
		return e, nil
	}
	choice := &chunk.Choices[0]
	e.PromptTokens = choice.PromptTokenIDs
	e.Tokens = eventTokens(choice)
	if choice.FinishReason == nil {
		return e, nil
	}
	e.Finish = gladeapi.FinishReason(*choice.FinishReason)
	if e.Finish != gladeapi.FinishStop && e.Finish != gladeapi.FinishLength {
		return gladestream.Event{}, eris.Wrapf(ErrStreamBroken, "finish reason %q", e.Finish)
	}
	return e, nil
}

func eventTokens(choice *CompletionChoice) []gladestream.EventToken {
	if len(choice.TokenIDs) == 0 && choice.Text != "" {
		return []gladestream.EventToken{{ID: placeholderToken(choice.Text), Text: choice.Text, Logprobs: choice.Logprobs}}
	}
	ts := make([]gladestream.EventToken, len(choice.TokenIDs))
	for i, id := range choice.TokenIDs {
		ts[i].ID = id
	}
	if len(ts) > 0 {
		ts[len(ts)-1].Text = choice.Text
		ts[len(ts)-1].Logprobs = choice.Logprobs
	}
	return ts
}
