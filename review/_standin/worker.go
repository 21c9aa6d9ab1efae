package main

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is one worker of a service.
type worker struct {
	w       *world
	id      string
	service string
	zone    string
	address string
	slots   int
	born    int64
	seq     int
	// work is how long a plain request takes, and events the number of events of a stream.
	work   time.Duration
	events int
	gap    time.Duration
	// prefill is the time that a new stream's prompt takes.
	prefill time.Duration
	// encodeEvery makes each so many-th stream come with a Content-Encoding; zero means none.
	encodeEvery atomic.Int64
	count       atomic.Int64
	server      *http.Server
	listener    net.Listener

	mu   sync.Mutex
	runs map[string]int
	// arrived holds the times at which requests arrived, and leftAt is the time of the store's ack of the leaving.
	arrived map[string]time.Time
	leftAt  time.Time
	// draining is set once the worker has reported that it leaves; it then says so in its answers too.
	draining bool
}

// addWorker starts a worker and registers it.
func (w *world) addWorker(service, zone, id string) *worker {
	k := &worker{
		w: w, id: id, service: service, zone: zone, slots: 12, born: time.Now().UnixMilli(), work: 30 * time.Millisecond,
		events: 40, gap: 15 * time.Millisecond, prefill: 50 * time.Millisecond, runs: map[string]int{}, arrived: map[string]time.Time{},
	}
	k.listener = w.listen(w.ip())
	k.address = k.listener.Addr().String()
	k.server = &http.Server{Handler: k}
	go func() { _ = k.server.Serve(k.listener) }()
	k.register("ready")
	return k
}

func (k *worker) register(state string) {
	k.seq++
	k.w.store.put("servers", k.id, map[string]any{
		"service": k.service, "addr": k.address, "zone": k.zone, "version": "v1", "slots": k.slots, "state": state, "cold_left_ms": 0,
		"phase": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": k.seq, "born": k.born,
	})
}

// body returns the whole answer to an attempt.
func (k *worker) eventText(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, attempt)
}

// ServeHTTP answers as PROTOCOL says of workers.
func (k *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	h := out.Header()
	switch {
	case r.URL.Path == "/healthz":
		h.Set("Instance-Id", k.id)
		return
	case r.URL.Path == "/v1/kv-list" && k.service == "llm":
		h.Set("Content-Type", "application/json")
		_, _ = out.Write([]byte(`{"epoch":1,"next":1,"held":[]}`))
		return
	case strings.HasPrefix(r.URL.Path, "/v1/"):
		out.WriteHeader(http.StatusNotFound)
		return
	}
	if attempt != "" {
		h.Set("Attempt-Id", attempt)
	}
	k.mu.Lock()
	if k.draining {
		h.Set("Server-Leaving", "1")
	}
	k.mu.Unlock()
	if e := r.Header.Get("Expect-Instance"); e != "" && e != k.id {
		h.Set("Instance-Id", k.id)
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var b bytes.Buffer
	if _, err := b.ReadFrom(r.Body); err != nil {
		return
	}
	if r.Header.Get("Kv-From") != "" { // these workers keep no copies
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.mu.Lock()
	k.runs[attempt]++
	k.arrived[attempt] = time.Now()
	k.mu.Unlock()
	k.w.note("run", "worker", k.id, "attempt", attempt, "last", r.Header.Get("Last-Event-Id"))
	h.Set("Server-Seal", "seal."+attempt)
	h.Set("Server-Load", "1,0,"+strconv.Itoa(k.slots))
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		k.stream(out, r, attempt)
		return
	}
	if limit, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil && time.Duration(limit)*time.Millisecond < k.work {
		time.Sleep(time.Duration(limit) * time.Millisecond) // a worker stops at the time limit
		out.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	time.Sleep(k.work)
	_, _ = fmt.Fprintf(out, "answer to %s", attempt)
	k.w.note("run ended", "worker", k.id, "attempt", attempt)
}

func (k *worker) stream(out http.ResponseWriter, r *http.Request, attempt string) {
	out.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if every := k.encodeEvery.Load(); every > 0 && k.count.Add(1)%every == 0 {
		k.w.note("answer is encoded", "worker", k.id, "attempt", attempt)
		out.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(out)
		for n := last + 1; n <= k.events; n++ {
			_, _ = z.Write([]byte(k.eventText(attempt, n)))
		}
		_ = z.Close()
		return
	}
	f := http.NewResponseController(out)
	time.Sleep(k.prefill)
	for n := last + 1; n <= k.events; n++ {
		if r.Context().Err() != nil {
			return
		}
		_, _ = out.Write([]byte(k.eventText(attempt, n)))
		_ = f.Flush()
		time.Sleep(k.gap)
	}
	k.w.note("run ended", "worker", k.id, "attempt", attempt)
}
