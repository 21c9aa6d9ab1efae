package gladecluster

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// ErrKilled is returned when a killed host dials, listens or accepts.
var ErrKilled = eris.New("host was killed")

// host is the network of one simulated process. kill closes all its connections and listeners.
type host struct {
	dial   gladeapi.Dial
	listen gladeapi.Listen
	kill   func()
}

func (k *Cluster) host(name string) host {
	if n := k.config.Network; n != nil {
		h := n.Host(name)
		return host{dial: h.Dial, listen: h.Listen, kill: func() { n.Terminate(name) }}
	}
	t := &tracker{closers: map[any]func() error{}}
	return host{dial: t.dial, listen: t.listen, kill: t.kill}
}

// tracker keeps the loopback connections and listeners of one host in order to close them together.
type tracker struct {
	mu      sync.Mutex
	closers map[any]func() error
	killed  bool
}

func (t *tracker) add(key any, closer func() error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.killed {
		return errors.Join(ErrKilled, closer())
	}
	t.closers[key] = closer
	return nil
}

func (t *tracker) remove(key any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.closers, key)
}

func (t *tracker) kill() {
	t.mu.Lock()
	t.killed = true
	closers := t.closers
	t.closers = map[any]func() error{}
	t.mu.Unlock()
	for _, f := range closers {
		_ = f()
	}
}

func (t *tracker) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return t.track(c)
}

func (t *tracker) track(c net.Conn) (net.Conn, error) {
	tracked := &trackedConn{Conn: c, tracker: t}
	if err := t.add(tracked, c.Close); err != nil {
		return nil, err
	}
	return tracked, nil
}

func (t *tracker) listen(network, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	tracked := &trackedListener{Listener: l, tracker: t}
	if err := t.add(tracked, l.Close); err != nil {
		return nil, err
	}
	return tracked, nil
}

type trackedListener struct {
	net.Listener
	tracker *tracker
}

func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.track(c)
}

type trackedConn struct {
	net.Conn
	tracker *tracker
}

func (c *trackedConn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

// serve runs a stand-in on a host and returns its address and a function that kills it.
func (k *Cluster) serve(name string, h http.Handler) (string, func(), error) {
	n := k.host(name)
	l, err := n.listen("tcp", k.address(name, 80))
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: k.config.Wrap(name, h), ReadHeaderTimeout: readyTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	kill := sync.OnceFunc(func() {
		n.kill()
		_ = s.Close()
		<-done
	})
	k.onClose(kill)
	return l.Addr().String(), kill, nil
}
