package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// memoryLimitMB is memory_mb of the settings.
const memoryLimitMB = 206

// memoryOf returns the resident memory of a process in MB.
func memoryOf(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return n / 1024
		}
	}
	return 0
}

// watchMemory does what DEPLOY says of the platform: a process that exceeds memory_mb is killed, and started again after a
// short delay.
func (v *vm) watchMemory(kills *atomic.Int64, done <-chan struct{}) {
	peak := 0
	for {
		select {
		case <-done:
			v.w.note("peak of the memory", "machine", v.name, "MB", peak)
			return
		case <-time.After(20 * time.Millisecond):
		}
		m := memoryOf(v.cmd.Process.Pid)
		peak = max(peak, m)
		if m <= memoryLimitMB {
			continue
		}
		kills.Add(1)
		v.w.note("over the memory limit", "machine", v.name, "MB", m, "limit", memoryLimitMB)
		_ = v.cmd.Process.Kill()
		<-v.exited
		time.Sleep(500 * time.Millisecond)
		v.start()
	}
}

// pacedReader reads a body at the pace of a client's own line.
type pacedReader struct {
	r    io.Reader
	pace time.Duration
}

// Read reads 64 KiB at most.
func (p *pacedReader) Read(b []byte) (int, error) {
	time.Sleep(p.pace)
	return p.r.Read(b[:min(len(b), 64<<10)])
}

// keptChannel is one channel of a client, kept for many requests.
type keptChannel struct {
	w *world
	v *vm
	c http.Client
}

func (k *keptChannel) stream(body io.Reader, size int64) answer {
	a := answer{attempt: fmt.Sprintf("%016x", rand.Uint64())}
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+k.v.front+"/stream/2f", body)
	if err != nil {
		k.w.cannotRun(err)
	}
	r.ContentLength, r.Host = size, "ficu95.example"
	for name, value := range map[string]string{
		"Attempt-Id": a.attempt, "Deadline-Ms": "25000", "X-Api-Key": "xd9dnn2ctnfzs989anu6", "Model": "m", "Token-Usage": "5200,280",
		"Prefix-Hash": fmt.Sprintf("5c1e07a2:200,%08x:5000", rand.Uint32()),
	} {
		r.Header.Set(name, value)
	}
	k.w.note("sent", "attempt", a.attempt, "machine", k.v.name, "body", size)
	began := time.Now()
	answered, err := k.c.Do(r)
	if err != nil {
		a.err = err
	} else {
		raw, err := io.ReadAll(answered.Body)
		_ = answered.Body.Close()
		a.status, a.body, a.complete, a.err = answered.StatusCode, string(raw), err == nil, err
	}
	a.took = time.Since(began)
	k.w.note("answered", "attempt", a.attempt, "status", a.status, "bytes", len(a.body), "complete", a.complete, "error", fmt.Sprint(a.err),
		"tookMs", a.took.Milliseconds())
	return a
}

// longBodies: many users come at once, with bodies as long as the config allows. The platform kills processes over their
// memory. The check is LOST: more than three requests of other clients that were passed on from kept channels to sound
// workers, and whose channels were closed without an answer.
func longBodies(w *world) {
	storeAddress := w.serveStore()
	zones := []string{"shubra", "helwan", "giza"}
	w.store.put("config", "main", config(7))
	var workers []*worker
	for i := range 18 {
		k := w.addWorker("llm", zones[i%3], fmt.Sprintf("i-%08x", 0x10000000+i))
		k.prefill = time.Second
		workers = append(workers, k)
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
	var (
		kills  atomic.Int64
		done   = make(chan struct{})
		watch  sync.WaitGroup
		group  sync.WaitGroup
		mu     sync.Mutex
		all    []answer
		began  = time.Now()
		length = 36 * time.Second
	)
	for _, v := range w.vms {
		watch.Go(func() { v.watchMemory(&kills, done) })
	}
	// the usual clients: five of each zone, each with a channel that it keeps
	for i := range 15 {
		k := &keptChannel{w: w, v: w.vms[i%3]}
		k.c.Transport = &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
		group.Go(func() {
			time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			for time.Since(began) < length {
				body := bytes.Repeat([]byte("m"), 5000)
				a := k.stream(bytes.NewReader(body), int64(len(body)))
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				if a.status != 200 || a.err != nil {
					time.Sleep(time.Second)
				}
			}
		})
	}
	if w.trouble {
		for n := range 3 {
			time.AfterFunc(4*time.Second+time.Duration(n)*11*time.Second, func() {
				w.note("trouble", "kind", "burst", "users", 150)
				for i := range 150 {
					k := &keptChannel{w: w, v: w.vms[i%3]}
					k.c.Transport = &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
					// about 8 Mbit/s a user: 50 of them take 400 of the 700 Mbit/s of a machine
					body := bytes.Repeat([]byte("m"), 4<<20)
					go k.stream(&pacedReader{bytes.NewReader(body), 65 * time.Millisecond}, int64(len(body)))
				}
			})
		}
	}
	group.Wait()
	close(done)
	watch.Wait()
	whole, other, lost := 0, 0, 0
	for _, a := range all {
		ran := 0
		for _, k := range workers {
			k.mu.Lock()
			ran += k.runs[a.attempt]
			k.mu.Unlock()
		}
		switch {
		case a.complete && a.status == 200:
			whole++
		case ran > 0 && a.err != nil && a.status == 0:
			lost++
			w.note("lost", "rule", "LOST", "attempt", a.attempt, "tookMs", a.took.Milliseconds(), "error", fmt.Sprint(a.err))
		default:
			other++
		}
	}
	w.finish(lost > 3, fmt.Sprintf("%d streams of the usual clients: %d whole, %d passed on and closed without an answer, %d others; processes over their memory: %d",
		len(all), whole, lost, other, kills.Load()))
}
