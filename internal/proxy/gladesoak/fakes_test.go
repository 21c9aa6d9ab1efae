package gladesoak

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladestandin"
)

// copyTable holds the copies of runs that the engines of a soak keep, by holder and attempt.
type copyTable struct {
	mu   sync.Mutex
	held map[string]bool
}

func (c *copyTable) set(key string, held bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.held[key]
	c.held[key] = held
	return before
}

// fakeServer stands for a backend server at one address; each incarnation has its own identifier.
type fakeServer struct {
	address, service, domain string
	// version is that of its software, empty for none.
	version  string
	recorder *recorder
	store    *fakeStore
	copies   *copyTable
	crashes  *crashLog

	mu          sync.Mutex
	incarnation int
	id          string
	// born is when the incarnation started, in milliseconds.
	born     int64
	server   *http.Server
	listener net.Listener
	leaving  time.Time
	// running is set while an incarnation accepts connections.
	running bool
	faults  serverFaults
	// up are the spans in which it ran and did not leave, and well those of them in which it had no fault.
	up, well []upSpan
	limits   []*limitPeriod
	// rejections are those with a retry time.
	rejections []rejection
	// arrivals are the requests of callers.
	arrivals []delivery
	// errors are the times of answers by errorShare.
	errors []time.Time
}

func (f *fakeServer) recordError() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errors = append(f.errors, time.Now())
}

// rejection is one after which the server wants no requests of one VM until a time.
type rejection struct {
	delivery
	until time.Time
}

// limitPeriod is a time in which a server names a limit in its answers.
type limitPeriod struct {
	perSecond  float64
	began      time.Time
	ended      bool
	deliveries []delivery
}

// delivery is a request of a caller that reached a server.
type delivery struct {
	attempt string
	at      time.Time
}

// nameLimit lets the server name a limit until endLimit, and reports whether it named none before.
func (f *fakeServer) nameLimit(perSecond float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.limits); n > 0 && !f.limits[n-1].ended {
		return false
	}
	f.limits = append(f.limits, &limitPeriod{perSecond: perSecond, began: time.Now()})
	return true
}

func (f *fakeServer) endLimit() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.limits); n > 0 {
		f.limits[n-1].ended = true
	}
}

// answerLimit names the limit of the server, if it has one, in an answer.
func (f *fakeServer) answerLimit(h http.Header, attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.limits)
	if n == 0 || f.limits[n-1].ended {
		return
	}
	l := f.limits[n-1]
	l.deliveries = append(l.deliveries, delivery{attempt, time.Now()})
	h.Set("Server-Limit", strconv.FormatFloat(l.perSecond, 'f', -1, 64))
}

// serverFaults are the faults of a fakeServer that do not end its incarnation.
type serverFaults struct {
	// unresponsive makes it accept connections and answer nothing.
	unresponsive bool
	// endless makes it answer with one of endlessAnswers until the caller closes the connection.
	endless bool
	// failureShare is the share of requests that fail.
	failureShare float64
	// retryAfter makes it reject all requests, with this time after which it wants some again.
	retryAfter time.Duration
	// errorShare is the share of requests that run and are answered 500.
	errorShare float64
	// lateShare is the share of requests that are rejected, with a second copy of the rejection before the next answer on the connection.
	lateShare float64
	// slowness is by what its times are multiplied, zero for one.
	slowness int
}

// endlessAnswers holds the beginnings of answers and what follows them without end.
var endlessAnswers = [][2]string{
	{"", "junk"},
	{"HTTP/1.1 200 OK\r\nA: ", "a"},
	{"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	{"", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %\r\nServer-Seal: seal\r\n\r\n", "id: x\n\n"},
	{"HTTP/1.1 500 Error\r\nAttempt-Id: %\r\nServer-Seal: seal\r\n\r\n", "body"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %\r\nServer-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\n:\n\n\r\n"},
}

// maxListenWait is how long a new incarnation waits for the address of the one before.
const maxListenWait = 2 * time.Second

// start starts an incarnation with a new identifier and registers it, unless one is running.
func (f *fakeServer) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running {
		return
	}
	l, err := net.Listen("tcp", f.address)
	// A process that the soak starts has the listener of the incarnation before until it executes its program.
	for until := time.Now().Add(maxListenWait); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
		l, err = net.Listen("tcp", f.address)
	}
	if err != nil {
		panic(err)
	}
	f.running = true
	f.incarnation++
	f.born = time.Now().UnixMilli()
	if n := len(f.limits); n > 0 {
		f.limits[n-1].ended = true // a new process has named nothing
	}
	f.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(f.address, ":", "-"), f.incarnation)
	f.leaving = time.Time{}
	f.server, f.listener = &http.Server{Handler: f, ConnContext: gladestandin.WithLateConn}, gladestandin.LateListener{Listener: l}
	go func(s *http.Server, l net.Listener) { _ = s.Serve(l) }(f.server, f.listener)
	f.recordUp()
	f.register("ready")
}

func (f *fakeServer) register(state string) {
	entry := map[string]any{
		"service": f.service, "addr": f.address, "zone": f.domain, "slots": 12, "state": state, "cold_left_ms": 0,
		"seq": 1, "born": f.born,
	}
	if f.version != "" {
		entry["version"] = f.version
	}
	f.store.put("servers", f.id, entry)
}

// crash ends the current incarnation at once; its entry stays in the store for 1 s.
func (f *fakeServer) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(f.incarnation)
}

// end ends an incarnation unless it has ended already.  The caller holds mu.
func (f *fakeServer) end(incarnation int) {
	if !f.running || f.incarnation != incarnation {
		return
	}
	f.running = false
	f.recordUp()
	_ = f.server.Close()
	_ = f.listener.Close() // the server may not have begun to serve
	id := f.id
	time.AfterFunc(time.Second, func() { f.store.remove("servers", id) })
}

