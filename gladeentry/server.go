package gladeentry

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladerecord"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// The HTTP headers of requests and responses.
const (
	HeaderRequestID      = "Glade-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
)

const (
	defaultMaxBodyBytes = 4 << 20
	defaultDeadline     = 10 * time.Minute
	defaultGrace        = 10 * time.Second
	defaultRetention    = 2 * time.Minute
)

// Config configures a Server.
type Config struct {
	// VM is the name of this VM. Request identifiers start with it.
	VM string
	// State returns the current state of the release notes.
	State func() *gladenote.State
	// Start runs a generation.
	Start func(*gladeapi.Generation) *gladestream.Run
	// Admit admits a generation and returns a function to call with the usage when it ends; nil admits every generation.
	Admit func(context.Context, *gladeapi.Generation) (func(gladeapi.Usage), error)
	// Recover returns the run that other VMs hold for the caller's key, or nil if there is none.
	Recover func(context.Context, *gladeapi.Generation, *gladeapi.Position) (*gladestream.Run, error)
	// Services serves /services/ for an authenticated organisation; nil responds with 404.
	Services func(http.ResponseWriter, *http.Request, gladenote.Organisation)
	// Ready returns an error if the VM must not receive new requests; nil means always ready.
	Ready func() error
	// MaxBodyBytes is the maximum size of a request body; zero means 4 MiB.
	MaxBodyBytes int64
	// Deadline is the maximum duration of a generation; zero means 10 minutes.
	Deadline time.Duration
	// ReconnectGrace is the time for which a generation with a key continues without a caller; zero means 10 s.
	ReconnectGrace time.Duration
	// Retention is the time for which an ended generation can be requested again by its key; zero means 2 minutes.
	Retention time.Duration
	Metrics   metrics.Registry
	Log       hclog.Logger
	Check     *gladecheck.Checker
	Record    *gladerecord.Recorder
}

// Server is the HTTP handler for callers.
type Server struct {
	config   Config
	mux      *http.ServeMux
	runs     registry
	meters   *meters
	sequence atomic.Uint64
	instance string
}

// New returns a Server.
func New(c Config) *Server {
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = defaultMaxBodyBytes
	}
	if c.Deadline == 0 {
		c.Deadline = defaultDeadline
	}
	if c.ReconnectGrace == 0 {
		c.ReconnectGrace = defaultGrace
	}
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	s := &Server{config: c, mux: http.NewServeMux(), instance: newInstance(), meters: newMeters(c.Metrics)}
	s.runs.grace = c.ReconnectGrace
	s.runs.retention = c.Retention
	s.mux.HandleFunc("POST /v1/completions", s.authenticated(s.serveCompletion))
	s.mux.HandleFunc("POST /v1/chat/completions", s.authenticated(s.serveChat))
	s.mux.HandleFunc("GET /v1/models", s.authenticated(s.serveModels))
	s.mux.HandleFunc("/services/", s.authenticated(s.serveServices))
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /readyz", s.serveReady)
	s.mux.HandleFunc("/", s.serveUnknown)
	return s
}

// ServeHTTP assigns a request identifier and handles the request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := s.newRequestID()
	w.Header().Set(HeaderRequestID, id)
	s.mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
}

// State returns the state for a state dump.
func (s *Server) State() State {
	return s.runs.state()
}

type requestIDKey struct{}

func requestID(r *http.Request) string {
	id, _ := r.Context().Value(requestIDKey{}).(string)
	return id
}

type organisationHandler func(http.ResponseWriter, *http.Request, gladenote.Organisation)

func (s *Server) authenticated(h organisationHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			s.refuse(w, r, unauthorized("authorization header with a bearer key is missing"))
			return
		}
		o, ok := s.config.State().OrganisationOfKey(key)
		if !ok {
			s.refuse(w, r, unauthorized("the key belongs to no organisation"))
			return
		}
		h(w, r, o)
	}
}

func (s *Server) serveServices(w http.ResponseWriter, r *http.Request, o gladenote.Organisation) {
	if s.config.Services == nil {
		s.serveUnknown(w, r)
		return
	}
	s.config.Services(w, r, o)
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if s.config.Ready == nil {
		return
	}
	if err := s.config.Ready(); err != nil {
		s.refuse(w, r, &gladeapi.Refusal{
			Status: http.StatusServiceUnavailable, Code: gladeapi.CodeStopping, Message: err.Error(), Ran: gladeapi.NotRun,
		})
	}
}

func (s *Server) serveUnknown(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, r, &gladeapi.Refusal{
		Status: http.StatusNotFound, Code: gladeapi.CodeNotFound, Message: "no such path: " + r.URL.Path, Ran: gladeapi.NotRun,
	})
}

func unauthorized(message string) *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: http.StatusUnauthorized, Code: gladeapi.CodeUnauthorized, Message: message, Ran: gladeapi.NotRun,
	}
}
