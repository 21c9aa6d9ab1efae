package gladestandin

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// Headers that a plain service reads and writes.
const (
	headerServiceRequest = "Glade-Request-Id"
	headerServiceKey     = "Idempotency-Key"
	headerServiceRan     = "Glade-Ran"
)

const maxServiceBody = 1 << 20

// ServiceFault is what goes wrong with the calls that a Service answers.
type ServiceFault struct {
	// DieBefore, DieDuring and DieAfter end the connection before, while or after the call runs.
	DieBefore, DieDuring, DieAfter bool
	// LoseAnswer runs the call and never answers it.
	LoseAnswer bool
	// Late is the delay of the answer after the run, Slow the time that the run takes.
	Late, Slow time.Duration
	// EchoOf is the request identifier that the answer bears instead of its own.
	EchoOf string
	// Refuse answers 503 before running, RefuseQuietly does so without saying that it did not run.
	Refuse, RefuseQuietly bool
	// Status is the status of the answer; zero means 200.
	Status int
	// Times bounds the number of calls that the fault meets; zero means all.
	Times int
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	ID string
	// RunTime is the time that a call takes.
	RunTime time.Duration
	// Ledger counts runs over several services, if set.
	Ledger *Ledger
}

// Ledger counts the runs of each key over all services that share it; its zero value is ready to use.
type Ledger struct {
	mu      sync.Mutex
	runs    map[string]int
	total   int
	arrived int
}

// Runs returns the number of runs of each key.
func (l *Ledger) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// Total returns the number of runs, with and without a key.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Arrived returns the number of calls whose header reached a service.
func (l *Ledger) Arrived() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrived
}

func (l *Ledger) arrive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived++
}

func (l *Ledger) run(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if key == "" {
		return
	}
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[key]++
}

// Service is a plain service that counts its runs and fails as told.
type Service struct {
	config ServiceConfig
	ledger *Ledger

	mu      sync.Mutex
	fault   ServiceFault
	met     int
	running int
}

// NewService returns a service.
func NewService(c ServiceConfig) *Service {
	s := &Service{config: c, ledger: c.Ledger}
	if s.ledger == nil {
		s.ledger = &Ledger{}
	}
	return s
}

// SetFault replaces the fault.
func (s *Service) SetFault(f ServiceFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.met = 0
}

// Ledger returns where the service counts its runs.
func (s *Service) Ledger() *Ledger {
	return s.ledger
}

// ServeHTTP answers /load, /health and any call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		return
	case "/load":
		writeJSON(w, s.load())
		return
	}
	s.ledger.arrive()
	f := s.meet()
	if f.DieBefore {
		panic(http.ErrAbortHandler)
	}
	if f.Refuse || f.RefuseQuietly {
		s.refuse(w, r, f)
		return
	}
	s.serveCall(w, r, f)
}

func (s *Service) load() gladeapi.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return gladeapi.LoadReport{Backend: s.config.ID, Running: s.running, Taken: time.Now()}
}

func (s *Service) meet() ServiceFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Times > 0 && s.met >= s.fault.Times {
		return ServiceFault{}
	}
	s.met++
	return s.fault
}

func (s *Service) refuse(w http.ResponseWriter, r *http.Request, f ServiceFault) {
	w.Header().Set(headerServiceRequest, echo(r, f))
	if f.Refuse {
		w.Header().Set(headerServiceRan, string(gladeapi.NotRun))
	}
	http.Error(w, "busy", http.StatusServiceUnavailable)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request, f ServiceFault) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxServiceBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.begin(1)
	defer s.begin(-1)
	key := r.Header.Get(headerServiceKey)
	if f.DieDuring {
		s.ledger.run(key)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.config.RunTime + f.Slow)
	s.ledger.run(key)
	if f.LoseAnswer {
		<-r.Context().Done()
		return
	}
	if f.DieAfter {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.Late)
	s.answer(w, r, f, body)
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, f ServiceFault, body []byte) {
	w.Header().Set(headerServiceRequest, echo(r, f))
	w.Header().Set("Service-Id", s.config.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.Status != 0 {
		w.WriteHeader(f.Status)
	}
	_, _ = w.Write(body)
}

func (s *Service) begin(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

func echo(r *http.Request, f ServiceFault) string {
	if f.EchoOf != "" {
		return f.EchoOf
	}
	return r.Header.Get(headerServiceRequest)
}
