package gladeserve

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

// ErrStopping is the cause with which the contexts of requests end when the process stops.
var ErrStopping = eris.New("the process stops")

// Config configures a Server.
type Config struct {
	// Listener accepts the callers' connections.
	Listener net.Listener
	// Limits returns the limits in force.
	Limits func() gladerelease.Limits
	// Handle serves one request; the context ends when the caller closes its connection, or with ErrStopping.
	Handle func(context.Context, *Exchange)
	// OnRefused is called for each request that could not be read.
	OnRefused func(status int, reason error)
	// Memory counts what requests occupy; nil sets no limit.
	Memory *gladememory.Ledger
	// MaxConnections is the largest number of connections; zero sets no limit.  maxSurplus more are kept until their first request can be
	// refused with a status.
	MaxConnections int
	// OnClosed is called for each connection that is closed because there are too many; nil means that nobody listens.
	OnClosed func(ClosedConnection)
	// OnUnanswered is called for each connection that ends although a request, or a part of one, had arrived and was not answered whole;
	// nil means that nobody listens.
	OnUnanswered func(Unanswered)
}

// Server serves callers' connections.
type Server struct {
	config Config
	stop   atomic.Bool
	// context ends with ErrStopping when requests in progress must be answered.
	context   context.Context
	interrupt context.CancelCauseFunc

	mu    sync.Mutex
	conns map[*conn]struct{}
	// leaving is the number of connections in conns that are to close and do not count as open.
	leaving int
	// surplus is the number of connections in conns that are above the largest number.
	surplus int
	// announced is the number of connections in conns that are open and close after the answer that has begun on them.
	announced int
	// finished is set once all connections are closed; nothing is served from then on.
	finished bool
	tasks    sync.WaitGroup
}

// acceptRetryDelay prevents a busy loop when Accept fails, such as for lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// New starts serving and returns the clean-up function, which closes all connections.
func New(c Config) (*Server, func()) {
	s := &Server{config: c, conns: map[*conn]struct{}{}}
	s.context, s.interrupt = context.WithCancelCause(context.Background())
	s.tasks.Go(func() {
		for {
			n, err := c.Listener.Accept()
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					return
				}
				time.Sleep(acceptRetryDelay)
				continue
			}
			s.serve(n)
		}
	})
	return s, s.close
}

func (s *Server) serve(n net.Conn) {
	c := newConn(s, n)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished || !s.takeIn(c, time.Now()) {
		_ = n.Close()
		return
	}
	limitBuffers(n)
	s.conns[c] = struct{}{}
	s.tasks.Go(func() {
		c.serve()
		s.mu.Lock()
		s.remove(c)
		switch {
		case c.surplus:
			s.surplus--
		case c.endLeaving():
			s.leaving--
		}
		s.mu.Unlock()
	})
}

func (s *Server) stopping() bool { return s.stop.Load() }

// Stop makes each connection's next answer its last; new connections are still accepted.
func (s *Server) Stop() { s.stop.Store(true) }

// Close closes the listener; accepted connections are still served.
func (s *Server) Close() {
	s.Stop()
	_ = s.config.Listener.Close()
}

// Interrupt closes the listener, refuses the requests that are not read whole, and ends the contexts of the others with
// ErrStopping, so that they are answered at once.
func (s *Server) Interrupt() {
	s.Close()
	s.interrupt(ErrStopping)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interruptRead()
	}
}

func (s *Server) interrupted() bool { return s.context.Err() != nil }

// CloseIdle lets the connections close on which no request has begun, and reports whether none is left; those that close are gone at a
// later call.  A new connection has firstRequestTime until its first request begins.  Once CloseIdle has returned true, nothing more is
// served, so that the process can exit without interrupting a request.
func (s *Server) CloseIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
	for c := range s.conns {
		closed, left := c.closeIdle()
		if left && !c.surplus {
			s.leaving++
		}
		s.finished = s.finished && closed
	}
	return s.finished
}

// Busy returns the number of connections with a request in progress.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		c.mu.Lock()
		if !c.idle && !c.lingering {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

func (s *Server) close() {
	s.Close()
	s.interrupt(ErrStopping)
	s.closeAll()
	s.tasks.Wait()
}

// closeAll closes all connections.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeAtEnd()
	}
}
