package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
)

// inVirtualTime runs f in a synctest bubble and exits the process with its result.
//
// The standard library opens bubbles for tests only, so f runs as the one test of a test binary.
func inVirtualTime(f func(context.Context) error) error {
	testing.Init()
	if err := flag.CommandLine.Parse(nil); err != nil {
		return err
	}
	var err error
	bubble := func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { err = f(t.Context()) })
		if err != nil {
			fmt.Fprintln(os.Stderr, "gladebench:", err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	testing.Main(
		func(string, string) (bool, error) { return true, nil },
		[]testing.InternalTest{{Name: "virtual", F: bubble}}, nil, nil,
	)
	return nil
}
