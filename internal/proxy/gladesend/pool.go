package gladesend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// The errors of sends.
var (
	// ErrNotSent means that no byte of the request reached a server.
	ErrNotSent = eris.New("request not sent")
	// ErrBroken means that the answer did not end as it should; the request may have run.
	ErrBroken = eris.New("answer broken")
	// ErrOther means that the answer is of another request.
	ErrOther = eris.New("answer of another request")
)

const (
	// dialTimeout bounds a new connection; a live server accepts within a few milliseconds.
	dialTimeout = 200 * time.Millisecond
	// maxIdle bounds the connections kept for one server; a VM seldom has more requests under way there.
	maxIdle = 8
	// defaultKeep is how long a connection is kept if the server does not say; below the shortest time-out seen.
	defaultKeep = 800 * time.Millisecond
	// keepShare is the share of the server's own idle time-out for which a connection is used again.
	keepShare = 0.8
	// userTimeout bounds how long sent bytes stay unacknowledged; above the longest harmless loss of packets.
	userTimeout = 3 * time.Second
	readBytes   = 4 << 10
)

// Pool keeps connections to backend servers.
type Pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn
	// Dials counts new connections.
	dials int64
}

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	since   time.Time
	keep    time.Duration
}

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Dial replaces the network, if set.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// NewPool returns a pool and its clean-up function.
func NewPool(c PoolConfig) (*Pool, func()) {
	if c.Dial == nil {
		d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without it a write to a silent peer hangs for minutes; the send's own timers still hold if it fails.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
		}}
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	p := &Pool{dial: c.Dial, idle: map[string][]*conn{}}
	return p, p.close
}

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 18

// get returns a kept connection or opens one.
func (p *Pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.kept(address); c != nil {
			return c, nil
		}
	}
	return p.open(ctx, address)
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "%s: %v", address, err)
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBytes), keep: defaultKeep}, nil
}

// kept returns the connection used last that is still quiet and open.
func (p *Pool) kept(address string) *conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if time.Since(c.since) < c.keep && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

// put keeps a connection whose last answer was whole.
func (p *Pool) put(c *conn) {
	c.since = time.Now()
	if c.keep <= 0 || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	list := slices.Concat(p.idle[c.address], []*conn{c})
	var old []*conn
	for len(list) > maxIdle || len(list) > 0 && c.since.Sub(list[0].since) > list[0].keep {
		old = append(old, list[0])
		list = list[1:]
	}
	p.idle[c.address] = list
	p.mu.Unlock()
	for _, o := range old {
		_ = o.Close()
	}
}

// quiet reports whether the peer has neither closed the connection nor sent anything unasked.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// Probe opens a connection and keeps it for the next send; an error tells that the server accepts none.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// Forget closes the kept connections to a server that has ended.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = map[string][]*conn{}
}

// keepFor takes over how long the server keeps the connection open.
func (c *conn) keepFor(header string) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.ParseFloat(value, 64); err == nil && strings.EqualFold(name, "timeout") {
			c.keep = time.Duration(s * keepShare * float64(time.Second))
		}
	}
}
