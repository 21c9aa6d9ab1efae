package gladeroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// passage returns a text of random words.
func passage(seed uint64, words int) string {
	random := rand.New(rand.NewPCG(seed, 0))
	var b strings.Builder
	for range words {
		_, _ = fmt.Fprintf(&b, "%x ", random.Uint32())
	}
	return b.String()
}

func common(a, b []uint64) int {
	return len(slices.DeleteFunc(slices.Clone(a), func(p uint64) bool { return !slices.Contains(b, p) }))
}

// Prompts that share a passage have parts in common wherever it stands, and others have none.
func TestSharedPassageHasSameParts(t *testing.T) {
	c := qt.New(t)
	shared := passage(1, 400)
	for _, build := range []func(text string) *gladeapi.Generation{
		func(text string) *gladeapi.Generation { return &gladeapi.Generation{Prompt: text} },
		func(text string) *gladeapi.Generation { return &gladeapi.Generation{Messages: []byte(text)} },
		func(text string) *gladeapi.Generation {
			g := &gladeapi.Generation{}
			for _, r := range text {
				g.PromptTokens = append(g.PromptTokens, r)
			}
			return g
		},
	} {
		first := HashParts(build(passage(2, 20) + shared + passage(3, 10)))[2:]
		second := HashParts(build(passage(4, 57) + shared))[2:]
		other := HashParts(build(passage(5, 400)))[2:]
		c.Check(common(first, second) >= 5, qt.IsTrue, qt.Commentf("%d of %d and %d", common(first, second), len(first), len(second)))
		c.Check(common(first, other), qt.Equals, 0)
	}
	c.Assert(HashParts(&gladeapi.Generation{}), qt.HasLen, 2)
	c.Assert(len(HashParts(&gladeapi.Generation{Prompt: passage(6, 40000)})) <= MaxParts, qt.IsTrue)
}
