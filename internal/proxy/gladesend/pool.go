package gladesend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Errors of sends.
var (
	// ErrNotSent means that no byte of the request reached a server.
	ErrNotSent = eris.New("request not sent")
	// ErrRefused means that nothing listens at the server's address: its process has ended.  Such errors are ErrNotSent too.
	ErrRefused = eris.New("connection refused")
	// ErrNoConnection means that a connection was neither opened nor refused in time; the cause may be this VM.  Such errors are ErrNotSent
	// too.
	ErrNoConnection = eris.New("no connection")
	// ErrLocal means that this VM could not attempt a connection, for lack of descriptors, ports or memory.  Such errors are ErrNotSent too.
	ErrLocal = eris.New("connection not attempted")
	// ErrBroken means that the answer is malformed or incomplete; the request may have run.
	ErrBroken = eris.New("answer broken")
	// ErrWrongAnswer means that the answer belongs to another request or does not identify its request.
	ErrWrongAnswer = eris.New("answer of another request")
)

// DefaultIdleTimeout is how long an idle connection may be reused if the server states no timeout.
const DefaultIdleTimeout = 800 * time.Millisecond

const (
	// dialTimeout is the time limit for opening a connection for a request; a live server accepts within a few milliseconds.
	dialTimeout = 200 * time.Millisecond
	// maxIdlePerServer is the number of idle connections kept per server; a VM seldom has more concurrent requests to
	// one.
	maxIdlePerServer = 8
	// defaultIdleTimeout is how long an idle connection is kept if the server does not send its own timeout.  It is
	// below the shortest idle timeout of any known server.
	defaultIdleTimeout = DefaultIdleTimeout
	// idleTimeoutShare is the share of the server's idle timeout during which a connection is reused.
	idleTimeoutShare = 0.8
	// socketBufferBytes is the size of the kernel's buffers of a connection, which doubles it.  Without it they grow to megabytes,
	// and bytes in them count as memory of the VM.
	socketBufferBytes = 64 << 10
	// maxConnectionRequests is the number of requests after which a connection is not reused, as it remembers all of them.
	maxConnectionRequests = 256
	// ackTimeout is how long sent data may stay unacknowledged; it is above the longest harmless loss of packets.
	ackTimeout = 3 * time.Second
)

// Pool keeps idle connections to backend servers for reuse.
type Pool struct {
	dial     func(ctx context.Context, address string) (net.Conn, error)
	onOpened func(Cause)

	mu sync.Mutex
	// idle holds the idle connections by address, the one used last at the end.
	idle map[string][]*conn
	// dials counts the connections opened.
	dials int64
	// idleCount is the number of idle connections, and maxIdle the largest one; zero sets no limit.
	idleCount, maxIdle int

	buffers bufferBudget
	parts   partList
}

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleSince is when the connection was last returned to the pool.
	idleSince time.Time
	// idleTimeout is how long the connection may stay idle before it is discarded.
	idleTimeout time.Duration
	// sent are the hashes of the identifiers of the requests that were sent on the connection.
	sent []uint64
}

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Dial opens a connection; nil means TCP.  The pool sets the time limit.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdle is the largest number of idle connections; zero sets no limit.
	MaxIdle int
	// OnOpened is called for each connection that is opened; nil means that nobody counts them.
	OnOpened func(Cause)
}

// NewPool returns a pool and a function that closes its idle connections.
func NewPool(c PoolConfig) (*Pool, func()) {
	if c.Dial == nil {
		d := net.Dialer{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without this option a write to a silent peer blocks for minutes.  If it cannot be set, the send's own
				// timers still apply.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferBytes)
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBufferBytes)
			})
		}}
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	if c.OnOpened == nil {
		c.OnOpened = func(Cause) {}
	}
	p := &Pool{dial: c.Dial, onOpened: c.OnOpened, idle: map[string][]*conn{}, maxIdle: c.MaxIdle}
	return p, p.close
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

// get returns a connection for the request with an identifier: an idle one, or a new one if there is none or s requests it.
func (p *Pool) get(ctx context.Context, id string, s *SendParams) (*conn, error) {
	if !s.NewConnection {
		if c := p.takeIdle(s.Address, id); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return p.open(ctx, s.Address, s.cause())
}

func (p *Pool) open(ctx context.Context, address string, cause Cause) (*conn, error) {
	raw, err := p.dial(ctx, address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, fmt.Errorf("%s: %w: %w", address, ErrRefused, ErrNotSent)
	case isLocal(err):
		return nil, fmt.Errorf("%s: %w: %w: %v", address, ErrLocal, ErrNotSent, err) //nolint:errorlint // the cause is not for callers
	case errors.Is(err, context.Canceled):
		return nil, fmt.Errorf("%s: %w: %w", address, ErrNotSent, context.Canceled)
	case err != nil:
		return nil, fmt.Errorf("%s: %w: %w: %v", address, ErrNoConnection, ErrNotSent, err) //nolint:errorlint // the cause is not for callers
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	p.onOpened(cause)
	return &conn{
		Conn: raw, address: address, reader: bufio.NewReaderSize(raw, maxHeadBytes), idleTimeout: defaultIdleTimeout,
	}, nil
}

// isLocal reports whether an attempt to connect failed before anything was sent.
func isLocal(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}, func(local error) bool {
		return errors.Is(err, local)
	})
}

