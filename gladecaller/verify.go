package gladecaller

import (
	"encoding/binary"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
)

// The faults that Verify finds in an answer.
var (
	ErrMissing  = eris.New("token missing")
	ErrRepeated = eris.New("token repeated")
	// ErrMixed means that a token belongs to another generation.
	ErrMixed = eris.New("token of another generation")
	// ErrPosition means that an event's identifier does not name the tokens up to it.
	ErrPosition = eris.New("event identifier does not match the tokens")
	// ErrUsage means that the counted tokens are not those delivered.
	ErrUsage = eris.New("usage does not match the tokens")
)

// Want is the one right answer to a request.
type Want struct {
	texts  []string
	ids    []string
	finish gladeapi.FinishReason
	prompt int
}

// NewWant returns the right answer of a target to a request.
func NewWant(target string, q *Request) *Want {
	prompt := gladestandin.Tokenize(q.Prompt)
	if q.Chat {
		raw, _ := json.Marshal(q.messages())
		prompt = gladestandin.Tokenize(string(raw))
	}
	w := &Want{finish: gladeapi.FinishLength, prompt: len(prompt)}
	s := gladestandin.NewSequence(target, q.Seed, prompt)
	var digest xxhash.Digest
	digest.Reset()
	for i := range q.MaxTokens {
		id, eos := s.Next()
		var b [4]byte
		binary.LittleEndian.PutUint32(b[:], uint32(id))
		_, _ = digest.Write(b[:])
		w.texts = append(w.texts, gladestandin.TokenText(id))
		w.ids = append(w.ids, strconv.Itoa(i)+"-"+strconv.FormatUint(digest.Sum64(), 16))
		if eos && q.EOS {
			w.finish = gladeapi.FinishStop
			break
		}
	}
	return w
}

// Tokens returns the number of tokens of the right answer.
func (w *Want) Tokens() int {
	return len(w.texts)
}

// Verify returns the first fault of an answer; tokens that did not arrive are a fault only if the answer is whole.
func (w *Want) Verify(a *Answer) error {
	for i, e := range a.Events {
		if err := w.event(i, e); err != nil {
			return err
		}
	}
	text := strings.Join(w.texts, "")
	if !strings.HasPrefix(text, a.Text) {
		return eris.Wrapf(ErrMixed, "text of %d bytes is not the beginning of the right one", len(a.Text))
	}
	if !a.Whole() {
		return nil
	}
	if len(a.Text) != len(text) {
		return eris.Wrapf(ErrMissing, "whole answer has %d bytes, want %d", len(a.Text), len(text))
	}
	if a.Finish != w.finish {
		return eris.Wrapf(ErrMixed, "finish reason %q, want %q", a.Finish, w.finish)
	}
	if a.Usage != nil && (a.Usage.CompletionTokens != len(w.texts) || a.Usage.PromptTokens != w.prompt) {
		return eris.Wrapf(ErrUsage, "%+v, want %d prompt and %d generated", *a.Usage, w.prompt, len(w.texts))
	}
	return nil
}

func (w *Want) event(i int, e Event) error {
	p, err := gladeapi.ParsePosition(e.ID)
	if err != nil {
		return eris.Wrap(ErrPosition, err.Error())
	}
	switch {
	case p.Index < i:
		return eris.Wrapf(ErrRepeated, "index %d again after %d tokens", p.Index, i)
	case p.Index > i || i >= len(w.texts):
		return eris.Wrapf(ErrMissing, "index %d after %d tokens of %d", p.Index, i, len(w.texts))
	case e.Text != w.texts[i]:
		return eris.Wrapf(ErrMixed, "token %d is %q, want %q", i, e.Text, w.texts[i])
	case e.ID != w.ids[i]:
		return eris.Wrapf(ErrPosition, "token %d has id %s, want %s", i, e.ID, w.ids[i])
	}
	return nil
}
