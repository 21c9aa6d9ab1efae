package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// randomTime returns a time with a mean.
func randomTime(mean float64) time.Duration {
	return time.Duration(rand.ExpFloat64() * mean)
}

// places is the room of a worker: some requests run, some wait, and more are rejected.  Other machines use it too.
type places struct {
	mu                 sync.Mutex
	running, waiting   int
	slots, queue       int
	freed              *sync.Cond
	taken, turnedAway  int // requests of other machines
	answers, doubled   int // in the disturbance, of this worker
	doubledMost        float64
	windowOf, inWindow int
	doubledInWindow    int
}

func newPlaces(slots, queue int) *places {
	p := &places{slots: slots, queue: queue}
	p.freed = sync.NewCond(&p.mu)
	return p
}

// enter waits for a slot; it returns false if the worker is full.
func (p *places) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == p.slots && p.waiting == p.queue {
		return false
	}
	p.waiting++
	for p.running == p.slots {
		p.freed.Wait()
	}
	p.waiting--
	p.running++
	return true
}

func (p *places) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.freed.Signal()
}

// others plays the requests of other machines: they come at random, perSecond(now) on average, and each takes work.
func (p *places) others(stop <-chan struct{}, perSecond func(time.Time) float64, work time.Duration) {
	next := time.Now()
	for {
		next = next.Add(randomTime(float64(time.Second) / perSecond(next)))
		select {
		case <-stop:
			return
		case <-time.After(time.Until(next)):
		}
		go func() {
			full := !p.enter()
			p.mu.Lock()
			if full {
				p.turnedAway++
			} else {
				p.taken++
			}
			p.mu.Unlock()
			if !full {
				time.Sleep(randomTime(float64(work)))
				p.leave()
			}
		}()
	}
}

// double decides for each answer in the disturbance whether it comes twice, never more than share of those so far in a window.
func (p *places) double(window int, share float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if window != p.windowOf {
		p.windowOf, p.inWindow, p.doubledInWindow = window, 0, 0
	}
	p.answers++
	p.inWindow++
	if float64(p.doubledInWindow+1) > share*float64(p.inWindow) {
		return false
	}
	p.doubledInWindow++
	p.doubled++
	p.doubledMost = max(p.doubledMost, float64(p.doubledInWindow)/float64(p.inWindow))
	return true
}

const (
	extraEvents  = 5
	extraGap     = 4 * time.Millisecond
	extraSlots   = engineSlots
	extraQueue   = 25
	doubledShare = 0.03
	// The disturbance lasts for 5 s at a time.
	garbleTime  = 5 * time.Second
	garbleEvery = 6 * time.Second
	// In each of these times the other machines send more for a while.
	usualLoad  = 0.75 // of what the slots can do
	burstLoad  = 1.7  // of the usual load
	burstAfter = time.Second
	burstTime  = 3 * time.Second
)

// fullWorkers are the workers of the case extra; the first one is faulty in the disturbance.
type fullWorkers struct {
	harness *harness
	ran     *runs
	rooms   []*places
	began   time.Time
}

