package gladeforward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladebudget"
)

func noBudget() *gladebudget.Budget {
	return gladebudget.New(gladebudget.Config{Window: 10 * time.Second, VMs: func() int { return 1 }})
}

const eventPause = 30 * time.Millisecond

func TestStreamIsWhole(t *testing.T) {
	play(t, func(w *world) {
		w.serve("llm", "shubra", "a", events(20, eventPause, nil))
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.err, qt.IsNil)
		w.Assert(r.body, qt.Equals, whole(1, 20))
		w.settle()
		w.Assert(w.fleet.Shares(), qt.HasLen, 0)
	})
}

// Pattern: a failure domain's engines crash in the middle of streams; each goes on from its copy within the pause.
func TestStreamGoesOnFromItsCopy(t *testing.T) {
	half := func(rw http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(rw, "id: 11\nda"); cut(rw, r) }
	for name, then := range map[string]http.HandlerFunc{"at an event": cut, "within an event": half} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world) {
				w.serve("llm", "shubra", "a", events(10, eventPause, then))
				w.serve("llm", "giza", "b", events(20, eventPause, nil))
				r := w.call(http.MethodPost, "/stream/x", nil)
				w.Assert(r.err, qt.IsNil)
				w.Assert(r.body, qt.Equals, whole(1, 20))
				w.Assert(r.header.Get(testSeal), qt.Equals, "a")
				w.Assert(w.ran(), qt.DeepEquals, []string{"a", "b"})
				first, second := w.run(0).header, w.run(1).header
				w.Assert(first.Get(testCopy), qt.Equals, "b:1")
				w.Assert(second.Get(testFrom), qt.Equals, "b:1/r1")
				w.Assert(second.Get(testLast), qt.Equals, "10")
				w.Assert(r.took < 20*eventPause+testGap, qt.IsTrue)
			})
		})
	}
}

// Pattern: engines go dark: no reset tells it, connections hang.  The pause stays within what the route allows.
func TestSilentEngineIsLeftWithinThePause(t *testing.T) {
	play(t, func(w *world) {
		w.serve("llm", "shubra", "a", events(10, eventPause, hang))
		w.serve("llm", "giza", "b", events(20, eventPause, nil))
		time.AfterFunc(10*eventPause+eventPause/2, func() { w.network.Cut("vm", "a") })
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, whole(1, 20))
		w.Assert(r.took < 20*eventPause+testGap, qt.IsTrue, qt.Commentf("took %v", r.took))
	})
	// One that accepts connections and sends nothing is left as well.
	play(t, func(w *world) {
		w.serve("llm", "shubra", "a", events(10, eventPause, hang))
		w.serve("llm", "giza", "b", events(20, eventPause, nil))
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, whole(1, 20))
		w.Assert(r.took < 20*eventPause+testGap, qt.IsTrue, qt.Commentf("took %v", r.took))
		w.settle()
		w.Assert(w.run(0).canceled, qt.IsTrue)
	})
}

// Pattern: crashes follow one another; the copy's server is gone before the run's is, so a copy is made anew.
func TestLostCopyIsReplaced(t *testing.T) {
	play(t, func(w *world) {
		w.serve("llm", "shubra", "a", events(60, eventPause, cut))
		w.serve("llm", "giza", "b", events(80, eventPause, nil))
		time.AfterFunc(10*eventPause, func() {
			w.network.Kill("b")
			w.fleet.Fail("b", time.Now())
			w.serve("llm", "helwan", "c", events(80, eventPause, nil))
		})
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, whole(1, 80))
		w.Assert(w.ran(), qt.DeepEquals, []string{"a", "c"})
		w.Assert(w.run(1).header.Get(testFrom), qt.Equals, "a:1/handle-r1")
		w.Assert(w.copies()[0], qt.Equals, "a:1 c:1")
		w.Assert(len(w.copies()) > 2, qt.IsTrue) // it is kept up to date
		w.settle()
		w.Assert(w.freed, qt.HasLen, 0) // the run went on from it
	})
}

