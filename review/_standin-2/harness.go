// Review-2 plays the cases of the second review: it starts gladed as the deploy file does, on loopback addresses, beside a stand-in of
// the platform's store, workers and clients.
//
// Usage: review-2 CASE FOLDER.  It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseTime is the longest time that a case may take.
const caseTime = 115 * time.Second

// The ports of a run, from its first one on.
const (
	frontPort = iota
	readyPort
	controlPort
	workerPort
	firstPeerPort
	lastPeerPort   = firstPeerPort + 15
	firstStorePort = lastPeerPort + 1 // one for each VM
	portCount      = firstStorePort + 20
)

// firstVM is the last number of the first VM's address.
const firstVM = 10

// harness is what all cases share.
type harness struct {
	folder  string
	trouble bool
	temp    string
	// net1 and net2 are the second and third numbers of the loopback addresses of this run.
	net1, net2 int
	// firstPort is the first of this run's ports.
	firstPort int
	began     time.Time

	mu     sync.Mutex
	record *os.File
	vms    []*vm
	store  *store
	// workers are those that addWorkers added.
	workers []*worker
}

func (h *harness) since() time.Duration { return time.Since(h.began) }

// log writes a line of the record.
func (h *harness) log(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = fmt.Fprintf(h.record, "%8.3f ", h.since().Seconds())
	_, _ = fmt.Fprintf(h.record, format+"\n", args...)
}

