package gladeforward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladebudget"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeserve"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestop"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

// Header names of the test platform.
const (
	testID, testDeadline, testKey, testLast   = "T-Id", "T-Deadline", "T-Key", "T-Last"
	testSeal, testNotRun, testCopy, testFrom  = "T-Seal", "T-Not-Run", "T-Copy", "T-From"
	testServer, testOrganisation, testSession = "T-Server", "T-Organisation", "T-Session"
	testParts                                 = "T-Parts"
)

func decodeCall(h http.Header) gladesend.Call {
	c := gladesend.Call{ID: h.Get(testID), Key: h.Get(testKey), LastEvent: gladesend.NoEvent, Header: h, Session: h.Get(testSession)}
	if ms, err := strconv.Atoi(h.Get(testDeadline)); err == nil {
		c.TimeLeft, c.HasTimeLimit = time.Duration(ms)*time.Millisecond, true
	}
	if id, err := strconv.ParseInt(h.Get(testLast), 10, 64); err == nil {
		c.LastEvent = id
	}
	if parts := h.Get(testParts); parts != "" {
		for p := range strings.SplitSeq(parts, ",") {
			c.Parts = append(c.Parts, gladesend.PartID(p))
		}
	}
	c.PromptTokens = 5000
	h.Del(testKey)
	h.Del(testLast)
	return c
}

func encodeSend(h http.Header, s *gladesend.SendParams) {
	h.Set(testServer, s.Server)
	h.Set(testOrganisation, s.Organisation)
	if s.HasTimeLimit {
		h.Set(testDeadline, strconv.FormatInt(s.TimeLeft.Milliseconds(), 10))
	}
	for name, value := range map[string]string{testCopy: s.CopyAddress, testFrom: s.ResumeFrom} {
		if value != "" {
			h.Set(name, value)
		}
	}
	if s.LastEvent != gladesend.NoEvent {
		h.Set(testLast, strconv.FormatInt(s.LastEvent, 10))
	}
}

func decodeAnswer(h http.Header) gladesend.AnswerInfo {
	return gladesend.AnswerInfo{ID: h.Get(testID), Signed: h.Get(testSeal) != "", NotRun: h.Get(testNotRun) != "", Encoded: h.Get("Content-Encoding") != ""}
}

// harness runs a VM and backend servers on an in-memory network.
type harness struct {
	*qt.C
	network *gladewire.Network
	// vm is the host of the VM and domain its failure domain.
	vm, domain string
	suspects   gladesuspect.Config
	// onDeath is called with the deaths reported to the other VMs; nil ignores them.
	onDeath   func(ServerDeath)
	fleet     *gladefleet.Table
	forwarder *Forwarder
	engine    *gladerelease.Engine
	client    *http.Client
	stopPlan  atomic.Pointer[gladestop.Plan]
	// noConnections makes all connections that the VM opens to servers time out.
	noConnections atomic.Bool
	// dialError returns the error of a connection to a server, or nil to open it; nil opens all.
	dialError func(address string) error
	// others are the addresses of other parties than servers.
	others  []string
	server  *gladeserve.Server
	memory  *gladememory.Ledger
	closers []func()

	mu sync.Mutex
	// runs are the requests that servers received, in order.
	runs []run
	// held are the cached tokens that engines report, by address and prompt part.
	held map[string]map[string]int
	// copyCalls are the sources and targets of the Engine.Copy calls.
	copyCalls []string
	// freed are the copies released by Engine.Free.
	freed []string
	// instances are the identifiers of the servers that now answer at an address, where they differ from the fleet's.
	instances map[string]string
	// successors are the successors reported to the other VMs.
	successors []gladefleet.Successor
	// deaths are the deaths reported to the other VMs.
	deaths []ServerDeath
}

// run is a request as received by a server.
type run struct {
	server   string
	header   http.Header
	path     string
	canceled bool
}

const (
	testTarget  = 100 * time.Millisecond
	testGap     = 700 * time.Millisecond
	testTimeout = 20 * time.Second
)

// runTest calls f in virtual time with a VM in the failure domain "shubra".
func runTest(t *testing.T, f func(w *harness)) {
	synctest.Test(t, func(t *testing.T) {
		w := &harness{C: qt.New(t), network: &gladewire.Network{}, vm: "vm", domain: "shubra", held: map[string]map[string]int{}}
		w.suspects.MaxDeaths = 3
		w.memory = gladememory.New(gladememory.Config{Limits: gladememory.Derive(0, 0)})
		w.start()
		defer w.waitForCleanup()
		defer func() {
			w.mu.Lock()
			closers := w.closers
			w.mu.Unlock()
			for _, c := range slices.Backward(closers) {
				c()
			}
		}()
		f(w)
	})
}

