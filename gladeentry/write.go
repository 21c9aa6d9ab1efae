package gladeentry

import (
	"encoding/json"
	"fmt"
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
		if !end.Ended() {
			continue
		}
		if end.Err != nil {
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
		s.refuse(w, r, end.Err)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	out := newEventWriter(w)
	for {
		for i := range pieces {
			out.event(pieces[i].token.EventID(), q.chunk(&pieces[i]))
		}
		if out.err != nil {
			return
		}
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

func (s *Server) endStream(out *eventWriter, q *request, in *reader, end gladestream.End) {
	defer out.send()
	if end.Err != nil {
		f := asRefusal(end.Err)
		s.config.Record.Add(q.generation.ID, "entry", "ended", "%s: %s", f.Code, f.Message)
		out.event("", errorBody(q.generation.ID, f))
		return
	}
	last := q.chunk(&piece{text: in.filter.Flush()})
	last.Choices[0].FinishReason = &end.Finish
	out.event("", last)
	if q.includeUsage {
		a := q.answer(last.Object)
		usage := in.journal.Usage()
		a.Usage = &usage
		out.event("", a)
	}
	out.data("[DONE]")
	s.config.Record.Add(q.generation.ID, "entry", "delivered", "%d tokens, %s", in.next, end.Finish)
}

// eventWriter writes server-sent events and keeps the first error.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	err     error
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w)}
}

func (o *eventWriter) event(id string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		o.err = err
		return
	}
	if id != "" && o.err == nil {
		_, o.err = fmt.Fprintf(o.w, "id: %s\n", id)
	}
	o.data(string(data))
}

func (o *eventWriter) data(text string) {
	if o.err != nil {
		return
	}
	_, o.err = fmt.Fprintf(o.w, "data: %s\n\n", text)
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
