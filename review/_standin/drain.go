package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// reads reports whether a machine says in its dump that it reads the store for its zone.
func (v *vm) reads() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + v.ip + ":9464/dump")
	if err != nil {
		return false
	}
	raw, _ := io.ReadAll(r.Body)
	_ = r.Body.Close()
	var d struct{ Reading bool }
	return json.Unmarshal(raw, &d) == nil && d.Reading
}

// roll stops a machine as the platform does and starts it again once it has ended.
func (v *vm) roll() {
	old, exited := v.cmd, v.exited
	v.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(8 * time.Second):
		_ = old.Process.Kill()
		<-exited
	}
	time.Sleep(time.Second)
	v.start()
}

// crash ends a worker at once; it is there again after a time, as a new boot at its address.
func (k *worker) crash(back time.Duration) {
	k.w.note("worker crashes", "worker", k.id)
	_ = k.server.Close()
	time.Sleep(back)
	l, err := k.w.relisten(k.address)
	if err != nil {
		k.w.cannotRun(err)
	}
	old := k.id
	k.mu.Lock()
	k.id, k.born = old+"b", time.Now().UnixMilli()
	k.mu.Unlock()
	k.server = &http.Server{Handler: k}
	go func() { _ = k.server.Serve(l) }()
	k.register("ready")
	k.w.store.remove("servers", old)
}

// leavingWorker: of a service's two workers one leaves, the machines of the zone are restarted in turn, and the other
// worker crashes for some seconds. The check is DRAIN: a request that reaches the leaving worker later than drain_ms
// after the store's ack, from a machine that has been without a disturbance for contact_ms.
func leavingWorker(w *world) {
	storeAddress := w.serveStore()
	zones := []string{"shubra", "helwan", "giza"}
	w.store.put("config", "main", config(7))
	stays := w.addWorker("app", "helwan", "i-10000001") // the only one in its zone
	leaves := w.addWorker("app", "shubra", "i-10000002")
	for i := range 6 { // so that one worker is no more than 0.13 of them
		w.addWorker("llm", zones[i%3], fmt.Sprintf("i-2000000%d", i))
	}
	var seeds []string
	for range 2 {
		v := w.addVM("shubra", storeAddress, zones, seeds)
		seeds = append(seeds, v.ip)
	}
	for _, v := range w.vms {
		v.start()
	}
	w.awaitReady()
	time.Sleep(2500 * time.Millisecond)
	reader, second := w.vms[0], w.vms[1]
	if !reader.reads() {
		reader, second = second, reader
	}
	b := newBalancer(w, w.vms)
	w.note("reader", "machine", reader.name, "reads", reader.reads(), "other reads", second.reads())
	var (
		group, rolls sync.WaitGroup
		began        = time.Now()
		calls        atomic.Int64
		served       atomic.Int64
		ended        = make(chan struct{})
		mu           sync.Mutex
		bySecond     = map[string]bool{} // attempts that the second machine got
	)
	// drain_ms is 2 s; the worker goes on serving for some seconds more, and exits after the restarts
	readerEnded := make(chan struct{})
	group.Go(func() {
		time.Sleep(time.Second)
		leaves.register("draining")
		leaves.mu.Lock()
		leaves.leftAt, leaves.draining = time.Now(), true
		leaves.mu.Unlock()
		w.note("acked", "worker", leaves.id, "state", "draining")
		<-readerEnded
		time.Sleep(950 * time.Millisecond)
		_ = leaves.server.Close()
		w.store.remove("servers", leaves.id)
		w.note("worker has left", "worker", leaves.id)
	})
	rolls.Go(func() {
		time.Sleep(1300 * time.Millisecond)
		second.roll()
		second.mu.Lock()
		second.startedAt = time.Now()
		second.mu.Unlock()
		for !second.isReady() {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		if w.trouble {
			go stays.crash(4500 * time.Millisecond)
		}
		exited := reader.exited
		go func() { <-exited; close(readerEnded) }()
		reader.roll()
	})
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
			}
			v := b.pick()
			calls.Add(1)
			group.Go(func() {
				a := w.send(v, "POST", "/credit/2f", 2500*time.Millisecond, "credit", nil)
				if a.status == 200 {
					served.Add(1)
				}
				if v == second {
					mu.Lock()
					bySecond[a.attempt] = true
					mu.Unlock()
				}
			})
		}
	}()
	rolls.Wait()
	time.Sleep(max(0, 17*time.Second-time.Since(began)))
	close(ended)
	group.Wait()
	late := 0
	second.mu.Lock()
	startedAt := second.startedAt
	second.mu.Unlock()
	leaves.mu.Lock()
	for attempt, at := range leaves.arrived {
		if bySecond[attempt] && at.Sub(leaves.leftAt) > 2*time.Second && at.Sub(startedAt) > 3*time.Second {
			late++
			w.note("rule broken", "rule", "DRAIN", "attempt", attempt, "msAfterTheAck", at.Sub(leaves.leftAt).Milliseconds(),
				"msAfterTheStart", at.Sub(startedAt).Milliseconds())
		}
	}
	leaves.mu.Unlock()
	w.finish(late > 0, fmt.Sprintf("%d calls at the machine, %d answered with success; %d reached the leaving worker later than 2 s after the ack", calls.Load(), served.Load(), late))
}
