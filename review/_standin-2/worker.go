package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a worker of a service; it answers each request by handle.
type worker struct {
	harness *harness
	id      string
	n       int
	address string
	service string
	zone    string
	slots   int
	born    int64
	// handle answers a request whose header has been read; it returns false to close the channel.
	handle func(c *channel, r *http.Request) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	// leftAt is when the store accepted that it leaves, zero before.
	leftAt time.Time
}

// channel is a connection to a worker.
type channel struct {
	net.Conn
	worker *worker
	reader *bufio.Reader
	// extra is sent before the next answer: a second answer that comes late.
	extra string
}

// addWorkers adds a number of workers of a service, numbered from first, in the zones by turns.
func (h *harness) addWorkers(first, number int, service string, in []string, slots int, handle func(*channel, *http.Request) bool) error {
	for n := range number {
		w, err := h.addWorker(first+n, service, in[n%len(in)], slots, handle)
		if err != nil {
			return err
		}
		h.workers = append(h.workers, w)
	}
	return nil
}

func (h *harness) addWorker(n int, service, zone string, slots int, handle func(*channel, *http.Request) bool) (*worker, error) {
	w := &worker{
		harness: h, id: fmt.Sprintf("i-%04d", n), n: n, address: h.workerAddress(n), service: service, zone: zone, slots: slots,
		born: time.Now().UnixMilli(), handle: handle, conns: map[net.Conn]struct{}{},
	}
	l, err := listen(w.address)
	if err != nil {
		return nil, err
	}
	w.listener = l
	go w.accept()
	w.register("ready")
	return w, nil
}

// register writes the worker's entry.
func (w *worker) register(state string) {
	w.harness.store.put(kindServers, w.id, map[string]any{
		fieldService: w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state, "cold_left_ms": 0, "seq": 0,
		"born": w.born,
	})
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go func() {
			w.serve(&channel{Conn: c, worker: w, reader: bufio.NewReader(c)})
			_ = c.Close()
			w.mu.Lock()
			delete(w.conns, c)
			w.mu.Unlock()
		}()
	}
}

func (w *worker) serve(c *channel) {
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		id := r.Header.Get(headerID)
		switch expected := r.Header.Get("Expect-Instance"); {
		case r.URL.Path == "/healthz":
			if !c.answer(200, map[string]string{"Instance-Id": w.id}, "") {
				return
			}
			continue
		case expected != "" && expected != w.id:
			_, _ = io.Copy(io.Discard, r.Body)
			if !c.answer(421, map[string]string{"Instance-Id": w.id, headerID: id}, "") {
				return
			}
			continue
		case strings.HasPrefix(r.URL.Path, "/v1/"):
			_, _ = io.Copy(io.Discard, r.Body)
			if !c.answer(404, map[string]string{headerID: id}, "") {
				return
			}
			continue
		case id == "":
			_, _ = io.Copy(io.Discard, r.Body)
			if !c.answer(400, map[string]string{"Not-Executed": "1"}, "") {
				return
			}
			continue
		}
		if !w.handle(c, r) {
			return
		}
	}
}

// exit ends the worker's process.
func (w *worker) exit() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

// response builds an answer.
func response(status int, header map[string]string, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, name := range []string{headerID, headerSeal, "Not-Executed", "Instance-Id", "Content-Type"} {
		if v, ok := header[name]; ok {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=20\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// answer writes an answer, after the late second answer to an earlier request if there is one.
func (c *channel) answer(status int, header map[string]string, body string) bool {
	_, err := io.WriteString(c, c.extra+response(status, header, body))
	c.extra = ""
	return err == nil
}

// reset closes the channel with a reset.
func (c *channel) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// beginStream writes the header of a stream.
func (c *channel) beginStream(id string) bool {
	_, err := io.WriteString(c, c.extra+"HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nServer-Seal: "+c.worker.id+"."+id+
		"\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=20\r\nTransfer-Encoding: chunked\r\n\r\n")
	c.extra = ""
	return err == nil
}

func (c *channel) event(n int, id string) bool {
	e := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
	return err == nil
}

func (c *channel) endStream() bool {
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
