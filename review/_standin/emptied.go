package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// emptiedService: the only worker of a service is taken away without a word of its own, just after the machine that
// reads the store for its zone has been killed. The check is DRAIN: a request that reaches the worker later than drain_ms
// after the store's ack, from a machine without any disturbance.
func emptiedService(w *world) {
	storeAddress := w.serveStore()
	zones := []string{"shubra", "helwan", "giza"}
	w.store.put("config", "main", config(7))
	leaves := w.addWorker("app", "shubra", "i-10000002")
	for i := range 8 { // so that one worker is no more than 0.13 of them
		w.addWorker("llm", zones[i%3], fmt.Sprintf("i-2000000%d", i))
	}
	var seeds []string
	for range 3 {
		v := w.addVM("shubra", storeAddress, zones, seeds)
		seeds = append(seeds, v.ip)
	}
	for _, v := range w.vms {
		v.start()
	}
	w.awaitReady()
	time.Sleep(4500 * time.Millisecond)
	var reader *vm
	var others []*vm
	for _, v := range w.vms {
		if reader == nil && v.reads() {
			reader = v
		} else {
			others = append(others, v)
		}
	}
	if reader == nil {
		w.cannotRun(fmt.Errorf("no machine reads"))
	}
	w.note("reader", "machine", reader.name)
	var (
		group sync.WaitGroup
		began = time.Now()
		mu    sync.Mutex
		cut   int
		calls int
		ended bool
	)
	group.Go(func() {
		time.Sleep(2 * time.Second)
		if w.trouble {
			reader.signal(syscall.SIGKILL)
			go func() {
				<-reader.exited
				time.Sleep(3500 * time.Millisecond)
				reader.start()
			}()
		}
		time.Sleep(300 * time.Millisecond)
		w.store.remove("servers", leaves.id)
		leaves.mu.Lock()
		leaves.leftAt = time.Now()
		leaves.mu.Unlock()
		w.note("acked", "worker", leaves.id, "state", "gone")
		// it goes on serving for drain_ms and a little longer
		time.Sleep(2400 * time.Millisecond)
		mu.Lock()
		ended = true
		mu.Unlock()
		_ = leaves.server.Close()
		w.note("worker has left", "worker", leaves.id)
	})
	for time.Since(began) < 9*time.Second {
		for _, v := range others {
			calls++
			group.Go(func() {
				a := w.send(v, "POST", "/credit/2f", 2500*time.Millisecond, "credit", nil)
				mu.Lock()
				defer mu.Unlock()
				if ended && a.status == 502 {
					cut++
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	late := 0
	leaves.mu.Lock()
	for attempt, at := range leaves.arrived {
		if at.Sub(leaves.leftAt) > 2*time.Second {
			late++
			w.note("rule broken", "rule", "DRAIN", "attempt", attempt, "msAfterTheAck", at.Sub(leaves.leftAt).Milliseconds())
		}
	}
	leaves.mu.Unlock()
	w.finish(late > 0, fmt.Sprintf("%d calls at two machines without a disturbance; %d reached the worker later than 2 s after the ack, %d were cut as it exited", calls, late, cut))
}
