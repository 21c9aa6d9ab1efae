package gladeentry

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// writeTimeout is the timeout for sending one batch of events to a caller.
const writeTimeout = 30 * time.Second

func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, q *request, j *gladestream.Journal) {
	var t answerBuilder
	reader := newJournalReader(j)
	for {
		pieces, end, err := reader.read(r.Context())
		if err != nil {
			return
		}
		t.add(pieces)
		s.meters.countDelivered(q, pieces)
		if !end.Ended() {
			continue
		}
		if end.Err != nil {
			abortIfElsewhere(end.Err)
			s.refuse(w, r, end.Err)
			return
		}
		t.text.WriteString(reader.filter.Flush())
		writeJSON(w, q.fullAnswer(&t, end.Finish, j.Usage()))
		return
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) streamAnswer(w http.ResponseWriter, r *http.Request, q *request, j *gladestream.Journal, from int) {
	reader := newJournalReader(j)
	pieces, end, err := reader.skipTo(r.Context(), from)
	if err != nil {
		return
	}
	if end.Err != nil && reader.next == 0 {
		abortIfElsewhere(end.Err)
		s.refuse(w, r, end.Err)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	events := newEventWriter(w)
	encoder := newChunkEncoder(q)
	for {
		for i := range pieces {
			data, err := encoder.encode(&pieces[i])
			events.writeEvent(pieces[i].token.EventID(), data, err)
		}
		if events.err != nil {
			return
		}
		s.meters.countDelivered(q, pieces)
		if end.Ended() {
			s.endStream(events, q, reader, end)
			return
		}
		events.flush()
		if pieces, end, err = reader.read(r.Context()); err != nil {
			return
		}
	}
}

// abortIfElsewhere aborts the connection if the generation may continue at another VM. As the response is incomplete,
// the caller repeats the request with its key and position at another VM.
func abortIfElsewhere(err error) {
	if errors.Is(err, gladestream.ErrContinuedElsewhere) {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) endStream(events *eventWriter, q *request, reader *journalReader, end gladestream.End) {
	defer events.flush()
	if end.Err != nil {
		abortIfElsewhere(end.Err)
		f := asRefusal(end.Err)
		s.meters.countRefusal(f.Code)
		s.config.Record.Add(q.generation.ID, "entry", "ended", "%s: %s", f.Code, f.Message)
		events.writeValue(errorBody(q.generation.ID, f))
		return
	}
	last := q.chunk(&piece{text: reader.filter.Flush()})
	last.Choices[0].FinishReason = &end.Finish
	events.writeValue(last)
	if q.includeUsage {
		a := q.answer(last.Object)
		usage := reader.journal.Usage()
		a.Usage = &usage
		events.writeValue(a)
	}
	events.writeEvent("", []byte("[DONE]"), nil)
	s.config.Record.Add(q.generation.ID, "entry", "delivered", "%d tokens, %s", reader.next, end.Finish)
}

// eventWriter writes server-sent events. After the first error it writes nothing more.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	line    []byte
	err     error
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w)}
}

// writeValue writes a value as one JSON event.
func (o *eventWriter) writeValue(v any) {
	data, err := json.Marshal(v)
	o.writeEvent("", data, err)
}

// writeEvent writes marshalled data as one event. An empty id is omitted; err is the error of marshalling, if any.
func (o *eventWriter) writeEvent(id string, data []byte, err error) {
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

// flush sends the events written so far.
func (o *eventWriter) flush() {
	if o.err != nil {
		return
	}
	// A writer that does not support deadlines cannot block for long.
	_ = o.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	o.err = o.control.Flush()
}
