package gladeentry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

const benchmarkTokens = 1000

func filledJournal(g *gladeapi.Generation) *gladestream.Journal {
	j := gladestream.NewJournal(g)
	a := gladeapi.Attempt{Request: g.ID, Number: 1}
	j.Begin(a, gladeapi.BackendServer{})
	for range benchmarkTokens {
		_ = j.Append(a, gladestream.Event{First: -1, Tokens: []gladestream.EventToken{{ID: 7, Text: " \"w7\"\n"}}})
	}
	j.Finish(gladeapi.FinishLength)
	return j
}

type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}

// BenchmarkStreamAnswer writes a stream of 1000 tokens.
func BenchmarkStreamAnswer(b *testing.B) {
	for _, chat := range []bool{false, true} {
		b.Run(map[bool]string{false: "completion", true: "chat"}[chat], func(b *testing.B) {
			q := &request{generation: &gladeapi.Generation{ID: "vm-1"}, model: "m", chat: chat, stream: true}
			j := filledJournal(q.generation)
			s := New(Config{VM: "vm"})
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			b.ReportAllocs()
			for b.Loop() {
				s.streamAnswer(discard{http.Header{}}, r, q, j, 0)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchmarkTokens, "ns/token")
		})
	}
}

func TestChunkEncoderMatchesMarshal(t *testing.T) {
	for _, chat := range []bool{false, true} {
		for _, first := range []bool{false, true} {
			c := qt.New(t)
			q := &request{generation: &gladeapi.Generation{ID: "vm-1"}, model: "m<\"", chat: chat}
			p := &piece{text: "a <b> \"c\" \u2028 \n", first: first}
			got, err := newChunkEncoder(q).encode(p)
			c.Assert(err, qt.IsNil)
			want, err := json.Marshal(q.chunk(p))
			c.Assert(err, qt.IsNil)
			c.Assert(string(got), qt.Equals, string(want))
		}
	}
}
