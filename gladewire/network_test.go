package gladewire

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// serveAll accepts connections and reads them until they end.
func serveAll(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(io.Discard, c) }()
	}
}

// A process is killed while it has several connections. Once it has lost one of them it must not be able to send on another.
func TestKillEndsAllConnectionsAtOnce(t *testing.T) {
	c := qt.New(t)
	for range 300 {
		var n Network
		l, err := n.Host("server").Listen("tcp", "server:1")
		c.Assert(err, qt.IsNil)
		go serveAll(l)
		sent := make(chan error, 2)
		dial := func() net.Conn {
			conn, err := n.Host("client").Dial(context.Background(), "tcp", "server:1")
			c.Assert(err, qt.IsNil)
			return conn
		}
		first, second := dial(), dial()
		for _, p := range [][2]net.Conn{{first, second}, {second, first}} {
			go func() {
				_, _ = p[0].Read(make([]byte, 1))
				_, err := p[1].Write([]byte("x"))
				sent <- err
			}()
		}
		n.Terminate("client")
		c.Assert(<-sent, qt.IsNotNil)
		c.Assert(<-sent, qt.IsNotNil)
		c.Assert(l.Close(), qt.IsNil)
	}
}

// A process is killed while it opens a connection. The connection must not outlive it.
func TestKillEndsConnectionBeingOpened(t *testing.T) {
	c := qt.New(t)
	for range 300 {
		var n Network
		l, err := n.Host("server").Listen("tcp", "server:1")
		c.Assert(err, qt.IsNil)
		go serveAll(l)
		client := n.Host("client")
		opened := make(chan net.Conn, 1)
		go func() {
			conn, err := client.Dial(context.Background(), "tcp", "server:1")
			if err != nil {
				conn = nil
			}
			opened <- conn
		}()
		n.Terminate("client")
		if conn := <-opened; conn != nil {
			_, err := conn.Write([]byte("x"))
			c.Assert(err, qt.IsNotNil)
		}
		c.Assert(l.Close(), qt.IsNil)
	}
}

// A host loses power. Its peers are not told: what they write is lost, they receive nothing, and they close their end by
// themselves. A process that starts there afterwards can be reached by new connections.
func TestPowerOffEndsNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var n Network
		l, err := n.Host("server").Listen("tcp", "server:1")
		c.Assert(err, qt.IsNil)
		go serveAll(l)
		client := n.Host("client")
		conn, err := client.Dial(t.Context(), "tcp", "server:1")
		c.Assert(err, qt.IsNil)
		ended := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, 1))
			ended <- err
		}()
		n.PowerOff("server")
		time.Sleep(time.Hour)
		c.Assert(ended, qt.HasLen, 0)
		_, err = conn.Write([]byte("x"))
		c.Assert(err, qt.IsNil)
		_, err = client.Dial(t.Context(), "tcp", "server:1")
		c.Assert(err, qt.ErrorIs, ErrRefused)
		next, err := n.Host("server").Listen("tcp", "server:1")
		c.Assert(err, qt.IsNil)
		go serveAll(next)
		second, err := client.Dial(t.Context(), "tcp", "server:1")
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		c.Assert(ended, qt.HasLen, 0)
		c.Assert(conn.Close(), qt.IsNil)
		c.Assert(<-ended, qt.IsNotNil)
		_, err = conn.Write([]byte("x"))
		c.Assert(err, qt.IsNotNil)
		c.Assert(second.Close(), qt.IsNil)
		c.Assert(next.Close(), qt.IsNil)
		n.Kill("server")
	})
}
