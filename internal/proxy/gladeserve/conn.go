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

	"golang.org/x/sys/unix"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

const (
	bufferBytes = 4 << 10
	// keptHeadBytes is the size up to which the buffer of a header is kept for the connection's next request.
	keptHeadBytes = 4 << 10
	// headCopies is how many times a request's header is in memory: as received, and parsed.
	headCopies = 2
	// noRoomRetryAfter is the Retry-After value of a request for which there is no memory, in seconds.  Stalled requests lose their
	// place within that time.
	noRoomRetryAfter = "1"
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a refused caller must have sent nothing before its connection is closed: closing it with unread bytes
	// would reset it, which fails the caller's writes and could discard the refusal.
	lingerTimeout = 200 * time.Millisecond
	// takenInterval is how often it is looked whether a caller takes its answer.
	takenInterval = time.Second
	// minReadTime is the least time for a read of bytes that have arrived, and between two looks at a caller that takes its answer.
	minReadTime = 20 * time.Millisecond
	// firstRequestTime is how long a stopping server waits for the first request of a connection.
	firstRequestTime = 500 * time.Millisecond
	// maxLingerBytes bounds the bytes that are read and dropped before a connection is closed; it is lingerBodies times the largest
	// body for a refused request, if that is more.
	maxLingerBytes, lingerBodies = 1 << 20, 2
)

// conn is one caller's connection.
type conn struct {
	server *Server
	net    net.Conn
	source deadlineReader
	reader *bufio.Reader
	// writer is set while an answer is written.
	writer *bufio.Writer
	sink   countingWriter
	head   []byte
	// began is when the first byte of the request arrived that is read, and header what is known of its header.
	began  time.Time
	header http.Header
	// note is what the handler said of the latest request.
	note Note

	mu sync.Mutex
	// idle is set until the first byte of the next request has arrived.
	idle bool
	// reading is set while a request is read, writing while a part of an answer is written, and lingering once nothing more is written
	// and the caller may still take an answer.
	reading, writing, lingering bool
	// since is when the connection became idle, its request began to arrive or last made progress, the write in progress began, or it
	// began to linger.
	since time.Time
	// unrecorded is the number of bytes of the request that have arrived since it last made progress.
	unrecorded int
	// acceptedAt is set until the first request has begun.
	acceptedAt time.Time
	// leaving is why the connection, which is idle, is to close, and empty if it is not.  Its goroutine closes it, unless it has read a
	// request, which nobody else can know.
	leaving Cause
	// discards is set if what its caller has not taken is discarded then, as the caller has stalled.
	discards bool
	// surplus is set while the connection is one above the largest number.  It is guarded by the server's mu, and only the connection's
	// goroutine changes it once it runs.
	surplus bool
	// announced is set once an answer has said that the connection closes, while it counts as open.  It is guarded by the server's mu.
	announced bool
	// closed is set once the server has closed the connection, and closedFor why.
	closed    bool
	closedFor Cause
	// hold counts the memory of the current request, and cancel ends the context with which it is handled.
	hold   *gladememory.Hold
	cancel context.CancelCauseFunc
	// evicted is set if the current request made room for another one before it had arrived.
	evicted bool
	// answered is set once the answer to the current request was written whole.
	answered bool

	taken takenBytes
}

// Idle connections have neither a writer nor a parser: there may be many of them.
var (
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}
	parsers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
)

