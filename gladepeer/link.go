package gladepeer

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// silenceLimit is the time without a byte after which a connection with an unanswered call is no longer used. The process at
	// its other end may be gone without having closed it.
	silenceLimit = 500 * time.Millisecond
)

// link holds the shared connection to one address.
type link struct {
	// sem guards the other fields and is held while dialling, so that concurrent callers share one connection.
	sem     chan struct{}
	conn    *jsonrpc2.Conn
	backoff time.Duration
	// retryAt is the earliest time of the next dial after a failure.
	retryAt time.Time
}

// connection returns the open connection to an address, or dials a new one. Its errors are ErrUnreachable.
func (n *Node) connection(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	n.mu.Lock()
	l := n.links[address]
	if l == nil {
		l = &link{sem: make(chan struct{}, 1)}
		n.links[address] = l
	}
	n.mu.Unlock()
	select {
	case l.sem <- struct{}{}:
		defer func() { <-l.sem }()
	case <-ctx.Done():
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", address, ctx.Err())
	}
	if n.usable(l.conn) {
		return l.conn, nil
	}
	if time.Now().Before(l.retryAt) {
		return nil, eris.Wrapf(ErrUnreachable, "%s: waiting after a failed connection", address)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := n.config.Dial(ctx, "tcp", address)
	if err != nil {
		l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
		l.retryAt = time.Now().Add(l.backoff)
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	if !n.isCurrent(address, l) { // a new process was found at the address meanwhile
		_ = c.Close()
		return n.connection(ctx, address)
	}
	l.backoff = 0
	l.conn = n.serve(context.WithoutCancel(ctx), c, address)
	return l.conn, nil
}

func (n *Node) isCurrent(address string, l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[address] == l
}

// usable reports whether new calls may use a connection.
func (n *Node) usable(c *jsonrpc2.Conn) bool {
	if c == nil || isClosed(c) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	q := n.conns[c]
	return q != nil && !q.retired.Load()
}

// retireIfSilent makes new calls use another connection if nothing has been received on this one since a call on it began. Calls
// in progress may still be answered.
func (n *Node) retireIfSilent(c *jsonrpc2.Conn, began time.Time) {
	n.mu.Lock()
	q, address := n.conns[c], ""
	if q != nil {
		address = q.address
	}
	n.mu.Unlock()
	if q == nil || q.lastHeard().After(began) || time.Since(q.lastHeard()) < silenceLimit || q.retired.Swap(true) {
		return
	}
	n.counters.silent.Inc(1)
	n.log.Info("Connection without an answer is replaced.", "address", address, "openedMs", time.Since(q.openedAt).Milliseconds(),
		"heardMs", time.Since(q.lastHeard()).Milliseconds())
	time.AfterFunc(n.config.CallTimeout, func() { _ = c.Close() })
}

// retireIfLost calls retireIfSilent if a connection is older than Config.Suspicion, and reports whether the connection is retired and
// silent since a call on it began. The age bounds the connections that are opened to a peer that is paused or slow to one in that time.
func (n *Node) retireIfLost(c *jsonrpc2.Conn, began time.Time) bool {
	n.mu.Lock()
	q := n.conns[c]
	n.mu.Unlock()
	if q == nil || time.Since(q.openedAt) < n.config.Suspicion {
		return false
	}
	n.retireIfSilent(c, began)
	return q.retired.Load() && !q.lastHeard().After(began)
}

// replaceLink ends the connections to the former process at the address of a new incarnation, and the dial backoff. The caller
// holds n.mu.
func (n *Node) replaceLink(m *Member) {
	for c, q := range n.conns {
		if q.address == m.PeerAddress && q.incarnation != m.Incarnation && time.Since(q.lastHeard()) > n.config.Interval {
			q.retired.Store(true)
			go func() { _ = c.Close() }()
		}
	}
	l := n.links[m.PeerAddress]
	if l == nil {
		return
	}
	select {
	case l.sem <- struct{}{}:
		l.backoff, l.retryAt = 0, time.Time{}
		<-l.sem
	default: // a dial of the former process may take until its time limit
		delete(n.links, m.PeerAddress)
	}
}

// reuseAccepted uses an accepted connection for calls to its sender, unless an open connection to the sender exists.
//
// It also ends the dial backoff of a link, because the sender is evidently reachable.
func (n *Node) reuseAccepted(from, incarnation string, c *jsonrpc2.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	q := n.conns[c]
	if q == nil {
		return
	}
	q.incarnation = incarnation
	m := n.member(from)
	if m == nil {
		return
	}
	q.address = m.PeerAddress
	l := n.links[m.PeerAddress]
	if l == nil {
		n.links[m.PeerAddress] = &link{sem: make(chan struct{}, 1), conn: c}
		return
	}
	select {
	case l.sem <- struct{}{}:
		if l.conn == nil || isClosed(l.conn) || n.conns[l.conn] == nil || n.conns[l.conn].retired.Load() {
			l.replace(c)
		}
		<-l.sem
	default:
	}
}

// replace sets the connection of a link and ends its dial backoff. The caller holds l.sem.
func (l *link) replace(c *jsonrpc2.Conn) {
	l.conn = c
	l.backoff = 0
	l.retryAt = time.Time{}
}

func isClosed(c *jsonrpc2.Conn) bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (n *Node) accept(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.serve(ctx, c, "")
	}
}

// serve answers calls on a connection to an address, empty for an accepted connection.
func (n *Node) serve(ctx context.Context, c net.Conn, address string) *jsonrpc2.Conn {
	queued := newQueuedConn(c, 2*n.config.MessageBytes, n.counters)
	queued.address = address
	stream := jsonrpc2.NewBufferedStream(queued, codec{limit: uint64(n.config.MessageBytes)})
	logger := n.log.Named("link").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	conn := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(n.dispatch)), jsonrpc2.SetLogger(logger))
	n.mu.Lock()
	n.conns[conn] = queued
	n.mu.Unlock()
	go func() {
		<-conn.DisconnectNotify()
		n.mu.Lock()
		delete(n.conns, conn)
		n.mu.Unlock()
	}()
	return conn
}

