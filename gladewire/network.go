package gladewire

import (
	"context"
	"net"
	"strings"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// Errors of Dial and Listen.
var (
	// ErrRefused means that nothing listens on the address. It wraps syscall.ECONNREFUSED.
	ErrRefused = eris.Wrap(syscall.ECONNREFUSED, "in-memory network")
	// ErrUnreachable means that the network between the two hosts is cut.
	ErrUnreachable = eris.New("in-memory network: host unreachable")
	// ErrInUse means that a listener with the address exists.
	ErrInUse = eris.New("in-memory network: address in use")
	// ErrTerminated means that the calling process was terminated.
	ErrTerminated = eris.New("in-memory network: process terminated")
)

// acceptBacklog bounds the connections of a listener that are not yet accepted.
const acceptBacklog = 128

// Network connects named hosts. Its zero value is ready to use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	// paused holds, for each paused host, a channel that Resume closes.
	paused map[string]chan struct{}
	cut    map[[2]string]bool
	// terminated counts the terminated processes of each host.
	terminated map[string]int
}

// Host returns the named host, whose listen addresses have the form HOST:PORT.
func (n *Network) Host(name string) Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Host{network: n, name: name, incarnation: n.terminated[name]}
}

// Host provides the Dial and Listen functions of one process on a named host.
type Host struct {
	network *Network
	name    string
	// incarnation is the number of processes of the host that were terminated before this one.
	incarnation int
}

// Listen opens a listener on the address, which must have the form HOST:PORT with this host.
func (h Host) Listen(_, address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.terminated[h.name] != h.incarnation {
		return nil, eris.Wrap(ErrTerminated, h.name)
	}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	if _, ok := n.listeners[address]; ok {
		return nil, eris.Wrap(ErrInUse, address)
	}
	l := &listener{network: n, address: address, accept: make(chan net.Conn, acceptBacklog), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects from this host to an address. If the network between them is cut, it blocks until ctx is done.
func (h Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	to := hostOf(address)
	near, far := net.Pipe()
	a := &conn{Conn: near, network: n, local: h.name, remote: to}
	b := &conn{Conn: far, network: n, local: to, remote: h.name}
	n.mu.Lock()
	l := n.listeners[address]
	cut := n.cut[pair(h.name, to)]
	terminated := n.terminated[h.name] != h.incarnation
	if l != nil && !cut && !terminated {
		// A kill from here on ends the connection, also before it is accepted.
		if n.conns == nil {
			n.conns = map[*conn]struct{}{}
		}
		n.conns[a] = struct{}{}
		n.conns[b] = struct{}{}
	}
	n.mu.Unlock()
	if terminated {
		return nil, eris.Wrap(ErrTerminated, h.name)
	}
	if cut {
		<-ctx.Done()
		return nil, eris.Wrap(ErrUnreachable, address)
	}
	if l == nil {
		return nil, eris.Wrap(ErrRefused, address)
	}
	var err error
	select {
	case l.accept <- b:
		return a, nil
	case <-l.done:
		err = eris.Wrap(ErrRefused, address)
	case <-ctx.Done():
		err = ctx.Err()
	}
	_, _ = a.Close(), b.Close()
	return nil, err
}

// endConns closes the connections that match, at once: none carries data after another has been seen to end. The caller holds
// the lock, which endConns releases.
func (n *Network) endConns(matches func(*conn) bool) {
	var cs []*conn
	for c := range n.conns {
		if matches(c) {
			c.ended.Store(true)
			cs = append(cs, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cs {
		_ = c.Close()
	}
}

// Kill closes all listeners and connections of a host. Its process can open new ones.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	ls := n.removeListeners(host)
	n.endConns(func(c *conn) bool { return c.local == host || c.remote == host })
	for _, l := range ls {
		_ = l.Close()
	}
}

// removeListeners removes the listeners of a host and returns them. The caller holds the lock.
func (n *Network) removeListeners(host string) []*listener {
	var ls []*listener
	for address, l := range n.listeners {
		if hostOf(address) == host {
			delete(n.listeners, address)
			ls = append(ls, l)
		}
	}
	return ls
}

// Terminate kills a host and makes Dial and Listen of its process fail with ErrTerminated.
//
// Network.Host then returns the Dial and Listen functions of the next process.
func (n *Network) Terminate(host string) {
	n.mu.Lock()
	n.terminate(host)
	n.mu.Unlock()
	n.Kill(host)
}

// terminate ends the right of a host's process to dial and to listen. The caller holds the lock.
func (n *Network) terminate(host string) {
	if n.terminated == nil {
		n.terminated = map[string]int{}
	}
	n.terminated[host]++
}

// PowerOff ends a host without a word: its connections stay open at their other ends, where writes are lost and nothing is
// received any more. Dial and Listen of its process fail with ErrTerminated, as after Terminate.
func (n *Network) PowerOff(host string) {
	n.mu.Lock()
	n.terminate(host)
	ls := n.removeListeners(host)
	for c := range n.conns {
		if c.local == host || c.remote == host {
			c.lost.Store(true)
		}
	}
	n.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
}

// Sever ends the open connections between two hosts without a word: writes are lost and nothing is received any more. New
// connections work.
func (n *Network) Sever(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if pair(c.local, c.remote) == pair(a, b) {
			c.lost.Store(true)
		}
	}
}

// Pause blocks all traffic to and from a host until Resume is called.
func (n *Network) Pause(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused == nil {
		n.paused = map[string]chan struct{}{}
	}
	if n.paused[host] == nil {
		n.paused[host] = make(chan struct{})
	}
}

// Resume ends the pause of a host.
func (n *Network) Resume(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gate := n.paused[host]; gate != nil {
		close(gate)
		delete(n.paused, host)
	}
}

// Cut closes the connections between two hosts and blocks new ones until Heal is called.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	if n.cut == nil {
		n.cut = map[[2]string]bool{}
	}
	n.cut[pair(a, b)] = true
	n.endConns(func(c *conn) bool { return pair(c.local, c.remote) == pair(a, b) })
}

// Heal allows new connections between two hosts after Cut.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pair(a, b))
}

// pauseGate returns the channel that is closed when the pause of one of two hosts ends, or nil if neither is paused.
func (n *Network) pauseGate(a, b string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if g := n.paused[a]; g != nil {
		return g
	}
	return n.paused[b]
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
