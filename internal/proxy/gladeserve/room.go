package gladeserve

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
)

const (
	// socketBufferBytes is the size of the kernel's buffers of a connection, which doubles it.  Without it they grow to megabytes,
	// and bytes in them count as memory of the VM.
	socketBufferBytes = 64 << 10
	// maxCloseTries is the number of connections that are tried to be closed for a new one; each may just have got a request, and the
	// first may have unsent bytes.
	maxCloseTries = 3
	// maxOver is the number of connections above MaxConnections that may be open without being surplus: those that are to close, and those
	// that read a request just then and stay until an answer closes one.
	maxOver = 32
)

// isNoRoom reports whether a request was refused for lack of memory, or for the number of connections.
func isNoRoom(err error) bool {
	return errors.Is(err, gladememory.ErrNoRoom) || errors.Is(err, gladememory.ErrEvicted) || errors.Is(err, ErrTooManyConnections)
}

// beginHold begins to count the memory of a request, at first of its header.
func (c *conn) beginHold(n int) (*gladememory.Hold, error) {
	var h *gladememory.Hold
	h = c.server.config.Memory.NewHold(func() { c.evict(h) })
	c.mu.Lock()
	c.hold = h
	c.mu.Unlock()
	now := time.Now()
	_ = h.Begin(gladememory.Receiving, now) // cannot fail: nothing is held
	return h, h.Grow(n, now)
}

func (c *conn) setCancel(cancel context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

// endAnswer records that the answer to the current request was written whole.
func (c *conn) endAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
}

// evict ends a request that made room for another one: it is refused if it has not arrived, and else its connection is closed, unless its
// answer was written whole in the meantime.
func (c *conn) evict(h *gladememory.Hold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.hold != h, c.answered: // it has ended
	case c.reading:
		c.evicted = true
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	default:
		c.abort(gladememory.ErrEvicted, CauseEvicted)
	}
}

func (c *conn) evictedWhileRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// abort closes the connection and discards what its caller has not read, which would occupy memory of the kernel.  The caller holds mu.
func (c *conn) abort(reason error, cause Cause) {
	c.closed, c.closedFor = true, cause
	if c.cancel != nil {
		c.cancel(reason)
	}
	discardUnsent(c.net)
	_ = c.net.Close()
}

// discardUnsent lets the close of a connection discard what has not been sent.
func discardUnsent(n net.Conn) {
	if t, ok := n.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
}

// endRequest gives back what the request has occupied.
func (c *conn) endRequest() {
	c.mu.Lock()
	h := c.hold
	c.hold, c.cancel = nil, nil
	c.mu.Unlock()
	h.Release()
	c.putWriter()
}

// putWriter gives back the writer of an answer.
func (c *conn) putWriter() {
	if c.writer != nil {
		c.writer.Reset(nil)
		writers.Put(c.writer)
		c.writer = nil
	}
}

// beginWrite sets the time limit of a write.
func (c *conn) beginWrite() time.Time {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.since = true, now
	_ = c.net.SetWriteDeadline(now.Add(writeTimeout))
	return now
}

// endWrite records the end of a write.
func (c *conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if err != nil {
		discardUnsent(c.net)
	}
}

// state returns what gladememory.ConnectionToClose needs to know.  Without look, nothing is asked of the kernel, and the caller is
// taken to have read everything.
func (c *conn) state(look bool, now time.Time) gladememory.Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := gladememory.Connection{Idle: c.idle && c.leaving == "", Waiting: c.reading || c.writing || c.lingering, Since: c.since}
	if look && (s.Idle || s.Waiting) {
		c.look(&s, now)
	}
	return s
}

// look adds what the kernel knows of the connection to its state, and returns the number of bytes of the caller that were not read.  The
// caller holds mu.
func (c *conn) look(s *gladememory.Connection, now time.Time) (unread int) {
	s.Unsent, unread = c.queued()
	if s.Arrived = unread > 0; s.Arrived && c.reading {
		s.Waiting = false // it is this process that has not read them
	}
	if s.Unsent > 0 {
		s.TakenAt = c.takenAt(s.Unsent, now)
	}
	return unread
}

