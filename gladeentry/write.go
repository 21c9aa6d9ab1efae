package gladeentry

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// writeTimeout bounds the time that a caller may take to receive one event.
const writeTimeout = 30 * time.Second

func (s *Server) wholeAnswer(w http.ResponseWriter, r *http.Request, q *request, j *gladestream.Journal) {
	var t transcript
	in := newReader(j)
	for {
		pieces, end, err := in.read(r.Context())
		if err != nil {
			return
		}
		t.add(pieces)
		s.meters.delivered(q, pieces)
		if !end.Ended() {
			continue
		}
		if end.Err != nil {
			cutIfElsewhere(end.Err)
			s.refuse(w, r, end.Err)
			return
		}
		t.text.WriteString(in.filter.Flush())
		writeJSON(w, q.whole(&t, end.Finish, j.Usage()))
		return
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) streamAnswer(w http.ResponseWriter, r *http.Request, q *request, j *gladestream.Journal, from int) {
	in := newReader(j)
	pieces, end, err := in.skip(r.Context(), from)
	if err != nil {
		return
	}
	if end.Err != nil && in.next == 0 {
		cutIfElsewhere(end.Err)
		s.refuse(w, r, end.Err)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	out := newEventWriter(w)
	frames := newFramer(q)
	for {
		for i := range pieces {
			data, err := frames.chunk(&pieces[i])
			out.raw(pieces[i].token.EventID(), data, err)
		}
		if out.err != nil {
			return
		}
		s.meters.delivered(q, pieces)
		if end.Ended() {
			s.endStream(out, q, in, end)
			return
		}
		out.send()
		if pieces, end, err = in.read(r.Context()); err != nil {
			return
		}
	}
}

// cutIfElsewhere aborts the connection without an end, so that the caller repeats its key and position at another VM.
func cutIfElsewhere(err error) {
	if errors.Is(err, gladestream.ErrElsewhere) {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) endStream(out *eventWriter, q *request, in *reader, end gladestream.End) {
	defer out.send()
	if end.Err != nil {
		cutIfElsewhere(end.Err)
		f := asRefusal(end.Err)
		s.meters.refused(f.Code)
		s.config.Record.Add(q.generation.ID, "entry", "ended", "%s: %s", f.Code, f.Message)
		out.event(errorBody(q.generation.ID, f))
		return
	}
	last := q.chunk(&piece{text: in.filter.Flush()})
	last.Choices[0].FinishReason = &end.Finish
	out.event(last)
	if q.includeUsage {
		a := q.answer(last.Object)
		usage := in.journal.Usage()
		a.Usage = &usage
		out.event(a)
	}
	out.raw("", []byte("[DONE]"), nil)
	s.config.Record.Add(q.generation.ID, "entry", "delivered", "%d tokens, %s", in.next, end.Finish)
}

// eventWriter writes server-sent events and keeps the first error.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	line    []byte
	err     error
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w)}
}

// event writes a value as one event.
func (o *eventWriter) event(v any) {
	data, err := json.Marshal(v)
	o.raw("", data, err)
}

// raw writes marshalled data as one event, with an identifier unless it is empty.
func (o *eventWriter) raw(id string, data []byte, err error) {
	if o.err == nil {
		o.err = err
	}
	if o.err != nil {
		return
	}
	o.line = o.line[:0]
	if id != "" {
		o.line = append(o.line, "id: "...)
		o.line = append(o.line, id...)
		o.line = append(o.line, '\n')
	}
	o.line = append(o.line, "data: "...)
	o.line = append(o.line, data...)
	o.line = append(o.line, "\n\n"...)
	_, o.err = o.w.Write(o.line)
}

// send flushes the events written so far.
func (o *eventWriter) send() {
	if o.err != nil {
		return
	}
	// A writer without deadlines is one that cannot block for long.
	_ = o.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	o.err = o.control.Flush()
}
