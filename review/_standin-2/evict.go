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

// evict: workers read long requests slowly while further clients send long requests.  What clients and workers pass stays below the rate of
// the VM's link, in both directions.
func evict(h *harness) error {
	const (
		bodyBytes = 4 << 20 // max_body_bytes
		step      = 1400 << 10
		pause     = 2500 * time.Millisecond
		clients   = 44
		length    = 35 * time.Second
		events    = 5
		memoryMB  = 536
		linkMbps  = 200
		used      = 160 // Mbit/s, of linkMbps
	)
	h.store = newStore(500)
	h.store.put("config", "main", config([]map[string]any{route("r-notes", "/lohu930/", "streaming", "svc-llm", 25000, 4500, 5, false)}, engineService("svc-llm", 12)))
	in, out := newLink(used), newLink(used)
	var mu sync.Mutex
	passed := map[string][]string{}
	handle := func(c *channel, r *http.Request) bool {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.SetReadBuffer(64 << 10) // so that a pause is one
		}
		id := r.Header.Get("Attempt-Id")
		mu.Lock()
		passed[id] = append(passed[id], c.worker.id)
		mu.Unlock()
		h.log("%s has the header of %s", c.worker.id, id)
		for read := 0; ; {
			out.wait(linkStep)
			n, err := io.CopyN(io.Discard, r.Body, linkStep)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				h.log("%s: the channel ended while the body of %s was read: %v", c.worker.id, id, err)
				return false
			}
			if before := read / step; h.trouble && (read+int(n))/step > before {
				time.Sleep(pause)
			}
			read += int(n)
		}
		h.log("%s runs %s", c.worker.id, id)
		return generate(c, r, id, events, 5*time.Millisecond)
	}
	for n := range 12 {
		if _, err := h.addWorker(n, "svc-llm", "shubra", 12, handle); err != nil {
			return err
		}
	}
	v, err := h.addVM("edge-shubra-1", "shubra", memoryMB, linkMbps)
	if err != nil {
		return err
	}
	if err := h.startAll(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	var group sync.WaitGroup
	results := map[string]result{}
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	end := time.Now().Add(length)
	for n := range clients {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 200 * time.Millisecond)
			c := &client{vm: v}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				small := fmt.Sprintf("short-%d-%d", n, i)
				r := c.do(head(http.MethodPost, "/lohu930/"+small, small, 25000, 9, "Model: m", "Token-Usage: 1460,200"), []byte("manifest "), 20*time.Second)
				if r.status != http.StatusOK || c.conn == nil {
					h.log("client of %s: status %d, %v", small, r.status, r.err)
					time.Sleep(500 * time.Millisecond)
					continue
				}
				id := fmt.Sprintf("long-%d-%d", n, i)
				h.log("client sends %s on its kept channel", id)
				r = c.doOver(in, head(http.MethodPost, "/lohu930/"+id, id, 25000, len(body), "Model: m", "Token-Usage: 1460,200"), body, 27*time.Second)
				mu.Lock()
				results[id] = r
				mu.Unlock()
				h.log("client of %s: status %d, %d bytes, %v", id, r.status, len(r.body), r.err)
				time.Sleep(time.Second)
			}
		})
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	lost, whole, late := 0, 0, 0
	statuses := map[int]int{}
	for id, r := range results {
		statuses[r.status]++
		if r.status == http.StatusOK && r.err == nil {
			whole++
		}
		if r.status == 0 && errors.Is(r.err, os.ErrDeadlineExceeded) {
			late++ // the client gave up
			continue
		}
		if r.status == 0 && r.err != nil && len(passed[id]) > 0 {
			lost++
			h.log("LOST: %s was passed on to %v and its channel was closed without an answer: %v", id, passed[id], r.err)
		}
	}
	h.say("long requests %d, answered whole %d, closed without an answer after they were passed on %d, given up by clients %d, by status %v", len(results),
		whole, lost, late, statuses)
	if whole == 0 {
		return fmt.Errorf("of %d long requests none was answered whole", len(results))
	}
	if lost > 3 {
		return fmt.Errorf("%w: LOST: %d requests from kept channels were passed on and their channels closed without an answer", errBroken, lost)
	}
	return nil
}
