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
	mu  sync.Mutex
	of  map[string][]arrival
	all int // answers of all workers
	odd int // answers that were lost
	// ofFaulty counts the answers of the faulty workers in the disturbance.
	ofFaulty int
	shed     int
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
	r := c.do(head(http.MethodPost, streamPath+id, id, 25000, len(body), model, usage, "Prefix-Hash: 5c1e07a2:800,"+fmt.Sprintf("%x", hash(id))+":660"), body, 27*time.Second)
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

// lostAnswers are the runs of the case attempts: faulty workers lose the answers of some streams that they run.
type lostAnswers struct {
	harness *harness
	ran     *runs
	random  *rand.Rand
	began   time.Time
}

const (
	attemptWorkers = 5
	attemptFaulty  = 3    // share 0.6
	attemptLose    = 0.38 // below the 0.4 of the site file
	attemptAllowed = 2
	attemptEvents  = 10
)

// attempts: workers run streams and their answers are lost.  The route allows two workers for one client attempt.
func attempts(h *harness) error {
	h.store = newStore()
	h.store.put(kindConfig, mainName, config([]map[string]any{route("r-notes", streamPath, "streaming", llm, 25000, 4500, attemptAllowed, true)},
		engineService()))
	l := &lostAnswers{harness: h, ran: newRuns(), random: rand.New(rand.NewSource(1))}
	if err := h.addWorkers(0, attemptWorkers, llm, []string{zoneShubra}, 12, l.run); err != nil {
		return err
	}
	for n := range 2 * len(zones) {
		zone := zones[n/2]
		if _, err := h.addVM(fmt.Sprintf("edge-%s-%d", zone, n+1), zone, 206, 700); err != nil {
			return err
		}
	}
	if err := h.startAll(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	l.ran.mu.Lock()
	l.began = time.Now()
	l.ran.mu.Unlock()
	a := h.streamsAtAll(16, 200*time.Millisecond, 15*time.Second, attemptEvents)
	return l.judge(a)
}

// run runs a stream at a worker, or loses its answer.
func (l *lostAnswers) run(c *channel, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(headerID)
	l.ran.begin(id, c.worker)
	l.ran.mu.Lock()
	l.ran.all++
	// 4 s of answer_lost, once.
	since := time.Since(l.began)
	on := l.harness.trouble && !l.began.IsZero() && since > time.Second && since < 5*time.Second
	lost := false
	if on && c.worker.n < attemptFaulty {
		l.ran.ofFaulty++
		lost = l.random.Float64() < attemptLose
	}
	if lost {
		l.ran.odd++
	}
	l.ran.mu.Unlock()
	l.harness.log("%s runs %s; its answer is lost: %v", c.worker.id, id, lost)
	if lost {
		time.Sleep(10 * time.Millisecond)
		c.reset()
		return false
	}
	return generate(c, r, id, attemptEvents, 5*time.Millisecond)
}

func (l *lostAnswers) judge(a *answered) error {
	h := l.harness
	h.say("streams sent %d, seen by clients %v; answers of workers %d; of the faulty ones in the disturbance %d, lost %d", a.sent, a.by, l.ran.all,
		l.ran.ofFaulty, l.ran.odd)
	over := 0
	for id := range l.ran.of {
		if list := l.ran.workersOf(id); len(list) > attemptAllowed {
			over++
			h.log("BUDGET: %s ran on %d workers: %s", id, len(list), strings.Join(list, " "))
		}
	}
	if a.whole < a.sent/2 {
		return fmt.Errorf("only %d of %d streams came whole", a.whole, a.sent)
	}
	if over > 3 {
		return fmt.Errorf("%w: BUDGET: %d streams ran, in one client attempt, on more workers than the %d of their route", errBroken, over, attemptAllowed)
	}
	return nil
}

// streamsAtAll runs streams with a number of clients at each VM and returns what they saw.
func (h *harness) streamsAtAll(clients int, every, length time.Duration, events int) *answered {
	a := &answered{by: map[string]int{}, of: map[string]result{}}
	var group sync.WaitGroup
	for _, v := range h.vms {
		group.Go(func() {
			streamClients(h, v, a, clients, every, length, events, func(n int) string { return fmt.Sprintf("notes-%s-%d", v.name, n) })
		})
	}
	group.Wait()
	return a
}
