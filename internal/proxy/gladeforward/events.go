package gladeforward

import (
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

// event is one complete server-sent event, including the empty line that ends it.
type event struct {
	// id is the number in the id field of the event, or NoEvent.
	id    int64
	bytes []byte
}

// maxEventBytes is the maximum size of an event.
const maxEventBytes = 1 << 20

// eventReader splits a stream into events.
type eventReader struct {
	source io.Reader
	buffer []byte
	// start is the offset of the first unread byte in buffer.
	start int
	// err is the error of source, reported once buffer holds no more complete events.
	err error
}

// next returns the next event.  It returns io.EOF at the end of a complete stream and another error if the stream is
// cut off.
func (r *eventReader) next() (event, error) {
	for {
		if n := eventEnd(r.buffer[r.start:]); n > 0 {
			b := bytes.Clone(r.buffer[r.start : r.start+n])
			r.start += n
			return event{id: eventID(b), bytes: b}, nil
		}
		if r.err != nil {
			if r.err == io.EOF && r.start < len(r.buffer) { //nolint:errorlint // source returns io.EOF unwrapped
				return event{}, eris.Wrap(gladesend.ErrBroken, "stream ended within an event")
			}
			return event{}, r.err
		}
		r.fill()
	}
}

func (r *eventReader) fill() {
	r.buffer = append(r.buffer[:0], r.buffer[r.start:]...)
	r.start = 0
	if len(r.buffer) > maxEventBytes {
		r.err = eris.Wrapf(gladesend.ErrBroken, "event exceeds %d bytes", maxEventBytes)
		return
	}
	var b [4 << 10]byte
	n, err := r.source.Read(b[:])
	r.buffer = append(r.buffer, b[:n]...)
	r.err = err
}

// eventEnd returns the length of the first event in b, or zero if it is incomplete.
func eventEnd(b []byte) int {
	for from := 0; ; {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		switch rest := b[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + 2
		}
	}
}

// eventID returns the number in the id field of an event, or NoEvent.
func eventID(b []byte) int64 {
	for line := range bytes.Lines(b) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				return id
			}
		}
	}
	return gladesend.NoEvent
}