// newConn returns the state of an accepted connection.
func newConn(s *Server, n net.Conn) *conn {
	now := time.Now()
	c := &conn{server: s, net: n, idle: true, acceptedAt: now, since: now}
	c.source.conn, c.sink.conn = c, c
	c.reader = bufio.NewReaderSize(&c.source, bufferBytes)
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer func() {
		_ = c.net.Close()
		c.putWriter()
	}()
	for {
		x, err := c.readRequest()
		if err != nil {
			c.endRequest()
			c.refuse(err)
			return
		}
		keep := c.handle(x)
		c.note = x.Note
		c.endRequest()
		if !keep {
			if x.ended {
				c.linger(0, maxLingerBytes)
			}
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
	c.idle, c.since = true, time.Now()
}

// beginRequest marks the connection as busy.  It returns false if the server has closed the connection; the bytes that have arrived must
// then not be handled.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.idle, c.reading, c.answered, c.since, c.acceptedAt = false, true, false, time.Now(), time.Time{}
	c.unrecorded = 0
	c.taken.reset()
	return true
}

// endRead records that a request is no longer read.
func (c *conn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
}

// setReadTimeout sets the time limit of a read of a request; it has passed if the server is interrupted or the request
// evicted.
func (c *conn) setReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(timeout)
	if c.evicted || c.server.interrupted() {
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

// closeIdle closes the connection if its last answer was written, and lets it leave if no request has begun on it.  It reports whether the
// connection is closed, and whether it leaves and did not before.
func (c *conn) closeIdle() (closed, left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.lingering && (!c.idle || time.Since(c.acceptedAt) < firstRequestTime) {
		return c.closed, false
	}
	// Unread bytes are a request that has arrived.  A close would lose it, and discard what the caller has not taken; without them the
	// kernel goes on to send that.
	if queuedBytes(c.net, unix.SIOCINQ) > 0 {
		return false, false
	}
	if c.idle {
		return false, c.leave(CauseStop, false)
	}
	c.closed, c.closedFor = true, CauseStop
	_ = c.net.Close()
	return true, false
}

// closeAtEnd closes the connection at the end of the server.
func (c *conn) closeAtEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedFor == "" {
		if c.idle {
			c.reportIdle(CauseStop, c.since)
		}
		c.closedFor = CauseStop
	}
	c.closed = true
	_ = c.net.Close()
}

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest() error {
	c.header = nil
	c.setIdle()
	err := c.awaitFirstByte()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = c.awaitTaken(c.server.config.Limits())
	}
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) && c.surplus && !c.isLeaving() {
			c.server.closeSilent()
		}
		return errBetweenRequests
	}
	if !c.beginRequest() {
		c.reportCrossed()
		return errBetweenRequests
	}
	if c.endLeaving() {
		c.server.recordStay(c)
	}
	return nil
}

// awaitFirstByte waits for the idle timeout in force at the start of the wait or at its end, whichever is longer: callers reuse an idle
// connection for as long as the newest release that they know permits.
func (c *conn) awaitFirstByte() error {
	since, timeout := time.Now(), c.idleTimeout()
	for {
		c.setIdleDeadline(since.Add(timeout))
		_, err := c.reader.Peek(1)
		now := c.idleTimeout()
		if now <= timeout || !errors.Is(err, os.ErrDeadlineExceeded) || c.isLeaving() {
			return err
		}
		timeout = now
	}
}

// setIdleDeadline sets the time until which an idle connection waits for a request; it has passed if the connection is to close.
func (c *conn) setIdleDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving != "" {
		deadline = time.Unix(1, 0)
	}
	_ = c.net.SetReadDeadline(deadline)
}

// leave lets the goroutine of the connection close it, and reports whether it was not to close before.  discards is whether what the caller
// has not taken is discarded.  The caller holds mu.
func (c *conn) leave(cause Cause, discards bool) bool {
	was := c.leaving
	c.leaving, c.discards = cause, discards
	_ = c.net.SetReadDeadline(time.Unix(1, 0))
	return was == ""
}

func (c *conn) leavingFor() (cause Cause, discards bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving, c.discards
}

func (c *conn) isLeaving() bool {
	cause, _ := c.leavingFor()
	return cause != ""
}

// endLeaving ends the closing of the connection, as a request has begun or the connection has ended, and reports whether it was to close.
func (c *conn) endLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.leaving != ""
	c.leaving, c.discards = "", false
	return left
}

