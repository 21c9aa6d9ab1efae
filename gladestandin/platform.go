package gladestandin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// Platform simulates the platform's object API and list of VMs in memory. The zero value is ready to use.
type Platform struct {
	mu      sync.Mutex
	version int64
	objects map[string]map[string]gladestore.Object
	vms     gladeapi.VMList

	faults     PlatformFaults
	staleLists map[string]gladestore.List
	limiter    *platformLimiter
	counts     PlatformCounts
	history    []gladestore.Event
	lastOfKind map[string]int64
	compacted  int64
	changed    chan struct{}
	watchCuts  int
}

// SetVMs replaces the list of VMs and increments its version.
func (p *Platform) SetVMs(l gladeapi.VMList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.Version = p.vms.Version + 1
	p.vms = l
}

// Put writes an object without conditions.
func (p *Platform) Put(kind, name string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.put(gladestore.Object{Kind: kind, Name: name, Version: p.version, Value: value})
}

// Objects returns all objects of a kind, sorted by name.
func (p *Platform) Objects(kind string) []gladestore.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list(kind, "").Objects
}

// ServeHTTP serves the object API and the list of VMs.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
	objects := parts[0] == "objects" && (len(parts) == 3 || len(parts) == 2 && r.Method == http.MethodGet)
	switch {
	case r.URL.Path == "/vms" && r.Method == http.MethodGet:
		if p.admit(w, r, "vms") {
			p.serveVMs(w)
		}
	case !objects:
		http.NotFound(w, r)
	case !p.admit(w, r, parts[1]):
	case len(parts) == 3:
		p.serveObject(w, r, parts[1], parts[2])
	case r.URL.Query().Get("watch") != "":
		p.serveWatch(w, r, parts[1])
	default:
		p.serveList(w, parts[1], r.URL.Query().Get("prefix"))
	}
}

func (p *Platform) serveVMs(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.vms)
}

func (p *Platform) serveList(w http.ResponseWriter, kind, prefix string) {
	p.mu.Lock()
	l := p.list(kind, prefix)
	if p.faults.StaleLists {
		l = p.staleLists[kind]
	}
	p.mu.Unlock()
	writeJSON(w, l)
}

func (p *Platform) list(kind, prefix string) gladestore.List {
	l := gladestore.List{Version: p.version, Objects: []gladestore.Object{}}
	for name, o := range p.objects[kind] {
		if strings.HasPrefix(name, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b gladestore.Object) int { return strings.Compare(a.Name, b.Name) })
	return l
}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, gladestore.MaxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o, found := p.objects[kind][name]
	if r.Method == http.MethodGet {
		p.writeObject(w, o, found)
		return
	}
	if !preconditionHolds(r, o, found) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if r.Method != http.MethodPut && r.Method != http.MethodDelete {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	p.version++
	if r.Method == http.MethodDelete {
		delete(p.objects[kind], name)
		p.record(gladestore.Object{Kind: kind, Name: name, Version: p.version}, true)
	} else {
		p.put(gladestore.Object{Kind: kind, Name: name, Version: p.version, Value: body})
		w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(p.version, 10)))
	}
	if p.takeLostAnswer(kind) {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) writeObject(w http.ResponseWriter, o gladestore.Object, found bool) {
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(o.Version, 10)))
	_, _ = w.Write(o.Value)
}

func (p *Platform) put(o gladestore.Object) {
	if p.objects == nil {
		p.objects = map[string]map[string]gladestore.Object{}
	}
	if p.objects[o.Kind] == nil {
		p.objects[o.Kind] = map[string]gladestore.Object{}
	}
	p.objects[o.Kind][o.Name] = o
	p.record(o, false)
}

func preconditionHolds(r *http.Request, o gladestore.Object, found bool) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return !found
	}
	want := strings.Trim(r.Header.Get("If-Match"), `"`)
	if want == "" {
		return true
	}
	return found && want == strconv.FormatInt(o.Version, 10)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
