package gladepeer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// Handle registers the handler of a method. It must be called before peers call the method.
func Handle[Q, A any](n *Node, method string, f func(ctx context.Context, from string, q Q) (A, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var e envelope[Q]
		if err := json.Unmarshal(params, &e); err != nil {
			return nil, eris.Wrap(err, "parameters")
		}
		return f(ctx, e.From, e.Body)
	}
}

// Call calls a method of the named member and waits for the response.
//
// Its errors include ErrUnknownPeer, ErrUnreachable, ErrNoAnswer and ErrTooLarge.
func Call[Q, A any](ctx context.Context, n *Node, to, method string, q Q) (A, error) {
	address, ok := n.addressOf(to)
	if !ok {
		var zero A
		return zero, eris.Wrapf(ErrUnknownPeer, "%q", to)
	}
	return callAddress[Q, A](ctx, n, address, method, q)
}

func (n *Node) addressOf(name string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.member(name)
	if m == nil {
		return "", false
	}
	return m.PeerAddress, true
}

// member returns the newest known incarnation of a name, or nil. The caller holds n.mu.
func (n *Node) member(name string) *Member {
	var newest *Member
	for _, m := range n.memberByID {
		if m.Name == name && (newest == nil || m.Incarnation > newest.Incarnation) {
			newest = m
		}
	}
	return newest
}

// envelope holds the body of a call and the sender's name and incarnation.
type envelope[T any] struct {
	From        string `json:"from"`
	Incarnation string `json:"incarnation,omitempty"`
	Body        T      `json:"body"`
}

func callAddress[Q, A any](ctx context.Context, n *Node, address, method string, q Q) (A, error) {
	var answer A
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, n.config.CallTimeout)
		defer cancel()
	}
	conn, err := n.openCall(ctx, address)
	if err != nil {
		return answer, err
	}
	return callConn[Q, A](ctx, n, conn, address, method, q)
}

// openCall counts a call and returns the connection for it.
func (n *Node) openCall(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	n.counters.calls.Inc(1)
	conn, err := n.connection(ctx, address)
	if err != nil {
		n.counters.failures.Inc(1)
	}
	return conn, err
}

// callConn calls a method on an open connection to an address. openCall has counted the call.
func callConn[Q, A any](ctx context.Context, n *Node, conn *jsonrpc2.Conn, address, method string, q Q) (A, error) {
	var answer A
	began := time.Now()
	err := conn.Call(ctx, method, envelope[Q]{From: n.self.Name, Incarnation: n.self.Incarnation, Body: q}, &answer)
	if err == nil {
		return answer, nil
	}
	n.counters.failures.Inc(1)
	var remote *jsonrpc2.Error
	switch {
	case eris.As(err, &remote):
		return answer, eris.Errorf("%s at %s: %s", method, address, remote.Message)
	case eris.Is(err, ErrTooLarge):
		return answer, eris.Wrapf(err, "%s at %s", method, address)
	}
	err = eris.Wrapf(ErrNoAnswer, "%s at %s%s: %v", method, address, n.describe(conn), err)
	n.retireIfSilent(conn, began)
	return answer, err
}

// describe returns the age of a connection and the time since bytes were last received on it, for errors.
func (n *Node) describe(c *jsonrpc2.Conn) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	q := n.conns[c]
	if q == nil {
		return ""
	}
	const unit = time.Millisecond
	return fmt.Sprintf(" (connection opened %v ago, last heard %v ago)", time.Since(q.openedAt).Round(unit), time.Since(q.lastHeard()).Round(unit))
}
