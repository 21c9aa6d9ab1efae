package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a model engine that keeps copies of runs, as PROTOCOL says of `Kv-Backup`, `POST /v1/kv-move` and `Kv-From`.
type engine struct {
	w       *world
	all     map[string]*engine // by address
	zone    string
	address string
	// garbles is set while some answers are followed by a second one.
	garbles atomic.Bool
	answers atomic.Int64

	mu       sync.Mutex
	id       string
	up       bool
	seq      int
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	runs     map[string]int      // events of the runs, by attempt
	handles  map[string]string   // by attempt and target
	held     map[string]heldCopy // by the copy's name
	active   int                 // runs that have a slot
	waiting  int                 // requests that wait for one
	first    int                 // those of them that go on from a copy
}

// heldCopy is a copy of a run; it is there for handle_s after its last part.
type heldCopy struct {
	attempt string
	at      time.Time
}

const (
	engineSlots  = 12
	engineQueue  = 25
	handleTime   = 4 * time.Second
	engineEvents = 400
	engineGap    = 40 * time.Millisecond
)

func (w *world) addEngine(zone string, all map[string]*engine) *engine {
	e := &engine{w: w, all: all, zone: zone}
	l := w.listen(w.ip())
	e.address = l.Addr().String()
	all[e.address] = e
	e.start(l)
	return e
}

// start starts a new boot.
func (e *engine) start(l net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id, e.up, e.listener, e.seq, e.born = fmt.Sprintf("i-%08x", rand.Uint32()), true, l, 1, time.Now().UnixMilli()
	e.active, e.waiting, e.first = 0, 0, 0
	e.conns, e.runs, e.handles, e.held = map[net.Conn]bool{}, map[string]int{}, map[string]string{}, map[string]heldCopy{}
	e.w.store.put("servers", e.id, map[string]any{
		"service": "llm", "addr": e.address, "zone": e.zone, "version": "v1", "slots": 12, "state": "ready", "cold_left_ms": 0,
		"phase": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": 1, "born": e.born,
	})
	id := e.id
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			if e.id != id || !e.up {
				e.mu.Unlock()
				_ = c.Close()
				return
			}
			e.conns[c] = true
			e.mu.Unlock()
			go e.serve(c, id)
		}
	}()
}

// crash ends the boot at once; another one is there after a time, and the entry of this one goes with that.
func (e *engine) crash(back time.Duration) {
	e.mu.Lock()
	e.w.note("engine crashes", "worker", e.id, "zone", e.zone, "runs", len(e.runs))
	id := e.id
	e.up = false
	_ = e.listener.Close()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	e.mu.Unlock()
	time.Sleep(back)
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		e.w.cannotRun(err)
	}
	e.start(l)
	e.w.store.remove("servers", id)
}

// alive reports whether a boot still runs.
func (e *engine) alive(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up && e.id == id
}

func plainAnswer(status int, header map[string]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=5\r\n", status, http.StatusText(status), len(body))
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

// serve serves one channel, one request at a time.
func (e *engine) serve(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	var extra []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		raw, err := io.ReadAll(r.Body)
		if err != nil || !e.alive(id) {
			return
		}
		if extra != nil { // it arrives where the next answer is expected
			e.w.note("extra answer", "worker", id, "call", r.Method+" "+r.URL.Path)
			_, _ = c.Write(extra)
			extra = nil
		}
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			if !e.run(c, id, r) {
				return
			}
			continue
		}
		answer := e.call(id, r, raw)
		if attempt := r.Header.Get("Attempt-Id"); attempt != "" { // workers echo it
			answer = bytes.Replace(answer, []byte("\r\n"), []byte("\r\nAttempt-Id: "+attempt+"\r\n"), 1)
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if e.answers.Add(1)%33 == 0 && e.garbles.Load() {
			extra = answer
		}
	}
}