// extra: two workers are busy, full in bursts, and reject what finds no place.  One of them is faulty: some answers come a second time,
// late.  When both have rejected a stream that must not run twice, it is sent to the faulty one again on the same channel, where the late
// rejection bears the identifier of the very request that now runs.
func extra(h *harness) error {
	const (
		work = 20 * time.Millisecond // of a request of another machine
		vms  = 15
	)
	h.store = newStore()
	h.store.put(kindConfig, mainName, config([]map[string]any{route("r-notes", streamPath, "streaming", llm, 25000, 4500, 5, false)},
		engineService()))
	f := &fullWorkers{
		harness: h, ran: newRuns(), began: time.Now(),
		rooms: []*places{newPlaces(extraSlots, extraQueue), newPlaces(extraSlots, extraQueue)},
	}
	if err := h.addWorkers(0, len(f.rooms), llm, []string{zoneShubra}, extraSlots, f.run); err != nil {
		return err
	}
	for n := range vms {
		if _, err := h.addVM(fmt.Sprintf("edge-shubra-%d", n+1), zoneShubra, 206, 700); err != nil {
			return err
		}
	}
	if err := h.startAll(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	defer close(stop)
	for _, room := range f.rooms {
		go room.others(stop, func(at time.Time) float64 { return f.load(at) * extraSlots / work.Seconds() }, work)
	}
	time.Sleep(time.Second)
	a := h.streamsAtAll(2, 100*time.Millisecond, 62*time.Second, extraEvents)
	time.Sleep(100 * time.Millisecond)
	return f.judge(a)
}

// load returns what other machines send, of what the slots can do.
func (f *fullWorkers) load(at time.Time) float64 {
	in := at.Sub(f.began)%garbleEvery - burstAfter
	if f.harness.trouble && in >= 0 && in < burstTime {
		return usualLoad * burstLoad
	}
	return usualLoad
}

// run runs a stream at a worker, or rejects it if the worker is full.
func (f *fullWorkers) run(c *channel, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(headerID)
	room := f.rooms[c.worker.n]
	since := time.Since(f.began)
	twice := f.harness.trouble && c.worker.n == 0 && since%garbleEvery < garbleTime && room.double(int(since/garbleEvery), doubledShare)
	f.ran.mu.Lock()
	f.ran.all++
	f.ran.mu.Unlock()
	if !room.enter() {
		header := map[string]string{headerID: id, "Not-Executed": "1"}
		ok := c.answer(http.StatusServiceUnavailable, header, "")
		if twice {
			c.extra = response(http.StatusServiceUnavailable, header, "")
		}
		f.ran.mu.Lock()
		f.ran.shed++
		f.ran.mu.Unlock()
		f.harness.log("%s is full and rejects %s; late second answer: %v", c.worker.id, id, twice)
		return ok
	}
	defer room.leave()
	f.ran.begin(id, c.worker)
	f.harness.log("%s runs %s; late second answer: %v", c.worker.id, id, twice)
	ok := generate(c, r, id, extraEvents, extraGap)
	if twice {
		c.extra = response(http.StatusOK, map[string]string{headerID: id, headerSeal: c.worker.id + "." + id}, "")
	}
	return ok
}

func (f *fullWorkers) judge(a *answered) error {
	h := f.harness
	f.ran.mu.Lock()
	defer f.ran.mu.Unlock()
	h.say("streams sent %d, seen by clients %v; answers of workers %d, rejections %d", a.sent, a.by, f.ran.all, f.ran.shed)
	for n, room := range f.rooms {
		room.mu.Lock()
		h.say("worker %d: requests of other machines taken %d, rejected %d; answers in the disturbance %d, late second answers %d, at most %.4f of those of 5 s",
			n, room.taken, room.turnedAway, room.answers, room.doubled, room.doubledMost)
		room.mu.Unlock()
	}
	if a.whole < a.sent/4 {
		return fmt.Errorf("only %d of %d streams came whole", a.whole, a.sent)
	}
	twice, refused := 0, 0
	for id, list := range f.ran.of {
		if len(list) > 1 {
			twice++
			h.log("TWICE: %s ran %d times: at %s, and again %d ms later at %s; the client saw status %d", id, len(list), list[0].worker.id,
				list[1].at.Sub(list[0].at).Milliseconds(), list[1].worker.id, a.of[id].status)
		}
		if s := a.of[id].status; s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests {
			refused++
			h.log("REFUSED: %s ran and was answered %d", id, s)
		}
	}
	if twice+refused > 0 {
		return fmt.Errorf("%w: TWICE: %d streams that may not be resumed ran more than once; REFUSED: %d were answered 503 and had run", errBroken, twice, refused)
	}
	return nil
}
