package gladeforward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

// repeatUntilClosed writes a text every pause until the connection is closed.
func repeatUntilClosed(text string, pause time.Duration) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			if _, err := io.WriteString(rw, text); err != nil {
				return
			}
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(pause)
		}
	}
}

// An engine goes on sending, but no events of the answer.  The stream must go on from its copy within the allowed pause,
// and the run of before must be cancelled.
func TestStreamLeavesEngineWithoutProgress(t *testing.T) {
	for name, text := range map[string]string{
		"comments": ": still there\n\n", "empty events": "\n\n", "events without number": "data: x\n\n",
		"events without data": "id: 11\n\n", "an event without end": "data: x\n",
		"the last event again": "id: 10\ndata: token 10\n\n", "a skipped event": "id: 12\ndata: token 12\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(w *harness) {
				w.serve("llm", "shubra", "a", streamEvents(10, eventPause, repeatUntilClosed(text, 20*time.Millisecond)))
				w.serve("llm", "giza", "b", streamEvents(20, eventPause, nil))
				r := w.call(http.MethodPost, "/stream/x", nil)
				w.Assert(r.err, qt.IsNil)
				w.Assert(r.body, qt.Equals, eventText(1, 20))
				w.Assert(r.took < 20*eventPause+testGap, qt.IsTrue, qt.Commentf("took %v", r.took))
				w.Assert(w.run(1).header.Get(testFrom), qt.Equals, "b:1/r1")
				w.waitForCleanup()
				w.Assert(w.run(0).canceled, qt.IsTrue)
			})
		})
	}
}

// An answer that lacks an event must not end as complete, also if no other engine has the event.
func TestAnswerWithoutEventNeverLooksComplete(t *testing.T) {
	runTest(t, func(w *harness) {
		skipping := func(rw http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(rw, eventText(1, 5)+eventText(7, 10))
		}
		w.serve("llm", "shubra", "a", skipping)
		w.serve("llm", "giza", "b", skipping)
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, eventText(1, 5))
		w.Assert(r.err, qt.IsNotNil)
	})
}

// Comments and unnumbered events are part of the answer and must reach the caller in their place.
func TestUnnumberedEventsForwarded(t *testing.T) {
	runTest(t, func(w *harness) {
		want := ": hello\n\n" + eventText(1, 3) + "data: notice\n\n" + eventText(4, 5) + "data: [DONE]\n\n"
		w.serve("llm", "shubra", "a", func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, want) })
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.err, qt.IsNil)
		w.Assert(r.body, qt.Equals, want)
	})
}

// A server of a stream answers a failure whose body has no end.  The stream must go elsewhere at once.
func TestEndlessFailureOfStream(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", func(rw http.ResponseWriter, r *http.Request) {
			rw.WriteHeader(http.StatusBadRequest)
			repeatUntilClosed(strings.Repeat("b", 64<<10), 0)(rw, r)
		})
		w.serve("llm", "giza", "b", streamEvents(5, eventPause, nil))
		r := w.call(http.MethodPost, "/stream/x", nil)
		w.Assert(r.body, qt.Equals, eventText(1, 5))
		w.Assert(r.took < time.Second, qt.IsTrue)
	})
}

// A plain answer has no end.  The caller must get another server's answer, or 502 at once if the request may not be
// repeated; the server must be avoided after that and tried again later.
func TestEndlessPlainAnswer(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("app", "shubra", "a", repeatUntilClosed(strings.Repeat("b", 64<<10), 0))
		w.serve("app", "giza", "b", answerWith(http.StatusOK, "whole"))
		began := time.Now()
		r := w.call(http.MethodPost, "/unsafe/x", nil)
		w.Assert(r.status, qt.Equals, http.StatusBadGateway)
		w.Assert(r.took < time.Second, qt.IsTrue)
		for range 10 {
			w.Assert(w.call(http.MethodGet, "/safe/x", nil).body, qt.Equals, "whole")
		}
		w.Assert(w.serversRun()[1:], qt.Not(qt.Contains), "a")
		for ; time.Since(began) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
			w.Assert(w.call(http.MethodGet, "/safe/x", nil).body, qt.Equals, "whole")
		}
		tries := strings.Count(strings.Join(w.serversRun(), ""), "a")
		w.Assert(tries > 2 && tries < 8, qt.IsTrue, qt.Commentf("sent to it %d times in 20 s", tries))
	})
}

