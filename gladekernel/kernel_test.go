package gladekernel_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladekernel"
)

type clock struct{ zone string }

func Example() {
	var k gladekernel.Kernel
	if err := k.Provide("clock", &clock{zone: "Cairo"}); err != nil {
		fmt.Println(err)
	}
	c, err := gladekernel.Lookup[*clock](&k, "clock")
	fmt.Println(c.zone, err)
	_, err = gladekernel.Lookup[*clock](&k, "watch")
	fmt.Println(errors.Is(err, gladekernel.ErrNotFound))
	// Output:
	// Cairo <nil>
	// true
}

func TestLookupAndProvideErrors(t *testing.T) {
	c := qt.New(t)
	var k gladekernel.Kernel
	c.Assert(k.Provide("a", 1), qt.IsNil)
	c.Assert(k.Provide("a", 2), qt.ErrorIs, gladekernel.ErrDuplicate)
	_, err := gladekernel.Lookup[string](&k, "a")
	c.Assert(err, qt.ErrorIs, gladekernel.ErrWrongType)
	c.Assert(k.Names(), qt.DeepEquals, []string{"a"})
}

func TestRunEndsAllActorsAndClosesInReverse(t *testing.T) {
	c := qt.New(t)
	var k gladekernel.Kernel
	stop := make(chan struct{})
	var order []string
	k.AddActor(
		func() error {
			<-stop
			return nil
		},
		func(error) {
			order = append(order, "interrupt")
			close(stop)
		},
	)
	k.OnClose(func() { order = append(order, "first") })
	k.OnClose(func() { order = append(order, "second") })
	failed := errors.New("actor failed")
	k.AddActor(func() error { return failed }, func(error) {})
	c.Assert(k.Run(context.Background()), qt.ErrorIs, failed)
	c.Assert(order, qt.DeepEquals, []string{"interrupt", "second", "first"})
	k.Close()
	c.Assert(order, qt.HasLen, 3)
}

func TestDumpCallsEveryFunction(t *testing.T) {
	c := qt.New(t)
	var k gladekernel.Kernel
	n := 0
	k.OnDump("counter", func() any { n++; return n })
	c.Assert(k.Dump(), qt.DeepEquals, map[string]any{"counter": 1})
	c.Assert(k.Dump(), qt.DeepEquals, map[string]any{"counter": 2})
}
