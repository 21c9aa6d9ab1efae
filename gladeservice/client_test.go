package gladeservice

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

type fault = gladestandin.ServiceFault

// harness is a client with stand-in services, in virtual time.
type harness struct {
	network    gladewire.Network
	services   []*gladestandin.Service
	runCounter gladestandin.RunCounter
	metrics    metrics.Registry
	client     *Client
	retries    int
}

func newHarness(t *testing.T, services int) *harness {
	h := &harness{metrics: metrics.NewRegistry(), retries: 100}
	for i := range services {
		host := fmt.Sprintf("s%d", i)
		s := gladestandin.NewService(gladestandin.ServiceConfig{ID: host, RunTime: 10 * time.Millisecond, RunCounter: &h.runCounter})
		h.services = append(h.services, s)
		l, err := h.network.Host(host).Listen("tcp", host+":80")
		qt.Assert(t, err, qt.IsNil)
		server := &http.Server{Handler: s}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	client, closeClient := New(Config{
		Choose:  h.choose,
		Retry:   func() bool { h.retries--; return h.retries >= 0 },
		Dial:    h.network.Host("vm").Dial,
		Metrics: h.metrics,
		Check:   &gladecheck.Checker{OnBroken: func(i gladecheck.Invariant, m string) { t.Errorf("%s: %s", i, m) }},
	})
	t.Cleanup(closeClient)
	t.Cleanup(func() { time.Sleep(10 * time.Second) }) // let abandoned runs end
	h.client = client
	return h
}

func (h *harness) choose(_ string, n gladeapi.Requirements) (gladeapi.Choice, error) {
	for i := range h.services {
		id := fmt.Sprintf("s%d", i)
		if i < len(n.Avoid) {
			continue
		}
		return gladeapi.Choice{
			Backend: gladeapi.BackendServer{ID: id, Address: id + ":80"}, Release: func(gladeapi.Outcome) {},
		}, nil
	}
	return gladeapi.Choice{}, errors.New("no server")
}

func (h *harness) call(idempotent, hedge bool, key string) (*Answer, error) {
	return h.client.Do(context.Background(), &Request{
		ID: "r" + key, Organisation: "nile-fixer",
		Route:  gladenote.Route{Name: "returns", Pool: "returns-app", Idempotent: idempotent, Hedge: hedge, TimeoutMillis: 1000},
		Method: http.MethodPost, Path: "/credits?lab=7",
		Header: http.Header{"Idempotency-Key": {key}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		Body:   []byte("credit " + key),
	})
}

func TestNonIdempotentCallRunsAtMostOnce(t *testing.T) {
	for _, x := range []struct {
		name  string
		fault fault
		ran   gladeapi.Ran
		runs  int
	}{
		{"answered", fault{}, "", 1},
		{"dies before running", fault{DieBefore: true}, gladeapi.RanUnknown, 0},
		{"dies while running", fault{DieDuring: true}, gladeapi.RanUnknown, 1},
		{"dies after running", fault{DieAfter: true}, gladeapi.RanUnknown, 1},
		{"answer lost", fault{LoseAnswer: true}, gladeapi.RanUnknown, 1},
		{"answer late", fault{Late: 2 * time.Second}, gladeapi.RanUnknown, 1},
		{"answer to another request", fault{EchoOf: "other.1"}, gladeapi.RanUnknown, 1},
		{"refused before running", fault{Refuse: true}, gladeapi.NotRun, 0},
		{"refusal of another request", fault{Refuse: true, EchoOf: "other.1"}, gladeapi.RanUnknown, 0},
		{"refusal without header is passed on", fault{RefuseQuietly: true}, "", 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, 3)
				_, err := h.call(false, false, "warm") // a reused connection must not lead to a second send
				c.Assert(err, qt.IsNil)
				for _, s := range h.services {
					s.SetFault(x.fault)
				}
				_, err = h.call(false, false, "k")
				if x.ran == "" {
					c.Assert(err, qt.IsNil)
				} else {
					c.Assert(err, qt.IsNotNil)
					c.Check(gladeapi.AsRefusal(err).Ran, qt.Equals, x.ran, qt.Commentf("%v", err))
				}
				time.Sleep(5 * time.Second)
				c.Check(h.runCounter.Runs()["k"], qt.Equals, x.runs)
				c.Check(h.runCounter.Received(), qt.Equals, 2)
			})
		})
	}
}

