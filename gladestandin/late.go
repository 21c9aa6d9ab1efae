package gladestandin

import (
	"context"
	"io"
	"net"
	"net/http"
)

// LateListener accepts connections on which handlers can send a second copy of an answer where the next answer is expected.
type LateListener struct{ net.Listener }

// Accept accepts a connection.
func (l LateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: c}, nil
}

// lateConn is a connection with bytes that are sent before the next write.  All its writes are made by one goroutine.
type lateConn struct {
	net.Conn

	late string
}

// Write sends the late bytes and then b.
func (c *lateConn) Write(b []byte) (int, error) {
	late := c.late
	c.late = ""
	if late != "" {
		if _, err := io.WriteString(c.Conn, late); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

type lateConnKey struct{}

// WithLateConn is the ConnContext of an http.Server that serves a LateListener.
func WithLateConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, lateConnKey{}, c)
}

// SendLater sends an answer before the next one on the connection of a request.  The handler must have written its own answer whole, and
// flushed it.
func SendLater(r *http.Request, answer string) {
	if c, ok := r.Context().Value(lateConnKey{}).(*lateConn); ok {
		c.late = answer
	}
}
