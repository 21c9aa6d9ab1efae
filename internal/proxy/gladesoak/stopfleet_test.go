package gladesoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// stopGrace is the time from the signal to stop until the platform kills the process.
	stopGrace = 8 * time.Second
	// stopRouteTimeout is the time limit of the routes of stopCalls.
	stopRouteTimeout = 2500 * time.Millisecond
	// stopCallInterval is the time between two calls of one kind.
	stopCallInterval = 100 * time.Millisecond
	// stopWarmup is the time for which calls are made before the stop.
	stopWarmup = 2 * time.Second
	// neverAnswers is the length of a call that its server does not answer.
	neverAnswers = time.Hour
)

// stopCall is a kind of call made around a planned stop, each on a new connection.
type stopCall struct {
	name string
	// length is the time that the server takes; during the stop it is lengthAtStop, if set.
	length, lengthAtStop time.Duration
	// bodyTime is the time in which the body arrives, in chunks.
	bodyTime time.Duration
	// firstByte is the time between the opening of the connection and the first byte.
	firstByte time.Duration
	// limit is the time limit of the caller, zero for none.
	limit time.Duration
	// safe calls may be repeated.
	safe bool
	// answerBytes is the length of the answer, which the caller reads in readTime; zero means a short one.
	answerBytes int
	readTime    time.Duration
	// diesAfter is the time after which the server closes the connection, zero for never.
	diesAfter time.Duration
	// route is the path's first part; calls with the same one share a route.
	route string
}

// stopCalls are the kinds of calls that TestStopCutsNoCall makes.
var stopCalls = []stopCall{
	{name: "short", length: 30 * time.Millisecond, route: "a"},
	{name: "200ms", length: 200 * time.Millisecond, route: "b"},
	{name: "200ms after 60ms", length: 200 * time.Millisecond, firstByte: 60 * time.Millisecond, route: "b"},
	{name: "1s", length: time.Second, route: "c"},
	{name: "1.5s", length: 1500 * time.Millisecond, route: "d"},
	{name: "2.4s", length: 2400 * time.Millisecond, route: "e"},
	{name: "slow body", length: 200 * time.Millisecond, bodyTime: 2 * time.Second, route: "f"},
	{name: "slower body", length: time.Second, bodyTime: 5 * time.Second, route: "g"},
	{name: "silent", length: neverAnswers, route: "h"},
	{name: "silent with a limit", length: neverAnswers, limit: 1200 * time.Millisecond, route: "i"},
	{name: "slow from the stop on", length: 30 * time.Millisecond, lengthAtStop: 2 * time.Second, route: "j"},
	{name: "silent from the stop on", length: 30 * time.Millisecond, lengthAtStop: neverAnswers, route: "k"},
	{name: "safe 1.5s", length: 1500 * time.Millisecond, safe: true, route: "l"},
	{name: "safe silent", length: neverAnswers, safe: true, route: "m"},
	{name: "mixed short", length: 30 * time.Millisecond, route: "n"},
	{name: "mixed 2.4s", length: 2400 * time.Millisecond, route: "n"},
	{name: "last moment", length: stopRouteTimeout - 20*time.Millisecond, route: "o"},
}

// hardStopCalls are those that TestStopWithFailingServers makes: large answers that are read slowly, and servers that die.
var hardStopCalls = []stopCall{
	{name: "short", length: 30 * time.Millisecond, route: "a"},
	{name: "large answer", length: 200 * time.Millisecond, answerBytes: 1 << 20, readTime: time.Second, route: "p"},
	{name: "server dies", length: 2 * time.Second, diesAfter: time.Second, route: "q"},
	{name: "safe server dies", length: 2 * time.Second, diesAfter: time.Second, safe: true, route: "r"},
}

