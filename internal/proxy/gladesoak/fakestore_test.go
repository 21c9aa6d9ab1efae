package gladesoak

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fakeStore stands for the platform's store.
type fakeStore struct {
	mu       sync.Mutex
	objects  map[string]map[string]object
	changed  chan struct{}
	revision int64
	changes  []string // kind/name, at the index revision-1
	// rejected holds the VMs whose calls are rejected, by host; allVMs stands for all. rejections counts the calls by VM, and
	// rejectedAt is when calls of a VM were last to be rejected.
	rejected   map[int]bool
	rejections map[int]int
	rejectedAt map[int]time.Time
	// calls counts the calls by method and kind. losesAnswers makes the store carry out writes and not answer them.
	calls        map[string]int
	losesAnswers bool
	// deaf makes watches report nothing, and forgotten is the revision up to which the history of changes is lost.
	deaf      bool
	forgotten int
	// listTimes are how long lists take, by kind.
	listTimes map[string]time.Duration
	// statuses are the statuses written, with the objects' names.
	statuses []writtenStatus
}

// writtenStatus is the status of an object that was written at a time by the VM on a host.
type writtenStatus struct {
	name   string
	at     time.Time
	host   int
	status rolloutStatus
}

// rolloutStatus is the part of the status of a roll-out that tests read.
type rolloutStatus struct {
	State   string  `json:"state"`
	Target  string  `json:"target"`
	Share   float64 `json:"share"`
	Decider string  `json:"decider"`
	Term    int64   `json:"term"`
}

// allVMs stands for every VM.
const allVMs = 0

type object struct {
	Meta struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		objects: map[string]map[string]object{"config": {}, "servers": {}, "rollouts": {}}, changed: make(chan struct{}),
		rejected: map[int]bool{}, rejections: map[int]int{}, rejectedAt: map[int]time.Time{},
		calls: map[string]int{}, listTimes: map[string]time.Duration{},
	}
}

func (s *fakeStore) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name] // its status stays
	s.revision++
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, raw
	s.objects[kind][name] = o
	s.addChange(kind, name)
}

func (s *fakeStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects[kind], name)
	s.revision++
	s.addChange(kind, name)
}

func (s *fakeStore) addChange(kind, name string) {
	s.changes = append(s.changes, kind+"/"+name)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setRejected(host int, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[host] = rejected
	s.rejectedAt[host] = time.Now()
}

// deafen makes watches report nothing until the history is lost.
func (s *fakeStore) deafen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = true
}

// forget loses the history of changes. Watches that wait are cut off.
func (s *fakeStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf, s.forgotten = false, int(s.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

// rejectsSince reports whether calls of a VM were to be rejected after a time.
func (s *fakeStore) rejectsSince(host int, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range []int{host, allVMs} {
		if s.rejected[h] || s.rejectedAt[h].After(since) {
			return true
		}
	}
	return false
}

// serve answers lists and watches of the VM on a host.
func (s *fakeStore) serve(host int, w http.ResponseWriter, r *http.Request) {
	kind := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejected[host] || s.rejected[allVMs] {
		s.rejections[host]++
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.calls[r.Method+" "+kind]++
	if r.Method == http.MethodPut {
		s.writeStatus(host, kind, w, r)
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("watch"))
	if err != nil {
		if !s.passListTime(kind, r) {
			return
		}
		items := []object{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "at": s.revision})
		return
	}
	if after < s.forgotten {
		w.WriteHeader(http.StatusGone)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	events := s.eventsAfter(kind, after)
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
		if after < s.forgotten {
			panic(http.ErrAbortHandler)
		}
		events = s.eventsAfter(kind, after)
	}
	at := s.revision
	if s.deaf {
		at = int64(after)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at": at})
}

// passListTime waits for as long as a list takes, and reports whether its caller has waited too.  The caller holds mu.
func (s *fakeStore) passListTime(kind string, r *http.Request) bool {
	d := s.listTimes[kind]
	if d == 0 {
		return true
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeStatus writes the status of an object if the request has its revision. The caller holds mu.
func (s *fakeStore) writeStatus(host int, path string, w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimSuffix(path, "/status"), "/")
	var in object
	o, ok := s.objects[kind][name]
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || !ok || in.Meta.Name != name {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if in.Meta.Revision != o.Meta.Revision {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(o)
		return
	}
	s.revision++
	o.Meta.Revision, o.Status = s.revision, in.Status
	s.objects[kind][name] = o
	written := writtenStatus{name: name, at: time.Now(), host: host}
	_ = json.Unmarshal(o.Status, &written.status)
	s.statuses = append(s.statuses, written)
	s.addChange(kind, name)
	if s.losesAnswers {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(o)
}

func (s *fakeStore) eventsAfter(kind string, revision int) []map[string]any {
	events := []map[string]any{}
	if s.deaf {
		return events
	}
	for _, change := range s.changes[min(revision, len(s.changes)):] {
		changed, name, _ := strings.Cut(change, "/")
		if changed != kind {
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
