package gladesend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

// maxInlineBodyBytes is the size of the largest body that is written before the answer is read.  It fits into a small
// send window, so that the write does not block.
const maxInlineBodyBytes = 8 << 10

// pieceBytes is the size of the pieces in which a larger body is written; the server's progress is known after each.
const pieceBytes = 64 << 10

// Client sends calls to backend servers.
type Client struct {
	Pool *Pool
	// Encode adds the platform's headers for a send.
	Encode func(http.Header, *SendParams)
	// Decode reads the platform's headers of an answer.
	Decode func(http.Header) AnswerInfo
	// OnAnswer is called with the head of each answer, late ones included; nil means that nobody listens.
	OnAnswer func(AnswerHead)
}

// Exchange is a sent request and its answer, of which the header has been read.  The caller must call Close.
type Exchange struct {
	Status int
	Header http.Header
	Info   AnswerInfo

	pool *Pool
	conn *conn
	body io.ReadCloser
	// contentLength is the announced length of the body, negative if it is unknown.
	contentLength int64
	// unframed reports that the body ends with the connection, as it has neither a length nor chunks.
	unframed bool
	// end is the error with which the body ended, io.EOF for a complete one, nil until then.
	end error
	// connectionEnds is set if the server closes the connection after this answer.
	connectionEnds bool
	// writeResult receives the result of writing the request.  It is read once, at the end of an unframed body or by Close.
	writeResult chan error
	// stopCancel detaches the connection from the context; it returns false if the context has already closed it.
	stopCancel func() bool
	closeOnce  sync.Once
	// hold counts the memory of the body, and done is closed when the exchange is cancelled.
	hold *gladememory.Hold
	done <-chan struct{}
}

// Do sends a call and returns once the header of its answer has been read.
//
// It fails with ErrNotSent if no server received the request; after any other error a server may have received it.
func (c *Client) Do(ctx context.Context, call *Call, s *SendParams) (*Exchange, error) {
	conn, err := c.Pool.get(ctx, call.ID, s)
	if err != nil {
		return nil, err
	}
	conn.recordSent(call.ID)
	x := &Exchange{pool: c.Pool, conn: conn, writeResult: make(chan error, 1), hold: call.Hold, done: ctx.Done()}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = conn.Close() })
	head, sentAt := c.encodeHead(call, s), time.Now()
	if len(call.Body) <= maxInlineBodyBytes {
		_, err = conn.Write(append(head, call.Body...))
		x.writeResult <- err
	} else {
		go func() { x.writeResult <- writeBody(conn, head, call) }()
	}
	// A write error is not reported here, because a server may answer before it has read a long body.
	if err := c.readHeader(x, call, AnswerHead{Server: s.Server, Started: s.Started, SentAt: sentAt}); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

// writeBody writes a request with a large body.
func writeBody(w io.Writer, head []byte, call *Call) error {
	if err := call.Hold.Begin(gladememory.Sending, time.Now()); err != nil {
		return err
	}
	defer call.Hold.End(gladememory.Sending)
	_, err := w.Write(head)
	for body := call.Body; len(body) > 0 && err == nil; {
		n := min(pieceBytes, len(body))
		_, err = w.Write(body[:n])
		body = body[n:]
		call.Hold.Moved(n, time.Now())
	}
	return err
}

