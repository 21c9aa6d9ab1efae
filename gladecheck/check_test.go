package gladecheck_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladecheck"
)

func ExampleChecker() {
	c := &gladecheck.Checker{OnBroken: func(i gladecheck.Invariant, detail string) { fmt.Println(i, detail) }}
	c.That(true, gladecheck.TokensOnce, "not shown")
	c.That(false, gladecheck.TokensOnce, "index %d twice", 7)
	fmt.Println(c.Broken()[gladecheck.TokensOnce])
	// Output:
	// tokensOnce index 7 twice
	// 1
}

func TestNilCheckerReturnsCondition(t *testing.T) {
	c := qt.New(t)
	var n *gladecheck.Checker
	c.Assert(n.That(false, gladecheck.AtMostOnce, "x"), qt.IsFalse)
	c.Assert(n.That(true, gladecheck.AtMostOnce, "x"), qt.IsTrue)
	c.Assert(n.Broken(), qt.HasLen, 0)
}