// Pattern: copies made by call pile up on the engines: unlike those that engines keep by themselves they outlive their
// runs by seconds, and full engines let prompts wait.
func TestCopyMadeByCallIsFreed(t *testing.T) {
	play(t, func(w *world) {
		w.serve("llm", "shubra", "a", events(60, eventPause, nil))
		w.serve("llm", "giza", "b", events(80, eventPause, nil))
		time.AfterFunc(10*eventPause, func() {
			w.network.Kill("b")
			w.fleet.Fail("b", time.Now())
			w.serve("llm", "helwan", "c", events(80, eventPause, nil))
		})
		w.Assert(w.call(http.MethodPost, "/stream/x", nil).body, qt.Equals, whole(1, 60))
		w.settle()
		w.Assert(w.freed, qt.DeepEquals, []string{"a:1/handle-r1"})
	})
	play(t, func(w *world) {
		w.serve("llm", "shubra", "a", events(5, eventPause, nil))
		w.serve("llm", "giza", "b", events(5, eventPause, nil))
		w.Assert(w.call(http.MethodPost, "/stream/x", nil).body, qt.Equals, whole(1, 5))
		w.settle()
		w.Assert(w.freed, qt.HasLen, 0)
	})
}

func TestRefusedCopyIsReadAnew(t *testing.T) {
	play(t, func(w *world) {
		w.serve("llm", "shubra", "a", events(10, eventPause, cut))
		w.serve("llm", "giza", "b", func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(testFrom) != "" {
				notRunAnswer(rw, r)
				return
			}
			events(20, eventPause, nil)(rw, r)
		})
		w.serve("llm", "giza", "c", events(20, eventPause, nil))
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.err, qt.IsNil)
		w.Assert(r.body, qt.Equals, whole(1, 20))
	})
}

// An engine that begins anew gives events that the caller has; they are passed over.
func TestEventsComeOnce(t *testing.T) {
	play(t, func(w *world) {
		w.serve("llm", "shubra", "a", events(10, eventPause, cut))
		anew := func(rw http.ResponseWriter, r *http.Request) {
			r.Header.Del(testLast)
			events(20, eventPause, nil)(rw, r)
		}
		w.serve("llm", "giza", "b", anew)
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, whole(1, 20))
	})
}

func TestBrokenStreamNeverLooksWhole(t *testing.T) {
	play(t, func(w *world) {
		w.serve("llm", "shubra", "a", events(10, eventPause, cut))
		w.serve("llm", "giza", "b", events(12, eventPause, cut))
		w.forwarder.config.Budget = noBudget()
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.status, qt.Equals, http.StatusOK)
		w.Assert(r.err, qt.IsNotNil)
	})
	play(t, func(w *world) { // the time limit ends a stream that has begun, too
		w.serve("llm", "shubra", "a", events(1000, eventPause, nil))
		r := w.call(http.MethodPost, "/stream/x", map[string]string{testDeadline: "500"})
		w.Assert(r.err, qt.IsNotNil)
		w.Assert(r.took, qt.Equals, 500*time.Millisecond)
		w.settle()
		w.Assert(w.run(0).canceled, qt.IsTrue)
	})
}

func TestCallerThatLeavesFreesItsEngine(t *testing.T) {
	play(t, func(w *world) {
		w.serve("llm", "shubra", "a", events(1000, eventPause, nil))
		ctx, cancel := context.WithTimeout(w.Context(), time.Second)
		defer cancel()
		w.Assert(w.callContext(ctx, http.MethodPost, "/stream/x", nil).err, qt.IsNotNil)
		w.settle()
		w.Assert(w.run(0).canceled, qt.IsTrue)
		w.Assert(w.fleet.Shares(), qt.HasLen, 0)
	})
}

