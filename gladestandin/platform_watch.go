package gladestandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

const (
	// maxHistory is the number of changes kept for watches.
	maxHistory = 20_000
	// bookmarkInterval is the time between events that report the version without a change.
	bookmarkInterval = 5 * time.Second
)

// record adds a change to the history and notifies the watches.
func (p *Platform) record(o gladestore.Object, deleted bool) {
	if p.lastOfKind == nil {
		p.lastOfKind = map[string]int64{}
	}
	e := gladestore.Event{Version: p.version, Previous: p.lastOfKind[o.Kind], Object: o, Deleted: deleted}
	p.lastOfKind[o.Kind] = p.version
	if p.faults.SkipEvents > 0 {
		p.faults.SkipEvents--
		return
	}
	p.history = append(p.history, e)
	if len(p.history) > maxHistory {
		p.compacted = p.history[0].Version
		p.history = p.history[1:]
	}
	p.notifyWatches()
}

func (p *Platform) notifyWatches() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	if from < p.compacted {
		p.mu.Unlock()
		w.WriteHeader(http.StatusGone)
		return
	}
	p.counts.Watches++
	cuts := p.watchCuts
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.counts.Watches--
		p.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "application/jsonl")
	p.streamEvents(w, r, kind, from, cuts)
}

func (p *Platform) streamEvents(w http.ResponseWriter, r *http.Request, kind string, from int64, cuts int) {
	ticker := time.NewTicker(bookmarkInterval)
	defer ticker.Stop()
	encoder := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	for {
		events, changed, cut := p.eventsSince(kind, from, cuts)
		if cut {
			panic(http.ErrAbortHandler)
		}
		for _, e := range events {
			if encoder.Encode(e) != nil {
				return
			}
			from = e.Version
		}
		if flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-ticker.C:
			if encoder.Encode(gladestore.Event{Version: from}) != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the changes of a kind after a version, a channel that is closed at the next change, and whether
// the watch must end.
func (p *Platform) eventsSince(kind string, from int64, cuts int) ([]gladestore.Event, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	var events []gladestore.Event
	for i := len(p.history) - 1; i >= 0 && p.history[i].Version > from; i-- {
		if p.history[i].Object.Kind == kind {
			events = append(events, p.history[i])
		}
	}
	slices.Reverse(events)
	return events, p.changed, p.watchCuts != cuts || from < p.compacted
}
