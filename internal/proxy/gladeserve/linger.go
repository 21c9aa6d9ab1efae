package gladeserve

import (
	"errors"
	"os"
	"time"
)

const (
	// lingerStep is how often a connection that is about to be closed is looked at.
	lingerStep = 20 * time.Millisecond
	// maxLingerTime bounds the time for which bytes of a caller are read and dropped.
	maxLingerTime = 5 * time.Second
)

// linger ends the answers on a connection and waits until the caller has taken them, while it reads and drops what the caller still
// sends.  Closing a connection with unread bytes, or to which bytes are sent later, resets it and discards what its caller has not taken.
//
// The wait ends once the caller has taken everything and has sent nothing for the time quiet, or more than limit bytes.  What a caller
// does not take for writeTimeout is discarded.  Until then the connection counts against the largest number, which bounds the
// kernel's memory, and it can make room for a new one as one whose caller keeps the VM waiting.
func (c *conn) linger(quiet time.Duration, limit int) {
	unsent, unread := c.queued()
	if quiet <= 0 && unsent <= 0 && unread <= 0 || !c.beginLinger() {
		return
	}
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	began := time.Now()
	// silent is for how long the connection was watched without a byte; time in which the process stood still does not count.
	silent, dropped, ended := time.Duration(0), 0, false
	for now := began; ; now = time.Now() {
		unsent, unread = c.queued()
		ended = ended || dropped > limit || now.Sub(began) >= maxLingerTime
		if unsent <= 0 && (ended || unread <= 0 && silent >= quiet) {
			return
		}
		if unsent > 0 && min(now.Sub(began), now.Sub(c.takenAt(unsent, now))) >= writeTimeout {
			c.discardUnread()
			return
		}
		if ended {
			time.Sleep(lingerStep)
			continue
		}
		_ = c.net.SetReadDeadline(now.Add(lingerStep))
		_, err := c.reader.Peek(1)
		silent += lingerStep
		if n := c.reader.Buffered(); n > 0 {
			silent, dropped = 0, dropped+n
			_, _ = c.reader.Discard(n)
		}
		ended = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	}
}

// beginLinger marks the connection as one that waits for its caller; it returns false if it is closed.
func (c *conn) beginLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.idle, c.lingering, c.since = false, true, time.Now()
	return true
}

// discardUnread closes the connection and discards what its caller does not read.
func (c *conn) discardUnread() {
	u := Unanswered{Cause: CauseNotRead, Stage: StageAnswering, Note: c.note, Age: time.Since(c.began), Written: c.sink.written}
	u.Unsent, u.Unread = c.queued()
	c.server.config.onUnanswered(u)
	discardUnsent(c.net)
	_ = c.net.Close()
}
