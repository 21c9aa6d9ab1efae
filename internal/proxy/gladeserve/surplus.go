package gladeserve

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxSurplus is the number of connections above MaxConnections that are kept until their request is refused with a status.  Others are
	// closed at once.
	maxSurplus = 16
	// surplusTime is how long such a connection may take to send its request.
	surplusTime = 500 * time.Millisecond
)

// ErrTooManyConnections refuses a request on a connection above MaxConnections.
var ErrTooManyConnections = eris.New("too many connections")

// open returns the number of connections that count against the largest number.  The caller holds mu.
func (s *Server) open() int { return len(s.conns) - s.leaving - s.surplus }

// takeIn reports whether a new connection is served.  If all others are in use, it is surplus, unless there are too many of these.  The
// caller holds mu.
func (s *Server) takeIn(c *conn, now time.Time) bool {
	if s.makeRoom(now) {
		return true
	}
	if s.surplus >= maxSurplus {
		s.reportNotAdmitted(false)
		return false
	}
	c.surplus = true
	s.surplus++
	return true
}

// admit reports whether a request that has begun to arrive can be served: that of a surplus connection only if there is room by now.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !c.surplus:
		return true
	case s.makeRoom(time.Now()):
		c.surplus = false
		s.surplus--
		return true
	}
	s.reportNotAdmitted(true)
	return false
}

// closeSilent reports a surplus connection that is closed because it has sent no request.
func (s *Server) closeSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportNotAdmitted(false)
}

// reportNotAdmitted reports a new connection that there was no room for.  The caller holds mu.
func (s *Server) reportNotAdmitted(refused bool) {
	s.config.onClosed(ClosedConnection{New: true, Refused: refused, Open: s.open(), Limit: s.config.MaxConnections})
}

// idleTimeout returns for how long the connection may wait for a request.
func (c *conn) idleTimeout() time.Duration {
	timeout := c.server.config.Limits().IdleTimeout
	if c.surplus {
		return min(timeout, surplusTime)
	}
	return timeout
}

// hasWholeRequest reports whether exactly one request is buffered, so that its caller sends nothing more.
func (c *conn) hasWholeRequest() bool {
	b, _ := c.reader.Peek(c.reader.Buffered())
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		return false
	}
	end += len("\r\n\r\n")
	f, err := checkHead(b[:end])
	return err == nil && !f.chunked && f.length == int64(len(b)-end)
}
