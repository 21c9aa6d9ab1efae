package gladesend

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against idle connections to many servers that use up the descriptors.
func TestIdleConnectionsAreBounded(t *testing.T) {
	c := qt.New(t)
	p, closePool := NewPool(PoolConfig{MaxIdle: 3})
	defer closePool()
	put := func(server int) net.Conn {
		near, far := net.Pipe()
		c.Cleanup(func() { _ = far.Close() })
		p.put(&conn{Conn: near, address: fmt.Sprint(server), reader: bufio.NewReader(near), idleTimeout: 50 * time.Millisecond})
		return far
	}
	closed := func(far net.Conn) bool {
		_ = far.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := far.Read(make([]byte, 1))
		return err.Error() == "EOF"
	}
	var first []net.Conn
	for server := range 4 {
		first = append(first, put(server))
	}
	c.Assert(closed(first[0]), qt.IsFalse)
	c.Assert(closed(first[3]), qt.IsTrue)
	time.Sleep(60 * time.Millisecond)
	put(5)
	for _, far := range first {
		c.Assert(closed(far), qt.IsTrue)
	}
	c.Assert(p.idleCount, qt.Equals, 1)
	p.CloseIdle("5")
	c.Assert(p.idleCount, qt.Equals, 0)
}