// call answers a call of the system's own.
func (e *engine) call(id string, r *http.Request, raw []byte) []byte {
	switch {
	case r.URL.Path == "/healthz":
		return plainAnswer(200, map[string]string{"Instance-Id": id}, "")
	case r.URL.Path == "/v1/kv-move":
		var b struct{ ID, Target string }
		_ = json.Unmarshal(raw, &b)
		target := e.all[b.Target]
		e.mu.Lock()
		created, running := e.runs[b.ID]
		e.mu.Unlock()
		switch {
		case !running:
			return plainAnswer(404, nil, "")
		case target == nil:
			return plainAnswer(503, map[string]string{"Not-Executed": "1"}, "")
		}
		took := 6 * time.Millisecond
		if target.zone != e.zone {
			took *= 2
		}
		time.Sleep(took)
		e.mu.Lock()
		handle := e.handles[b.ID+b.Target]
		if handle == "" {
			handle = fmt.Sprintf("%012x", rand.Uint64()>>16)
			e.handles[b.ID+b.Target] = handle
		}
		e.mu.Unlock()
		target.mu.Lock()
		up := target.up
		if up {
			target.held[e.address+"/"+handle] = heldCopy{b.ID, time.Now()}
		}
		target.mu.Unlock()
		if !up {
			return plainAnswer(503, map[string]string{"Not-Executed": "1"}, "")
		}
		e.w.note("copied", "worker", id, "attempt", b.ID, "target", target.zone, "handle", handle)
		return plainAnswer(200, map[string]string{"Content-Type": "application/json"}, fmt.Sprintf(`{"handle":%q,"created":%d}`, handle, created))
	case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		handle := strings.TrimPrefix(r.URL.Path, "/v1/kv-handle/")
		for _, o := range e.all {
			o.mu.Lock()
			delete(o.held, e.address+"/"+handle)
			o.mu.Unlock()
		}
		return plainAnswer(200, map[string]string{"Content-Type": "application/json"}, "{}")
	case r.URL.Path == "/v1/kv-list":
		return plainAnswer(200, map[string]string{"Content-Type": "application/json"}, `{"epoch":1,"next":1,"held":[]}`)
	}
	return plainAnswer(404, nil, "")
}

// admit waits for a slot, those that go on from a copy first. It reports whether the boot still runs, and whether the queue is
// full.
func (e *engine) admit(id string, copied bool) (admitted, full bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active >= engineSlots && e.waiting >= engineQueue {
		return false, true
	}
	e.waiting++
	if copied {
		e.first++
	}
	for e.up && e.id == id && (e.active >= engineSlots || !copied && e.first > 0) {
		e.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		e.mu.Lock()
	}
	if !e.up || e.id != id {
		return false, false
	}
	e.waiting--
	if copied {
		e.first--
	}
	e.active++
	return true, false
}

// leave frees the slot of a run, unless the boot has ended.
func (e *engine) leave(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id == id {
		e.active--
	}
}

