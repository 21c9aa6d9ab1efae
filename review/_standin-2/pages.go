package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// arrival records which request reached which worker when.
type arrival struct {
	id     string
	worker *worker
	at     time.Time
}

const (
	pageWorkers = 560
	leaving     = pageWorkers * 13 / 100 // the sheet's share of a scale_in
	leavingGap  = 30 * time.Millisecond
	leaveAfter  = 1700 * time.Millisecond // after the first zone's turn has begun
	linger      = 12 * time.Second        // "a little longer (at times many seconds)"
	perVM       = 200                     // requests a second
	killGap     = 550 * time.Millisecond
	restartTime = 500 * time.Millisecond // "restarted after a short delay"
	pageWork    = 200 * time.Millisecond // the sheet has up to 220 ms
)

// pagesCase is the traffic of the case pages.
type pagesCase struct {
	harness *harness
	workers []*worker
	stop    chan struct{}

	mu       sync.Mutex
	seen     []arrival
	vmOf     map[string]*vm
	sent     int
	answered map[int]int
	// cut holds the requests whose worker exited while it ran them.
	cut map[string]bool
}

// pages: workers of a large service leave one after the other (scale_in).  Meanwhile, in one zone after the other, the VM that reads the
// store is killed and starts again.  It lists the workers in two pages; it never learns that a worker of the first page leaves between the
// two.
func pages(h *harness) error {
	const linkMbps = 10
	h.store = newStore()
	h.logPages()
	p := &pagesCase{harness: h, stop: make(chan struct{}), vmOf: map[string]*vm{}, answered: map[int]int{}, cut: map[string]bool{}}
	h.store.put(kindConfig, mainName, config([]map[string]any{route("r-credit", plainPath, "unsafe", app, 2500, 150, 1, false)}, plainService()))
	if err := h.addWorkers(0, pageWorkers, app, zones, 6, p.run); err != nil {
		return err
	}
	p.workers = h.workers
	for _, zone := range zones {
		if _, err := h.addVM("edge-"+zone, zone, 136, linkMbps); err != nil {
			return err
		}
	}
	if err := h.startAll(); err != nil {
		return err
	}
	var clients sync.WaitGroup
	const perClient = 60
	for _, v := range h.vms {
		for n := range perClient {
			clients.Go(func() { p.client(v, n, time.Second*perClient/perVM) })
		}
	}
	time.Sleep(6 * time.Second)

	// The readers are killed and start again; the workers leave while they do.
	var left sync.WaitGroup
	left.Go(func() { p.scaleIn(&left) })
	for n, zone := range zones {
		time.Sleep(killGap)
		if err := p.killReader(zone, h.vms[n:n+1], &left); err != nil {
			return err
		}
	}
	left.Wait()
	close(p.stop)
	clients.Wait()
	return p.judge()
}

// run answers a request at a worker.
func (p *pagesCase) run(c *channel, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(headerID)
	p.mu.Lock()
	p.seen = append(p.seen, arrival{id, c.worker, time.Now()})
	p.mu.Unlock()
	p.harness.log("%s runs %s", c.worker.id, id)
	time.Sleep(pageWork)
	if c.answer(200, map[string]string{headerID: id, headerSeal: c.worker.id + "." + id}, "credit "+id) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[id] = true
	return false
}

// client sends requests to a VM on a kept channel, as long as the case has not killed it.
func (p *pagesCase) client(v *vm, n int, every time.Duration) {
	c := &client{vm: v}
	defer c.close()
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
		if v.isDown() {
			c.close()
			continue
		}
		id := fmt.Sprintf("%s-%d-%d", v.name, n, i)
		p.mu.Lock()
		p.vmOf[id] = v
		p.sent++
		p.mu.Unlock()
		r := c.do(head(http.MethodPost, plainPath+id, id, 2500, 6), []byte("credit"), 3*time.Second)
		p.mu.Lock()
		p.answered[r.status]++
		p.mu.Unlock()
	}
}

// scaleIn lets a share of the workers leave, one after the other.
func (p *pagesCase) scaleIn(left *sync.WaitGroup) {
	time.Sleep(leaveAfter)
	for _, n := range rand.Perm(pageWorkers)[:leaving] {
		w := p.workers[n]
		w.register("draining")
		w.mu.Lock()
		w.leftAt = time.Now()
		w.mu.Unlock()
		p.harness.log("%s reports draining", w.id)
		left.Go(func() {
			time.Sleep(drainTime + linger)
			p.harness.store.remove(kindServers, w.id)
			w.exit()
		})
		time.Sleep(leavingGap)
	}
}

// killReader kills the VM of a zone that reads the store and starts it again.
func (p *pagesCase) killReader(zone string, vms []*vm, left *sync.WaitGroup) error {
	h := p.harness
	v, err := h.awaitReader(vms)
	if err != nil {
		return err
	}
	h.log("%s reads the store in %s", v.name, zone)
	if !h.trouble {
		return nil
	}
	v.kill()
	left.Go(func() {
		time.Sleep(restartTime)
		if err := v.restart(); err != nil {
			h.log("%s: %v", v.name, err)
		}
	})
	return nil
}

func (p *pagesCase) judge() error {
	h := p.harness
	p.mu.Lock()
	defer p.mu.Unlock()
	h.log("requests sent %d, answers by status %v, arrivals at workers %d", p.sent, p.answered, len(p.seen))
	late, lost, byWorker := 0, 0, map[string]int{}
	for _, a := range p.seen {
		v := p.vmOf[a.id]
		if a.worker.leftAt.IsZero() || a.at.Sub(a.worker.leftAt) <= drainTime || v == nil || !v.inTouch(a.at) {
			continue
		}
		late++
		byWorker[a.worker.id]++
		if p.cut[a.id] {
			lost++
		}
		h.log("late: %s reached %s from %s, %d ms after the store accepted that it drains", a.id, a.worker.id, v.name, a.at.Sub(a.worker.leftAt).Milliseconds())
	}
	if p.answered[200] < p.sent*9/10 {
		return fmt.Errorf("only %d of %d requests were answered", p.answered[200], p.sent)
	}
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d unsafe requests reached %d draining workers more than %v after the ack, from VMs in touch; %d of them were cut",
			errBroken, late, len(byWorker), drainTime, lost)
	}
	return nil
}

// awaitReader returns the one of the VMs of a zone that watches the workers in the store.
func (h *harness) awaitReader(vms []*vm) (*vm, error) {
	for range 200 { // it pauses between two watches
		for _, v := range vms {
			if h.store.reader([]string{v.name}) != "" {
				return v, nil
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil, fmt.Errorf("nobody reads the store in %s", vms[0].zone)
}
