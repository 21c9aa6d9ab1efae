package gladestream

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

func TestStopFilter(t *testing.T) {
	tests := []struct {
		name   string
		stops  []string
		pieces []string
		want   string
		stop   bool
	}{
		{"no stops", nil, []string{"a", "b"}, "ab", false},
		{"within one piece", []string{"END"}, []string{"abcENDdef"}, "abc", true},
		{"across three pieces", []string{"END"}, []string{"aE", "N", "Db"}, "a", true},
		{"a partial match that fails", []string{"END"}, []string{"aEN", "x"}, "aENx", false},
		{"a partial match at the end", []string{"END"}, []string{"aEN"}, "aEN", false},
		{"a partial match that overlaps a match", []string{"aab"}, []string{"aa", "ab"}, "a", true},
		{"the earliest of two stops", []string{"yy", "x"}, []string{"ax", "yy"}, "a", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			f := StopFilter{Stops: tt.stops}
			var text strings.Builder
			stopped := false
			for _, piece := range tt.pieces {
				if stopped {
					break
				}
				var emit string
				emit, stopped = f.Push(piece)
				text.WriteString(emit)
			}
			text.WriteString(f.Flush())
			c.Assert(text.String(), qt.Equals, tt.want)
			c.Assert(stopped, qt.Equals, tt.stop)
		})
	}
}

func TestJournalStopsAcrossAttempts(t *testing.T) {
	c := qt.New(t)
	j := NewJournal(&gladeapi.Generation{Sampling: gladeapi.Sampling{Stop: []string{"END"}}})
	first := gladeapi.Attempt{Request: "r", Number: 1}
	j.Begin(first, gladeapi.BackendServer{})
	c.Assert(j.Append(first, Event{Tokens: []EventToken{{ID: 1, Text: "a"}, {ID: 2, Text: "E"}}}), qt.IsNil)
	second := gladeapi.Attempt{Request: "r", Number: 2}
	j.Begin(second, gladeapi.BackendServer{})
	c.Assert(j.Append(second, Event{Tokens: []EventToken{{ID: 3, Text: "ND"}, {ID: 4, Text: "x"}}}), qt.IsNil)
	c.Assert(j.End().Finish, qt.Equals, gladeapi.FinishStop)
	c.Assert(j.Len(), qt.Equals, 3)
}
