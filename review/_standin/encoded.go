package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// encodedStream: some workers hand out some streams with a Content-Encoding, which PROTOCOL says is not the worker's body.
// The check is MIXED: a success whose body is not the worker's whole body.
func encodedStream(w *world) {
	storeAddress := w.serveStore()
	zones := []string{"shubra", "helwan", "giza"}
	w.store.put("config", "main", config(7))
	var workers []*worker
	for i := range 12 {
		workers = append(workers, w.addWorker("llm", zones[i%3], fmt.Sprintf("i-%08x", 0x10000000+i)))
	}
	var seeds []string
	for _, z := range zones {
		v := w.addVM(z, storeAddress, zones, seeds)
		seeds = append(seeds, v.ip)
	}
	for _, v := range w.vms {
		v.start()
	}
	w.awaitReady()
	time.Sleep(time.Second)
	// share 0.6 of the workers, 0.03 of their answers, 5 s at a time
	garble := func(on bool) {
		every := int64(0)
		if on {
			every = 33
		}
		for _, k := range workers[:7] {
			k.encodeEvery.Store(every)
		}
		w.note("trouble", "kind", "garble", "on", on, "workers", 7, "of", len(workers), "each so many-th answer", every)
	}
	if w.trouble {
		go func() {
			for range 3 {
				time.Sleep(2 * time.Second)
				garble(true)
				time.Sleep(5 * time.Second)
				garble(false)
				time.Sleep(2 * time.Second)
			}
		}()
	}
	var (
		mu      sync.Mutex
		group   sync.WaitGroup
		all     []answer
		began   = time.Now()
		sending = 28 * time.Second
	)
	for n := 0; time.Since(began) < sending; n++ {
		v := w.vms[n%len(w.vms)]
		group.Go(func() {
			a := w.send(v, "POST", "/stream/2f", 25*time.Second, "the prompt", map[string]string{
				"Model": "m", "Token-Usage": "1460,280", "Prefix-Hash": fmt.Sprintf("5c1e07a2:800,%08x:660", rand.Uint32()),
			})
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	whole, wrong, failed := 0, 0, 0
	for _, a := range all {
		expected := ""
		for n := 1; n <= workers[0].events; n++ {
			expected += workers[0].eventText(a.attempt, n)
		}
		switch {
		case a.complete && a.status == 200 && a.body == expected:
			whole++
		case a.complete && a.status >= 200 && a.status < 300:
			wrong++
			w.note("rule broken", "rule", "MIXED", "attempt", a.attempt, "status", a.status, "seal", a.header.Get("Server-Seal"), "bytes", len(a.body),
				"bytes of the worker's body", len(expected))
		default:
			failed++
		}
	}
	w.finish(wrong > 0, fmt.Sprintf("%d streams: %d whole, %d a complete success with another body than the worker's, %d failed", len(all), whole, wrong, failed))
}