// run runs a stream; it reports whether the channel is kept.
func (e *engine) run(c net.Conn, id string, r *http.Request) bool {
	attempt := r.Header.Get("Attempt-Id")
	if r.Header.Get("Expect-Instance") != id {
		_, err := c.Write(plainAnswer(421, map[string]string{"Attempt-Id": attempt, "Instance-Id": id, "Not-Executed": "1"}, ""))
		return err == nil
	}
	text, from := attempt, r.Header.Get("Kv-From")
	if from != "" {
		e.mu.Lock()
		copied, ok := e.held[from]
		owner, ok := copied.attempt, ok && time.Since(copied.at) <= handleTime
		delete(e.held, from)
		e.mu.Unlock()
		e.w.note("goes on from a copy", "worker", id, "attempt", attempt, "copy", from, "copy of", owner, "there", ok)
		if !ok {
			_, err := c.Write(plainAnswer(503, map[string]string{"Attempt-Id": attempt, "Not-Executed": "1"}, ""))
			return err == nil
		}
		if text = owner; owner != attempt {
			e.w.foreign.Add(1)
			e.w.note("rule broken", "rule", "MIXED", "attempt", attempt, "goes on from the memory of", owner)
		}
	}
	admitted, full := e.admit(id, from != "")
	if full {
		_, err := c.Write(plainAnswer(503, map[string]string{"Attempt-Id": attempt, "Not-Executed": "1"}, ""))
		return err == nil
	}
	if !admitted {
		return false
	}
	defer e.leave(id)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.w.note("run", "worker", id, "attempt", attempt, "last", last, "copy", from)
	e.mu.Lock()
	e.runs[attempt] = last
	e.mu.Unlock()
	backup := e.all[r.Header.Get("Kv-Backup")]
	name := r.Header.Get("Kv-Backup") + "/" + attempt
	defer func() {
		e.mu.Lock()
		delete(e.runs, attempt)
		e.mu.Unlock()
	}()
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		attempt, attempt); err != nil {
		return false
	}
	if from == "" {
		time.Sleep(300 * time.Millisecond)
	}
	for n := last + 1; n <= engineEvents; n++ {
		if !e.alive(id) {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, text)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		e.mu.Lock()
		e.runs[attempt] = n
		e.mu.Unlock()
		if backup != nil && n%5 == 0 {
			backup.mu.Lock()
			if backup.up {
				backup.held[name] = heldCopy{attempt, time.Now()}
			}
			backup.mu.Unlock()
		}
		time.Sleep(engineGap)
	}
	if backup != nil {
		backup.mu.Lock()
		delete(backup.held, name)
		backup.mu.Unlock()
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// foreignMemory: the engines of one zone after the other crash, and some answers of some engines are followed by a second
// one, which arrives where the next answer is expected. The check is MIXED: a request that goes on from the memory of
// another one, or a client that gets pieces of another one's answer.
func foreignMemory(w *world) {
	storeAddress := w.serveStore()
	zones := []string{"shubra", "helwan", "giza"}
	c := config(7)
	llm := c["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
	llm["backups"], llm["moves"] = true, true
	w.store.put("config", "main", c)
	all := map[string]*engine{}
	byZone := map[string][]*engine{}
	for _, z := range []string{"shubra", "shubra", "helwan", "giza"} {
		byZone[z] = append(byZone[z], w.addEngine(z, all))
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
	began, length := time.Now(), 80*time.Second
	if w.trouble {
		for n := range 13 {
			time.AfterFunc(5*time.Second+time.Duration(n)*6*time.Second, func() {
				for _, e := range byZone[zones[n%3]] {
					go e.crash(1200 * time.Millisecond)
				}
			})
		}
	}
	garble := func(on bool) {
		for _, z := range zones[1:] {
			byZone[z][0].garbles.Store(on)
		}
		w.note("trouble", "kind", "garble", "how", "extra late", "on", on, "workers", 2, "of", 4, "each so many-th answer", 33)
	}
	if w.trouble && os.Getenv("GARBLE") != "0" {
		for n := range 13 { // 5 s at a time
			time.AfterFunc(time.Duration(n)*6*time.Second+500*time.Millisecond, func() { garble(true) })
			time.AfterFunc(time.Duration(n)*6*time.Second+5500*time.Millisecond, func() { garble(false) })
		}
	}
	var (
		group                sync.WaitGroup
		mu                   sync.Mutex
		whole, wrong, broken int
	)
	for i := range 30 {
		v := w.vms[i%3]
		group.Go(func() {
			time.Sleep(time.Duration(rand.IntN(6000)) * time.Millisecond)
			for time.Since(began) < length {
				a := w.send(v, "POST", "/stream/2f", 25*time.Second, "the prompt", map[string]string{
					"Model": "m", "Token-Usage": "300,500", "Prefix-Hash": fmt.Sprintf("5c1e07a2:200,%08x:100", rand.Uint32()),
				})
				foreign := false
				for _, line := range strings.Split(a.body, "\n") {
					if _, of, ok := strings.Cut(line, " of "); ok && strings.HasPrefix(line, "data: ") && of != a.attempt && len(of) == 16 {
						foreign = true
					}
				}
				mu.Lock()
				switch {
				case foreign:
					wrong++
					w.note("rule broken", "rule", "MIXED", "attempt", a.attempt, "a client got pieces of another answer", true)
				case a.complete && a.status == 200:
					whole++
				default:
					broken++
				}
				mu.Unlock()
				if a.status != 200 {
					time.Sleep(time.Second)
				}
			}
		})
	}
	group.Wait()
	w.finish(wrong > 0 || w.foreign.Load() > 0, fmt.Sprintf("%d streams whole, %d broken off or refused, %d with pieces of another's answer; %d runs went on from another's memory",
		whole, broken, wrong, w.foreign.Load()))
}
