package gladeforward

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

const (
	// maxEventBytes is the maximum size of an event.
	maxEventBytes = 64 << 10
	// maxUnnumberedBytes is the maximum size of the comments and events without number or data between two events.
	maxUnnumberedBytes = 16 << 10
	// extraEvents is the number of events that an answer may have beyond one for each token of its maximum length.
	extraEvents = 16
)

// event is one complete server-sent event, including the empty line that ends it and the unnumbered ones before it.
type event struct {
	// id is the number of the event, or NoEvent for what follows the last numbered event of the answer.
	id    int64
	bytes []byte
}

// eventReader splits a stream into events and checks their numbers, which count the events of an answer.
type eventReader struct {
	source io.Reader
	// last is the number of the last event, at first of the one from which the server was asked to continue, or zero.
	last int64
	// limit is the largest number that an event may have, or zero for any.
	limit int64
	// begun is set once the answer has had a numbered event.
	begun bool
	// unnumbered holds the comments and unnumbered events since the last numbered one.
	unnumbered []byte

	buffer []byte
	// start is the offset of the first unread byte in buffer, and scanned the offset up to which no event ends.
	start, scanned int
	// hold counts the memory of the buffers, and counted is what it has counted of them.
	hold    *gladememory.Hold
	counted int
	// err is the error of source, reported once buffer holds no more complete events.
	err error
}

// next returns the next event.  It returns io.EOF at the end of a complete stream and another error if the stream is
// cut off, lacks an event or exceeds a limit.
func (r *eventReader) next() (event, error) {
	for {
		b, err := r.nextBlock()
		if err == io.EOF && len(r.unnumbered) > 0 { //nolint:errorlint // nextBlock returns io.EOF unwrapped
			e := event{id: gladesend.NoEvent, bytes: r.unnumbered}
			r.unnumbered = nil
			return e, nil
		}
		if err != nil {
			return event{}, err
		}
		id := eventID(b)
		if id == gladesend.NoEvent {
			r.unnumbered = append(r.unnumbered, b...)
			if len(r.unnumbered) > maxUnnumberedBytes {
				return event{}, gladesend.NewLimitError("bytes without a numbered event", maxUnnumberedBytes, "bytes")
			}
			continue
		}
		if err := r.checkNumber(id); err != nil {
			return event{}, err
		}
		e := event{id: id, bytes: append(r.unnumbered, b...)}
		r.unnumbered = nil
		return e, nil
	}
}

// checkNumber checks the number of an event against the one before it.  A server that began the answer again sends
// events that the caller already has.
func (r *eventReader) checkNumber(id int64) error {
	if r.begun && id != r.last+1 || id > r.last+1 {
		return eris.Wrapf(gladesend.ErrBroken, "event %d follows event %d", id, r.last)
	}
	if r.limit > 0 && id > r.limit {
		return gladesend.NewLimitError("events", int(r.limit), "events")
	}
	r.last, r.begun = id, true
	return nil
}

// nextBlock returns the next event with the empty line that ends it.
func (r *eventReader) nextBlock() ([]byte, error) {
	for {
		n, scanned := eventEnd(r.buffer[r.start:], r.scanned)
		if r.scanned = scanned; n > 0 {
			b := bytes.Clone(r.buffer[r.start : r.start+n])
			r.start += n
			r.scanned = 0
			return b, nil
		}
		if r.err != nil {
			if r.err == io.EOF && r.start < len(r.buffer) { //nolint:errorlint // source returns io.EOF unwrapped
				return nil, eris.Wrap(gladesend.ErrBroken, "stream ended within an event")
			}
			return nil, r.err
		}
		r.fill()
	}
}

func (r *eventReader) fill() {
	r.buffer = append(r.buffer[:0], r.buffer[r.start:]...)
	r.start = 0
	if len(r.buffer) > maxEventBytes {
		r.err = gladesend.NewLimitError("event", maxEventBytes, "bytes")
		return
	}
	var b [4 << 10]byte
	n, err := r.source.Read(b[:])
	r.buffer = append(r.buffer, b[:n]...)
	r.err = err
	if grown := cap(r.buffer) + cap(r.unnumbered) - r.counted; grown > 0 {
		r.counted += grown
		if err := r.hold.Grow(grown, time.Now()); err != nil {
			r.counted -= grown
			r.err = err
		}
	}
}

// close gives back the memory of the buffers.
func (r *eventReader) close() { r.hold.Shrink(r.counted) }

// eventEnd returns the length of the first event in b, or zero if it is incomplete.  No event ends before the offset
// from; the second result is the offset to continue from when b has grown.
func eventEnd(b []byte, from int) (n, scanned int) {
	for {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return 0, from
		}
		switch rest := b[from+i+1:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + i + 2, 0
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + i + 3, 0
		case len(rest) == 0 || len(rest) == 1 && rest[0] == '\r':
			return 0, from + i // the bytes after this line end are not there yet
		}
		from += i + 1
	}
}

// eventID returns the number in the id field of an event, or NoEvent if it has no number or no data.
func eventID(b []byte) int64 {
	id, hasData := int64(gladesend.NoEvent), false
	for line := range bytes.Lines(b) {
		if bytes.HasPrefix(line, []byte("data:")) {
			hasData = true
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil && n >= 0 {
				id = n
			}
		}
	}
	if !hasData {
		return gladesend.NoEvent
	}
	return id
}