// connect attempts a connection to a server as a probe does.
func (w *harness) connect(address string) error {
	ctx, cancel := context.WithTimeout(w.Context(), probeTimeout)
	defer cancel()
	return w.forwarder.config.Client.Pool.Probe(ctx, address)
}

func (w *harness) start() {
	w.fleet = gladefleet.New(gladefleet.Config{FailureDomain: w.domain, AddressReuse: 2 * time.Second})
	vm := w.network.Host(w.vm)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		if w.noConnections.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if w.dialError != nil {
			err := w.dialError(address)
			if errors.Is(err, context.DeadlineExceeded) {
				<-ctx.Done()
			}
			if err != nil {
				return nil, err
			}
		}
		return vm.Dial(ctx, "tcp", address)
	}
	pool, closePool := gladesend.NewPool(gladesend.PoolConfig{Dial: dial})
	w.closers = append(w.closers, closePool)
	w.engine = &gladerelease.Engine{Copies: true}
	release := &gladerelease.Release{
		Version: 1, Limits: gladerelease.DefaultLimits, Restricted: true,
		Services:      map[string]gladerelease.Service{"llm": {Engine: w.engine}, "app": {}},
		Organisations: map[string]gladerelease.Organisation{"key": {Name: "lab"}},
		Routes: []gladerelease.Route{
			{Name: "credits", Host: "h", PathPrefix: "/unsafe/", Kind: gladerelease.Unsafe, Attempts: 1, Shares: []gladerelease.Share{{Service: "app", Weight: 1}}},
			{Name: "drums", Host: "h", PathPrefix: "/safe/", Kind: gladerelease.Safe, Attempts: 2, Shares: []gladerelease.Share{{Service: "app", Weight: 1}}},
			{Name: "notes", Host: "h", PathPrefix: "/stream/", Kind: gladerelease.Stream, Attempts: 5, Resumable: true, Shares: []gladerelease.Share{{Service: "llm", Weight: 1}}},
			{Name: "once", Host: "h", PathPrefix: "/once/", Kind: gladerelease.Stream, Attempts: 5, Shares: []gladerelease.Share{{Service: "llm", Weight: 1}}},
		},
	}
	unlimited := gladerelease.Route{Name: "unlimited", Host: "h", PathPrefix: "/unlimited/", Shares: []gladerelease.Share{{Service: "app", Weight: 1}}}
	for i := range release.Routes {
		release.Routes[i].Target, release.Routes[i].EventGap, release.Routes[i].Timeout = testTarget, testGap, testTimeout
	}
	release.Routes = append(release.Routes, unlimited)
	release.Index()
	forwarder, closeForwarder := New(Config{
		Release: func() *gladerelease.Release { return release }, Fleet: w.fleet,
		Client: &gladesend.Client{Pool: pool, Encode: encodeSend, Decode: decodeAnswer},
		Engine: Engine{Copy: w.copyRun, Free: w.freeCopy, CachedTokens: w.heldAt},
		Budget: gladebudget.New(gladebudget.Config{Share: 1, Reserve: 100, Window: 10 * time.Second, VMs: func() int { return 1 }}),
		Decode: decodeCall, SetAnswerID: func(h http.Header, id string) { h.Set(testID, id) },
		CopyName: func(address, id string) string { return address + "/" + id },
		Suspects: gladesuspect.New(w.suspects), OnServerDeath: w.recordDeath,
		StopPlan: w.stopPlan.Load, Others: func() []string { return w.others },
		BootTime: time.Now, Instance: w.instanceAt, OnSuccessor: w.recordSuccessor,
		OnLoadChange: func() {}, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
	})
	w.forwarder = forwarder
	w.closers = append(w.closers, closeForwarder)
	l, err := vm.Listen("tcp", w.vm+":80")
	w.Assert(err, qt.IsNil)
	server, closeServer := gladeserve.New(gladeserve.Config{
		Listener: l, Limits: func() gladerelease.Limits { return gladerelease.DefaultLimits },
		Handle: forwarder.Handle, OnRefused: func(int, error) {}, Memory: w.memory,
	})
	w.server = server
	w.closers = append(w.closers, closeServer)
	transport := &http.Transport{DialContext: w.network.Host("caller").Dial}
	w.client = &http.Client{Transport: transport}
	w.closers = append(w.closers, transport.CloseIdleConnections)
}

func (w *harness) copyRun(_ context.Context, source, id, target string) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copyCalls = append(w.copyCalls, source+" "+target)
	return source + "/handle-" + id, nil
}

func (w *harness) freeCopy(_ context.Context, name string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.freed = append(w.freed, name)
	return nil
}