// leave marks the server as draining, and ends it 1 s after drainBound; it does nothing if the server is not running.  A
// crash may end the incarnation before.
func (f *fakeServer) leave() { f.leaveAfter(drainBound + time.Second) }

// leaveAfter is leave with the time until the end.
func (f *fakeServer) leaveAfter(remains time.Duration) {
	f.mu.Lock()
	incarnation, running := f.incarnation, f.running
	if running {
		f.register("draining")
		f.leaving = time.Now()
		f.recordUp()
	}
	f.mu.Unlock()
	if !running {
		return
	}
	time.Sleep(remains)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(incarnation)
}

// drainBound is the time after which a leaving server must get no new requests.
const drainBound = 2 * time.Second

// ServeHTTP answers one request as a backend server of the platform does.
func (f *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	id, faults, leaving := f.id, f.faults, f.leaving
	f.mu.Unlock()
	failureShare := faults.failureShare
	attempt := r.Header.Get("Attempt-Id")
	f.answerLimit(w.Header(), attempt)
	if !leaving.IsZero() {
		w.Header().Set("Server-Leaving", "1")
	}
	f.recordArrival(attempt)
	switch {
	case faults.retryAfter > 0:
		f.reject(w, attempt, faults.retryAfter)
		return
	case faults.endless:
		f.recorder.recordRun(attempt)
		writeEndless(w, attempt)
		return
	case faults.unresponsive:
		<-r.Context().Done()
		return
	case r.Header.Get("Expect-Instance") != id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case f.version != "" && strings.HasPrefix(r.URL.Path, "/v1/kv-"):
		f.serveCopies(w, r, body)
		return
	case strings.HasPrefix(r.URL.Path, "/v1/"):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if rand.Float64() < faults.lateShare {
		rejectTwice(w, r, attempt)
		return
	}
	from := r.Header.Get("Kv-From")
	if rand.Float64() < failureShare/2 || from != "" && !f.copies.set(from, false) {
		w.Header().Set("Attempt-Id", attempt)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !leaving.IsZero() && time.Since(leaving) > drainBound+200*time.Millisecond {
		f.recorder.mu.Lock()
		f.recorder.lateRequests = append(f.recorder.lateRequests, attempt)
		f.recorder.mu.Unlock()
	}
	if key := crashKey(r); key != "" {
		f.runCrash(r, key)
		return
	}
	f.recorder.recordRun(attempt)
	if rand.Float64() < failureShare/2 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Server-Seal", "seal")
	if rand.Float64() < faults.errorShare {
		f.recordError()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	slowness := max(1, faults.slowness)
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/unsafeStream/") {
		f.stream(w, r, attempt, slowness)
		return
	}
	time.Sleep(time.Duration(slowness) * 20 * time.Millisecond)
	f.recorder.recordEnd(attempt)
	_, _ = io.WriteString(w, "answer to "+attempt)
}

// serveCopies copies a run to another server, or frees such a copy.
func (f *fakeServer) serveCopies(w http.ResponseWriter, r *http.Request, body []byte) {
	if r.Method == http.MethodDelete {
		f.copies.set(f.address+strings.TrimPrefix(r.URL.Path, "/v1/kv-handle"), false)
		return
	}
	var call struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(body, &call)
	handle := call.ID + "-copy"
	f.copies.set(f.address+"/"+handle, true)
	_ = json.NewEncoder(w).Encode(map[string]string{"handle": handle})
}

func (f *fakeServer) recordArrival(attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, delivery{attempt, time.Now()})
}

// reject rejects a request with a time after which the server wants requests again.
func (f *fakeServer) reject(w http.ResponseWriter, attempt string, after time.Duration) {
	f.mu.Lock()
	now := time.Now()
	f.rejections = append(f.rejections, rejection{delivery{attempt, now}, now.Add(after)})
	f.mu.Unlock()
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// rejectTwice rejects a request, and sends a second copy of the rejection before the next answer on the connection.
func rejectTwice(w http.ResponseWriter, r *http.Request, attempt string) {
	for name, value := range map[string]string{"Attempt-Id": attempt, "Not-Executed": "1", "Content-Length": "0"} {
		w.Header().Set(name, value)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = http.NewResponseController(w).Flush()
	gladestandin.SendLater(r, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: "+attempt+"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

// writeEndless writes one of endlessAnswers until the caller closes the connection.
func writeEndless(w http.ResponseWriter, attempt string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	a := endlessAnswers[rand.IntN(len(endlessAnswers))]
	_, err = io.WriteString(conn, strings.ReplaceAll(a[0], "%", attempt))
	for block := strings.Repeat(a[1], 1000); err == nil; {
		_, err = io.WriteString(conn, block)
	}
}

func (f *fakeServer) stream(w http.ResponseWriter, r *http.Request, attempt string, slowness int) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // zero without the header
	if r.Header.Get("Kv-From") == "" {
		time.Sleep(time.Duration(slowness) * 100 * time.Millisecond) // the time to read the prompt
	}
	for n := last + 1; n <= streamEvents; n++ {
		time.Sleep(time.Duration(slowness) * 15 * time.Millisecond)
		if r.Context().Err() != nil {
			return
		}
		if target := r.Header.Get("Kv-Backup"); target != "" && n == last+10 {
			f.copies.set(target+"/"+attempt, true)
		}
		event := streamEvent(attempt, n)
		half := len(event) / 2
		_, _ = io.WriteString(w, event[:half])
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, event[half:])
		_ = http.NewResponseController(w).Flush()
	}
}
