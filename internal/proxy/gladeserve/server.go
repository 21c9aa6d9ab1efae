package gladeserve

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

// Config configures a Server.
type Config struct {
	// Listener accepts the callers' connections.
	Listener net.Listener
	// Limits returns the limits in force.
	Limits func() gladerelease.Limits
	// Handle serves one request; the context ends when the caller closes its connection.
	Handle func(context.Context, *Exchange)
	// Refused is told of requests that could not be read.
	Refused func(status int, reason error)
}

// Server serves callers.
type Server struct {
	config Config
	stop   atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
	// ended tells that nothing is served any more.
	ended bool
	tasks sync.WaitGroup
}

// acceptPause keeps a lack of descriptors from turning into a busy loop.
const acceptPause = 50 * time.Millisecond

// New starts serving and returns the clean-up function, which closes all connections.
func New(c Config) (*Server, func()) {
	s := &Server{config: c, conns: map[*conn]struct{}{}}
	s.tasks.Go(func() {
		for {
			n, err := c.Listener.Accept()
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					return
				}
				time.Sleep(acceptPause)
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
	if s.ended {
		_ = n.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.tasks.Go(func() {
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

func (s *Server) stopping() bool { return s.stop.Load() }

// Stop makes each further answer the last one of its connection; new connections are still served.
func (s *Server) Stop() { s.stop.Store(true) }

// Close closes the listener; connections that were accepted are served.
func (s *Server) Close() {
	s.Stop()
	_ = s.config.Listener.Close()
}

// End closes the connections on which no request has begun; it reports whether none is left, and then serves nothing
// any more, so that the process can end without cutting a request.
func (s *Server) End() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for c := range s.conns {
		if !c.closeIdle() {
			s.ended = false
		}
	}
	return s.ended
}

// Busy returns the number of connections on which a request is under way.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		c.mu.Lock()
		if !c.idle {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

func (s *Server) close() {
	s.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.net.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}