func (w *harness) instanceAt(_ context.Context, address, _ string) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instances[address], nil
}

func (w *harness) recordSuccessor(s gladefleet.Successor) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.successors = append(w.successors, s)
}

func (w *harness) recordDeath(d ServerDeath) {
	w.mu.Lock()
	w.deaths = append(w.deaths, d)
	w.mu.Unlock()
	if w.onDeath != nil {
		w.onDeath(d)
	}
}

// reportedDeaths returns the deaths reported to the other VMs so far.
func (w *harness) reportedDeaths() []ServerDeath {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.deaths)
}

func (w *harness) heldAt(_ context.Context, address string) (map[string]int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held[address], nil
}

// serve adds a backend server with the handler h.  The identifier and seal of the answer are set before h is called.
func (w *harness) serve(service, domain, id string, h http.HandlerFunc) {
	w.listen(id, h)
	w.fleet.Put(gladefleet.Server{ID: id, Service: service, Address: id + ":1", FailureDomain: domain, Slots: 12, Started: 1}, time.Now())
}

// recordPrefillRate lets a run on the fleet's only server process a prompt at a rate in tokens per second.
func (w *harness) recordPrefillRate(rate int) {
	now := time.Now()
	k, err := w.fleet.Choose(gladefleet.Requirements{Service: "llm", Prompt: rate, Tokens: rate}, now)
	w.Assert(err, qt.IsNil)
	k.PrefillDone(now.Add(time.Second))
	k.Release()
}

// listen is serve without the entry in the fleet.
func (w *harness) listen(id string, h http.HandlerFunc) {
	address := id + ":1"
	l, err := w.network.Host(id).Listen("tcp", address)
	w.Assert(err, qt.IsNil)
	s := &http.Server{ConnContext: gladestandin.WithLateConn, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.mu.Lock()
		at := len(w.runs)
		w.runs = append(w.runs, run{server: id, header: r.Header.Clone(), path: r.URL.Path})
		w.mu.Unlock()
		rw.Header().Set(testID, r.Header.Get(testID))
		rw.Header().Set(testSeal, id)
		h(rw, r)
		if r.Context().Err() != nil {
			w.mu.Lock()
			w.runs[at].canceled = true
			w.mu.Unlock()
		}
	})}
	go func() { _ = s.Serve(gladestandin.LateListener{Listener: l}) }()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, func() { _ = s.Close() })
}

// waitForCleanup waits until the servers and the VM have handled the end of all requests.
func (w *harness) waitForCleanup() {
	time.Sleep(time.Second)
	synctest.Wait()
}

// run returns the i-th request that a server received.
func (w *harness) run(i int) run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[i]
}

// copyCallList returns a copy of copyCalls.
func (w *harness) copyCallList() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.copyCalls)
}

// serversRun returns the servers that received requests, in order.
func (w *harness) serversRun() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var servers []string
	for _, r := range w.runs {
		servers = append(servers, r.server)
	}
	return servers
}

// response is the answer that a caller received.
type response struct {
	status int
	header http.Header
	body   string
	// err is set if there is no complete answer.
	err error
	// took is the time until the end of the answer.
	took time.Duration
}

func (w *harness) call(method, path string, header map[string]string) response {
	return w.callContext(w.Context(), method, path, header)
}

func (w *harness) callContext(ctx context.Context, method, path string, header map[string]string) response {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.vm+":80"+path, strings.NewReader("body"))
	w.Assert(err, qt.IsNil)
	r.Host = "h"
	r.Header.Set(testID, "r1")
	r.Header.Set(testKey, "key")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	began := time.Now()
	answer, err := w.client.Do(r)
	if err != nil {
		return response{err: err, took: time.Since(began)}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return response{status: answer.StatusCode, header: answer.Header, body: string(body), err: err, took: time.Since(began)}
}

func answerWith(status int, body string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(status)
		_, _ = io.WriteString(rw, body)
	}
}

func notRunAnswer(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set(testNotRun, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// abortConnection closes the connection before the end of the answer.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// waitForCancel blocks until the request is cancelled.
func waitForCancel(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// streamEvents streams the events from 1 to last, or from the event after the last one that the caller received, and
// then calls then if it is not nil.
func streamEvents(last int, pause time.Duration, then http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(testLast)) // zero if there is no such header
		for id := from + 1; id <= last; id++ {
			time.Sleep(pause)
			if r.Context().Err() != nil {
				return
			}
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: token %d\n\n", id, id)
			_ = http.NewResponseController(rw).Flush()
		}
		if then != nil {
			then(rw, r)
		}
	}
}

// eventText returns the text of the events from first to last.
func eventText(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", id, id)
	}
	return b.String()
}
