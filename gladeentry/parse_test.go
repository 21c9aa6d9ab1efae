package gladeentry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
)

func testServer(c *qt.C) *Server {
	state, err := (*gladenote.State)(nil).Apply(&gladenote.Note{Number: 1, Added: gladenote.Content{
		Models:   []gladenote.Model{{Name: "m", Pool: "p", DefaultVersion: "1", Context: 100, MaxTokens: 50}},
		Versions: []gladenote.Version{{Model: "m", Name: "1"}},
	}})
	c.Assert(err, qt.IsNil)
	return New(Config{VM: "vm", MaxBodyBytes: 1 << 10, State: func() *gladenote.State { return state }})
}

func parse(s *Server, body string, chat bool, headers map[string]string) (*request, error) {
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	return s.parse(httptest.NewRecorder(), r, &gladenote.Organisation{Name: "o"}, chat)
}

func TestParseReportsInvalidField(t *testing.T) {
	tests := []struct {
		name  string
		body  string
		chat  bool
		field string
	}{
		{"not JSON", `{`, false, "body"},
		{"wrong type", `{"model":1}`, false, "model"},
		{"no model", `{"prompt":"a"}`, false, "model"},
		{"unknown model", `{"model":"x","prompt":"a"}`, false, "model"},
		{"unknown version", `{"model":"m@2","prompt":"a"}`, false, "model"},
		{"no prompt", `{"model":"m"}`, false, "prompt"},
		{"several prompts", `{"model":"m","prompt":["a","b"]}`, false, "prompt"},
		{"negative token", `{"model":"m","prompt":[-1]}`, false, "prompt"},
		{"no messages", `{"model":"m","messages":[]}`, true, "messages"},
		{"message without role", `{"model":"m","messages":[{"content":"a"}]}`, true, "messages"},
		{"no tokens", `{"model":"m","prompt":"a","max_tokens":0}`, false, "max_tokens"},
		{"too many tokens", `{"model":"m","prompt":"a","max_tokens":51}`, false, "max_tokens"},
		{"two choices", `{"model":"m","prompt":"a","n":2}`, false, "n"},
		{"best of two", `{"model":"m","prompt":"a","best_of":2}`, false, "best_of"},
		{"echo", `{"model":"m","prompt":"a","echo":true}`, false, "echo"},
		{"temperature too high", `{"model":"m","prompt":"a","temperature":3}`, false, "temperature"},
		{"empty stop", `{"model":"m","prompt":"a","stop":""}`, false, "stop"},
		{"too many stops", `{"model":"m","prompt":"a","stop":["1","2","3","4","5"]}`, false, "stop"},
		{"too many logprobs", `{"model":"m","prompt":"a","logprobs":21}`, false, "logprobs"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := parse(testServer(c), tt.body, tt.chat, nil)
			f := gladeapi.AsRefusal(err)
			c.Assert(f.Field, qt.Equals, tt.field, qt.Commentf("%v", err))
			c.Assert(f.Status/100, qt.Equals, 4)
			c.Assert(f.Ran, qt.Equals, gladeapi.NotRun)
		})
	}
}

func TestParseLimitsBodyAndHeaders(t *testing.T) {
	c := qt.New(t)
	s := testServer(c)
	_, err := parse(s, `{"model":"m","prompt":"`+strings.Repeat("a", 2<<10)+`"}`, false, nil)
	c.Assert(gladeapi.AsRefusal(err).Code, qt.Equals, gladeapi.CodeTooLarge)
	body := `{"model":"m","prompt":"a"}`
	_, err = parse(s, body, false, map[string]string{HeaderIdempotencyKey: strings.Repeat("k", 256)})
	c.Assert(gladeapi.AsRefusal(err).Field, qt.Equals, HeaderIdempotencyKey)
	_, err = parse(s, body, false, map[string]string{HeaderLastEventID: "1-2"})
	c.Assert(gladeapi.AsRefusal(err).Field, qt.Equals, HeaderLastEventID)
	_, err = parse(s, body, false, map[string]string{HeaderLastEventID: "x", HeaderIdempotencyKey: "k"})
	c.Assert(gladeapi.AsRefusal(err).Field, qt.Equals, HeaderLastEventID)
}

func TestParseSetsSeedAndMaxTokens(t *testing.T) {
	c := qt.New(t)
	q, err := parse(testServer(c), `{"model":"m","prompt":"a"}`, false, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(q.generation.Sampling.Seed, qt.Not(qt.Equals), int64(0))
	c.Assert(q.generation.Sampling.MaxTokens, qt.Equals, 50)
}

func FuzzParse(f *testing.F) {
	f.Add(`{"model":"m","prompt":"a","max_tokens":3,"stop":["x"]}`, false)
	f.Add(`{"model":"m","messages":[{"role":"user","content":"a"}],"logprobs":true,"top_logprobs":2}`, true)
	f.Add(`{"model":"m","prompt":[1,2,3],"logprobs":1}`, false)
	f.Add(`{"model":"m","prompt":"a","stop":null,"n":null}`, false)
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		c := qt.New(t)
		q, err := parse(testServer(c), body, chat, nil)
		if err != nil {
			f := gladeapi.AsRefusal(err)
			c.Assert(f.Status/100, qt.Equals, 4)
			c.Assert(f.Ran, qt.Equals, gladeapi.NotRun)
			return
		}
		g := q.generation
		c.Assert(g.Sampling.MaxTokens >= 1 && g.Sampling.MaxTokens <= 50, qt.IsTrue)
		c.Assert(g.Prompt != "" || len(g.PromptTokens) > 0 || len(g.Messages) > 0, qt.IsTrue)
	})
}

func FuzzPosition(f *testing.F) {
	f.Add("12-ab34")
	f.Add("-1-0")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := gladeapi.ParsePosition(text)
		if err != nil {
			return
		}
		c := qt.New(t)
		again, err := gladeapi.ParsePosition(gladeapi.Token{Index: p.Index, Prefix: p.Prefix}.EventID())
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.Equals, p)
	})
}
