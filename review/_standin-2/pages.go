package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// arrivals records which request reached which worker when.
type arrival struct {
	id     string
	worker *worker
	at     time.Time
}

// pages: workers of a large service leave one after the other (scale_in).  Meanwhile, in one zone after the other, the VM that reads the
// store is killed and starts again.  It lists the workers in two pages; it never learns that a worker of the first page leaves between the
// two.
func pages(h *harness) error {
	const (
		workers    = 560
		pageSize   = 500                // "about 500"
		leaving    = workers * 13 / 100 // the sheet's share of a scale_in
		leavingGap = 30 * time.Millisecond
		leaveAfter = 1700 * time.Millisecond // after the first zone's turn has begun
		linger     = 12 * time.Second        // "a little longer (at times many seconds)"
		linkMbps   = 10
		perVM      = 200 // requests a second
		killGap    = 550 * time.Millisecond
		restart    = 500 * time.Millisecond // "restarted after a short delay"
		work       = 5 * time.Millisecond
	)
	h.store = newStore(pageSize)
	h.store.onPage = func(vm, kind string, first, last string, at int64, took time.Duration) {
		h.log("page of %s for %s: %s to %s at %d, took %d ms", kind, vm, first, last, at, took.Milliseconds())
	}
	var mu sync.Mutex
	var seen []arrival
	handle := func(c *channel, r *http.Request) bool {
		id := r.Header.Get("Attempt-Id")
		mu.Lock()
		seen = append(seen, arrival{id, c.worker, time.Now()})
		mu.Unlock()
		time.Sleep(work)
		return c.answer(200, map[string]string{"Attempt-Id": id, "Server-Seal": c.worker.id + "." + id}, "status of drum "+id)
	}
	h.store.put("config", "main", config([]map[string]any{route("r-status", "/puxa403/", "safe", "svc-app", 2500, 150, 2, false)}, plainService("svc-app")))
	var all []*worker
	zones := []string{"shubra", "helwan", "giza"}
	for n := range workers {
		w, err := h.addWorker(n, "svc-app", zones[n%len(zones)], 6, handle)
		if err != nil {
			return err
		}
		all = append(all, w)
	}
	for _, zone := range zones {
		if _, err := h.addVM("edge-"+zone, zone, 136, linkMbps); err != nil {
			return err
		}
	}
	if err := h.startAll(); err != nil {
		return err
	}

	// The clients: each keeps a channel to one VM.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	vmOf := map[string]*vm{}
	sent, answered := 0, map[int]int{}
	for _, v := range h.vms {
		const perClient = 15
		for n := range perClient {
			clients.Go(func() {
				c := &client{vm: v}
				defer c.close()
				ticker := time.NewTicker(time.Second * perClient / perVM)
				defer ticker.Stop()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-ticker.C:
					}
					if v.isDown() {
						c.close()
						continue
					}
					id := fmt.Sprintf("%s-%d-%d", v.name, n, i)
					mu.Lock()
					vmOf[id] = v
					sent++
					mu.Unlock()
					r := c.do(head(http.MethodGet, "/puxa403/"+id, id, 2500, 0), nil, 3*time.Second)
					mu.Lock()
					answered[r.status]++
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(6 * time.Second)

	// The readers are killed and start again; the workers leave while they do.
	var left sync.WaitGroup
	left.Go(func() {
		time.Sleep(leaveAfter)
		for _, n := range rand.Perm(workers)[:leaving] {
			w := all[n]
			w.register("draining")
			w.mu.Lock()
			w.leftAt = time.Now()
			w.mu.Unlock()
			h.log("%s reports draining", w.id)
			left.Go(func() {
				time.Sleep(drainTime + linger)
				h.store.remove("servers", w.id)
				w.exit()
			})
			time.Sleep(leavingGap)
		}
	})
	for n := range zones {
		time.Sleep(killGap)
		v, err := h.awaitReader(h.vms[n : n+1])
		if err != nil {
			return err
		}
		h.log("%s reads the store in %s", v.name, v.zone)
		if h.trouble {
			v.kill()
			left.Go(func() {
				time.Sleep(restart)
				if err := v.restart(); err != nil {
					h.log("%s: %v", v.name, err)
				}
			})
		}
	}
	left.Wait()
	close(stop)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	h.log("requests sent %d, answers by status %v, arrivals at workers %d", sent, answered, len(seen))
	late, byWorker := 0, map[string]int{}
	for _, a := range seen {
		if a.worker.leftAt.IsZero() || a.at.Sub(a.worker.leftAt) <= drainTime {
			continue
		}
		v := vmOf[a.id]
		if v == nil || !v.inTouch(a.at) {
			continue
		}
		late++
		byWorker[a.worker.id]++
		h.log("late: %s reached %s from %s, %d ms after the store accepted that it drains", a.id, a.worker.id, v.name, a.at.Sub(a.worker.leftAt).Milliseconds())
	}
	if answered[200] < sent*9/10 {
		return fmt.Errorf("only %d of %d requests were answered", answered[200], sent)
	}
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached %d draining workers more than %v after the ack, from VMs in touch", errBroken, late, len(byWorker), drainTime)
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
