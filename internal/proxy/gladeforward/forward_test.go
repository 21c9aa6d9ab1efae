package gladeforward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladebudget"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeserve"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

// The headers of the tests' own platform.
const (
	testID, testDeadline, testKey, testLast   = "T-Id", "T-Deadline", "T-Key", "T-Last"
	testSeal, testNotRun, testCopy, testFrom  = "T-Seal", "T-Not-Run", "T-Copy", "T-From"
	testServer, testOrganisation, testSession = "T-Server", "T-Organisation", "T-Session"
)

func decodeCall(h http.Header) gladesend.Call {
	c := gladesend.Call{ID: h.Get(testID), Key: h.Get(testKey), LastEvent: gladesend.NoEvent, Header: h, Session: h.Get(testSession)}
	if ms, err := strconv.Atoi(h.Get(testDeadline)); err == nil {
		c.TimeLeft, c.Limited = time.Duration(ms)*time.Millisecond, true
	}
	if id, err := strconv.ParseInt(h.Get(testLast), 10, 64); err == nil {
		c.LastEvent = id
	}
	c.PromptTokens = 5000
	h.Del(testKey)
	h.Del(testLast)
	return c
}

func encodeSend(h http.Header, s *gladesend.Send) {
	h.Set(testServer, s.Server)
	h.Set(testOrganisation, s.Organisation)
	if s.Limited {
		h.Set(testDeadline, strconv.FormatInt(s.Left.Milliseconds(), 10))
	}
	for name, value := range map[string]string{testCopy: s.Copy, testFrom: s.From} {
		if value != "" {
			h.Set(name, value)
		}
	}
	if s.LastEvent != gladesend.NoEvent {
		h.Set(testLast, strconv.FormatInt(s.LastEvent, 10))
	}
}

func decodeAnswer(h http.Header) gladesend.Mark {
	return gladesend.Mark{ID: h.Get(testID), Sealed: h.Get(testSeal) != "", NotRun: h.Get(testNotRun) != ""}
}

// world is a VM with its backend servers on an in-memory network.
type world struct {
	*qt.C
	network   *gladewire.Network
	fleet     *gladefleet.Table
	forwarder *Forwarder
	engine    *gladerelease.Engine
	client    *http.Client
	stopsAt   time.Time
	closers   []func()

	mu sync.Mutex
	// runs are the requests that servers began to work on, in order.
	runs []run
	held map[string]map[string]int
	made []string
	// freed are the copies whose room was given back.
	freed []string
	// deaths are the crashes that other VMs would be told of.
	deaths []Death
}

// run is what a server saw of a request.
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

// play calls f in virtual time with a VM in shubra.
func play(t *testing.T, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{C: qt.New(t), network: &gladewire.Network{}, held: map[string]map[string]int{}}
		w.open()
		defer w.settle()
		defer func() {
			for i := len(w.closers) - 1; i >= 0; i-- {
				w.closers[i]()
			}
		}()
		f(w)
	})
}

func (w *world) open() {
	w.fleet = gladefleet.New(gladefleet.Config{FailureDomain: "shubra"})
	vm := w.network.Host("vm")
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
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
		Engine: Engine{Copy: w.copyRun, Free: w.freeCopy, Held: w.heldAt},
		Budget: gladebudget.New(gladebudget.Config{Share: 1, Reserve: 100, Window: 10 * time.Second, VMs: func() int { return 1 }}),
		Decode: decodeCall, AnswerID: func(h http.Header, id string) { h.Set(testID, id) },
		CopyOf:   func(address, id string) string { return address + "/" + id },
		Suspects: gladesuspect.New(gladesuspect.Config{MaxKills: 3}), OnDeath: w.died,
		StopsAt: func() time.Time { return w.stopsAt },
		Changed: func() {}, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
	})
	w.forwarder = forwarder
	w.closers = append(w.closers, closeForwarder)
	l, err := vm.Listen("tcp", "vm:80")
	w.Assert(err, qt.IsNil)
	_, closeServer := gladeserve.New(gladeserve.Config{
		Listener: l, Limits: func() gladerelease.Limits { return gladerelease.DefaultLimits },
		Handle: forwarder.Handle, Refused: func(int, error) {},
	})
	w.closers = append(w.closers, closeServer)
	transport := &http.Transport{DialContext: w.network.Host("caller").Dial}
	w.client = &http.Client{Transport: transport}
	w.closers = append(w.closers, transport.CloseIdleConnections)
}

func (w *world) copyRun(_ context.Context, source, id, target string) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.made = append(w.made, source+" "+target)
	return source + "/handle-" + id, nil
}

func (w *world) freeCopy(_ context.Context, name string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.freed = append(w.freed, name)
	return nil
}

func (w *world) died(d Death) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaths = append(w.deaths, d)
}

func (w *world) heldAt(_ context.Context, address string) (map[string]int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held[address], nil
}

// serve adds a backend server whose requests h answers; the answer's identifier and seal are set already.
func (w *world) serve(service, domain, id string, h http.HandlerFunc) {
	address := id + ":1"
	l, err := w.network.Host(id).Listen("tcp", address)
	w.Assert(err, qt.IsNil)
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
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
	go func() { _ = s.Serve(l) }()
	w.closers = append(w.closers, func() { _ = s.Close() })
	w.fleet.Put(gladefleet.Server{ID: id, Service: service, Address: address, FailureDomain: domain, Slots: 12, Started: 1}, time.Now())
}

// settle lets servers and the VM take note of what has ended.
func (w *world) settle() {
	time.Sleep(time.Second)
	synctest.Wait()
}

// run returns what the server of the i-th run saw.
func (w *world) run(i int) run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[i]
}

// copies returns the sources and targets of the copies made by call.
func (w *world) copies() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.made)
}

// ran returns the servers that began to work on requests, in order.
func (w *world) ran() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var servers []string
	for _, r := range w.runs {
		servers = append(servers, r.server)
	}
	return servers
}

// response is what a caller got.
type response struct {
	status int
	header http.Header
	body   string
	// err tells that the answer did not end as it should.
	err  error
	took time.Duration
}

func (w *world) call(method, path string, header map[string]string) response {
	return w.callContext(w.Context(), method, path, header)
}

func (w *world) callContext(ctx context.Context, method, path string, header map[string]string) response {
	r, err := http.NewRequestWithContext(ctx, method, "http://vm:80"+path, strings.NewReader("body"))
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

// cut breaks the connection off without an answer.
func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// hang works until its caller leaves.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// events streams the events from one to last, or from the one after what the caller has.
func events(last int, pause time.Duration, then http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(testLast)) // zero if the caller has none
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

// whole returns the stream of the events from first to last.
func whole(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", id, id)
	}
	return b.String()
}
