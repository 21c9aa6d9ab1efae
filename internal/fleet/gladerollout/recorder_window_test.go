package gladerollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a VM that ends 24 s after its start: a report dropped old runs and left their places in the list, and the next
// request read them.
func TestReportsDropOldRunsForGood(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	r := NewRecorder("vm", 1)
	for i := range 3 {
		r.Begin("app", "v1", "r", "s", start.Add(time.Duration(i)*time.Second)).End(Succeeded, 0, start.Add(time.Duration(i)*time.Second))
	}
	later := start.Add(window + time.Second)
	for range 2 {
		begun, _ := r.Evidence("app", later).Counts("v1")
		c.Assert(begun, qt.Equals, 1)
	}
	r.Begin("app", "v1", "r", "s", later)
	begun, _ := r.Evidence("app", later).Counts("v1")
	c.Assert(begun, qt.Equals, 2)
}
