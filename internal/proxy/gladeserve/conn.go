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
	readBytes = 4 << 10
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// lingerTime is how long a refused caller's remaining bytes are read, so that the refusal is not lost to a reset.
	lingerTime = 200 * time.Millisecond
	// refusedBytes bounds what is read in lingerTime.
	refusedBytes = 1 << 20
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
	// idle tells that no byte of a next request has arrived, closed that the connection was closed while it was.
	idle, closed bool
}

// newConn returns the state of an accepted connection.
func newConn(s *Server, n net.Conn) *conn {
	return &conn{
		server: s, net: n, reader: bufio.NewReaderSize(n, readBytes), writer: bufio.NewWriterSize(n, readBytes),
		parser: bufio.NewReaderSize(nil, readBytes), idle: true,
	}
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer func() { _ = c.net.Close() }()
	for {
		x, err := c.next()
		if err != nil {
			c.refuse(err)
			return
		}
		if !c.handle(x) {
			return
		}
	}
}

// errQuiet ends a connection on which no request has begun.
var errQuiet = errors.New("connection ended between requests")

// pause notes that no request is under way.
func (c *conn) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// begin notes that a request has begun to arrive; it reports false if the connection was closed meanwhile, so that what
// has arrived goes nowhere.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.idle = false
	return true
}

// closeIdle closes the connection if no request has begun on it, and reports whether it is closed.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.closed {
		c.closed = true
		_ = c.net.Close()
	}
	return c.closed
}

// next reads the next request with its body.
func (c *conn) next() (*Exchange, error) {
	limits := c.server.config.Limits()
	c.pause()
	_ = c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if _, err := c.reader.Peek(1); err != nil {
		return nil, errQuiet
	}
	if !c.begin() {
		return nil, errQuiet
	}
	began := time.Now()
	_ = c.net.SetReadDeadline(began.Add(limits.HeaderTimeout))
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
	return &Exchange{Request: r, Body: body, Received: time.Now(), Began: began, conn: c, closing: r.Close}, nil
}

// body reads the body; each part of it has to arrive within the time for a header.
func (c *conn) body(f framing, limits gladerelease.Limits) ([]byte, error) {
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	if !f.chunked && f.length <= int64(c.reader.Buffered()) {
		return readBody(c.reader, f, limits.BodyBytes)
	}
	patient := &patientReader{conn: c.net, timeout: limits.HeaderTimeout}
	buffered := make([]byte, c.reader.Buffered())
	_, _ = io.ReadFull(c.reader, buffered) // cannot fail: the bytes are buffered
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), patient), readBytes)
	body, err := readBody(c.reader, f, limits.BodyBytes)
	patient.timeout = 0
	return body, err
}

// patientReader moves the read deadline on with each read while a timeout is set.
type patientReader struct {
	conn    net.Conn
	timeout time.Duration
}

// Read reads from the connection.
func (p *patientReader) Read(b []byte) (int, error) {
	if p.timeout > 0 {
		_ = p.conn.SetReadDeadline(time.Now().Add(p.timeout))
	}
	return p.conn.Read(b)
}

// refuse answers a request that could not be read.
func (c *conn) refuse(err error) {
	if errors.Is(err, errQuiet) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrSlow
	}
	status := statusOf(err)
	c.server.config.Refused(status, err)
	x := &Exchange{conn: c, closing: true}
	x.Reply(status, http.Header{}, nil)
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.reader, refusedBytes))
}

// handle runs the handler while it watches for the caller's close; it reports whether the connection stays.
func (c *conn) handle(x *Exchange) bool {
	ctx, cancel := context.WithCancel(context.Background())
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
