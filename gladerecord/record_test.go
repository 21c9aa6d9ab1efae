package gladerecord_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladerecord"
)

func Example() {
	r, err := gladerecord.New(gladerecord.Config{VM: "shubra-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	r.Add("request-1", "stream", "attempt", "on %s", "engine-2")
	record, _ := r.Get("request-1")
	e := record.Entries[0]
	fmt.Println(e.VM, e.Component, e.Event, e.Reason)
	// Output: shubra-1 stream attempt on engine-2
}

func TestRecorderIsBounded(t *testing.T) {
	c := qt.New(t)
	r, err := gladerecord.New(gladerecord.Config{VM: "v", Requests: 2, PerRecord: 3})
	c.Assert(err, qt.IsNil)
	for _, request := range []string{"a", "b", "c"} {
		for i := range 5 {
			r.Add(request, "p", "e", "%d", i)
		}
	}
	c.Assert(r.Len(), qt.Equals, 2)
	_, ok := r.Get("a")
	c.Assert(ok, qt.IsFalse)
	record, ok := r.Get("c")
	c.Assert(ok, qt.IsTrue)
	c.Assert(record.Entries, qt.HasLen, 3)
	c.Assert(record.Dropped, qt.Equals, 2)
}

func TestNilRecorderKeepsNothing(t *testing.T) {
	c := qt.New(t)
	var r *gladerecord.Recorder
	r.Add("a", "p", "e", "x")
	_, ok := r.Get("a")
	c.Assert(ok, qt.IsFalse)
}

func TestNilRecorder(t *testing.T) {
	var r *gladerecord.Recorder
	r.Add("r1", "part", "event", "reason")
	_, found := r.Get("r1")
	qt.Assert(t, found, qt.IsFalse)
	qt.Assert(t, r.Len(), qt.Equals, 0)
}
