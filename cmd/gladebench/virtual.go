package main

import (
	"context"
	"testing"
	"testing/synctest"
)

// inVirtualTime runs f in a synctest bubble, whose clock is virtual, and exits the process with its result.
func inVirtualTime(f func(context.Context) error) error {
	return runAsTest("virtual", nil, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			if err := f(t.Context()); err != nil {
				t.Error(err)
			}
		})
	})
}
