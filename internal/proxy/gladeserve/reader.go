package gladeserve

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minProgressBytes must arrive of a request within gladememory.StallTime, so that its caller does not count as one that stalls.  Otherwise
	// a byte now and then would keep a connection open at the limit of connections.
	minProgressBytes = 256
	// maxProgressTime is how long a request may make progress; from then on its caller counts as one that stalls.  A body of 4 MiB takes 17
	// minutes on a link of 10 Mbit/s that 305 uploads share.
	maxProgressTime = 20 * time.Minute
	// lateReadTime bounds a read of bytes that have arrived.  It does not wait for them, but the process may stand still once more.
	lateReadTime = time.Second
)

// deadlineReader reads from the connection.  It extends the read deadline before each read while timeout is set.
//
// A read whose deadline has passed returns nothing, even if bytes have arrived.  Of a request that is read, the bytes that had arrived by
// the first look after the deadline are read nevertheless: the process may have had no processor time to read them before.
type deadlineReader struct {
	conn    *conn
	timeout time.Duration
	// looked is set after the first look past the deadline, and late is the number of bytes that it found and that are still unread.
	looked bool
	late   int
}

// begin begins the reading of the header of a request, or of a body if timeout is set.
func (p *deadlineReader) begin(timeout time.Duration) {
	*p = deadlineReader{conn: p.conn, timeout: timeout}
}

// Read reads from the connection.
func (p *deadlineReader) Read(b []byte) (int, error) {
	if p.timeout > 0 {
		p.looked = false
		p.conn.setReadTimeout(p.timeout)
	}
	n, err := p.conn.net.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && p.conn.isReading() {
		n, err = p.readLate(b)
	}
	p.conn.recordArrived(n, time.Now())
	return n, err
}

// readLate reads bytes of a request that had arrived by the first look after the deadline.
func (p *deadlineReader) readLate(b []byte) (int, error) {
	if !p.looked {
		p.looked, p.late = true, queuedBytes(p.conn.net, unix.SIOCINQ)
	}
	if p.late <= 0 {
		return 0, os.ErrDeadlineExceeded
	}
	p.conn.setReadTimeout(lateReadTime)
	n, err := p.conn.net.Read(b[:min(len(b), p.late)])
	p.conn.setReadTimeout(0)
	p.late -= n
	return n, err
}

func (c *conn) isReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

// recordArrived records bytes of a request that is read.
func (c *conn) recordArrived(n int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		return
	}
	if c.unrecorded += n; c.unrecorded >= minProgressBytes && now.Sub(c.began) < maxProgressTime {
		c.since, c.unrecorded = now, 0
	}
}