func TestEventReaderLimits(t *testing.T) {
	for name, x := range map[string]struct {
		in    string
		limit int64
		want  string
	}{
		"event":          {"id: 1\ndata: " + strings.Repeat("x", 2*maxEventBytes), 0, ".*event over 65536 bytes"},
		"unnumbered":     {strings.Repeat(": x\n\n", maxUnnumberedBytes), 0, ".*bytes without a numbered event over 16384 bytes"},
		"events":         {eventText(1, 9), 8, ".*events over 8 events"},
		"skipped":        {eventText(1, 2) + eventText(4, 4), 0, ".*event 4 follows event 2.*"},
		"skipped first":  {eventText(2, 4), 0, ".*event 2 follows event 0.*"},
		"repeated":       {eventText(1, 2) + eventText(2, 2), 0, ".*event 2 follows event 2.*"},
		"cut within one": {eventText(1, 2) + "id: 3\ndata: x\n", 0, ".*ended within an event.*"},
	} {
		t.Run(name, func(t *testing.T) {
			r := eventReader{source: strings.NewReader(x.in), limit: x.limit}
			var err error
			for err == nil {
				_, err = r.next()
			}
			qt.Assert(t, err, qt.ErrorMatches, x.want)
			qt.Assert(t, err, qt.ErrorIs, gladesend.ErrBroken)
		})
	}
}

// FuzzEventReader checks that events are numbered without a gap, hold the bytes that were sent in their order, and do not
// depend on how the bytes arrive.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte(eventText(1, 3)), 7)
	f.Add([]byte(": c\n\nweight-versions: 3\nid: 1\r\ndata: a\r\n\r\nid:2\ndata: b\n\ndata: [DONE]\n\n"), 1)
	f.Add([]byte("id: 0\ndata:\n\n\n\n\r\n\r\nid: -1\ndata: x\n\n"), 3)
	f.Fuzz(func(t *testing.T, in []byte, step int) {
		step = 1 + max(0, step)%4096
		whole, err := readEvents(&chunkReader{in: string(in), step: len(in) + 1})
		parts, partsErr := readEvents(&chunkReader{in: string(in), step: step})
		if fmt.Sprint(whole) != fmt.Sprint(parts) || errors.Is(err, io.EOF) != errors.Is(partsErr, io.EOF) {
			t.Fatalf("%v, %v in one piece, %v, %v in pieces of %d", whole, err, parts, partsErr, step)
		}
		last, rest := int64(gladesend.NoEvent), in
		for _, e := range whole {
			if e.id != gladesend.NoEvent && last != gladesend.NoEvent && e.id != last+1 {
				t.Fatalf("event %d follows event %d", e.id, last)
			}
			if e.id != gladesend.NoEvent {
				last = e.id
			}
			if !bytes.HasPrefix(rest, e.bytes) {
				t.Fatalf("event %q is not next in %q", e.bytes, rest)
			}
			rest = rest[len(e.bytes):]
		}
		if errors.Is(err, io.EOF) && len(rest) > 0 {
			t.Fatalf("a complete stream leaves %q", rest)
		}
	})
}

func readEvents(source io.Reader) ([]event, error) {
	r := eventReader{source: source}
	var events []event
	for {
		e, err := r.next()
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}

// 64 engines send events without end at once.  The heap must stay below the half of the smallest VM's memory.
func TestEndlessEventsBoundMemory(t *testing.T) {
	const servers, maxHeapBytes = 64, 64 << 20
	for name, text := range map[string]string{"an event": "data: x\n", "comments": ": x\n\n", "a line": "x"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			readers := make([]*eventReader, servers)
			for i := range readers {
				readers[i] = &eventReader{source: &endlessReader{text: text}}
				_, err := readers[i].next()
				c.Assert(err, qt.ErrorIs, gladesend.ErrLimit)
			}
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			c.Assert(m.HeapInuse < maxHeapBytes, qt.IsTrue, qt.Commentf("%d MiB of heap", m.HeapInuse>>20))
			runtime.KeepAlive(readers)
		})
	}
}

// endlessReader repeats a text without end.
type endlessReader struct {
	text string
	at   int
}

func (r *endlessReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = r.text[r.at]
		r.at = (r.at + 1) % len(r.text)
	}
	return len(b), nil
}
