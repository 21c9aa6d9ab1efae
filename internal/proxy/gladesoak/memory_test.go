package gladesoak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// memoryLimitMB and descriptorLimit are memory_mb and max_fds of the VM's settings, and the bounds of these tests.
	memoryLimitMB   = 120
	descriptorLimit = 400
	// crowdSize is the number of callers that misbehave at the same time.
	crowdSize = 60
	// crowdTime is the longest time for which they send.
	crowdTime = 10 * time.Second
	// largeBody is the largest body that the release allows.
	largeBody = 4 << 20
	// shortOfEnd is what most callers leave out of a body.
	shortOfEnd = 100
	// wholeEvery is the share of callers that send the whole body: one of so many.
	wholeEvery = 6
	// memoryRouteTimeout is the time limit of the routes.
	memoryRouteTimeout = 5 * time.Second
)

// memoryFleet is a VM with little memory and few descriptors.
type memoryFleet struct {
	*stopFleet
	pid int
	// done is closed at the end of the test.
	done chan struct{}
	// maxDescriptors is the largest number of open descriptors seen.
	maxDescriptors atomic.Int64
}

func newMemoryFleet(t *testing.T) *memoryFleet {
	f := &memoryFleet{
		stopFleet: &stopFleet{C: qt.New(t), prefix: memoryPrefix(), store: newFakeStore(), runs: &runCounter{runs: map[string]int{}}},
		done:      make(chan struct{}),
	}
	f.store.put("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "all", "hostname": "h", "path_prefix": "/", "type": "unsafe", "service": "app", "attempts": 1,
			"timeout_ms": memoryRouteTimeout.Milliseconds(), "slo_ms": 300,
		}},
		"services": []map[string]any{{"name": "app"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": largeBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for i := range 4 {
		address := f.address(100+i, 8080)
		f.listen(address, f.serveMemory)
		f.store.put("servers", fmt.Sprintf("i-%d", i), map[string]any{
			"service": "app", "addr": address, "zone": "a", "slots": 200, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
		})
	}
	f.listen(f.address(200, firstStorePort+1), func(w http.ResponseWriter, r *http.Request) { f.store.serve(1, w, r) })
	f.vm = &vm{host: 1, program: buildProgram(t), settings: filepath.Join(t.TempDir(), "vm.toml")}
	text := fmt.Appendf(nil, stopSettings, f.prefix, 1, firstStorePort+1, stopGrace.Seconds())
	text = fmt.Appendf(text, "[limits]\nmemory_mb = %d\nmax_fds = %d\n", memoryLimitMB, descriptorLimit)
	f.Assert(os.WriteFile(f.vm.settings, text, 0o600), qt.IsNil)
	f.Assert(f.vm.start(), qt.IsNil)
	f.pid = f.vm.cmd.Process.Pid
	f.Cleanup(func() {
		close(f.done)
		f.vm.signal(syscall.SIGKILL)
		<-f.vm.done
		if f.Failed() {
			f.saveLog()
		}
	})
	f.waitReady()
	return f
}

// memoryPrefix returns the first part of the addresses of a fleet; tests of this kind run one at a time.
func memoryPrefix() string { return fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, 251) }

// serveMemory answers as a backend server does.  Under /large/ the answer is a large one, and under /unread/ the server does not read
// the request's body.
func (f *memoryFleet) serveMemory(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/unread/") {
		<-f.done
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Server-Seal", "seal")
	size := len("answer")
	if strings.HasPrefix(r.URL.Path, "/large/") {
		size = largeBody
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	for piece := strings.Repeat("a", 64<<10); size > 0; size -= len(piece) {
		if _, err := io.WriteString(w, piece[:min(size, len(piece))]); err != nil {
			return
		}
	}
}

// connect opens a connection to the VM, which is closed at the end of the test.  It returns nil if the VM does not accept it.
func (f *memoryFleet) connect() net.Conn {
	// A small receive window keeps what a caller leaves unread in the sender.
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	conn, err := d.Dial("tcp", f.address(f.vm.host, 8740))
	if err != nil {
		return nil
	}
	f.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(crowdTime))
	return conn
}

