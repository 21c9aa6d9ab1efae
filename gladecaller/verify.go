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

// The errors that Verify returns.
var (
	// ErrMissing means that a token of the expected answer was not received, or that a token follows its last one.
	ErrMissing = eris.New("token missing")
	// ErrRepeated means that a token was received twice.
	ErrRepeated = eris.New("token repeated")
	// ErrUnexpected means that the answer contains an unexpected token or finish reason, such as a token of another
	// generation.
	ErrUnexpected = eris.New("token of another generation")
	// ErrPosition means that the identifier of an event does not match the tokens up to it.
	ErrPosition = eris.New("event identifier does not match the tokens")
	// ErrUsage means that the reported usage does not match the number of tokens.
	ErrUsage = eris.New("usage does not match the tokens")
)

// ExpectedAnswer is the expected answer to a request.
type ExpectedAnswer struct {
	texts  []string
	ids    []string
	finish gladeapi.FinishReason
	prompt int
}

// NewExpectedAnswer returns the answer that the stand-in engine gives to a request for a target.
func NewExpectedAnswer(target string, q *Request) *ExpectedAnswer {
	prompt := gladestandin.Tokenize(q.Prompt)
	if q.Chat {
		raw, _ := json.Marshal(q.messages())
		prompt = gladestandin.Tokenize(string(raw))
	}
	w := &ExpectedAnswer{finish: gladeapi.FinishLength, prompt: len(prompt)}
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

// Tokens returns the number of tokens of the expected answer.
func (w *ExpectedAnswer) Tokens() int {
	return len(w.texts)
}

// Verify compares an answer with the expected one and returns the first difference as an error. Tokens may be missing
// at the end if the answer is incomplete.
func (w *ExpectedAnswer) Verify(a *Answer) error {
	for i, e := range a.Events {
		if err := w.verifyEvent(i, e); err != nil {
			return err
		}
	}
	text := strings.Join(w.texts, "")
	if !strings.HasPrefix(text, a.Text) {
		return eris.Wrapf(ErrUnexpected, "text of %d bytes is not a prefix of the expected text", len(a.Text))
	}
	if !a.Complete() {
		return nil
	}
	if len(a.Text) != len(text) {
		return eris.Wrapf(ErrMissing, "complete answer has %d bytes, want %d", len(a.Text), len(text))
	}
	if a.Finish != w.finish {
		return eris.Wrapf(ErrUnexpected, "finish reason %q, want %q", a.Finish, w.finish)
	}
	if a.Usage != nil && (a.Usage.CompletionTokens != len(w.texts) || a.Usage.PromptTokens != w.prompt) {
		return eris.Wrapf(ErrUsage, "%+v, want %d prompt and %d generated", *a.Usage, w.prompt, len(w.texts))
	}
	return nil
}

func (w *ExpectedAnswer) verifyEvent(i int, e Event) error {
	p, err := gladeapi.ParsePosition(e.ID)
	if err != nil {
		return eris.Wrap(ErrPosition, err.Error())
	}
	switch {
	case p.Index < i:
		return eris.Wrapf(ErrRepeated, "index %d repeated after %d tokens", p.Index, i)
	case p.Index > i || i >= len(w.texts):
		return eris.Wrapf(ErrMissing, "index %d after %d tokens of %d", p.Index, i, len(w.texts))
	case e.Text != w.texts[i]:
		return eris.Wrapf(ErrUnexpected, "token %d is %q, want %q", i, e.Text, w.texts[i])
	case e.ID != w.ids[i]:
		return eris.Wrapf(ErrPosition, "token %d has id %s, want %s", i, e.ID, w.ids[i])
	}
	return nil
}
