package gladesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// contactTime is how long a VM must have been without a fault for its sends to count.
	contactTime = 3 * time.Second
	// maxLateSends is the number of sends allowed later than contactTime after the third crash.
	maxLateSends = 3
	// crashInterval is the time between two callers of the same crashing request.
	crashInterval = 150 * time.Millisecond
	// crashRunTime is how long a server works on it before it crashes.
	crashRunTime = 50 * time.Millisecond
	// crashRestartTime is how long the server is down.
	crashRestartTime = time.Second
)

// crashLog records the sends and crashes of the requests that crash their servers, by path.
type crashLog struct {
	mu             sync.Mutex
	sends, crashes map[string][]crashSend
}

// crashSend is one send of a crashing request.
type crashSend struct {
	at time.Time
	vm int
}

// runCrash crashes the server under a request that its VM sent, and starts it again.
func (f *fakeServer) runCrash(r *http.Request) {
	path := r.URL.Path
	vm, _ := strconv.Atoi(strings.SplitN(r.Header.Get("Attempt-Id"), "-", 3)[1]) // the caller sets it
	f.crashes.record(f.crashes.sends, path, vm)
	select {
	case <-r.Context().Done():
		return
	case <-time.After(crashRunTime):
	}
	f.crashes.record(f.crashes.crashes, path, vm)
	f.crash()
	time.AfterFunc(crashRestartTime, f.start)
	panic(http.ErrAbortHandler)
}

func (l *crashLog) record(log map[string][]crashSend, path string, vm int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	log[path] = append(log[path], crashSend{time.Now(), vm})
}

// late returns the sends of a request by VMs in touch that came too late after its third crash.
func (l *crashLog) late(path string, faults map[int][]time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := 0
	for _, s := range l.sends[path] {
		inTouch := true
		for _, at := range faults[s.vm] {
			inTouch = inTouch && (at.After(s.at) || s.at.Sub(at) > contactTime)
		}
		if inTouch && len(l.crashes[path]) > 2 && s.at.Sub(l.crashes[path][2].at) > contactTime {
			late++
		}
	}
	return late
}

// callCrash sends a request that crashes its servers to the VMs in turn until the context ends.
func (s *soak) callCrash(ctx context.Context, path string) {
	var calls sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		v := s.vms[i%len(s.vms)]
		calls.Go(func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address(v.host, 8740)+path, strings.NewReader("body"))
			s.Check(err, qt.IsNil)
			r.Host = "h"
			r.Header.Set("Attempt-Id", fmt.Sprintf("crash-%d-%d", v.host, s.attempt.Add(1)))
			r.Header.Set("Deadline-Ms", "6000")
			if response, err := http.DefaultClient.Do(r); err == nil { // the VM may be down
				_ = response.Body.Close()
			}
		})
		time.Sleep(crashInterval)
	}
	calls.Wait()
}

// Requests crash the servers that run them, and come again at VMs that are restarted one after the other. Each must be
// stopped everywhere, and other requests must be served.
func TestSoakCrashingRequests(t *testing.T) {
	program := filepath.Join(t.TempDir(), "gladed")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/gladed").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	for text := range strings.SplitSeq(*seeds, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		qt.Assert(t, err, qt.IsNil)
		t.Run(text, func(t *testing.T) {
			s := newSoak(t, program, seed)
			s.runCrashes(rand.New(rand.NewPCG(seed, 3)))
			if s.Failed() {
				s.saveLogs(seed)
			}
		})
	}
}

func (s *soak) runCrashes(random *rand.Rand) {
	for _, v := range s.vms {
		s.Assert(s.waitReady(v), qt.IsTrue)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	paths := []string{"/stream/crash", "/safe/crash", "/unsafe/crash"}
	for _, p := range paths {
		callers.Go(func() { s.callCrash(ctx, p) })
	}
	faults := map[int][]time.Time{}
	for began := time.Now(); time.Since(began) < *duration+2*contactTime; {
		v := s.vms[random.IntN(len(s.vms))]
		faults[v.host] = append(faults[v.host], time.Now())
		s.Check(v.restart([]syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[random.IntN(2)]), qt.IsNil)
		faults[v.host] = append(faults[v.host], time.Now())
		time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
	}
	for _, p := range paths {
		l := s.servers[0].crashes
		late := l.late(p, faults)
		s.Check(late <= maxLateSends, qt.IsTrue, qt.Commentf("%s: %d late sends, %d crashes", p, late, len(l.crashes[p])))
		s.Logf("%s: %d sends, %d late, %d crashes", p, len(l.sends[p]), late, len(l.crashes[p]))
	}
	s.checkRecovery()
	cancel()
	callers.Wait()
}
