package gladesoak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	seeds    = flag.String("soak.seeds", "1", "comma-separated seeds to run; those in regressions are run as well")
	duration = flag.Duration("soak.duration", 8*time.Second, "time for which faults are injected, for each seed")
	vmCount  = flag.Int("soak.vms", 4, "number of VMs, half of them in each failure domain")
)

// endlessEvery is the mean number of other faults for each endless answer.
const endlessEvery = 4

// regressions are seeds that once failed, each with the cause.
var regressions = []uint64{
	2101, 2103, 3004, // a crash and a planned stop of one server overlapped, and both started it again
}

// vm is one process of the entry role.
type vm struct {
	host     int
	settings string
	program  string

	// restartMu serialises restarts, so that every started process is also ended.
	restartMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// lastFault is when the process was last started or sent a signal.
	lastFault time.Time
	// lastKill is when it was last sent a signal other than SIGTERM.
	lastKill time.Time
	// faults are the times of all starts and signals.
	faults []time.Time
	// ends are the times from each SIGTERM and SIGKILL until the next start.
	ends []endSpan
	done chan struct{}
}

// endSpan is the time from a signal that ends the process until the next start, which is zero before that.
type endSpan struct {
	signal      syscall.Signal
	from, until time.Time
}

func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.ends {
		if v.ends[i].until.IsZero() {
			v.ends[i].until = time.Now()
		}
	}
	log, err := os.OpenFile(v.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command(v.program, "run")
	v.cmd.Env = append(os.Environ(), "EELGRASSGLADE_SETTINGS="+v.settings)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	if err := v.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.done = done
	go func(c *exec.Cmd) {
		_ = c.Wait() // the exit status of a killed process says nothing
		_ = log.Close()
		close(done)
	}(v.cmd)
	v.lastFault = time.Now()
	v.faults = append(v.faults, v.lastFault)
	return nil
}

// signal sends a signal to the process, which this test started.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordSignal(s)
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		v.ends = append(v.ends, endSpan{signal: s, from: v.lastFault})
	}
	_ = v.cmd.Process.Signal(s) // it may have ended already
	v.recordSignal(s)           // requests that were sent since the first record may be hit too
}

// recordSignal records a signal at the present time.  The caller holds mu.
func (v *vm) recordSignal(s syscall.Signal) {
	v.lastFault = time.Now()
	v.faults = append(v.faults, v.lastFault)
	if s != syscall.SIGTERM {
		v.lastKill = v.lastFault
	}
}

// faultsSince reports whether the process had no fault since t, and whether it had none except a stop.
func (v *vm) faultsSince(t time.Time) (undisturbed, notKilled bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lastFault.Before(t), v.lastKill.Before(t)
}

// endedIn reports whether a signal ended the process in a span, or before it and the process was not yet started again.
func (v *vm) endedIn(signal syscall.Signal, from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.ContainsFunc(v.ends, func(e endSpan) bool {
		return e.signal == signal && e.from.Before(to) && (e.until.IsZero() || e.until.After(from))
	})
}

// restart stops the process with a signal and starts it again once it has ended.
func (v *vm) restart(s syscall.Signal) error {
	v.restartMu.Lock()
	defer v.restartMu.Unlock()
	v.signal(s)
	<-v.done
	return v.start()
}

// soak is the run of one seed.
type soak struct {
	*qt.C
	random *rand.Rand
	// endlessRandom draws the endless answers, so that they leave the sequence of the other faults as it is.
	endlessRandom *rand.Rand
	// limitRandom draws the limits that servers name, for the same reason.
	limitRandom *rand.Rand
	// stormRandom draws the storms of releases, for the same reason.
	stormRandom   *rand.Rand
	addressPrefix string
	recorder      *recorder
	store         *fakeStore
	vms           []*vm
	servers       []*fakeServer
	attempt       atomic.Int64

	releaseMu sync.Mutex
	version   int
	// extraRoutes is the number of routes that no caller uses in the releases to come.
	extraRoutes int
	releases    []ackedRelease
}

func (s *soak) address(host, port int) string {
	return s.addressPrefix + strconv.Itoa(host) + ":" + strconv.Itoa(port)
}