// awaitTaken waits further for a request after the idle timeout: until the caller has taken the answer before it, as a connection is
// not idle before.  An answer of which nothing is taken for writeTimeout from then on is discarded.
func (c *conn) awaitTaken(limits gladerelease.Limits) error {
	began := time.Now()
	for {
		now := time.Now()
		leaving, discards := c.leavingFor()
		unsent, unread := c.queued()
		discards = discards && unsent > 0 && now.Sub(c.takenAt(unsent, now)) >= gladememory.StallTime // its caller may take something again
		switch {
		case unread > 0:
			// A request has arrived.  If it came in time, the process had no processor time to read it: a read after its deadline
			// returns nothing.
			_ = c.net.SetReadDeadline(now.Add(max(minReadTime, limits.HeaderTimeout)))
		case leaving == CauseStop, leaving != "" && (unsent <= 0 || discards):
			if discards {
				discardUnsent(c.net)
			}
			_ = c.net.Close() // at once: a request that arrives from here on is lost; the kernel goes on to send the answer
			c.reportLeft(leaving, unsent, unread)
			return os.ErrDeadlineExceeded
		case unsent <= 0:
			if unread = queuedBytes(c.net, unix.SIOCINQ); unread > 0 {
				continue // it has arrived since the look above
			}
			_ = c.net.Close() // at once: no later look may find a request that is then dropped
			c.reportLeft(CauseIdleTimeout, unsent, unread)
			return os.ErrDeadlineExceeded
		case min(now.Sub(began), now.Sub(c.takenAt(unsent, now))) >= writeTimeout:
			c.discardUnread()
			return errBetweenRequests
		default:
			_ = c.net.SetReadDeadline(now.Add(max(minReadTime, min(limits.IdleTimeout, takenInterval))))
		}
		if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
}

// readRequest reads one request with its body.
func (c *conn) readRequest() (*Exchange, error) {
	if err := c.awaitRequest(); err != nil {
		return nil, err
	}
	began := time.Now()
	c.began, c.note = began, Note{}
	limits := c.server.config.Limits() // those in force now: the connection may have been idle for long
	defer c.endRead()
	if !c.server.admit(c) {
		return nil, ErrTooManyConnections
	}
	c.source.begin(0)
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
	if f.length > limits.BodyBytes {
		return nil, ErrBodyTooLarge
	}
	hold, err := c.beginHold(headCopies * len(head))
	if err != nil {
		return nil, err
	}
	r, err := parse(head)
	if err != nil {
		return nil, ErrMalformed
	}
	c.header = r.Header
	if cap(c.head) > keptHeadBytes {
		c.head = nil
	}
	if r.Header.Get("Expect") != "" {
		_ = c.net.SetWriteDeadline(began.Add(writeTimeout))
		if _, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	body, err := c.body(f, limits, hold)
	if err != nil {
		return nil, err
	}
	return &Exchange{Request: r, Body: body, Hold: hold, LastByteAt: time.Now(), FirstByteAt: began, conn: c, closing: r.Close}, nil
}

// parse parses the header of a request.
func parse(head []byte) (*http.Request, error) {
	parser := parsers.Get().(*bufio.Reader) //nolint:forcetypeassert // the pool holds nothing else
	parser.Reset(bytes.NewReader(head))
	r, err := http.ReadRequest(parser)
	if err == nil {
		r.Body = http.NoBody // its own one reads from the parser
	}
	parser.Reset(nil)
	parsers.Put(parser)
	return r, err
}

// body reads the body of a request; HeaderTimeout bounds the wait for each read.
func (c *conn) body(f framing, limits gladerelease.Limits, hold *gladememory.Hold) ([]byte, error) {
	c.setReadTimeout(limits.HeaderTimeout)
	c.source.begin(limits.HeaderTimeout)
	body, err := readBody(c.reader, f, limits.BodyBytes, hold)
	c.source.begin(0)
	if err != nil {
		return nil, err
	}
	return body, hold.Begin(gladememory.Held, time.Now())
}

// refuse answers a request that could not be read.
func (c *conn) refuse(err error) {
	if errors.Is(err, errBetweenRequests) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		if !errors.Is(err, errBetweenRequests) {
			c.reportUnread(err)
		}
		c.linger(0, maxLingerBytes) // an earlier answer may not be taken yet
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		switch {
		case c.evictedWhileRead():
			err = gladememory.ErrEvicted
		case c.server.interrupted():
			err = ErrStopping
		default:
			err = ErrRequestTimeout
		}
	}
	status := statusOf(err)
	c.server.config.OnRefused(status, err)
	x := &Exchange{conn: c, closing: true, FirstByteAt: c.began, Note: Note{Reason: err.Error()}}
	h := http.Header{}
	if isNoRoom(err) {
		h.Set("Retry-After", noRoomRetryAfter)
	}
	if x.Reply(status, h, nil); !x.ended {
		c.reportExchange(c.server.context, x, nil)
		return
	}
	quiet := lingerTimeout
	if errors.Is(err, ErrTooManyConnections) && c.hasWholeRequest() {
		quiet = 0 // the place is for others who come
	}
	c.linger(quiet, max(maxLingerBytes, lingerBodies*int(c.server.config.Limits().BodyBytes)))
}

// handle runs the handler and cancels its context when the caller disconnects; it reports whether the connection is kept.
func (c *conn) handle(x *Exchange) bool {
	ctx, cancel := context.WithCancelCause(c.server.context)
	defer cancel(nil)
	c.setCancel(cancel)
	_ = c.net.SetReadDeadline(time.Time{})
	var left error
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			left = err
			cancel(nil)
		}
	}()
	c.server.config.Handle(ctx, x)
	_ = c.net.SetReadDeadline(time.Unix(1, 0))
	<-watched
	if !x.ended {
		c.reportExchange(ctx, x, left)
		return false
	}
	// At an interruption the next request may have been read; it is answered unless this answer has said that the connection closes.
	return !x.closing && left == nil
}