func (n *Node) dispatch(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	n.mu.Lock()
	h := n.handlers[r.Method]
	n.mu.Unlock()
	if h == nil || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method: " + r.Method}
	}
	var sender envelope[json.RawMessage]
	if err := json.Unmarshal(*r.Params, &sender); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	n.reuseAccepted(sender.From, sender.Incarnation, c)
	// The sender may be unknown until the handler has merged its member record.
	defer n.reuseAccepted(sender.From, sender.Incarnation, c)
	return h(ctx, *r.Params)
}

func (n *Node) closeLinks() {
	n.mu.Lock()
	conns := n.conns
	n.conns = map[*jsonrpc2.Conn]*queuedConn{}
	n.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

// codec prefixes each JSON message with its length as a varint. Longer messages than limit bytes are refused.
type codec struct {
	limit uint64
}

func (c codec) WriteObject(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if uint64(len(data)) > c.limit {
		return eris.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	if _, err := w.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

func (c codec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > c.limit {
		return eris.Wrapf(ErrTooLarge, "%d bytes", size)
	}
	body := io.LimitReader(r, int64(size))
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, body)
	return err
}

// counters holds the metrics of the membership and of calls.
type counters struct {
	sentBytes     metrics.Counter
	receivedBytes metrics.Counter
	calls         metrics.Counter
	failures      metrics.Counter
	pauses        metrics.Counter
	silent        metrics.Counter
	members       metrics.Gauge
}

func newCounters(r metrics.Registry) *counters {
	return &counters{
		sentBytes:     metrics.GetOrRegisterCounter("peer.sentBytes", r),
		receivedBytes: metrics.GetOrRegisterCounter("peer.receivedBytes", r),
		calls:         metrics.GetOrRegisterCounter("peer.calls", r),
		failures:      metrics.GetOrRegisterCounter("peer.failures", r),
		pauses:        metrics.GetOrRegisterCounter("peer.pauses", r),
		silent:        metrics.GetOrRegisterCounter("peer.silentConnections", r),
		members:       metrics.GetOrRegisterGauge("peer.members", r),
	}
}
