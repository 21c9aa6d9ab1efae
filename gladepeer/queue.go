package gladepeer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// queuedConn queues writes for a background goroutine, so that a stuck peer does not block its senders.
//
// It closes the connection if more than limit bytes are queued or a write takes longer than writeTimeout.
type queuedConn struct {
	net.Conn
	counters *counters
	limit    int64
	wake     chan struct{}
	done     chan struct{}
	once     sync.Once
	openedAt time.Time
	// heardAt is when bytes were last received, in nanoseconds since openedAt.
	heardAt atomic.Int64
	// retired is set when new calls use another connection.
	retired atomic.Bool
	// address and incarnation are those of the peer, empty while they are unknown. Node.mu guards them.
	address, incarnation string

	mu      sync.Mutex
	pending []byte
}

func newQueuedConn(c net.Conn, limit int64, counters *counters) *queuedConn {
	q := &queuedConn{Conn: c, counters: counters, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{}), openedAt: time.Now()}
	go func() {
		for q.flush() {
		}
	}()
	return q
}

func (q *queuedConn) flush() bool {
	select {
	case <-q.wake:
	case <-q.done:
		return false
	}
	q.mu.Lock()
	b := q.pending
	q.pending = nil
	q.mu.Unlock()
	stuck := time.AfterFunc(writeTimeout, func() { _ = q.Close() })
	defer stuck.Stop()
	n, err := q.Conn.Write(b)
	q.counters.sentBytes.Inc(int64(n))
	if err != nil {
		_ = q.Close()
	}
	return err == nil
}

func (q *queuedConn) Write(b []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if int64(len(q.pending)+len(b)) > q.limit {
		_ = q.Close()
		return 0, eris.Wrapf(ErrTooLarge, "send queue with %d bytes", len(q.pending)+len(b))
	}
	q.pending = append(q.pending, b...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

func (q *queuedConn) Read(b []byte) (int, error) {
	n, err := q.Conn.Read(b)
	if n > 0 {
		q.heardAt.Store(int64(time.Since(q.openedAt)))
	}
	q.counters.receivedBytes.Inc(int64(n))
	return n, err
}

// lastHeard returns when bytes were last received, or when the connection was opened if none were.
func (q *queuedConn) lastHeard() time.Time { return q.openedAt.Add(time.Duration(q.heardAt.Load())) }

func (q *queuedConn) Close() error {
	q.once.Do(func() { close(q.done) })
	return q.Conn.Close()
}
