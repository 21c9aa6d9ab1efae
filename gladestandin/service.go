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

// The headers that a plain service reads and writes.
const (
	headerServiceRequest = "Glade-Request-Id"
	headerServiceKey     = "Idempotency-Key"
	headerServiceRan     = "Glade-Ran"
)

// maxServiceBody is the largest accepted request body, in bytes.
const maxServiceBody = 1 << 20

// ServiceFault is a fault of a Service. The zero value means none.
type ServiceFault struct {
	// DieBefore closes the connection before the call runs.
	DieBefore bool
	// DieDuring closes the connection while the call runs; the run counts.
	DieDuring bool
	// DieAfter closes the connection after the call has run.
	DieAfter bool
	// LoseAnswer runs the call and sends no response.
	LoseAnswer bool
	// Late is the delay between the run and the response.
	Late time.Duration
	// Slow is added to the time of the run.
	Slow time.Duration
	// EchoOf replaces the request identifier in the response, if set.
	EchoOf string
	// Refuse responds with status 503 without running the call and with the header that reports it as not run.
	Refuse bool
	// RefuseQuietly is Refuse without that header.
	RefuseQuietly bool
	// Status is the status of the response; zero means 200.
	Status int
	// Times is the number of calls that the fault affects; zero means all.
	Times int
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	// ID is the backend server's identifier in load reports and responses.
	ID string
	// RunTime is the duration of the run of a call.
	RunTime time.Duration
	// RunCounter counts the runs together with those of other services; nil means a RunCounter of its own.
	RunCounter *RunCounter
}

// RunCounter counts the runs of each idempotency key on all services that share it. The zero value is ready to use.
type RunCounter struct {
	mu       sync.Mutex
	runs     map[string]int
	total    int
	received int
}

// Runs returns the number of runs of each key.
func (c *RunCounter) Runs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.runs)
}

// Total returns the number of runs with and without a key.
func (c *RunCounter) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// Received returns the number of calls whose headers reached a service.
func (c *RunCounter) Received() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

func (c *RunCounter) countReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received++
}

func (c *RunCounter) countRun(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if key == "" {
		return
	}
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	c.runs[key]++
}

// Service simulates a plain service that echoes the request body and counts its runs.
type Service struct {
	config     ServiceConfig
	runCounter *RunCounter

	mu           sync.Mutex
	fault        ServiceFault
	faultedCalls int
	running      int
}

// NewService returns a plain service without faults.
func NewService(c ServiceConfig) *Service {
	s := &Service{config: c, runCounter: c.RunCounter}
	if s.runCounter == nil {
		s.runCounter = &RunCounter{}
	}
	return s
}

// SetFault replaces the fault and restarts its count of calls.
func (s *Service) SetFault(f ServiceFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.faultedCalls = 0
}

// RunCounter returns the RunCounter in which the service counts its runs.
func (s *Service) RunCounter() *RunCounter {
	return s.runCounter
}

// ServeHTTP serves /load and /health and treats every other path as a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		return
	case "/load":
		writeJSON(w, s.load())
		return
	}
	s.runCounter.countReceived()
	f := s.takeFault()
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

func (s *Service) takeFault() ServiceFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Times > 0 && s.faultedCalls >= s.fault.Times {
		return ServiceFault{}
	}
	s.faultedCalls++
	return s.fault
}

func (s *Service) refuse(w http.ResponseWriter, r *http.Request, f ServiceFault) {
	w.Header().Set(headerServiceRequest, answerRequestID(r, f))
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
	s.addRunning(1)
	defer s.addRunning(-1)
	key := r.Header.Get(headerServiceKey)
	if f.DieDuring {
		s.runCounter.countRun(key)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.config.RunTime + f.Slow)
	s.runCounter.countRun(key)
	if f.LoseAnswer {
		<-r.Context().Done()
		return
	}
	if f.DieAfter {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.Late)
	s.writeAnswer(w, r, f, body)
}

func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, f ServiceFault, body []byte) {
	w.Header().Set(headerServiceRequest, answerRequestID(r, f))
	w.Header().Set("Service-Id", s.config.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.Status != 0 {
		w.WriteHeader(f.Status)
	}
	_, _ = w.Write(body)
}

func (s *Service) addRunning(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

func answerRequestID(r *http.Request, f ServiceFault) string {
	if f.EchoOf != "" {
		return f.EchoOf
	}
	return r.Header.Get(headerServiceRequest)
}
