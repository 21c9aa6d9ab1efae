package gladeservice

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// serverConn is a connection to a server that keeps the error of the first write that fails.
//
// The socket reports a reset once. If the write of a call takes the error, a read reports an ordinary end, and net/http does not say
// what became of a write that goes on while the answer is read.
type serverConn struct {
	net.Conn

	// mu is held during a write.
	mu       sync.Mutex
	writeErr error
}

// Write writes to the connection.
func (c *serverConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endWrites ends a write that waits for the server, and returns an error unless the end that was read is known to be the server's own.
// Linux returns EPIPE for a reset after the server's end, and net/http closes the connection once the end is read.
func (c *serverConn) endWrites() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails if the connection is closed, which ends the write too
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, net.ErrClosed) || errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}
