package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the platform's store.
type object struct {
	Meta struct {
		Name        string   `json:"name"`
		Revision    int64    `json:"revision"`
		Created     int64    `json:"created"`
		Finalizers  []string `json:"finalizers"`
		Terminating bool     `json:"terminating"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status any             `json:"status"`
}

type storeEvent struct {
	revision int64
	kind     string
	object   object
	deleted  bool
}

// store stands for the platform's store: lists in pages and watches, as PROTOCOL says.
type store struct {
	mu       sync.Mutex
	kinds    map[string]map[string]object
	events   []storeEvent
	changed  chan struct{}
	revision int64
	// page is the largest number of items of an answer, and latency the time that an answer takes.
	page    int
	latency time.Duration
}

func newStore() *store {
	return &store{kinds: map[string]map[string]object{}, changed: make(chan struct{}), revision: 100, page: 500, latency: 4 * time.Millisecond}
}

// put writes an object and returns its revision.
func (s *store) put(kind, name string, spec any) int64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	o, ok := s.kinds[kind][name]
	if !ok {
		o.Meta.Created, o.Meta.Name, o.Meta.Finalizers = s.revision, name, []string{}
	}
	o.Meta.Revision, o.Spec = s.revision, raw
	s.kinds[kind][name] = o
	s.add(storeEvent{s.revision, kind, o, false})
	return s.revision
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	o.Meta.Revision = s.revision
	s.add(storeEvent{s.revision, kind, o, true})
}

func (s *store) add(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers lists, single objects and watches; other calls are not made by the programs under test.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	path := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	kind, name, single := strings.Cut(path, "/")
	w.Header().Set("Content-Type", "application/json")
	q := r.URL.Query()
	switch {
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case single:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(o)
	case q.Get("watch") != "":
		s.watch(w, r, kind)
	default:
		s.list(w, kind, q.Get("since_rev"))
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for n := range s.kinds[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > s.page
	if more {
		names = names[:s.page]
	}
	items := []object{}
	for _, n := range names {
		items = append(items, s.kinds[kind][n])
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.events {
			if e.revision > since && e.kind == kind {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
