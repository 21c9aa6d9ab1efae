package gladeserve

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
)

// Cause is why a connection ended although a request, or a part of one, had arrived and was not answered whole.
type Cause string

// The causes.
const (
	// CauseCallerLeft means that the caller closed or reset its connection.
	CauseCallerLeft Cause = "callerLeft"
	// CauseNotRead means that the caller did not read its answer for writeTimeout.
	CauseNotRead Cause = "callerDidNotRead"
	// CauseEvicted means that the request made room in memory for another one.
	CauseEvicted Cause = "evicted"
	// CauseConnections means that the connection was closed for a new one.
	CauseConnections Cause = "tooManyConnections"
	// CauseIdleTimeout means that the connection was idle for too long.
	CauseIdleTimeout Cause = "idleTimeout"
	// CauseStop means that the process stops.
	CauseStop Cause = "stop"
	// CauseHandler means that the handler ended the answer early.
	CauseHandler Cause = "handler"
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CauseCallerLeft, CauseNotRead, CauseEvicted, CauseConnections, CauseIdleTimeout, CauseStop, CauseHandler}
}

// Stage is what was done on a connection when it ended.
type Stage string

// The stages.
const (
	// StageIdle means that no request had begun; there may be bytes of one in the kernel.
	StageIdle Stage = "idle"
	// StageReceiving means that a request had arrived in part.
	StageReceiving Stage = "receiving"
	// StageHandling means that a request was handled and its answer had not begun.
	StageHandling Stage = "handling"
	// StageAnswering means that the answer had begun.
	StageAnswering Stage = "answering"
)

// Note is what the handler says of a request, for reports.
type Note struct {
	// ID is the request's identifier.
	ID string
	// Sent reports that the request may have reached a backend server.
	Sent bool
	// Reason is why the handler ended the answer early.
	Reason string
}

// Unanswered describes a connection that ended although a request, or a part of one, had arrived and was not answered whole.
type Unanswered struct {
	Cause Cause
	Stage Stage
	// Err is the error of the connection; nil if there is none.
	Err error
	// Note is what the handler said of the request.
	Note Note
	// Header is the request's header; nil if it is not known.
	Header http.Header
	// Age is the time since the first byte of the request arrived, or since the connection became idle.
	Age time.Duration
	// Written is the number of bytes of the answer that the kernel took.
	Written int64
	// Unsent and Unread are the bytes in the kernel's buffers: those that the caller has not taken and those of the caller that were
	// not read.  unknownBytes where the kernel does not say.
	Unsent, Unread int
}

// countingWriter counts the bytes that a connection takes.
type countingWriter struct {
	conn    *conn
	written int64
}

// Write writes to the connection.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.conn.net.Write(b)
	w.written += int64(n)
	return n, err
}

// Written returns the number of bytes of the answer that the kernel has taken.
func (x *Exchange) Written() int64 {
	if !x.started {
		return 0
	}
	return x.conn.sink.written
}

// fail records the error with which the answer ended.
func (x *Exchange) fail(err error) error {
	if err != nil && x.err == nil {
		x.err = err
	}
	return err
}

// reportExchange reports an exchange whose answer was not written whole.  left is the error with which reading ended while it was
// handled; nil if it did not end.
func (c *conn) reportExchange(ctx context.Context, x *Exchange, left error) {
	u := Unanswered{
		Stage: StageHandling, Note: x.Note, Age: time.Since(x.FirstByteAt), Written: x.Written(), Err: x.err,
	}
	switch {
	case x.Request == nil: // a refusal of what had arrived
		u.Stage, u.Header = StageReceiving, c.header
	case x.started:
		u.Stage, u.Header = StageAnswering, x.Request.Header
	default:
		u.Header = x.Request.Header
	}
	if u.Err == nil {
		u.Err = left
	}
	u.Cause = c.causeOf(u.Err)
	if x.err == nil && errors.Is(context.Cause(ctx), ErrStopping) {
		u.Cause = CauseStop
	}
	u.Unsent, u.Unread = c.queued()
	c.server.config.onUnanswered(u)
}

// reportUnread reports a request that was not received whole, and was not refused.
func (c *conn) reportUnread(err error) {
	u := Unanswered{Cause: c.causeOf(err), Stage: StageReceiving, Header: c.header, Age: time.Since(c.began), Err: err}
	u.Unsent, u.Unread = c.queued()
	c.server.config.onUnanswered(u)
}

// reportIdle reports a connection that is closed between requests, unless it is known that nothing of a request has arrived.  The
// caller calls it before the close.
func (c *conn) reportIdle(cause Cause, since time.Time) {
	u := Unanswered{Cause: cause, Stage: StageIdle, Age: time.Since(since)}
	if u.Unsent, u.Unread = c.queued(); u.Unread != 0 {
		c.server.config.onUnanswered(u)
	}
}

// reportLeft reports a connection that was closed between requests with the given bytes in the kernel's buffers, unless it is known that
// nothing of a request had arrived.
func (c *conn) reportLeft(cause Cause, unsent, unread int) {
	if unread != 0 {
		c.server.config.onUnanswered(Unanswered{
			Cause: cause, Stage: StageIdle, Age: time.Since(c.since), Unsent: unsent, Unread: unread,
		})
	}
}

// reportCrossed reports a connection that was closed just when bytes of a request were read from it.
func (c *conn) reportCrossed() {
	c.server.config.onUnanswered(Unanswered{
		Cause: c.causeOf(nil), Stage: StageIdle, Age: time.Since(c.since), Unsent: unknownBytes, Unread: c.reader.Buffered(),
	})
}

// causeOf returns why the connection ended, err being its error.
func (c *conn) causeOf(err error) Cause {
	c.mu.Lock()
	closedFor := c.closedFor
	c.mu.Unlock()
	switch {
	case closedFor != "":
		return closedFor
	case err == nil:
		return CauseHandler
	case errors.Is(err, gladememory.ErrEvicted):
		return CauseEvicted
	case errors.Is(err, os.ErrDeadlineExceeded):
		return CauseNotRead
	}
	return CauseCallerLeft
}

// onUnanswered reports a request that was not answered whole.
func (c *Config) onUnanswered(u Unanswered) {
	if c.OnUnanswered != nil {
		c.OnUnanswered(u)
	}
}
