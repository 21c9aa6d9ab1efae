package gladeserve

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

const (
	bufferBytes = 4 << 10
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a refused caller's remaining bytes are read: closing the connection with unread bytes
	// would reset it and could discard the refusal.
	lingerTimeout = 200 * time.Millisecond
	// firstRequestTime is how long a stopping server waits for the first request of a connection.
	firstRequestTime = 500 * time.Millisecond
	// maxLingerBytes bounds the bytes that are read within lingerTimeout.
	maxLingerBytes = 1 << 20
)

// conn is one caller's connection.
type conn struct {
	server *Server
	net    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	head   []byte
	parser *bufio.Reader

	mu sync.Mutex
	// idle is set until the first byte of the next request has arrived.
	idle bool
	// reading is set while a request is read.
	reading bool
	// acceptedAt is set until the first request has begun.
	acceptedAt time.Time
	// closed is set once closeIdle has closed the connection.
	closed bool
}

// newConn returns the state of an accepted connection.
func newConn(s *Server, n net.Conn) *conn {
	return &conn{
		server: s, net: n, reader: bufio.NewReaderSize(n, bufferBytes), writer: bufio.NewWriterSize(n, bufferBytes),
		parser: bufio.NewReaderSize(nil, bufferBytes), idle: true, acceptedAt: time.Now(),
	}
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer func() { _ = c.net.Close() }()
	for {
		x, err := c.readRequest()
		if err != nil {
			c.refuse(err)
			return
		}
		if !c.handle(x) {
			return
		}
	}
}

// errBetweenRequests means that the connection ended before a request began.
var errBetweenRequests = errors.New("connection ended between requests")

// setIdle marks the connection as idle.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// beginRequest marks the connection as busy.  It returns false if closeIdle has closed the connection; the bytes that
// have arrived must then not be handled.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.idle, c.reading, c.acceptedAt = false, true, time.Time{}
	return true
}

// endRead records that a request is no longer read.
func (c *conn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
}

// setReadTimeout sets the time limit of a read of a request; it has passed if the server is interrupted.
func (c *conn) setReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(timeout)
	if c.server.interrupted() {
		deadline = time.Unix(1, 0)
	}
	_ = c.net.SetReadDeadline(deadline)
}

// interruptRead ends the reading of a request.
func (c *conn) interruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// closeIdle closes the connection if no request has begun on it, and reports whether it is closed.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.closed && time.Since(c.acceptedAt) >= firstRequestTime {
		c.closed = true
		_ = c.net.Close()
	}
	return c.closed
}

// readRequest reads one request with its body.
func (c *conn) readRequest() (*Exchange, error) {
	limits := c.server.config.Limits()
	c.setIdle()
	_ = c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if _, err := c.reader.Peek(1); err != nil {
		return nil, errBetweenRequests
	}
	if !c.beginRequest() {
		return nil, errBetweenRequests
	}
	began := time.Now()
	defer c.endRead()
	c.setReadTimeout(limits.HeaderTimeout)
	head, err := readHead(c.reader, c.head[:0], limits.HeaderBytes)
	c.head = head
	if err != nil {
		return nil, err
	}
	f, err := checkHead(head)
	if err != nil {
		return nil, err
	}
	c.parser.Reset(bytes.NewReader(head))
	r, err := http.ReadRequest(c.parser)
	if err != nil {
		return nil, ErrMalformed
	}
	if r.Header.Get("Expect") != "" {
		_ = c.net.SetWriteDeadline(began.Add(writeTimeout))
		if _, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	body, err := c.body(f, limits)
	if err != nil {
		return nil, err
	}
	return &Exchange{Request: r, Body: body, LastByteAt: time.Now(), FirstByteAt: began, conn: c, closing: r.Close}, nil
}

// body reads the body of a request; HeaderTimeout bounds the wait for each read.
func (c *conn) body(f framing, limits gladerelease.Limits) ([]byte, error) {
	c.setReadTimeout(limits.HeaderTimeout)
	if !f.chunked && f.length <= int64(c.reader.Buffered()) {
		return readBody(c.reader, f, limits.BodyBytes)
	}
	reader := &deadlineReader{conn: c, timeout: limits.HeaderTimeout}
	buffered := make([]byte, c.reader.Buffered())
	_, _ = io.ReadFull(c.reader, buffered) // cannot fail: the bytes are buffered
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), reader), bufferBytes)
	body, err := readBody(c.reader, f, limits.BodyBytes)
	reader.timeout = 0
	return body, err
}

// deadlineReader extends the read deadline before each read while timeout is set.
type deadlineReader struct {
	conn    *conn
	timeout time.Duration
}

// Read reads from the connection.
func (p *deadlineReader) Read(b []byte) (int, error) {
	if p.timeout > 0 {
		p.conn.setReadTimeout(p.timeout)
	}
	return p.conn.net.Read(b)
}

// refuse answers a request that could not be read.
func (c *conn) refuse(err error) {
	if errors.Is(err, errBetweenRequests) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrRequestTimeout
		if c.server.interrupted() {
			err = ErrStopping
		}
	}
	status := statusOf(err)
	c.server.config.OnRefused(status, err)
	x := &Exchange{conn: c, closing: true}
	x.Reply(status, http.Header{}, nil)
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.reader, maxLingerBytes))
}

// handle runs the handler and cancels its context when the caller disconnects; it reports whether the connection is kept.
func (c *conn) handle(x *Exchange) bool {
	ctx, cancel := context.WithCancel(c.server.context)
	defer cancel()
	_ = c.net.SetReadDeadline(time.Time{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
	}()
	c.server.config.Handle(ctx, x)
	_ = c.net.SetReadDeadline(time.Unix(1, 0))
	<-watched
	if !x.ended {
		return false
	}
	return !x.closing && ctx.Err() == nil
}