// say writes a line of the record and to standard output.
func (h *harness) say(format string, args ...any) {
	h.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (h *harness) address(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", h.net1, h.net2, host, h.firstPort+port)
}

// choosePorts looks for ports that are free.
func (h *harness) choosePorts() error {
	const low, high, tries = 20000, 30000, 50 // below those that the system gives to connections
	var err error
	for range tries {
		h.firstPort = low + rand.Intn(high-low)
		if err = h.arePortsFree(); err == nil {
			return nil
		}
	}
	return err
}

// arePortsFree returns an error if another program uses one of the ports.
func (h *harness) arePortsFree() error {
	var c net.ListenConfig
	for port := range portCount {
		l, err := listen(h.address(firstVM, port))
		if err != nil {
			return err
		}
		_ = l.Close()
		p, err := c.ListenPacket(context.Background(), "udp", h.address(firstVM, port))
		if err != nil {
			return err
		}
		_ = p.Close()
	}
	return nil
}

// workerAddress returns an address of its own for each worker, in the networks above those of the VMs.
func (h *harness) workerAddress(n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", h.net1, h.net2+1+n/250, 1+n%250, h.firstPort+workerPort)
}

// vm is an entry VM: a gladed process with its settings.
type vm struct {
	harness    *harness
	name, zone string
	host       int
	settings   string
	// storeAddress is where the store serves this VM, and memoryMB and linkMbps are the machine's limits.
	storeAddress string
	memoryMB     int
	linkMbps     float64
	process      *exec.Cmd
	ended        chan struct{}
	mu           sync.Mutex
	// out holds the times from which the VM is not in touch because of what this case did to its process, and until when.
	outFrom, outUntil time.Time
}

// bounds are those of kit/more/system/grown/nfr-glade-grown.toml.
const bounds = `
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 6000
catch_up_s = 6
drain_ms = 3000
grace_s = 8
loss_slack_ms = 200
config_ms = 3000
back_ms = 250
outer_ms = 6000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.8
retry_window_s = 10
retry_burst = 238
recover_s = 15
max_delay_ms = 200
retry_after_s = 10
`

const (
	contactTime = 4 * time.Second
	drainTime   = 3 * time.Second
)

// addVM writes the settings of a VM and serves the store for it.
func (h *harness) addVM(name, zone string, memoryMB int, linkMbps float64) (*vm, error) {
	v := &vm{harness: h, name: name, zone: zone, host: firstVM + len(h.vms)}
	v.settings = filepath.Join(h.temp, name+".toml")
	storeAddress := h.address(200, firstStorePort+len(h.vms))
	if err := h.store.serve(name, storeAddress, linkMbps); err != nil {
		return nil, err
	}
	h.vms = append(h.vms, v)
	v.storeAddress, v.memoryMB, v.linkMbps = storeAddress, memoryMB, linkMbps
	return v, v.writeSettings(true)
}

func (v *vm) writeSettings(bootstrap bool) error {
	h := v.harness
	ip := strings.Split(h.address(v.host, 0), ":")[0]
	text := fmt.Sprintf(`node = %q
role = "entry"
machine_class = "edge"
serves = ["edge","ctrl"]
ip = %q
zone = %q
region = "cairo"
port_range = [%d,%d]
seeds = [%q,%q]
bootstrap = %v
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
shubra = "cairo"
helwan = "cairo"
giza = "cairo"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.272
cores = 1
memory_mb = %d
max_fds = 2870
link_mbps = %v
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
%s
[platform]
addr = %q
form = "objects"
writes_per_s = 1200
reads_per_s = 6000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, v.name, ip, v.zone, h.firstPort+firstPeerPort, h.firstPort+lastPeerPort, h.address(firstVM, controlPort), h.address(firstVM+1, controlPort),
		bootstrap,
		h.address(v.host, frontPort), h.address(v.host, readyPort), h.address(v.host, controlPort), v.memoryMB, v.linkMbps, bounds, v.storeAddress)
	return os.WriteFile(v.settings, []byte(text), 0o600)
}

// start starts the program by the command of deploy/system.toml.
func (v *vm) start() error {
	out, err := os.OpenFile(v.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.CommandContext(context.Background(), "target/gladed", "run")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "EELGRASSGLADE_SETTINGS=" + v.settings}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	v.process, v.ended = c, make(chan struct{})
	go func(ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(v.ended)
	v.harness.log("start %s", v.name)
	return nil
}

func (v *vm) kill() {
	v.mu.Lock()
	v.outFrom, v.outUntil = time.Now(), time.Now().Add(time.Hour)
	v.mu.Unlock()
	_ = v.process.Process.Kill()
	<-v.ended
	v.harness.log("kill %s", v.name)
}

// restart starts a VM that was killed.
func (v *vm) restart() error {
	if err := v.writeSettings(false); err != nil {
		return err
	}
	if err := v.start(); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.outUntil = time.Now()
	return nil
}

// isDown reports whether the case has killed the VM and not started it again.
func (v *vm) isDown() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Now().Before(v.outUntil)
}

// inTouch reports whether the VM was in touch at a time, as far as its process goes.
func (v *vm) inTouch(t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return t.Before(v.outFrom) || t.After(v.outUntil.Add(contactTime))
}

func (v *vm) hasEnded() bool {
	select {
	case <-v.ended:
		return true
	default:
		return false
	}
}

func (v *vm) ready() bool {
	c := http.Client{Timeout: time.Second}
	q, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+v.harness.address(v.host, readyPort)+"/v1/readyz", nil)
	if err != nil {
		return false
	}
	r, err := c.Do(q)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// peakMemory returns the largest resident memory of the process so far.
func (v *vm) peakMemory() string {
	if v.process == nil || v.hasEnded() {
		return "not known"
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		return "not known"
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.TrimSpace(value)
		}
	}
	return "not known"
}

func (v *vm) front() string { return v.harness.address(v.host, frontPort) }

// startAll starts all VMs and waits until they are ready.
func (h *harness) startAll() error {
	for _, v := range h.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range h.vms {
		for !v.ready() {
			if h.since() > 30*time.Second || v.hasEnded() {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	h.log("all VMs are ready")
	return nil
}

func (h *harness) close() {
	for _, v := range h.vms {
		if v.process != nil && !v.hasEnded() {
			_ = v.process.Process.Kill()
			<-v.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(h.temp)
	} else {
		fmt.Println("kept", h.temp)
	}
}

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	cases := map[string]func(*harness) error{
		"pages": pages, "extra": extra, "attempts": attempts, "evict": evict, "large": large,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*harness) error, folder string) int {
	root, err := os.OpenRoot(folder)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = root.Close() }()
	record, err := root.Create("record.txt")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = record.Close() }()
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	h := &harness{
		folder: folder, trouble: os.Getenv("TROUBLE") != "0", temp: temp, net1: 20 + rand.Intn(200), net2: 1 + rand.Intn(200),
		began: time.Now(), record: record,
	}
	defer h.close()
	if err := h.choosePorts(); err != nil {
		h.say("the case could not run: %v", err)
		return 2
	}
	return h.finish(h.await(run))
}

// await runs a case; it returns an error if the case takes too long or the program is interrupted.
func (h *harness) await(run func(*harness) error) error {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	done := make(chan error, 1)
	go func() { done <- run(h) }()
	select {
	case err := <-done:
		return err
	case s := <-interrupted:
		return fmt.Errorf("interrupted: %v", s)
	case <-time.After(caseTime):
		return errors.New("it took too long")
	}
}

// finish writes how a case ended to the record and returns the exit status.
func (h *harness) finish(err error) int {
	for _, v := range h.vms {
		if v.process != nil && v.hasEnded() && v.inTouch(time.Now()) {
			h.say("%s ended by itself", v.name)
		}
		h.log("%s: peak memory %s", v.name, v.peakMemory())
	}
	switch {
	case err == nil:
		h.say("the rule held")
		return 0
	case errors.Is(err, errBroken):
		h.say("%v", err)
		return 1
	}
	h.say("the case could not run: %v", err)
	return 2
}

// listen opens a listener.
func listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(context.Background(), "tcp", address)
}

// logPages logs the pages of lists that the store gives.
func (h *harness) logPages() {
	h.store.onPage = func(vm, kind string, first, last string, at int64, took time.Duration) {
		h.log("page of %s for %s: %s to %s at %d, took %d ms", kind, vm, first, last, at, took.Milliseconds())
	}
}