func TestNonIdempotentCallIsRetriedBeforeFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, 3)
		h.network.Kill("s0")
		_, err := h.call(false, false, "k")
		c.Assert(err, qt.IsNil)
		h.network.Kill("s1")
		h.network.Kill("s2")
		_, err = h.call(false, false, "l")
		c.Assert(gladeapi.AsRefusal(err).Ran, qt.Equals, gladeapi.NotRun)
		c.Assert(h.runCounter.Runs(), qt.DeepEquals, map[string]int{"k": 1})
	})
}

func TestIdempotentCallIsRetried(t *testing.T) {
	for _, x := range []struct {
		name    string
		fault   fault
		hedge   bool
		within  time.Duration
		foreign int64
	}{
		{"dies before running", fault{DieBefore: true}, false, 100 * time.Millisecond, 0},
		{"dies after running", fault{DieAfter: true}, false, 100 * time.Millisecond, 0},
		{"refused", fault{Refuse: true}, false, 100 * time.Millisecond, 0},
		{"answer to another request", fault{EchoOf: "other.1"}, false, 100 * time.Millisecond, 1},
		{"answer lost", fault{LoseAnswer: true}, false, 600 * time.Millisecond, 0},
		{"answer lost, hedged", fault{LoseAnswer: true}, true, 150 * time.Millisecond, 0},
		{"slow, hedged", fault{Slow: 900 * time.Millisecond}, true, 150 * time.Millisecond, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, 3)
				for range 8 {
					_, err := h.call(true, x.hedge, "")
					c.Assert(err, qt.IsNil)
				}
				h.services[0].SetFault(x.fault)
				started := time.Now()
				a, err := h.call(true, x.hedge, "")
				c.Assert(err, qt.IsNil)
				c.Check(string(a.Body), qt.Equals, "credit ")
				c.Check(a.Header.Get("Service-Id"), qt.Equals, "s1")
				c.Check(time.Since(started) <= x.within, qt.IsTrue, qt.Commentf("%s", time.Since(started)))
				c.Check(h.client.counts.foreign.Count(), qt.Equals, x.foreign)
				h.services[1].SetFault(x.fault) // the retry must also survive a failure of the second server
				_, err = h.call(true, x.hedge, "")
				c.Check(err, qt.IsNil)
			})
		})
	}
}

func TestAttemptTimeoutFollowsRouteLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, 3)
		for _, s := range h.services {
			s.SetFault(fault{Slow: 600 * time.Millisecond})
		}
		for range 5 {
			_, err := h.call(true, false, "")
			c.Assert(err, qt.IsNil)
		}
		c.Assert(h.runCounter.Received(), qt.Equals, 5)
	})
}

func TestRetriesRespectBudgetAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, 3)
		for _, s := range h.services {
			s.SetFault(fault{DieBefore: true})
		}
		h.retries = 1
		_, err := h.call(true, false, "")
		c.Check(gladeapi.AsRefusal(err).Ran, qt.Equals, gladeapi.RanUnknown)
		c.Check(h.runCounter.Received(), qt.Equals, 2)
		for _, s := range h.services {
			s.SetFault(fault{LoseAnswer: true})
		}
		h.retries = 100
		started := time.Now()
		_, err = h.call(true, true, "")
		c.Check(gladeapi.AsRefusal(err).Code, qt.Equals, gladeapi.CodeDeadline)
		c.Check(time.Since(started) <= time.Second, qt.IsTrue)
	})
}

func TestLateAnswerIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, 1)
		h.services[0].SetFault(fault{Late: 3 * time.Second, Times: 1})
		_, err := h.call(true, false, "first")
		c.Check(err, qt.IsNotNil)
		for i := range 20 {
			key := fmt.Sprintf("k%d", i)
			a, err := h.call(true, false, key)
			c.Assert(err, qt.IsNil)
			c.Check(string(a.Body), qt.Equals, "credit "+key)
			time.Sleep(200 * time.Millisecond)
		}
	})
}
