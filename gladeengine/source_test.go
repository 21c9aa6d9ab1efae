package gladeengine

import (
	"bufio"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

func newDecoder(text string) *decoder {
	scanner := bufio.NewScanner(strings.NewReader(text))
	scanner.Buffer(nil, maxEventBytes)
	return &decoder{scanner: scanner, attempt: "r.1.n", promptTokens: []int32{1, 2}, delivered: []int32{3}}
}

func TestNext(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		want error
		end  bool
	}{
		{"token", `data: {"id":"cmpl-r.1.n","choices":[{"text":"a","token_ids":[4]}],"sequence_number":0}`, nil, false},
		{"no space", `data:{"id":"cmpl-r.1.n","choices":[]}`, nil, false},
		{"end", "data: [DONE]", nil, true},
		{"comment first", ": ping\n\nevent: x\ndata: [DONE]", nil, true},
		{"older attempt", `data: {"id":"cmpl-r.0.n"}`, ErrForeignEvent, false},
		{"own prompt", `data: {"id":"cmpl-r.1.n","choices":[{"prompt_token_ids":[1,2,3]}]}`, nil, false},
		{"prompt without its prefix", `data: {"id":"cmpl-r.1.n","choices":[{"prompt_token_ids":[1,2]}]}`, ErrForeignEvent, false},
		{"prompt of another", `data: {"id":"cmpl-r.1.n","choices":[{"prompt_token_ids":[1,2,9]}]}`, ErrForeignEvent, false},
		{"aborted", `data: {"id":"cmpl-r.1.n","choices":[{"finish_reason":"abort"}]}`, ErrStreamBroken, false},
		{"not JSON", "data: {", ErrStreamBroken, false},
		{"nothing", "", ErrStreamBroken, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			e, err := newDecoder(test.text + "\n\n").next()
			if test.want != nil {
				qt.Assert(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, e.End, qt.Equals, test.end)
		})
	}
}

func FuzzNext(f *testing.F) {
	for _, seed := range []string{
		"", "data:", "data: [DONE]\n\n", ": ping\n", "data: {}\n", "data: null\n", "data: [1]\n",
		`data: {"id":"cmpl-r.1.n","choices":[{"text":"a","token_ids":[4,5]}],"sequence_number":-7}`,
		`data: {"id":"cmpl-r.1.n","choices":[{"text":"é","finish_reason":"stop"}]}`,
		`data: {"id":"cmpl-r.1.n","choices":[{"token_ids":[99999999999]}]}`,
		"data: {\"id\":\"cmpl-r.1.n\"}\r\n\r\ndata: [DONE]",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d := newDecoder(text)
		for range strings.Count(text, "\n") + 2 {
			e, err := d.next()
			if err != nil {
				if !errors.Is(err, ErrStreamBroken) && !errors.Is(err, ErrForeignEvent) {
					t.Fatalf("unknown error: %v", err)
				}
				return
			}
			if e.Finish != "" && e.Finish != "stop" && e.Finish != "length" {
				t.Fatalf("finish reason %q", e.Finish)
			}
			if e.End && len(e.Tokens) > 0 {
				t.Fatalf("tokens in an end event: %v", e)
			}
		}
		t.Fatal("more events than lines")
	})
}

func TestPlaceholderTokensAreNegative(t *testing.T) {
	for _, text := range []string{"a", "b", " w1", strings.Repeat("x", 100)} {
		qt.Assert(t, isPlaceholder(placeholderToken(text)), qt.IsTrue)
	}
}

func TestAdoptTokens(t *testing.T) {
	tokenized := TokenizeResponse{Tokens: []int32{7, 8}, TokenStrs: []string{"Ġa", "b"}}
	for _, test := range []struct {
		name      string
		delivered []int32
		texts     []string
		same      bool
	}{
		{"same", []int32{placeholderToken(" a"), placeholderToken("b")}, []string{" a", "b"}, true},
		{"one known", []int32{7, placeholderToken("b")}, []string{" a", "b"}, true},
		{"one known to be another", []int32{6, placeholderToken("b")}, []string{" a", "b"}, false},
		{"as many, cut elsewhere", []int32{placeholderToken(" "), placeholderToken("ab")}, []string{" ", "ab"}, false},
		{"fewer", []int32{placeholderToken(" ab")}, []string{" ab"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := gladestream.OpenRequest{Delivered: test.delivered, Texts: test.texts}
			err := adoptTokens(&o, &tokenized)
			qt.Assert(t, errors.Is(err, gladestream.ErrNotResumable), qt.Equals, !test.same)
		})
	}
}
