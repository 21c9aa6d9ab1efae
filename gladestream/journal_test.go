package gladestream

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// gatedJournal returns a journal with three tokens, of which readers see one.
func gatedJournal(c *qt.C) *Journal {
	j := NewJournal(&gladeapi.Generation{})
	j.Gate()
	a := gladeapi.Attempt{Request: "r", Number: 1}
	j.Begin(a, gladeapi.BackendServer{})
	c.Assert(j.Append(a, Event{Tokens: []EventToken{{ID: 1}, {ID: 2}, {ID: 3}}}), qt.IsNil)
	j.Release(1)
	return j
}

// Another VM takes a generation over just after an attempt has begun, and the tokens that were not released are discarded.
// What the attempt sends is still what the journal held as it began.
func TestTakeoverAfterBeginIsNoMismatch(t *testing.T) {
	c := qt.New(t)
	j := gatedJournal(c)
	delivered, err := j.beginUnlessEnded(gladeapi.Attempt{Request: "r", Number: 2}, gladeapi.BackendServer{})
	c.Assert(err, qt.IsNil)
	j.Abandon(errors.New("taken over"))
	c.Assert(j.Len(), qt.Equals, 1)
	c.Assert(delivered.ids, qt.DeepEquals, []int32{1, 2, 3})
	c.Assert(delivered.matchesPrefix(), qt.IsTrue)
	delivered.ids[1] = 7
	c.Assert(delivered.matchesPrefix(), qt.IsFalse)
}

// Another VM takes a generation over while this one looks for an engine. No further attempt may begin.
func TestTakenOverGenerationBeginsNoAttempt(t *testing.T) {
	c := qt.New(t)
	j := gatedJournal(c)
	j.Abandon(errors.New("taken over"))
	_, err := j.beginUnlessEnded(gladeapi.Attempt{Request: "r", Number: 2}, gladeapi.BackendServer{})
	c.Assert(err, qt.ErrorIs, ErrGenerationEnded)
	c.Assert(j.Placement().Attempt.Number, qt.Equals, 1)
}
