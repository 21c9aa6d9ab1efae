package gladeserve

import (
	"bufio"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
)

// pieceBytes is the size of the pieces in which a large answer is written; the caller's progress is known after each.
const pieceBytes = 64 << 10

// Exchange is one request and its answer.
type Exchange struct {
	// Request is the parsed header; its own Body is empty.
	Request *http.Request
	// Body is the whole body.
	Body []byte
	// Hold counts the memory of the request and its answer until the end of the handler; nil counts nothing.
	Hold *gladememory.Hold
	// FirstByteAt is when the first byte of the request arrived.
	FirstByteAt time.Time
	// LastByteAt is when the last byte of the request arrived.
	LastByteAt time.Time
	// Note is what the handler says of the request, for reports.
	Note Note

	conn    *conn
	closing bool
	started bool
	chunked bool
	ended   bool
	// err is the first error with which the answer could not be written.
	err error
}

// Reply writes a whole answer.
func (x *Exchange) Reply(status int, h http.Header, body []byte) {
	if x.Begin(status, h, int64(len(body))) == nil {
		if x.writeWhole(body) == nil {
			x.finish()
		}
	}
}

// writeWhole writes the whole body of an answer and flushes it.  A large one is written in pieces, each with a time limit of its own.
func (x *Exchange) writeWhole(body []byte) error {
	for len(body) > pieceBytes {
		if err := x.Write(body[:pieceBytes]); err != nil {
			return err
		}
		body = body[pieceBytes:]
	}
	return x.Write(body)
}

// Started reports whether any part of the answer has been written.
func (x *Exchange) Started() bool { return x.started }

// Begin writes the answer's header.  A negative length means a chunked body, which Write adds to and End completes.
func (x *Exchange) Begin(status int, h http.Header, length int64) error {
	x.started = true
	if x.conn.writer == nil {
		x.conn.writer = writers.Get().(*bufio.Writer) //nolint:forcetypeassert // the pool holds nothing else
		x.conn.writer.Reset(&x.conn.sink)
	}
	x.conn.sink.written = 0
	w := x.conn.writer
	_ = x.conn.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	x.closing = x.conn.server.announceClose(x.conn, x.closing || x.conn.server.stopping())
	h.Del("Connection")
	h.Del("Transfer-Encoding")
	h.Del("Content-Length")
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = h.Write(w) // a connection error is returned by the next flush
	if x.closing {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	if length < 0 {
		x.chunked = true
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	} else if status != http.StatusNoContent && status != http.StatusNotModified {
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	}
	_, err := w.WriteString("\r\n")
	return err
}

// Write writes a part of the answer's body and flushes it.
func (x *Exchange) Write(p []byte) error {
	if err := x.Hold.Begin(gladememory.Answering, x.conn.beginWrite()); err != nil {
		x.conn.endWrite(err)
		return x.fail(err)
	}
	err := x.write(p)
	if err == nil {
		err = x.flush()
	}
	x.conn.endWrite(err)
	x.Hold.End(gladememory.Answering)
	return x.fail(err)
}

func (x *Exchange) write(p []byte) error {
	if len(p) == 0 || x.Request != nil && x.Request.Method == http.MethodHead {
		return nil
	}
	w := x.conn.writer
	if x.chunked {
		_, _ = w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	}
	if _, err := w.Write(p); err != nil {
		return err
	}
	if x.chunked {
		_, err := w.WriteString("\r\n")
		return err
	}
	return nil
}

func (x *Exchange) flush() error { return x.conn.writer.Flush() }

// End completes the answer; the connection of an answer without End is closed.
func (x *Exchange) End() error {
	if x.chunked {
		_, _ = x.conn.writer.WriteString("0\r\n\r\n")
	}
	err := x.flush()
	if err == nil {
		x.finish()
	}
	return x.fail(err)
}

// finish records that the whole answer was written.
func (x *Exchange) finish() {
	x.ended = true
	x.conn.endAnswer()
}