func (c *Client) encodeHead(call *Call, s *SendParams) []byte {
	h := call.Header.Clone()
	c.Encode(h, s)
	var b bytes.Buffer
	b.Grow(1024 + min(len(call.Body), maxInlineBodyBytes))
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	_ = h.Write(&b) // a bytes.Buffer returns no errors
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader reads the header of the answer to a call.  answer describes the send.
func (c *Client) readHeader(x *Exchange, call *Call, answer AnswerHead) error {
	stale := 0
	for {
		r, err := x.conn.readResponse(call.Method)
		if err != nil {
			return err
		}
		x.Status, x.Header, x.body, x.contentLength = r.StatusCode, r.Header, r.Body, r.ContentLength
		x.unframed = r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
		x.conn.applyKeepAlive(r.Header.Get("Keep-Alive"))
		x.Info = c.Decode(r.Header)
		// A second copy of an answer without an identifier could be taken for the answer to the next request.
		x.connectionEnds = r.Close || r.ContentLength < 0 && len(r.TransferEncoding) == 0 || x.Info.ID == ""
		c.reportHead(answer, x, call)
		if x.Info.ID != "" && x.Info.ID != call.ID {
			// It is a late second answer to an earlier request; the answer to this one may follow.
			if stale++; stale > maxStaleAnswers || x.connectionEnds {
				return eris.Wrapf(ErrWrongAnswer, "%s answered request %s", x.conn.address, x.Info.ID)
			}
			if err := skipBody(r.Body, x.conn.address); err != nil {
				return err
			}
			continue
		}
		if x.Info.ID == "" && !x.acceptsUnnamed() {
			return eris.Wrapf(ErrWrongAnswer, "%s answered without an identifier", x.conn.address)
		}
		StripHopHeaders(x.Header)
		return nil
	}
}

// acceptsUnnamed reports whether the answer belongs to the request although it has no identifier.  Late answers to earlier requests come
// only on connections that have carried any.
func (x *Exchange) acceptsUnnamed() bool {
	return x.Status >= http.StatusMultipleChoices && len(x.conn.sent) == 1
}

// reportHead passes the head of an answer on to OnAnswer.
func (c *Client) reportHead(answer AnswerHead, x *Exchange, call *Call) {
	if c.OnAnswer == nil {
		return
	}
	answer.Status, answer.Info, answer.At = x.Status, x.Info, time.Now()
	if x.Info.ID != "" && x.Info.ID != call.ID {
		answer.SentAt = time.Time{}
	}
	c.OnAnswer(answer)
}

// readResponse reads the next answer up to the end of its headers; it skips interim answers.  net/http refuses a status that has not
// three characters, or is no number.
func (c *conn) readResponse(method string) (*http.Response, error) {
	for range maxInterimAnswers + 1 {
		if err := waitHead(c.reader, c.address); err != nil {
			return nil, err
		}
		r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, eris.Wrapf(ErrBroken, "%s: %v", c.address, err)
		}
		if err := gladestatus.Check(r.StatusCode); err != nil {
			return nil, eris.Wrapf(ErrBroken, "%s: %v", c.address, err)
		}
		if r.StatusCode >= http.StatusOK {
			return r, nil
		}
		_ = r.Body.Close()
	}
	return nil, eris.Wrap(NewLimitError("interim answers", maxInterimAnswers, "answers"), c.address)
}

// Read reads the body of the answer.  It returns io.EOF at the end of a complete body and ErrBroken if the body is cut
// off.
func (x *Exchange) Read(b []byte) (int, error) {
	if x.end != nil {
		return 0, x.end
	}
	n, err := x.body.Read(b)
	switch {
	case err == nil:
	case !errors.Is(err, io.EOF):
		x.end = eris.Wrapf(ErrBroken, "%s: %v", x.conn.address, err)
	case x.unframed:
		x.end = x.endUnframed()
	default:
		x.end = io.EOF
	}
	return n, x.end
}

// endUnframed is called when the connection has ended at which an unframed body ends.  It ends the write of the request, and returns
// io.EOF if the server ended its side in order, and ErrBroken otherwise.
//
// A reset is reported once, to the write or to the read: after a write that it failed, the read reports an ordinary end.  So the body
// is complete only if the write succeeded, was still waiting for the server, or failed with EPIPE.  Linux returns EPIPE instead of
// ECONNRESET only if the server had ended its side before the reset, in which case the whole body has arrived.  Any other error does
// not tell.
func (x *Exchange) endUnframed() error {
	if err := x.conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		_ = x.conn.Close() // this ends the write too
	}
	err := <-x.writeResult
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return io.EOF
	}
	return fmt.Errorf("%s: no length, and the request was not written: %w: %w", x.conn.address, err, ErrBroken)
}

// Close ends the exchange.  It closes the connection, which cancels the request, unless the complete answer was read
// and the connection can be reused.
func (x *Exchange) Close() {
	x.closeOnce.Do(func() {
		stopped := x.stopCancel()
		if errors.Is(x.end, io.EOF) && !x.connectionEnds && stopped {
			select {
			case err := <-x.writeResult:
				if err == nil {
					x.pool.put(x.conn)
					return
				}
			default: // the server answered before the whole body was written
			}
		}
		_ = x.conn.Close()
	})
}

// StripHopHeaders removes the hop-by-hop headers, those named by the Connection header included.
func StripHopHeaders(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range [...]string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	} {
		h.Del(name)
	}
}