const settingsFormat = `node = "vm-%[1]d"
ip = "%[2]s%[1]d"
zone = "%[3]s"
port_range = [7200, 7215]
seeds = ["%[2]s1:8748", "%[2]s2:8748"]
[zones]
a = "r"
b = "r"
[listen]
front = "%[2]s%[1]d:8740"
ready = "%[2]s%[1]d:8749"
[bounds]
drain_ms = 2000
grace_s = 4
retry_ratio = 0.8
retry_window_s = 10
retry_burst = 300
[platform]
addr = "%[2]s200:%[4]d"
`

func newSoak(t *testing.T, program string, seed uint64) *soak {
	return newSoakWith(t, program, seed, "", "")
}

// newSoakWith starts a soak whose VMs have more settings and whose servers have a version.
func newSoakWith(t *testing.T, program string, seed uint64, more, version string) *soak {
	s := &soak{
		C: qt.New(t), random: rand.New(rand.NewPCG(seed, 1)), endlessRandom: rand.New(rand.NewPCG(seed, 2)),
		limitRandom: rand.New(rand.NewPCG(seed, 3)), stormRandom: rand.New(rand.NewPCG(seed, 4)), recorder: newRecorder(), store: newFakeStore(),
		addressPrefix: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250)),
	}
	s.publishRelease(1+s.random.IntN(3), true)
	copies, crashes := &copyTable{held: map[string]bool{}}, &crashLog{sends: map[string][]crashSend{}, crashes: map[string][]crashSend{}}
	for i, service := range []string{"llm", "llm", "llm", "llm", "app", "app"} {
		f := &fakeServer{
			address: s.address(100+i, 8080), service: service, domain: []string{"a", "b"}[i%2], recorder: s.recorder, store: s.store, copies: copies,
			crashes: crashes, version: version,
		}
		f.start()
		s.servers = append(s.servers, f)
		s.Cleanup(f.crash)
	}
	directory := s.TempDir()
	for host := 1; host <= *vmCount; host++ {
		v := &vm{host: host, program: program, settings: filepath.Join(directory, fmt.Sprintf("vm-%d.toml", host))}
		text := more + fmt.Sprintf(settingsFormat, host, s.addressPrefix, []string{"a", "b"}[host%2], s.openStore(host))
		s.Assert(os.WriteFile(v.settings, []byte(text), 0o600), qt.IsNil)
		s.Assert(v.start(), qt.IsNil)
		s.vms = append(s.vms, v)
		s.Cleanup(func() {
			v.signal(syscall.SIGKILL)
			<-v.done
		})
	}
	return s
}

// openStore opens the store's address for one VM and returns its port. On loopback every caller has the same source address.
func (s *soak) openStore(host int) int {
	const firstPort = 8742
	l, err := net.Listen("tcp", s.address(200, firstPort+host))
	s.Assert(err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.store.serve(host, w, r) })}
	go func() { _ = server.Serve(l) }()
	s.Cleanup(func() { _ = server.Close() })
	return firstPort + host
}