// Pattern: a VM is killed; its callers come back to another one, which finds the engine that keeps the prompt.
func TestResumedStreamGoesWhereItsPromptIs(t *testing.T) {
	play(t, func(w *world) {
		for _, id := range []string{"a", "b", "c", "d"} {
			w.serve("llm", "shubra", id, events(20, eventPause, nil))
		}
		w.held["c:1"] = map[string]int{"s7": 5000}
		r := w.call(http.MethodPost, "/stream/x", map[string]string{testLast: "8", testSession: "s7"})
		w.Assert(r.body, qt.Equals, whole(9, 20))
		w.Assert(w.ran(), qt.DeepEquals, []string{"c"})
	})
}

// Pattern: one request crashes each engine that begins to run it, and its caller sends it again.
func TestRequestThatCrashesItsServersIsStopped(t *testing.T) {
	play(t, func(w *world) {
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			domain := map[bool]string{true: "shubra", false: "giza"}[id < "d"]
			w.serve("llm", domain, id, func(rw http.ResponseWriter, r *http.Request) {
				time.Sleep(time.Second)
				go w.network.Kill(id)
				cut(rw, r)
			})
		}
		header := map[string]string{testID: "poison"}
		for range 3 {
			w.call(http.MethodPost, "/stream/x", header)
			time.Sleep(2 * time.Second)
		}
		w.Assert(len(w.ran()) <= 4, qt.IsTrue, qt.Commentf("%v", w.ran()))
		w.mu.Lock()
		defer w.mu.Unlock()
		w.Assert(len(w.deaths) >= 3, qt.IsTrue)
	})
}

func TestStoppingVMRefusesStreamsThatItCannotEnd(t *testing.T) {
	play(t, func(w *world) {
		w.serve("llm", "shubra", "a", events(20, eventPause, nil))
		w.serve("app", "shubra", "b", answerWith(http.StatusOK, ""))
		w.stopsAt = time.Now().Add(streamTime - time.Millisecond)
		w.Assert(w.call(http.MethodPost, "/stream/x", nil).status, qt.Equals, http.StatusServiceUnavailable)
		w.Assert(w.call(http.MethodGet, "/safe/x", nil).status, qt.Equals, http.StatusOK)
		w.Assert(w.ran(), qt.DeepEquals, []string{"b"})
	})
}

func TestEventReaderCutsAnywhere(t *testing.T) {
	c := qt.New(t)
	in := "weight-versions: 3\nid: 1\r\ndata: a\r\n\r\nid:2\ndata: b\n\n"
	for step := 1; step < len(in); step++ {
		r := eventReader{source: &steps{in: in, step: step}}
		first, err := r.next()
		c.Assert(err, qt.IsNil)
		second, err := r.next()
		c.Assert(err, qt.IsNil)
		c.Assert([]int64{first.id, second.id}, qt.DeepEquals, []int64{1, 2})
		c.Assert(string(first.bytes)+string(second.bytes), qt.Equals, in)
		_, err = r.next()
		c.Assert(err, qt.Equals, io.EOF)
	}
}

// steps reads a text in pieces of a few bytes.
type steps struct {
	in   string
	step int
}

func (s *steps) Read(b []byte) (int, error) {
	if s.in == "" {
		return 0, io.EOF
	}
	n := copy(b[:min(s.step, len(b))], s.in)
	s.in = s.in[n:]
	return n, nil
}

// Pattern: a failure domain crashes while the store is away; all its entries name servers that are no more.
func TestOutdatedEntriesDoNotUseUpTheAttempts(t *testing.T) {
	play(t, func(w *world) {
		for i := range maxStreamSends + 2 {
			w.serve("llm", "shubra", fmt.Sprintf("old-%d", i), answerWith(http.StatusMisdirectedRequest, ""))
		}
		w.serve("llm", "giza", "z", events(20, eventPause, nil))
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.err, qt.IsNil)
		w.Assert(r.body, qt.Equals, whole(1, 20))
	})
}
