package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runs records which worker began to run which request when.
type runs struct {
	mu   sync.Mutex
	of   map[string][]arrival
	all  int // answers of all workers
	odd  int // answers that were lost, or came twice
	shed int
}

func newRuns() *runs { return &runs{of: map[string][]arrival{}} }

func (r *runs) begin(id string, w *worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of[id] = append(r.of[id], arrival{id, w, time.Now()})
}

// workersOf returns the workers that ran a request, each once.
func (r *runs) workersOf(id string) []string {
	var list []string
	for _, a := range r.of[id] {
		if !strings.Contains(strings.Join(list, ","), a.worker.id) {
			list = append(list, a.worker.id)
		}
	}
	return list
}

// answered is what the clients saw.
type answered struct {
	mu    sync.Mutex
	sent  int
	by    map[string]int
	of    map[string]result
	whole int
}

// stream runs one stream with a client and records what it saw.
func (a *answered) stream(h *harness, c *client, id string, events int) {
	a.mu.Lock()
	a.sent++
	a.mu.Unlock()
	body := []byte(strings.Repeat("manifest ", 100))
	r := c.do(head(http.MethodPost, "/lohu930/"+id, id, 25000, len(body), "Model: m", "Token-Usage: 1460,200", "Prefix-Hash: 5c1e07a2:800,"+fmt.Sprintf("%x", hash(id))+":660"), body, 27*time.Second)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of[id] = r
	seen := fmt.Sprint(r.status)
	if r.err != nil {
		seen = "cut"
	}
	if strings.Count(r.body, "\n\n") == events && r.err == nil && r.status == http.StatusOK {
		a.whole++
		seen = "whole"
	}
	a.by[seen]++
	h.log("%s answered %s (status %d, %d events)", id, seen, r.status, strings.Count(r.body, "\n\n"))
}

func hash(id string) uint32 {
	n := uint32(2166136261)
	for _, b := range []byte(id) {
		n = (n ^ uint32(b)) * 16777619
	}
	return n | 1<<31
}

// generate answers a request with a stream; it goes on after the last event that the client has.
func generate(c *channel, r *http.Request, id string, events int, gap time.Duration) bool {
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	if !c.beginStream(id) {
		return false
	}
	for n := last + 1; n <= events; n++ {
		time.Sleep(gap)
		if !c.event(n, id) {
			return false
		}
	}
	return c.endStream()
}

// streamClients runs streams with a number of clients on kept channels, each at an interval, until the time is over.
func streamClients(h *harness, v *vm, a *answered, clients int, every, length time.Duration, events int, mark func(n int) string) {
	var group sync.WaitGroup
	end := time.Now().Add(length)
	var mu sync.Mutex
	n := 0
	for i := range clients {
		group.Go(func() {
			c := &client{vm: v}
			defer c.close()
			time.Sleep(time.Duration(i) * every / time.Duration(clients))
			for time.Now().Before(end) {
				next := time.Now().Add(every)
				mu.Lock()
				n++
				id := mark(n)
				mu.Unlock()
				a.stream(h, c, id, events)
				time.Sleep(time.Until(next))
			}
		})
	}
	group.Wait()
}