// takeIdle returns the most recently used idle connection that can be reused for the request with an identifier, or nil.
func (p *Pool) takeIdle(address, id string) *conn {
	for {
		c := p.removeLast(address, func(c *conn) bool { return c.identifies(id) })
		if c == nil || time.Since(c.idleSince) < c.idleTimeout && c.reusable() {
			return c
		}
		_ = c.Close()
	}
}

// removeLast removes the most recently used idle connection that fits and returns it, or nil.
func (p *Pool) removeLast(address string, fits func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; fits(c) {
			p.idle[address] = slices.Concat(list[:i], list[i+1:])
			p.idleCount--
			return c
		}
	}
	return nil
}

// TakeUnused returns an idle connection on which no request has been sent yet, as a probe leaves it, or nil.  An answer on it belongs
// to the first request that is sent there.
func (p *Pool) TakeUnused(address string) net.Conn {
	c := p.removeLast(address, func(c *conn) bool { return len(c.sent) == 0 })
	if c == nil {
		return nil
	}
	if time.Since(c.idleSince) < c.idleTimeout && c.reusable() {
		return c.Conn
	}
	_ = c.Close()
	return nil
}

// put returns a connection to the pool after a complete answer and closes those that are expired or too many.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	if c.idleTimeout <= 0 || c.reader.Buffered() > 0 || len(c.sent) >= maxConnectionRequests {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	list := slices.Concat(p.idle[c.address], []*conn{c})
	var expired []*conn
	for len(list) > maxIdlePerServer || len(list) > 0 && c.idleSince.Sub(list[0].idleSince) > list[0].idleTimeout {
		expired = append(expired, list[0])
		list = list[1:]
	}
	p.idle[c.address] = list
	p.idleCount += 1 - len(expired)
	if p.maxIdle > 0 && p.idleCount > p.maxIdle {
		expired = append(expired, p.removeExpired(c)...)
	}
	p.mu.Unlock()
	for _, o := range expired {
		_ = o.Close()
	}
}

// removeExpired removes the expired idle connections to all servers, and c if there are still too many.  The caller holds mu.
func (p *Pool) removeExpired(c *conn) []*conn {
	var removed []*conn
	for address, list := range p.idle {
		kept := list[:0:0]
		for _, o := range list {
			if c.idleSince.Sub(o.idleSince) > o.idleTimeout {
				removed = append(removed, o)
			} else {
				kept = append(kept, o)
			}
		}
		p.idle[address] = kept
	}
	if p.idleCount -= len(removed); p.idleCount > p.maxIdle {
		list := p.idle[c.address] // its last one is c
		p.idle[c.address] = list[:len(list)-1]
		p.idleCount--
		removed = append(removed, c)
	}
	return removed
}

// identifies reports whether the answer to the request with an identifier can be told from late second answers to the requests that were
// sent on the connection before.  These bear the identifiers of their requests, so no identifier may be sent twice on one connection.
func (c *conn) identifies(id string) bool {
	return len(c.sent) == 0 || id != "" && !slices.Contains(c.sent, xxhash.Sum64String(id))
}

// recordSent records that the request with an identifier is sent on the connection.
func (c *conn) recordSent(id string) { c.sent = append(c.sent, xxhash.Sum64String(id)) }

// reusable reports whether the peer has neither closed the connection nor sent unexpected data.
func (c *conn) reusable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && reusable
}

// Probe opens a connection and keeps it for the next send.  It fails with ErrNotSent if the server accepts no
// connection.  Its time limit is that of the context, as a comparison of servers may wait for longer than a request.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.open(ctx, address, CauseProbe)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// Reach opens a connection to a party that is no server, and closes it.  It fails as Probe does.
func (p *Pool) Reach(ctx context.Context, address string) error {
	c, err := p.open(ctx, address, CauseProbe)
	if err != nil {
		return err
	}
	_ = c.Close()
	return nil
}

// CloseIdle closes the idle connections to a server that is gone or down.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.idleCount -= len(list)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Dials returns the number of connections that the pool has opened.
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
	p.idle, p.idleCount = map[string][]*conn{}, 0
}

// applyKeepAlive sets the idle timeout from a Keep-Alive header.
func (c *conn) applyKeepAlive(header string) { c.idleTimeout = IdleTimeout(header, c.idleTimeout) }

// IdleTimeout returns how long an idle connection may be reused by the timeout parameter of a Keep-Alive header, in seconds, or the
// given time if the header has none.
func IdleTimeout(header string, otherwise time.Duration) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.ParseFloat(value, 64); err == nil && strings.EqualFold(name, "timeout") {
			otherwise = time.Duration(s * idleTimeoutShare * float64(time.Second))
		}
	}
	return otherwise
}
