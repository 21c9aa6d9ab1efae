package gladesoak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands for the platform's store.
type store struct {
	mu       sync.Mutex
	objects  map[string]map[string]object
	changed  chan struct{}
	revision int64
	changes  []string // kind/name by revision-1
	// away holds the hosts that are turned away, all of them with "*".
	away map[string]bool
}

type object struct {
	Meta struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

func newStore() *store {
	return &store{objects: map[string]map[string]object{"config": {}, "servers": {}}, changed: make(chan struct{}), away: map[string]bool{}}
}

func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var o object
	s.revision++
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, raw
	s.objects[kind][name] = o
	s.note(kind, name)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects[kind], name)
	s.revision++
	s.note(kind, name)
}

func (s *store) note(kind, name string) {
	s.changes = append(s.changes, kind+"/"+name)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setAway(host string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away[host] = away
}

// ServeHTTP answers lists and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	kind := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away[host] || s.away["*"] {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("watch"))
	if err != nil {
		items := []object{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "at": s.revision})
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	events := s.after(kind, after)
	for waiting := true; waiting && len(events) == 0; {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		s.mu.Lock()
		events = s.after(kind, after)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at": s.revision})
}

func (s *store) after(kind string, revision int) []map[string]any {
	events := []map[string]any{}
	for _, change := range s.changes[min(revision, len(s.changes)):] {
		k, name, _ := strings.Cut(change, "/")
		if k != kind {
			continue
		}
		o, ok := s.objects[kind][name]
		if !ok {
			o.Meta.Name = name
		}
		events = append(events, map[string]any{"object": o, "deleted": !ok})
	}
	return events
}

// copies are the copies of runs that the engines of a soak hold, by holder and attempt.
type copies struct {
	mu   sync.Mutex
	held map[string]bool
}

func (c *copies) set(key string, held bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.held[key]
	c.held[key] = held
	return before
}

// worker stands for a backend server at one address, in one life after another.
type worker struct {
	address, service, domain string
	books                    *books
	store                    *store
	copies                   *copies

	mu      sync.Mutex
	life    int
	id      string
	server  *http.Server
	leaving time.Time
	// silent makes it accept connections and answer nothing; flaky is its share of failed requests.
	silent bool
	flaky  float64
}

// start begins a life, with a new identifier, and registers it.
func (k *worker) start() {
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		panic(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.life++
	k.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(k.address, ":", "-"), k.life)
	k.leaving = time.Time{}
	k.server = &http.Server{Handler: k}
	go func(s *http.Server) { _ = s.Serve(l) }(k.server)
	k.register("ready")
}

func (k *worker) register(state string) {
	k.store.put("servers", k.id, map[string]any{
		"service": k.service, "addr": k.address, "zone": k.domain, "slots": 12, "state": state, "cold_left_ms": 0,
		"seq": 1, "born": time.Now().UnixMilli(),
	})
}

// crash ends the life at once; its entry stays for a while.
func (k *worker) crash() {
	k.mu.Lock()
	server, id := k.server, k.id
	k.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(time.Second, func() { k.store.remove("servers", id) })
}

// leave announces that the worker leaves; it serves on for a while and then ends.
func (k *worker) leave() {
	k.mu.Lock()
	k.register("draining")
	k.leaving = time.Now()
	k.mu.Unlock()
	time.Sleep(drainBound + time.Second)
	k.crash()
}

// drainBound is the time after which a leaving server may get nothing new.
const drainBound = 2 * time.Second

// ServeHTTP answers one request, as a worker of the platform does.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	k.mu.Lock()
	id, silent, flaky, leaving := k.id, k.silent, k.flaky, k.leaving
	k.mu.Unlock()
	attempt := r.Header.Get("Attempt-Id")
	switch {
	case silent:
		<-r.Context().Done()
		return
	case r.Header.Get("Expect-Instance") != id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case strings.HasPrefix(r.URL.Path, "/v1/"):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from := r.Header.Get("Kv-From")
	if rand.Float64() < flaky/2 || from != "" && !k.copies.set(from, false) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !leaving.IsZero() && time.Since(leaving) > drainBound+200*time.Millisecond {
		k.books.mu.Lock()
		k.books.late = append(k.books.late, attempt)
		k.books.mu.Unlock()
	}
	k.books.run(attempt)
	if rand.Float64() < flaky/2 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Server-Seal", "seal")
	if r.URL.Path == "/stream/x" {
		k.stream(w, r, attempt)
		return
	}
	time.Sleep(20 * time.Millisecond)
	k.books.end(attempt)
	_, _ = io.WriteString(w, "answer to "+attempt)
}

func (k *worker) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // zero without one
	if r.Header.Get("Kv-From") == "" {
		time.Sleep(100 * time.Millisecond) // the prompt is read
	}
	for n := last + 1; n <= streamEvents; n++ {
		time.Sleep(15 * time.Millisecond)
		if r.Context().Err() != nil {
			return
		}
		if target := r.Header.Get("Kv-Backup"); target != "" && n == last+10 {
			k.copies.set(target+"/"+attempt, true)
		}
		event := eventOf(attempt, n)
		half := len(event) / 2
		_, _ = io.WriteString(w, event[:half])
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, event[half:])
		_ = http.NewResponseController(w).Flush()
	}
}
