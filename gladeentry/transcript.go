package gladeentry

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// piece is one token with the text that may be shown once it is known.
type piece struct {
	token gladeapi.Token
	text  string
	first bool
}

// reader reads a journal from its start and yields its pieces without the stop string.
type reader struct {
	journal *gladestream.Journal
	filter  gladestream.StopFilter
	next    int
}

func newReader(j *gladestream.Journal) *reader {
	return &reader{journal: j, filter: gladestream.StopFilter{Stops: j.Generation.Sampling.Stop}}
}

// read waits for pieces or for the end; the end comes once all pieces were read.
func (r *reader) read(ctx context.Context) ([]piece, gladestream.End, error) {
	tokens, end, err := r.journal.Read(ctx, r.next)
	if err != nil {
		return nil, end, err
	}
	pieces := make([]piece, len(tokens))
	for i, t := range tokens {
		text, _ := r.filter.Push(t.Text)
		pieces[i] = piece{token: t, text: text, first: t.Index == 0}
	}
	r.next += len(tokens)
	return pieces, end, nil
}

// skip reads the pieces that a caller already holds.
func (r *reader) skip(ctx context.Context, until int) ([]piece, gladestream.End, error) {
	for {
		pieces, end, err := r.read(ctx)
		if err != nil || r.next > until || end.Ended() {
			held := until - (r.next - len(pieces))
			return pieces[min(max(held, 0), len(pieces)):], end, err
		}
	}
}

// transcript collects the pieces of a whole answer.
type transcript struct {
	text     strings.Builder
	logprobs []json.RawMessage
}

func (t *transcript) add(pieces []piece) {
	for i := range pieces {
		t.text.WriteString(pieces[i].text)
		if raw := pieces[i].token.Logprobs; len(raw) > 0 {
			t.logprobs = append(t.logprobs, raw)
		}
	}
}