// publishRelease writes the configuration of a version that is higher by step, with or without one more route.
func (s *soak) publishRelease(step int, more bool) {
	s.releaseMu.Lock()
	defer s.releaseMu.Unlock()
	s.version += step
	defer func() { s.releases = append(s.releases, ackedRelease{time.Now(), more}) }()
	routes := []map[string]any{
		{"name": "u", "hostname": "h", "path_prefix": "/unsafe/", "type": "unsafe", "service": "app", "attempts": 1, "timeout_ms": 1500, "slo_ms": 150},
		{"name": "s", "hostname": "h", "path_prefix": "/safe/", "type": "safe", "service": "app", "attempts": 2, "timeout_ms": 1500, "slo_ms": 150},
		{"name": "g", "hostname": "h", "path_prefix": "/stream/", "type": "streaming", "service": "llm", "attempts": 5, "timeout_ms": 8000,
			"slo_ms": 2000, "itl_target_ms": 700, "resumable": true},
		{"name": "o", "hostname": "h", "path_prefix": "/unsafeStream/", "type": "streaming", "service": "llm", "attempts": 5, "timeout_ms": 8000,
			"slo_ms": 2000, "itl_target_ms": 700},
	}
	if more {
		routes = append(routes, map[string]any{"name": "m", "hostname": "h", "path_prefix": "/more/", "type": "safe", "service": "app", "attempts": 1})
	}
	for n := range s.extraRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("extra-%d", n), "hostname": "h", "path_prefix": fmt.Sprintf("/extra-%d/", n), "type": "streaming", "service": "llm",
			"attempts": 5, "timeout_ms": 25000, "slo_ms": 4500, "itl_target_ms": 700, "resumable": true,
		})
	}
	s.store.put("config", "main", map[string]any{
		"version": s.version, "routes": routes,
		"services": []map[string]any{{"name": "app"}, {"name": "llm", "engine": map[string]any{"slots": 12, "backups": true, "handle_s": 4}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4096, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// waitReady waits about 5 s until a VM accepts connections, and reports whether it does.
func (s *soak) waitReady(v *vm) bool {
	for range 500 {
		r, err := http.Get("http://" + s.address(v.host, 8749) + "/v1/readyz")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// call sends requests of one kind until the context ends; it reuses connections until they are closed.
func (s *soak) call(ctx context.Context, kind, method string, limit time.Duration) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for i := 0; ctx.Err() == nil; i++ {
		v := s.vms[i%len(s.vms)]
		id := fmt.Sprintf("%s-%d", kind, s.attempt.Add(1))
		s.recorder.recordVM(id, v)
		// The transport does not repeat a request whose body cannot be read again.
		r, err := http.NewRequest(method, "http://"+s.address(v.host, 8740)+"/"+kind+"/x", io.NopCloser(strings.NewReader("body")))
		s.Check(err, qt.IsNil)
		r.Host = "h"
		r.Header.Set("Attempt-Id", id)
		r.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
		a := answer{id: id, kind: kind, limit: limit, sent: time.Now()}
		response, err := client.Do(r)
		if err == nil {
			body, readErr := io.ReadAll(response.Body)
			_ = response.Body.Close()
			a.status, a.owner, a.body, a.complete = response.StatusCode, response.Header.Get("Attempt-Id"), string(body), readErr == nil
		}
		a.duration = time.Since(a.sent)
		a.undisturbed, a.notKilled = v.faultsSince(a.sent)
		s.recorder.recordAnswer(a)
		time.Sleep(10 * time.Millisecond)
	}
}

// injectFault injects one fault drawn from the seed; some faults overlap with the next.
func (s *soak) injectFault(tasks *sync.WaitGroup) {
	v, f := s.vms[s.random.IntN(len(s.vms))], s.servers[s.random.IntN(len(s.servers))]
	length := time.Duration(200+s.random.IntN(800)) * time.Millisecond
	during := func(begin, end func()) {
		begin()
		tasks.Go(func() { time.Sleep(length); end() })
	}
	switch s.random.IntN(10) {
	case 0:
		tasks.Go(func() { s.Check(v.restart(syscall.SIGKILL), qt.IsNil) })
	case 1:
		tasks.Go(func() { s.Check(v.restart(syscall.SIGTERM), qt.IsNil) })
	case 2:
		during(func() { v.signal(syscall.SIGSTOP) }, func() { v.signal(syscall.SIGCONT) })
	case 3:
		during(func() { s.store.setRejected(allVMs, true) }, func() { s.store.setRejected(allVMs, false) })
	case 4:
		during(func() { s.store.setRejected(v.host, true) }, func() { s.store.setRejected(v.host, false) })
	case 5:
		tasks.Go(func() { f.crash(); time.Sleep(length); f.start() })
	case 6:
		during(func() { f.setFaults(serverFaults{unresponsive: true}) }, func() { f.setFaults(serverFaults{}) })
	case 7:
		during(func() { f.setFaults(serverFaults{failureShare: 0.4}) }, func() { f.setFaults(serverFaults{}) })
	case 8:
		more := s.random.IntN(2) == 0
		s.publishRelease(1+s.random.IntN(3), more)
	case 9:
		tasks.Go(func() { f.leave(); f.start() })
	}
}

// injectEndless lets a server send bytes without end for a while.
func (s *soak) injectEndless(tasks *sync.WaitGroup) {
	f := s.servers[s.endlessRandom.IntN(len(s.servers))]
	f.setFaults(serverFaults{endless: true})
	length := time.Duration(200+s.endlessRandom.IntN(800)) * time.Millisecond
	tasks.Go(func() { time.Sleep(length); f.setFaults(serverFaults{}) })
}

func (f *fakeServer) setFaults(faults serverFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.recordUp()
}

// run runs callers under faults and returns the violated invariants.
func (s *soak) run() []string {
	for _, v := range s.vms {
		s.Assert(s.waitReady(v), qt.IsTrue)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers, faults sync.WaitGroup
	s.startCallers(ctx, &callers, 2)
	s.startReleaseCheckers(ctx, &callers)
	for began := time.Now(); time.Since(began) < *duration; {
		s.injectFault(&faults)
		if s.endlessRandom.IntN(endlessEvery) == 0 {
			s.injectEndless(&faults)
		}
		// Those of the other service have too few servers for its callers, who come again at once.
		s.injectLimit(&faults, s.servers[:4])
		s.injectStorm(&faults)
		time.Sleep(time.Duration(100+s.random.IntN(500)) * time.Millisecond)
	}
	faults.Wait()
	s.checkRecovery()
	cancel()
	callers.Wait()
	s.store.mu.Lock()
	s.Logf("%d releases, %d answers compared with them, calls rejected by the store: %v", len(s.releases), s.recorder.checks, s.store.rejections)
	s.store.mu.Unlock()
	return append(s.recorder.check(), s.checkLimits()...)
}

// checkRecovery checks that every VM gets the newest release and serves it after the faults.
func (s *soak) checkRecovery() {
	s.publishRelease(1, true)
	for _, v := range s.vms {
		s.Check(s.waitReady(v), qt.IsTrue, qt.Commentf("VM %d is not ready", v.host))
	}
	time.Sleep(2 * time.Second)
	for _, v := range s.vms {
		r, err := http.NewRequest(http.MethodGet, "http://"+s.address(v.host, 8740)+"/more/x", nil)
		s.Assert(err, qt.IsNil)
		r.Host = "h"
		r.Header.Set("Attempt-Id", "settled")
		response, err := http.DefaultClient.Do(r)
		if s.Check(err, qt.IsNil) {
			s.Check(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("VM %d", v.host))
			_ = response.Body.Close()
		}
	}
}

func TestSoak(t *testing.T) {
	runSeeds(t, regressions, func(s *soak, _ uint64) {
		violations := s.run()
		s.Check(violations, qt.HasLen, 0)
		s.checkServed()
	})
}

// buildProgram builds the program of the VMs and returns its path.
func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "gladed")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/gladed").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return program
}

// seedsOfFlag returns the seeds of the flag.
func seedsOfFlag(t *testing.T) []uint64 {
	var all []uint64
	for text := range strings.SplitSeq(*seeds, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		qt.Assert(t, err, qt.IsNil)
		all = append(all, seed)
	}
	return all
}

// runSeeds builds the program and runs a soak for each of the first seeds and of those of the flag. It keeps the logs of one that
// fails.
func runSeeds(t *testing.T, first []uint64, run func(s *soak, seed uint64)) {
	program := buildProgram(t)
	for _, seed := range slices.Concat(first, seedsOfFlag(t)) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			s := newSoak(t, program, seed)
			run(s, seed)
			if s.Failed() {
				s.saveLogs()
			}
		})
	}
}

// startCallers starts callers of each kind that call until the context ends.
func (s *soak) startCallers(ctx context.Context, callers *sync.WaitGroup, each int) {
	for range each {
		callers.Go(func() { s.call(ctx, "unsafe", http.MethodPost, time.Second) })
		callers.Go(func() { s.call(ctx, "safe", http.MethodPost, time.Second) })
		callers.Go(func() { s.call(ctx, "stream", http.MethodPost, 6*time.Second) })
	}
}

// saveLogs copies the VMs' logs to the temporary folder, to trace a failed seed.
func (s *soak) saveLogs() {
	name := strings.ReplaceAll(s.Name(), "/", "-")
	for _, v := range s.vms {
		text, err := os.ReadFile(v.settings + ".log")
		if err == nil {
			err = os.WriteFile(filepath.Join(os.TempDir(), fmt.Sprintf("glade-soak-%s-vm-%d.log", name, v.host)), text, 0o600)
		}
		s.Check(err, qt.IsNil)
	}
}
