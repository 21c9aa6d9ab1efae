package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// longRequests is the traffic of the case evict: clients send long requests over one VM to workers that may read them slowly.
type longRequests struct {
	harness *harness
	vm      *vm
	// in and out pace what the clients send and what the workers read.
	in, out *link
	body    []byte
	end     time.Time

	mu sync.Mutex
	// passed holds the workers that have the header of a request.
	passed  map[string][]string
	results map[string]result
}

const (
	longBytes = 4 << 20 // max_body_bytes
	// A worker pauses each time it has read slowStep bytes.
	slowStep  = 1400 << 10
	slowPause = 2500 * time.Millisecond
	usage     = "Token-Usage: 1460,200"
	model     = "Model: m"
)

// evict: workers read long requests slowly while further clients send long requests.  What clients and workers pass stays below the rate of
// the VM's link, in both directions.
func evict(h *harness) error {
	const (
		clients  = 44
		length   = 35 * time.Second
		memoryMB = 536
		linkMbps = 200
		used     = 160 // Mbit/s, of linkMbps
	)
	h.store = newStore()
	h.store.put(kindConfig, mainName, config([]map[string]any{route("r-notes", streamPath, "streaming", llm, 25000, 4500, 5, false)}, engineService()))
	l := &longRequests{
		harness: h, in: newLink(used), out: newLink(used), body: make([]byte, longBytes), passed: map[string][]string{}, results: map[string]result{},
	}
	for i := range l.body {
		l.body[i] = 'a' + byte(i%26)
	}
	if err := h.addWorkers(0, 12, llm, []string{zoneShubra}, 12, l.run); err != nil {
		return err
	}
	v, err := h.addVM("edge-shubra-1", zoneShubra, memoryMB, linkMbps)
	if err != nil {
		return err
	}
	if err := h.startAll(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	l.vm, l.end = v, time.Now().Add(length)
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() { l.client(n) })
	}
	group.Wait()
	return l.judge()
}

// run reads a request at the worker, slowly in the disturbance, and answers it.
func (l *longRequests) run(c *channel, r *http.Request) bool {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(64 << 10) // so that a pause is one
	}
	id := r.Header.Get(headerID)
	l.mu.Lock()
	l.passed[id] = append(l.passed[id], c.worker.id)
	l.mu.Unlock()
	l.harness.log("%s has the header of %s", c.worker.id, id)
	for read := 0; ; {
		l.out.wait(linkStep)
		n, err := io.CopyN(io.Discard, r.Body, linkStep)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			l.harness.log("%s: the channel ended while the body of %s was read: %v", c.worker.id, id, err)
			return false
		}
		if before := read / slowStep; l.harness.trouble && (read+int(n))/slowStep > before {
			time.Sleep(slowPause)
		}
		read += int(n)
	}
	l.harness.log("%s runs %s", c.worker.id, id)
	return generate(c, r, id, 5, 5*time.Millisecond)
}

// client sends a short and a long request by turns on a kept channel.
func (l *longRequests) client(n int) {
	time.Sleep(time.Duration(n) * 200 * time.Millisecond)
	c := &client{vm: l.vm}
	defer c.close()
	for i := 0; time.Now().Before(l.end); i++ {
		small := fmt.Sprintf("short-%d-%d", n, i)
		r := c.do(head(http.MethodPost, streamPath+small, small, 25000, 9, model, usage), []byte("manifest "), 20*time.Second)
		if r.status != http.StatusOK || c.conn == nil {
			time.Sleep(500 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("long-%d-%d", n, i)
		r = c.doOver(l.in, head(http.MethodPost, streamPath+id, id, 25000, len(l.body), model, usage), l.body, 27*time.Second)
		l.mu.Lock()
		l.results[id] = r
		l.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (l *longRequests) judge() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost, whole, late := 0, 0, 0
	statuses := map[int]int{}
	for id, r := range l.results {
		statuses[r.status]++
		switch {
		case r.status == http.StatusOK && r.err == nil:
			whole++
		case r.status == 0 && errors.Is(r.err, os.ErrDeadlineExceeded):
			late++ // the client gave up
		case r.status == 0 && r.err != nil && len(l.passed[id]) > 0:
			lost++
			l.harness.log("LOST: %s was passed on to %v and its channel was closed without an answer: %v", id, l.passed[id], r.err)
		}
	}
	l.harness.say("long requests %d, answered whole %d, closed without an answer after they were passed on %d, given up by clients %d, by status %v",
		len(l.results), whole, lost, late, statuses)
	if whole == 0 {
		return fmt.Errorf("of %d long requests none was answered whole", len(l.results))
	}
	if lost > 3 {
		return fmt.Errorf("%w: LOST: %d requests from kept channels were passed on and their channels closed without an answer", errBroken, lost)
	}
	return nil
}
