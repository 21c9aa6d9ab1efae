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

// storeAnswerTime is what the sheets say of the platform's store: 4 ms an answer.
const storeAnswerTime = 4 * time.Millisecond

// pageSize is the number of objects of a page: "about 500".
const pageSize = 500

type object struct {
	name     string
	revision int64
	spec     json.RawMessage
}

type change struct {
	revision int64
	kind     string
	object   object
	deleted  bool
}

// store is the platform's metadata store (PROTOCOL.md): lists in pages, watches, one revision counter.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
	// lists counts the pages that were given, by VM and kind, and watches the watches of kind servers that wait, by VM.
	watches map[string]int
	onPage  func(vm, kind string, first, last string, at int64, took time.Duration)
	// onCut is called for an answer that a VM has given up before its link had passed it, with its size and the time until then.
	onCut func(vm, kind string, bytes int, after time.Duration)
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{}), watches: map[string]int{}}
}

func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := object{name: name, revision: s.revision, spec: raw}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.record(change{revision: s.revision, kind: kind, object: o})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.revision = s.revision
	s.record(change{revision: s.revision, kind: kind, object: o, deleted: true})
}

func (s *store) record(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// reader returns the VM of a zone that watches the servers, empty if there is none.
func (s *store) reader(vms []string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range vms {
		if s.watches[vm] > 0 {
			return vm
		}
	}
	return ""
}

// serve serves the store for one VM at an address of its own, so that the VM's link can be played: answers take as long as its link needs.
func (s *store) serve(vm, address string, linkMbps float64) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(vm, linkMbps, w, r) })}
	go func() { _ = server.Serve(l) }()
	return nil
}

func encode(o object) map[string]any {
	return map[string]any{
		"meta": map[string]any{fieldName: o.name, "revision": o.revision, "created": 1, "finalizers": []string{}, "terminating": false},
		"spec": o.spec, "status": nil,
	}
}

func (s *store) handle(vm string, linkMbps float64, w http.ResponseWriter, r *http.Request) {
	kind := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	if r.Method != http.MethodGet || strings.Contains(kind, "/") || kind == r.URL.Path {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	q := r.URL.Query()
	if from := q.Get("watch"); from != "" {
		after, _ := strconv.ParseInt(from, 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(vm, kind, linkMbps, after, time.Duration(wait)*time.Millisecond, w, r)
		return
	}
	began := time.Now()
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > q.Get("since_rev") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := []any{}
	for _, name := range names {
		items = append(items, encode(s.objects[kind][name]))
	}
	at := s.revision
	s.mu.Unlock()
	raw, _ := json.Marshal(map[string]any{"items": items, "has_more": more, "at": at})
	if !s.pass(vm, kind, linkMbps, len(raw), r) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
	if s.onPage != nil && len(names) > 0 {
		s.onPage(vm, kind, names[0], names[len(names)-1], at, time.Since(began))
	}
}

// pass waits as long as an answer takes over a VM's link; it returns false if the VM gives up meanwhile.
func (s *store) pass(vm, kind string, linkMbps float64, bytes int, r *http.Request) bool {
	began := time.Now()
	timer := time.NewTimer(storeAnswerTime + time.Duration(float64(bytes*8)/(linkMbps*1e6)*float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		if s.onCut != nil {
			s.onCut(vm, kind, bytes, time.Since(began))
		}
		return false
	}
}

func (s *store) watch(vm, kind string, linkMbps float64, after int64, wait time.Duration, w http.ResponseWriter, r *http.Request) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	if kind == kindServers {
		s.watches[vm]++
		defer func() {
			s.mu.Lock()
			s.watches[vm]--
			s.mu.Unlock()
		}()
	}
	s.mu.Unlock()
	for {
		events, at, changed := s.changesAfter(kind, after)
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if expired {
			if events, at, _ = s.changesAfter(kind, after); len(events) > 0 {
				events, at = []any{}, after // the next watch brings it
			}
		}
		raw, _ := json.Marshal(map[string]any{"events": events, "at": at})
		if !s.pass(vm, kind, linkMbps, len(raw), r) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(raw)
		return
	}
}

// changesAfter returns the changes of a kind after a revision, the current revision, and what is closed at the next change.
func (s *store) changesAfter(kind string, after int64) ([]any, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []any{}
	for _, c := range s.changes {
		if c.kind == kind && c.revision > after {
			events = append(events, map[string]any{"deleted": c.deleted, "object": encode(c.object)})
		}
	}
	return events, s.revision, s.changed
}