// runCrowd lets the callers act at the same time; each gets a connection, which stays open, and its number.  What the VM does to them is
// left to it.  Then it checks that the VM lives within its limits and answers an ordinary request.
func (f *memoryFleet) runCrowd(act func(conn net.Conn, n int)) {
	stop := make(chan struct{})
	var watch, callers sync.WaitGroup
	watch.Go(func() {
		for ticker := time.NewTicker(20 * time.Millisecond); ; {
			f.maxDescriptors.Store(max(f.maxDescriptors.Load(), int64(f.descriptors())))
			select {
			case <-stop:
				ticker.Stop()
				return
			case <-ticker.C:
			}
		}
	})
	for n := range crowdSize {
		conn := f.connect()
		if conn != nil {
			callers.Go(func() { act(conn, n) })
		}
	}
	callers.Wait()
	status, err := f.ordinaryRequest()
	close(stop)
	watch.Wait()
	peak, memoryErr := f.peakMemory()
	f.Logf("peak memory %.1f MB, at most %d descriptors, ordinary request: %d %v", peak, f.maxDescriptors.Load(), status, err)
	f.Check(f.ended(), qt.IsFalse, qt.Commentf("the process has ended"))
	f.Check(memoryErr, qt.IsNil)
	f.Check(peak < memoryLimitMB, qt.IsTrue, qt.Commentf("peak memory %.1f MB", peak))
	f.Check(f.maxDescriptors.Load() < descriptorLimit, qt.IsTrue, qt.Commentf("%d descriptors", f.maxDescriptors.Load()))
	f.Check(err, qt.IsNil)
	f.Check(status, qt.Equals, http.StatusOK)
}

// ordinaryRequest sends a small request on a new connection.
func (f *memoryFleet) ordinaryRequest() (int, error) {
	client := &http.Client{Timeout: crowdTime, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+f.address(f.vm.host, 8740)+"/small/x", strings.NewReader(strings.Repeat("a", 2<<10)))
	f.Assert(err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("Attempt-Id", "ordinary")
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func (f *memoryFleet) ended() bool {
	select {
	case <-f.vm.done:
		return true
	default:
		return false
	}
}

// descriptors returns the number of open descriptors of the process.
func (f *memoryFleet) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.pid)) // it fails only if the process has ended, which runCrowd checks
	return len(entries)
}

// peakMemory returns the largest resident memory of the process so far, in MB.
func (f *memoryFleet) peakMemory() (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes float64
	_, err = fmt.Sscan(rest, &kilobytes)
	return kilobytes * 1024 / 1e6, err
}

// head returns the head of a request of caller n.
func head(path string, n int, framing string) string {
	return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: h\r\nAttempt-Id: caller-%d\r\n%s\r\n\r\n", path, n, framing)
}

// lengthOf returns how much of a body of the given length caller n sends.
func lengthOf(length, n int) int {
	if n%wholeEvery == 0 {
		return length
	}
	return length - shortOfEnd
}

// writeAll writes the text, in pieces with a pause after each.
func writeAll(w io.Writer, text string, piece int, pause time.Duration) {
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return // the VM may refuse the request
		}
		text = text[n:]
		time.Sleep(pause)
	}
}

// chunks returns a chunked body of the given length without its end.
func chunks(length, size int) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("a", size))
	return strings.Repeat(chunk, length/size)
}

var bodyText = strings.Repeat("a", largeBody)

// Guards against memory that grows with the bodies of callers which stop just short of the end.
func TestMemoryWholeBodies(t *testing.T) {
	f := newMemoryFleet(t)
	f.runCrowd(func(conn net.Conn, n int) {
		writeAll(conn, head("/small/", n, fmt.Sprintf("Content-Length: %d", largeBody))+bodyText[:lengthOf(largeBody, n)], largeBody*2, 0)
	})
}

// Guards against the same where the bodies arrive piece by piece, so that none of them is stalled until all are large.
func TestMemoryBodiesInPieces(t *testing.T) {
	f := newMemoryFleet(t)
	f.runCrowd(func(conn net.Conn, n int) {
		writeAll(conn, head("/small/", n, fmt.Sprintf("Content-Length: %d", largeBody)), largeBody, 0)
		writeAll(conn, bodyText[:lengthOf(largeBody, n)], 64<<10, 20*time.Millisecond)
	})
}

