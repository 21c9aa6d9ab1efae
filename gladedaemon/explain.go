package gladedaemon

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladerecord"
)

const (
	methodExplain  = "explain"
	explainTimeout = time.Second
	// maxExplainCalls limits the number of VMs that are queried concurrently.
	maxExplainCalls = 32
)

// Explanation holds the entries that all VMs have recorded for a request, sorted by time.
type Explanation struct {
	gladerecord.Record
	// Answered is the number of VMs that answered, including this one.
	Answered int `json:"asked"`
	// Unanswered lists the VMs that did not answer. Their entries may be missing.
	Unanswered []Unanswered `json:"notAsked,omitempty"`
}

// Unanswered holds the name of a VM that did not answer and the reason.
type Unanswered struct {
	VM     string `json:"vm"`
	Reason string `json:"reason"`
}

// handleExplain registers the operators' route, which queries all VMs, and the peer method, which returns the record of
// this VM only.
func (d *Daemon) handleExplain(mux *http.ServeMux) error {
	var peers *gladepeer.Node
	if err := lookup(d, ServicePeers, &peers); err != nil {
		return err
	}
	gladepeer.Handle(peers, methodExplain, func(_ context.Context, _, request string) (gladerecord.Record, error) {
		record, _ := d.record.Get(request)
		return record, nil
	})
	mux.HandleFunc("GET /explain/{request}", func(w http.ResponseWriter, r *http.Request) {
		e := d.explain(r.Context(), peers, r.PathValue("request"))
		if len(e.Entries) == 0 {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusNotFound)
		}
		writeJSON(w, e)
	})
	return nil
}

// explain collects the entries of all live VMs and lists the VMs that did not answer.
func (d *Daemon) explain(ctx context.Context, peers *gladepeer.Node, request string) *Explanation {
	own, _ := d.record.Get(request)
	e := &Explanation{Record: own, Answered: 1}
	e.Request = request
	var mu sync.Mutex
	var asks sync.WaitGroup
	slots := make(chan struct{}, maxExplainCalls)
	for _, m := range peers.Members() {
		asks.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, explainTimeout)
			defer cancel()
			record, err := gladepeer.Call[string, gladerecord.Record](ctx, peers, m.Name, methodExplain, request)
			mu.Lock()
			defer mu.Unlock()
			e.add(m.Name, &record, err)
		})
	}
	asks.Wait()
	for _, m := range peers.SilentMembers() {
		reason := "not heard of for " + time.Since(m.Heard).Round(time.Second).String()
		e.Unanswered = append(e.Unanswered, Unanswered{VM: m.Name, Reason: reason})
	}
	slices.SortStableFunc(e.Entries, func(a, b gladerecord.Entry) int { return a.At.Compare(b.At) })
	slices.SortFunc(e.Unanswered, func(a, b Unanswered) int { return strings.Compare(a.VM, b.VM) })
	return e
}

func (e *Explanation) add(name string, r *gladerecord.Record, err error) {
	if err != nil {
		e.Unanswered = append(e.Unanswered, Unanswered{VM: name, Reason: err.Error()})
		return
	}
	e.Answered++
	e.Entries = append(e.Entries, r.Entries...)
	e.Dropped += r.Dropped
}
