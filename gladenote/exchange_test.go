package gladenote

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A peer asks for a part of a snapshot that does not exist.
func TestSnapshotPartOutOfRange(t *testing.T) {
	for _, part := range []int{-1, 1000} {
		var a FetchAnswer
		err := (&Replica{}).addSnapshotPart(&State{Number: 1}, FetchRequest{Part: part}, &a)
		qt.Assert(t, err, qt.ErrorIs, ErrIncomplete)
	}
}