// Guards against bodies of unknown length, whose buffers leave garbage as they grow.
func TestMemoryLargeChunks(t *testing.T) {
	f := newMemoryFleet(t)
	text := chunks(largeBody, 1<<20)
	f.runCrowd(func(conn net.Conn, n int) {
		writeAll(conn, head("/small/", n, "Transfer-Encoding: chunked")+text, 256<<10, 10*time.Millisecond)
		if n%wholeEvery == 0 {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	})
}

// Guards against chunks that each leave some garbage.
func TestMemorySmallChunks(t *testing.T) {
	f := newMemoryFleet(t)
	text := chunks(largeBody, 1)
	f.runCrowd(func(conn net.Conn, n int) {
		writeAll(conn, head("/small/", n, "Transfer-Encoding: chunked")+text, len(text)*2, 0)
		if n%wholeEvery == 0 {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	})
}

// Guards against memory for bodies that are refused by their announced length but sent all the same.
func TestMemoryAnnouncedTooLarge(t *testing.T) {
	f := newMemoryFleet(t)
	f.runCrowd(func(conn net.Conn, n int) {
		writeAll(conn, head("/small/", n, fmt.Sprintf("Content-Length: %d", 1<<30)), largeBody, 0)
		for range 4 {
			writeAll(conn, bodyText, largeBody, 0)
		}
	})
}

// Guards against memory for bodies without end.
func TestMemoryEndlessBodies(t *testing.T) {
	f := newMemoryFleet(t)
	text := chunks(largeBody, 64<<10)
	f.runCrowd(func(conn net.Conn, n int) {
		writeAll(conn, head("/small/", n, "Transfer-Encoding: chunked"), largeBody, 0)
		for range 4 {
			writeAll(conn, text, 64<<10, 5*time.Millisecond)
		}
	})
}

// Guards against answers that pile up because their callers do not read them.
func TestMemoryUnreadAnswers(t *testing.T) {
	f := newMemoryFleet(t)
	f.runCrowd(func(conn net.Conn, n int) {
		writeAll(conn, head("/large/", n, "Content-Length: 0"), largeBody, 0)
		time.Sleep(memoryRouteTimeout / 2) // by then all answers are there
	})
}

// Guards against request bodies that pile up because the servers do not read them.
func TestMemoryServersDoNotRead(t *testing.T) {
	f := newMemoryFleet(t)
	f.runCrowd(func(conn net.Conn, n int) {
		writeAll(conn, head("/unread/", n, fmt.Sprintf("Content-Length: %d", largeBody))+bodyText, 256<<10, 10*time.Millisecond)
		time.Sleep(time.Second)
	})
}

// Guards against callers' idle connections that use up the descriptors which servers, the store and other VMs need.
func TestMemoryIdleConnections(t *testing.T) {
	f := newMemoryFleet(t)
	const each = 2 * descriptorLimit / crowdSize
	f.runCrowd(func(net.Conn, int) {
		for range each {
			f.connect()
		}
		time.Sleep(time.Second)
	})
}

// Guards against limits that refuse a request inside the release's limits when there is no other load: a body of the largest legal size,
// with an answer of that size, on one connection several times.
func TestMemoryOneLargeRequest(t *testing.T) {
	f := newMemoryFleet(t)
	conn := f.connect()
	f.Assert(conn, qt.IsNotNil)
	reader := bufio.NewReader(conn)
	for n, framing := range []string{fmt.Sprintf("Content-Length: %d", largeBody), "Transfer-Encoding: chunked", "Transfer-Encoding: chunked"} {
		_ = conn.SetDeadline(time.Now().Add(crowdTime))
		body := bodyText
		if n > 0 {
			body = chunks(largeBody, 64<<10) + "0\r\n\r\n"
		}
		_, err := io.WriteString(conn, head("/large/", n, framing)+body)
		f.Assert(err, qt.IsNil)
		r, err := http.ReadResponse(reader, nil)
		f.Assert(err, qt.IsNil)
		f.Check(r.StatusCode, qt.Equals, http.StatusOK)
		size, err := io.Copy(io.Discard, r.Body)
		f.Check(err, qt.IsNil)
		f.Check(size, qt.Equals, int64(largeBody))
	}
	peak, err := f.peakMemory()
	f.Check(err, qt.IsNil)
	f.Check(peak < memoryLimitMB, qt.IsTrue, qt.Commentf("peak memory %.1f MB", peak))
}