// extra: a worker that is full rejects a stream that must not run twice, and, as it is faulty, sends that answer a second time, late.  The
// stream is sent to it again on the same channel, where the late answer bears the identifier of the very request that now runs.
func extra(h *harness) error {
	const (
		events = 20
		gap    = 5 * time.Millisecond
		marked = 80 // one stream in so many meets full workers
		// The disturbance lasts for 5 s at a time.
		garbleTime, garbleEvery = 5 * time.Second, 6 * time.Second
	)
	h.store = newStore(500)
	h.store.put("config", "main", config([]map[string]any{route("r-notes", "/lohu930/", "streaming", "svc-llm", 25000, 4500, 5, false)}, engineService("svc-llm", 12)))
	ran := newRuns()
	seen := map[string]bool{}
	began, ofFaulty := time.Now(), 0
	handle := func(c *channel, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Attempt-Id")
		ran.mu.Lock()
		ran.all++
		full := strings.HasPrefix(id, "full-") && !seen[id+c.worker.id]
		seen[id+c.worker.id] = true
		faulty := h.trouble && full && c.worker.n == 0 && time.Since(began)%garbleEvery < garbleTime
		if c.worker.n == 0 {
			ofFaulty++
		}
		if full {
			ran.shed++
		}
		if faulty {
			ran.odd++
		}
		ran.mu.Unlock()
		if full {
			header := map[string]string{"Attempt-Id": id, "Not-Executed": "1"}
			ok := c.answer(http.StatusServiceUnavailable, header, "")
			if faulty {
				c.extra = response(http.StatusServiceUnavailable, header, "")
			}
			h.log("%s is full and rejects %s; late second answer: %v", c.worker.id, id, faulty)
			return ok
		}
		ran.begin(id, c.worker)
		h.log("%s runs %s", c.worker.id, id)
		return generate(c, r, id, events, gap)
	}
	for n := range 2 {
		if _, err := h.addWorker(n, "svc-llm", "shubra", 12, handle); err != nil {
			return err
		}
	}
	v, err := h.addVM("edge-shubra-1", "shubra", 206, 700)
	if err != nil {
		return err
	}
	if err := h.startAll(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	a := &answered{by: map[string]int{}, of: map[string]result{}}
	streamClients(h, v, a, 4, 150*time.Millisecond, 30*time.Second, events, func(n int) string {
		if n%marked == 0 {
			return fmt.Sprintf("full-%d", n)
		}
		return fmt.Sprintf("notes-%d", n)
	})
	h.log("streams sent %d, seen by clients %v; answers of workers %d, rejections %d; answers of the faulty worker %d, late second answers %d", a.sent, a.by, ran.all,
		ran.shed, ofFaulty, ran.odd)
	if a.whole < a.sent*9/10 {
		return fmt.Errorf("only %d of %d streams came whole", a.whole, a.sent)
	}
	twice, refused := 0, 0
	for id, list := range ran.of {
		if len(list) > 1 {
			twice++
			h.log("TWICE: %s ran %d times: at %s, and again %d ms later at %s; the client saw status %d", id, len(list), list[0].worker.id,
				list[1].at.Sub(list[0].at).Milliseconds(), list[1].worker.id, a.of[id].status)
		}
		if s := a.of[id].status; s == 503 || s == 429 {
			refused++
			h.log("REFUSED: %s ran and was answered %d", id, s)
		}
	}
	if twice+refused > 0 {
		return fmt.Errorf("%w: TWICE: %d streams that may not be resumed ran more than once; REFUSED: %d were answered 503 and had run", errBroken, twice, refused)
	}
	return nil
}

// attempts: workers run streams and their answers are lost.  The route allows two workers for one client attempt.
func attempts(h *harness) error {
	const (
		workers = 5
		faulty  = 3 // share 0.6
		lose    = 0.4
		allowed = 2
		events  = 10
	)
	h.store = newStore(500)
	h.store.put("config", "main", config([]map[string]any{route("r-notes", "/lohu930/", "streaming", "svc-llm", 25000, 4500, allowed, true)}, engineService("svc-llm", 12)))
	ran := newRuns()
	var began time.Time
	random := rand.New(rand.NewSource(1))
	handle := func(c *channel, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Attempt-Id")
		ran.begin(id, c.worker)
		ran.mu.Lock()
		ran.all++
		// Three times 4 s of answer_lost, 11 s apart.
		since := time.Since(began)
		on := !began.IsZero() && since > time.Second && (since-time.Second)%(11*time.Second) < 4*time.Second
		lost := h.trouble && on && c.worker.n < faulty && random.Float64() < lose
		if lost {
			ran.odd++
		}
		ran.mu.Unlock()
		h.log("%s runs %s; its answer is lost: %v", c.worker.id, id, lost)
		if lost {
			time.Sleep(10 * time.Millisecond)
			c.reset()
			return false
		}
		return generate(c, r, id, events, 5*time.Millisecond)
	}
	for n := range workers {
		if _, err := h.addWorker(n, "svc-llm", "shubra", 12, handle); err != nil {
			return err
		}
	}
	for n, zone := range []string{"shubra", "shubra", "helwan", "helwan", "giza", "giza"} {
		if _, err := h.addVM(fmt.Sprintf("edge-%s-%d", zone, n+1), zone, 206, 700); err != nil {
			return err
		}
	}
	if err := h.startAll(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	ran.mu.Lock()
	began = time.Now()
	ran.mu.Unlock()
	a := &answered{by: map[string]int{}, of: map[string]result{}}
	var group sync.WaitGroup
	for _, v := range h.vms {
		group.Go(func() {
			streamClients(h, v, a, 16, 200*time.Millisecond, 33*time.Second, events, func(n int) string { return fmt.Sprintf("notes-%s-%d", v.name, n) })
		})
	}
	group.Wait()
	h.log("streams sent %d, seen by clients %v; answers of workers %d, lost %d", a.sent, a.by, ran.all, ran.odd)
	over := 0
	for id := range ran.of {
		if list := ran.workersOf(id); len(list) > allowed {
			over++
			h.log("BUDGET: %s ran on %d workers: %s", id, len(list), strings.Join(list, " "))
		}
	}
	if a.whole < a.sent/2 {
		return fmt.Errorf("only %d of %d streams came whole", a.whole, a.sent)
	}
	if over > 3 {
		return fmt.Errorf("%w: BUDGET: %d streams ran, in one client attempt, on more workers than the %d of their route", errBroken, over, allowed)
	}
	return nil
}
