package gladeforward

import (
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

// event is one whole event of a stream, its closing empty line included.
type event struct {
	// id is the event's identifier, or NoEvent.
	id    int64
	bytes []byte
}

// maxEvent bounds one event, in bytes.
const maxEvent = 1 << 20

// eventReader cuts a stream into whole events.
type eventReader struct {
	source io.Reader
	buffer []byte
	start  int
	err    error
}

// next returns the next whole event; io.EOF tells that the stream is whole, another error that it broke off.
func (r *eventReader) next() (event, error) {
	for {
		if n := eventEnd(r.buffer[r.start:]); n > 0 {
			b := bytes.Clone(r.buffer[r.start : r.start+n])
			r.start += n
			return event{id: eventID(b), bytes: b}, nil
		}
		if r.err != nil {
			if r.err == io.EOF && r.start < len(r.buffer) { //nolint:errorlint // the reader's own
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
	if len(r.buffer) > maxEvent {
		r.err = eris.Wrap(gladesend.ErrBroken, "event too large")
		return
	}
	var b [4 << 10]byte
	n, err := r.source.Read(b[:])
	r.buffer = append(r.buffer, b[:n]...)
	r.err = err
}

// eventEnd returns the length of the first event, or zero if its end is not there.
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

// eventID returns the identifier of an event, or NoEvent.
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