// closeForRoom closes a connection that was in the given state, unless it has left it.  stalled reports that its caller has stalled: what
// it has not taken is discarded, which would occupy memory of the kernel.
func (c *conn) closeForRoom(was gladememory.Connection, stalled bool, now time.Time) (ClosedConnection, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.leaving != "" || c.idle != was.Idle || !c.since.Equal(was.Since) || !c.idle && !c.reading && !c.writing && !c.lingering {
		return ClosedConnection{}, false
	}
	unread := c.look(&was, now)
	if i, still := gladememory.ConnectionToClose([]gladememory.Connection{was}, now); i < 0 || still != stalled {
		return ClosedConnection{}, false
	}
	if c.idle {
		c.leave(CauseConnections, stalled)
	} else {
		c.abort(gladememory.ErrEvicted, CauseConnections)
	}
	return ClosedConnection{State: was, Reset: stalled, Age: now.Sub(was.Since), Unsent: was.Unsent, Unread: unread}, true
}

// ClosedConnection describes a connection that was closed because there were too many.
type ClosedConnection struct {
	// State is what the connection did; a new one does nothing.
	State gladememory.Connection
	// New reports that it is a new one, for which there was no room.
	New bool
	// Refused reports that the request of a new one was refused with a status.
	Refused bool
	// Reset reports that its caller had stalled, so that unsent bytes were discarded.
	Reset bool
	// Open is the number of connections then, without those above Limit, the largest number.
	Open, Limit int
	// Age is how long it was in that state.
	Age time.Duration
	// Unsent and Unread are the bytes in the kernel's buffers: those that the caller had not taken, and those of the caller that were not
	// read.  unknownBytes where the kernel does not say.
	Unsent, Unread int
}

// makeRoom closes a connection if there are too many, and reports whether there is room for another one.  The caller holds mu.
func (s *Server) makeRoom(now time.Time) bool {
	limit := s.config.MaxConnections
	switch {
	case limit <= 0:
		return true
	case len(s.conns)-s.surplus >= limit+maxOver:
		return false
	case s.open() < limit:
		return true
	}
	for try := range maxCloseTries {
		conns := make([]*conn, 0, len(s.conns))
		states := make([]gladememory.Connection, 0, len(s.conns))
		for c := range s.conns {
			if c.surplus {
				continue
			}
			// The one that has been idle for longest can nearly always be closed: the kernel is asked about all others only if not.
			conns, states = append(conns, c), append(states, c.state(try > 0, now))
		}
		i, stalled := gladememory.ConnectionToClose(states, now)
		if i < 0 {
			break
		}
		if closed, ok := conns[i].closeForRoom(states[i], stalled, now); ok {
			closed.Open, closed.Limit = s.open(), limit
			if closed.State.Idle {
				s.leaving++
			} else {
				s.remove(conns[i])
			}
			s.config.onClosed(closed)
			return true
		}
	}
	return false
}

// announceClose reports whether the answer that begins on a connection says that it closes: if the answer does so anyway, or if more
// connections are open than the largest number and not enough of them have said so.
func (s *Server) announceClose(c *conn, closing bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.config.MaxConnections
	if closing = closing || limit > 0 && !c.surplus && s.open()-s.announced > limit; !closing {
		return false
	}
	if _, ok := s.conns[c]; ok && !c.surplus && !c.announced {
		c.announced = true
		s.announced++
	}
	return true
}

// remove ends the counting of a connection.  The caller holds mu.
func (s *Server) remove(c *conn) {
	delete(s.conns, c)
	if c.announced {
		c.announced = false
		s.announced--
	}
}

// recordStay records that a connection is no longer to close.
func (s *Server) recordStay(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.surplus {
		s.leaving--
	}
}

// onClosed reports a closed connection.
func (c *Config) onClosed(closed ClosedConnection) {
	if c.OnClosed != nil {
		c.OnClosed(closed)
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// limitBuffers bounds the kernel's buffers of a connection.
func limitBuffers(n net.Conn) {
	if t, ok := n.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(socketBufferBytes)
		_ = t.SetWriteBuffer(socketBufferBytes)
	}
}