// stopOutcome is what became of one call.
type stopOutcome struct {
	call stopCall
	id   string
	// sentAt is when the connection was opened, and readAt when the last byte of the request was sent, both counted from the stop.
	sentAt, readAt time.Duration
	took           time.Duration
	connected      bool
	status         int
	complete       bool
	err            error
}

// runCounter counts the requests that servers began to run, by attempt.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *runCounter) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

func (r *runCounter) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// stopFleet is one VM as a real process, its store and its backend servers. VMs added to it share these.
type stopFleet struct {
	*qt.C
	prefix string
	store  *fakeStore
	runs   *runCounter
	vm     *vm

	mu        sync.Mutex
	stoppedAt time.Time
	// grace is the time from the stop until the platform kills the process.
	grace    time.Duration
	outcomes []stopOutcome
}

func newStopFleet(t *testing.T, program string) *stopFleet {
	f := &stopFleet{
		C: qt.New(t), prefix: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250)), store: newFakeStore(),
		runs: &runCounter{runs: map[string]int{}},
	}
	routes := []map[string]any{}
	seen := map[string]bool{}
	for _, c := range slices.Concat(stopCalls, hardStopCalls) {
		if seen[c.route] {
			continue
		}
		seen[c.route] = true
		kind := "unsafe"
		if c.safe {
			kind = "safe"
		}
		routes = append(routes, map[string]any{
			"name": c.route, "hostname": "h", "path_prefix": "/" + c.route + "/", "type": kind, "service": "app", "attempts": 2,
			"timeout_ms": stopRouteTimeout.Milliseconds(), "slo_ms": 300,
		})
	}
	f.store.put("config", "main", map[string]any{
		"version": 1, "routes": routes, "services": []map[string]any{{"name": "app"}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for i := range 4 {
		address := f.address(100+i, 8080)
		f.listen(address, f.serveCall)
		f.store.put("servers", fmt.Sprintf("i-%d", i), map[string]any{
			"service": "app", "addr": address, "zone": "a", "slots": 200, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
		})
	}
	f.startVM(t, program, 1)
	return f
}

// addVM starts another VM of the failure domain; its calls and its stop are its own.
func (f *stopFleet) addVM(t *testing.T, program string, host int) *stopFleet {
	o := &stopFleet{C: f.C, prefix: f.prefix, store: f.store, runs: f.runs}
	o.startVM(t, program, host)
	return o
}

func (f *stopFleet) startVM(t *testing.T, program string, host int) {
	f.listen(f.address(200, firstStorePort+host), func(w http.ResponseWriter, r *http.Request) { f.store.serve(host, w, r) })
	f.vm = &vm{host: host, program: program, settings: filepath.Join(t.TempDir(), "vm.toml")}
	f.writeSettings(stopGrace)
	f.Assert(f.vm.start(), qt.IsNil)
	f.Cleanup(func() {
		f.vm.signal(syscall.SIGKILL)
		<-f.vm.done
		if f.Failed() {
			f.saveLog()
		}
	})
}

// firstStorePort is the port below that of the first VM's address of the store.
const firstStorePort = 8742

// stopSettings are the settings of a VM.
const stopSettings = `node = "vm-%[2]d"
ip = "%[1]s%[2]d"
zone = "a"
port_range = [7200, 7215]
seeds = ["%[1]s1:8748", "%[1]s2:8748"]
[zones]
a = "r"
[listen]
front = "%[1]s%[2]d:8740"
ready = "%[1]s%[2]d:8749"
[platform]
addr = "%[1]s200:%[3]d"
[bounds]
drain_ms = 2000
retry_ratio = 0.8
retry_window_s = 10
retry_burst = 300
grace_s = %[4]v
`

// writeSettings writes the VM's settings with a grace period.
func (f *stopFleet) writeSettings(grace time.Duration) {
	text := fmt.Appendf(nil, stopSettings, f.prefix, f.vm.host, firstStorePort+f.vm.host, grace.Seconds())
	f.Assert(os.WriteFile(f.vm.settings, text, 0o600), qt.IsNil)
}

func (f *stopFleet) saveLog() {
	text, err := os.ReadFile(f.vm.settings + ".log")
	if err == nil {
		err = os.WriteFile(filepath.Join(os.TempDir(), fmt.Sprintf("glade-stop-vm-%d.log", f.vm.host)), text, 0o600)
	}
	f.Check(err, qt.IsNil)
}

func (f *stopFleet) address(host, port int) string {
	return f.prefix + strconv.Itoa(host) + ":" + strconv.Itoa(port)
}

func (f *stopFleet) listen(address string, h http.HandlerFunc) {
	l, err := net.Listen("tcp", address)
	f.Assert(err, qt.IsNil)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	f.Cleanup(func() { _ = s.Close() })
}

// serveCall answers as a backend server does, after the length named by the request, or with 504 at its time limit.
func (f *stopFleet) serveCall(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("Attempt-Id")
	f.runs.add(attempt)
	length, err := time.ParseDuration(r.Header.Get("Test-Length"))
	f.Check(err, qt.IsNil)
	limit, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	f.Check(err, qt.IsNil)
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Server-Seal", "seal")
	dies := time.After(neverAnswers)
	if after, err := time.ParseDuration(r.Header.Get("Test-Dies")); err == nil && after > 0 {
		dies = time.After(after)
	}
	size, err := strconv.Atoi(r.Header.Get("Test-Bytes"))
	f.Check(err, qt.IsNil)
	select {
	case <-dies:
		panic(http.ErrAbortHandler)
	case <-time.After(length):
		_, _ = io.WriteString(w, "answer to "+attempt+strings.Repeat(" ", size))
	case <-time.After(time.Duration(limit) * time.Millisecond):
		if length == neverAnswers {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
	}
}

// waitReady waits until the VM accepts connections.
func (f *stopFleet) waitReady() {
	for range 500 {
		r, err := http.Get("http://" + f.address(f.vm.host, 8749) + "/v1/readyz")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.Fatal("the VM is not ready")
}

// sinceStop returns the time since the stop, negative before it.
func (f *stopFleet) sinceStop() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.stoppedAt)
}

// lateBody is a body of which each chunk arrives after a pause.
type lateBody struct {
	pauses int
	pause  time.Duration
}

func (b *lateBody) Read(p []byte) (int, error) {
	if b.pauses == 0 {
		return 0, io.EOF
	}
	b.pauses--
	time.Sleep(b.pause)
	return copy(p, "chunk"), nil
}

// send makes one call on a new connection and returns its outcome.
func (f *stopFleet) send(c stopCall, id string) (o stopOutcome) {
	o = stopOutcome{call: c, id: id, sentAt: f.sinceStop()}
	began := time.Now()
	defer func() { o.took = time.Since(began) }()
	conn, err := net.DialTimeout("tcp", f.address(f.vm.host, 8740), time.Second)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = conn.Close() }()
	o.connected = true
	time.Sleep(c.firstByte)
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
	defer transport.CloseIdleConnections()
	const chunks = 10
	length := c.length
	if c.lengthAtStop > 0 && o.sentAt > 0 {
		length = c.lengthAtStop
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+f.address(f.vm.host, 8740)+"/"+c.route+"/x", &lateBody{chunks, c.bodyTime / chunks})
	f.Check(err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Test-Length", length.String())
	r.Header.Set("Test-Bytes", strconv.Itoa(c.answerBytes))
	r.Header.Set("Test-Dies", c.diesAfter.String())
	if c.limit > 0 {
		r.Header.Set("Deadline-Ms", strconv.FormatInt(c.limit.Milliseconds(), 10))
	}
	response, err := transport.RoundTrip(r)
	o.readAt = o.sentAt + c.firstByte + c.bodyTime
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.err = c.readAnswer(response)
	o.status, o.complete = response.StatusCode, o.err == nil
	return o
}

// readAnswer reads an answer to its end, as slowly as the call says.
func (c stopCall) readAnswer(r *http.Response) error {
	const parts = 20
	for part := int64(c.answerBytes / parts); part > 0 && r.StatusCode == http.StatusOK; {
		time.Sleep(c.readTime / parts)
		if _, err := io.CopyN(io.Discard, r.Body, part); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err
}

// callUntilGone makes calls of one kind, at regular times, until the process has ended.
func (f *stopFleet) callUntilGone(c stopCall, callers *sync.WaitGroup) {
	ticker := time.NewTicker(stopCallInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-f.vm.done:
			return
		case <-ticker.C:
		}
		callers.Go(func() {
			o := f.send(c, fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(c.name, " ", "-"), f.vm.host, n))
			f.mu.Lock()
			defer f.mu.Unlock()
			f.outcomes = append(f.outcomes, o)
		})
	}
}

// stop sends the signal to stop and waits until the process has ended, as the platform does.
func (f *stopFleet) stop() {
	f.mu.Lock()
	f.stoppedAt = time.Now()
	f.mu.Unlock()
	f.vm.signal(syscall.SIGTERM)
	select {
	case <-f.vm.done:
	case <-time.After(f.grace):
		f.vm.signal(syscall.SIGKILL)
		<-f.vm.done
	}
}

// run makes calls around a stop with the given grace period.
func (f *stopFleet) run(calls []stopCall, grace time.Duration) {
	f.waitReady()
	f.runUntil(calls, grace, time.Now().Add(stopWarmup))
}

// runUntil makes calls around a stop at the given time.
func (f *stopFleet) runUntil(calls []stopCall, grace time.Duration, stop time.Time) {
	f.grace, f.stoppedAt = grace, stop
	var kinds, callers sync.WaitGroup
	for _, c := range calls {
		kinds.Go(func() { f.callUntilGone(c, &callers) })
	}
	time.Sleep(time.Until(f.stoppedAt))
	f.stop()
	kinds.Wait()
	callers.Wait()
}

// stopCounts counts the outcomes of one kind of call after the stop.
type stopCounts struct {
	answered, refused, failed, cut, closed, notConnected int
	// lastAnswered is when the last answered call was sent.
	lastAnswered time.Duration
}

// check checks that no call was cut and that each refusal is true, and returns the counts by kind of call.
func (f *stopFleet) check() map[string]stopCounts {
	counts := map[string]stopCounts{}
	for _, o := range f.outcomes {
		n, ran := counts[o.call.name], f.runs.count(o.id)
		switch refused := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests || o.status == http.StatusRequestTimeout; {
		case o.complete && refused:
			n.refused++
			f.Check(ran, qt.Equals, 0, qt.Commentf("%s: answered %d, but a server ran it", o.id, o.status))
		case o.complete && o.status == http.StatusOK:
			n.answered++
			n.lastAnswered = max(n.lastAnswered, o.sentAt)
		case o.complete:
			n.failed++
			f.Check(o.call.diesAfter > 0 || o.readAt+min(stopRouteTimeout, o.call.limitOrRoute()) > f.grace-time.Second || o.status == http.StatusGatewayTimeout, qt.IsTrue,
				qt.Commentf("%s: answered %d, sent at %v", o.id, o.status, o.sentAt))
		case !o.connected:
			n.notConnected++
		case ran > 0:
			n.cut++
			f.Check(false, qt.IsTrue, qt.Commentf("%s: cut, sent at %v, ended after %v: %v", o.id, o.sentAt, o.took, o.err))
		default:
			n.closed++
		}
		counts[o.call.name] = n
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		f.Logf("%-24s %+v", name, counts[name])
	}
	return counts
}

func (c stopCall) limitOrRoute() time.Duration {
	if c.limit > 0 {
		return c.limit
	}
	return stopRouteTimeout
}
