package gladecaller

import (
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

func correctAnswer(w *ExpectedAnswer) *Answer {
	a := &Answer{Finish: w.finish, Usage: &gladeapi.Usage{PromptTokens: w.prompt, CompletionTokens: w.Tokens()}}
	for i, text := range w.texts {
		a.Events = append(a.Events, Event{ID: w.ids[i], Text: text})
		a.Text += text
	}
	return a
}

func TestVerifyFindsEachFault(t *testing.T) {
	q := &Request{Model: "m", Prompt: "list the drums", MaxTokens: 8, Seed: 3}
	w := NewExpectedAnswer("m@1", q)
	other := NewExpectedAnswer("m@1", &Request{Prompt: "another request", MaxTokens: 8, Seed: 3})
	cases := []struct {
		name   string
		modify func(*Answer)
		want   error
	}{
		{"correct", func(*Answer) {}, nil},
		{"token missing in the middle", func(a *Answer) { a.Events = slices.Delete(a.Events, 3, 4) }, ErrMissing},
		{"token missing at the end", func(a *Answer) {
			a.Events = a.Events[:7]
			a.Text = strings.Join(w.texts[:7], "")
		}, ErrMissing},
		{"token repeated", func(a *Answer) { a.Events = slices.Insert(a.Events, 4, a.Events[3]) }, ErrRepeated},
		{"token of another request", func(a *Answer) { a.Events[5].Text = other.texts[5] }, ErrUnexpected},
		{"answer to another request", func(a *Answer) { *a = *correctAnswer(other) }, ErrUnexpected},
		{"wrong prefix hash", func(a *Answer) { a.Events[2].ID = "2-abc" }, ErrPosition},
		{"extra text without streaming", func(a *Answer) { a.Events, a.Text = nil, a.Text+" w1" }, ErrUnexpected},
		{"wrong usage", func(a *Answer) { a.Usage.CompletionTokens++ }, ErrUsage},
		{"extra token", func(a *Answer) { a.Events = append(a.Events, Event{ID: "8-1", Text: " w1"}) }, ErrMissing},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			a := correctAnswer(w)
			k.modify(a)
			qt.Assert(t, w.Verify(a), qt.ErrorIs, k.want)
		})
	}
}
