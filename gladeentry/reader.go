package gladeentry

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// piece is a token and the text that can be sent once the token is known. The stop filter holds back text that may
// begin a stop string.
type piece struct {
	token gladeapi.Token
	text  string
	first bool
}

// journalReader reads a journal from its start and returns its pieces without the stop string.
type journalReader struct {
	journal *gladestream.Journal
	filter  gladestream.StopFilter
	next    int
}

func newJournalReader(j *gladestream.Journal) *journalReader {
	return &journalReader{journal: j, filter: gladestream.StopFilter{Stops: j.Generation.Sampling.Stop}}
}

// read waits for pieces or for the end. It returns the end once all pieces are read.
func (r *journalReader) read(ctx context.Context) ([]piece, gladestream.End, error) {
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

// skipTo reads and drops the pieces before the index until, which the caller already received. It returns the first
// pieces after them.
func (r *journalReader) skipTo(ctx context.Context, until int) ([]piece, gladestream.End, error) {
	for {
		pieces, end, err := r.read(ctx)
		if err != nil || r.next > until || end.Ended() {
			received := until - (r.next - len(pieces))
			return pieces[min(max(received, 0), len(pieces)):], end, err
		}
	}
}

// answerBuilder collects the pieces of a response without streaming.
type answerBuilder struct {
	text     strings.Builder
	logprobs []json.RawMessage
}

func (t *answerBuilder) add(pieces []piece) {
	for i := range pieces {
		t.text.WriteString(pieces[i].text)
		if raw := pieces[i].token.Logprobs; len(raw) > 0 {
			t.logprobs = append(t.logprobs, raw)
		}
	}
}
