package gladeserve

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unknownBytes stands for a number of bytes that the kernel does not tell.
const unknownBytes = -1

// queued returns the bytes in the kernel's buffers of the connection: those that its caller has not taken, and those of the caller that
// were not read.  Each is unknownBytes if the kernel does not tell.
func (c *conn) queued() (unsent, unread int) {
	return queuedBytes(c.net, unix.SIOCOUTQ), queuedBytes(c.net, unix.SIOCINQ)
}

// queuedBytes returns the result of an ioctl on the socket of a connection, or unknownBytes.
func queuedBytes(n net.Conn, request uint) int {
	bytes := unknownBytes
	control(n, func(fd int) {
		if v, err := unix.IoctlGetInt(fd, request); err == nil {
			bytes = v
		}
	})
	return bytes
}

// takenBytes tells when a caller last took bytes, from the number that it has not taken.
type takenBytes struct {
	mu     sync.Mutex
	unsent int
	// at is when that number was seen first.
	at time.Time
}

// observe records the number of unsent bytes, and returns since when it has been the same.
func (t *takenBytes) observe(unsent int, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at.IsZero() || unsent != t.unsent {
		t.unsent, t.at = unsent, now
	}
	return t.at
}

// reset forgets what was observed, as a new answer may leave as many bytes as the one before.
func (t *takenBytes) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at = time.Time{}
}

// takenAt returns a time at which the caller last took bytes, or a later one, if there are unsent bytes.
func (c *conn) takenAt(unsent int, now time.Time) time.Time {
	observed, sent := c.taken.observe(unsent, now), lastSent(c.net, now)
	if sent.Before(observed) {
		return sent
	}
	return observed
}

// lastSent returns when the kernel last sent anything on a connection, or now if it does not tell.  That includes the probes of a caller
// that takes nothing.
func lastSent(n net.Conn, now time.Time) time.Time {
	t := now
	control(n, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			t = now.Add(-time.Duration(info.Last_data_sent) * time.Millisecond)
		}
	})
	return t
}

// control calls f with the descriptor of a connection, if it is a socket that is open.
func control(n net.Conn, f func(fd int)) {
	s, ok := n.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // it fails only on a closed connection
}
