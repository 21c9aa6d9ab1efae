package gladewire

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

type listener struct {
	network *Network
	address string
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		l.network.mu.Unlock()
		close(l.done)
		l.drain()
	})
	return nil
}

func (l *listener) drain() {
	for {
		select {
		case c := <-l.accept:
			_ = c.Close()
		default:
			return
		}
	}
}

func (l *listener) Addr() net.Addr {
	return addr(l.address)
}

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

type conn struct {
	net.Conn
	network *Network
	local   string
	remote  string
	once    sync.Once
	closed  chan struct{}
	init    sync.Once
	// ended reports that the network ends the connection; writes fail from then on.
	ended atomic.Bool
	// lost reports that the other end has lost power, or this one: nothing arrives any more, and no end is told.
	lost atomic.Bool
}

// closedChan returns the channel that Close closes.
func (c *conn) closedChan() chan struct{} {
	c.init.Do(func() { c.closed = make(chan struct{}) })
	return c.closed
}

// waitWhilePaused blocks until neither host is paused or the connection is closed.
func (c *conn) waitWhilePaused() {
	for {
		g := c.network.pauseGate(c.local, c.remote)
		if g == nil {
			return
		}
		select {
		case <-g:
		case <-c.closedChan():
			return
		}
	}
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.waitWhilePaused()
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	c.waitWhilePaused()
	if c.ended.Load() {
		return 0, net.ErrClosed
	}
	if c.lost.Load() {
		select {
		case <-c.closedChan():
			return 0, net.ErrClosed
		default:
			return len(b), nil // as into a socket's buffer
		}
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closedChan())
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	if c.lost.Load() {
		return c.SetDeadline(time.Unix(1, 0)) // ends this end's calls only
	}
	return c.Conn.Close()
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.local) }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }
