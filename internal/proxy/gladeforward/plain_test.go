package gladeforward

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPlainAnswerIsUnchanged(t *testing.T) {
	play(t, func(w *world) {
		w.serve("app", "shubra", "a", answerWith(http.StatusCreated, "posted"))
		r := w.call(http.MethodPost, "/unsafe/x", map[string]string{testOrganisation: "forged", testServer: "forged"})
		w.Assert(r.err, qt.IsNil)
		w.Assert(r.status, qt.Equals, http.StatusCreated)
		w.Assert(r.body, qt.Equals, "posted")
		w.Assert(r.header.Get(testSeal), qt.Equals, "a")
		sent := w.run(0).header
		w.Assert(sent.Get(testOrganisation), qt.Equals, "lab")
		w.Assert(sent.Get(testServer), qt.Equals, "a")
		w.Assert(sent.Get(testKey), qt.Equals, "")
	})
}

func TestUnsafeRunsAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		first  http.HandlerFunc
		status int
		runs   int
	}{
		"cut":          {cut, http.StatusBadGateway, 1},
		"not run":      {notRunAnswer, http.StatusOK, 2},
		"failed by it": {answerWith(http.StatusInternalServerError, "broken"), http.StatusInternalServerError, 1},
		"no seal":      {func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Del(testSeal) }, http.StatusBadGateway, 1},
		"other answer": {func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set(testID, "r0") }, http.StatusGatewayTimeout, 1},
		"half a body": {func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Content-Length", "100")
			_, _ = rw.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		}, http.StatusBadGateway, 1},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world) {
				w.serve("app", "shubra", "a", x.first)
				w.serve("app", "giza", "b", answerWith(http.StatusOK, "posted"))
				r := w.call(http.MethodPost, "/unsafe/x", map[string]string{testDeadline: "2000"})
				w.Assert(r.err, qt.IsNil)
				w.Assert(r.status, qt.Equals, x.status)
				w.Assert(w.ran(), qt.HasLen, x.runs)
			})
		})
	}
}

// A refusal that promises is given only when no server can have run the request, and at once.
func TestRefusedAsNotRunIsTrue(t *testing.T) {
	play(t, func(w *world) {
		w.serve("app", "shubra", "a", notRunAnswer)
		w.serve("app", "giza", "b", notRunAnswer)
		r := w.call(http.MethodPost, "/unsafe/x", nil)
		w.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
		w.Assert(r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		w.Assert(r.took < 50*time.Millisecond, qt.IsTrue)
	})
	play(t, func(w *world) {
		w.serve("app", "shubra", "a", notRunAnswer)
		w.serve("app", "giza", "b", cut)
		w.Assert(w.call(http.MethodPost, "/unsafe/x", nil).status, qt.Equals, http.StatusBadGateway)
	})
	play(t, func(w *world) {
		w.serve("app", "shubra", "a", answerWith(http.StatusOK, ""))
		w.network.Kill("a")
		r := w.call(http.MethodPost, "/unsafe/x", nil)
		w.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
		w.Assert(w.ran(), qt.HasLen, 0)
	})
}

// Pattern: a server fails a part of its requests while its health check is good.
func TestSafeIsTriedElsewhere(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"cut": cut, "failed": answerWith(http.StatusInternalServerError, "broken"), "not run": notRunAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world) {
				w.serve("app", "shubra", "a", first)
				w.serve("app", "giza", "b", answerWith(http.StatusOK, "status"))
				r := w.call(http.MethodGet, "/safe/x", nil)
				w.Assert(r.status, qt.Equals, http.StatusOK)
				w.Assert(r.header.Get(testSeal), qt.Equals, "b")
				w.Assert(r.took < testTarget, qt.IsTrue)
			})
		})
	}
	play(t, func(w *world) { // two failures: the caller gets a server's own
		w.serve("app", "shubra", "a", answerWith(http.StatusInternalServerError, "broken"))
		w.serve("app", "giza", "b", answerWith(http.StatusInternalServerError, "broken"))
		r := w.call(http.MethodGet, "/safe/x", nil)
		w.Assert(r.status, qt.Equals, http.StatusInternalServerError)
		w.Assert(r.header.Get(testSeal), qt.Not(qt.Equals), "")
		w.Assert(w.ran(), qt.HasLen, 2)
	})
}

// Pattern: a server hangs; a lookup is asked for elsewhere in time, and the slow run is ended.
func TestSafeIsHedged(t *testing.T) {
	play(t, func(w *world) {
		w.serve("app", "shubra", "a", hang)
		w.serve("app", "giza", "b", answerWith(http.StatusOK, "status"))
		r := w.call(http.MethodGet, "/safe/x", nil)
		w.Assert(r.status, qt.Equals, http.StatusOK)
		w.Assert(r.took <= testTarget, qt.IsTrue)
		w.settle()
		w.Assert(w.run(0).canceled, qt.IsTrue)
	})
}

func TestTimeLimits(t *testing.T) {
	play(t, func(w *world) {
		w.serve("app", "shubra", "a", hang)
		r := w.call(http.MethodPost, "/unsafe/x", map[string]string{testDeadline: "500"})
		w.Assert(r.status, qt.Equals, http.StatusGatewayTimeout)
		w.Assert(r.took, qt.Equals, 500*time.Millisecond)
		w.Assert(w.run(0).header.Get(testDeadline), qt.Equals, "500")
		r = w.call(http.MethodPost, "/unsafe/x", map[string]string{testDeadline: "90000"})
		w.Assert(r.status, qt.Equals, http.StatusGatewayTimeout)
		w.Assert(r.took, qt.Equals, testTimeout)
		r = w.call(http.MethodPost, "/unlimited/x", nil)
		w.Assert(r.status, qt.Equals, http.StatusGatewayTimeout)
		w.Assert(r.took, qt.Equals, defaultLimit)
	})
}

func TestCallerThatLeavesFreesItsServer(t *testing.T) {
	play(t, func(w *world) {
		w.serve("app", "shubra", "a", hang)
		ctx, cancel := context.WithTimeout(w.Context(), time.Second)
		defer cancel()
		w.Assert(w.callContext(ctx, http.MethodPost, "/unsafe/x", nil).err, qt.IsNotNil)
		w.settle()
		w.Assert(w.run(0).canceled, qt.IsTrue)
		w.Assert(w.fleet.Shares(), qt.HasLen, 0)
	})
}

func TestRoutesAndKeys(t *testing.T) {
	play(t, func(w *world) {
		w.serve("app", "shubra", "a", answerWith(http.StatusOK, ""))
		w.Assert(w.call(http.MethodGet, "/none/x", nil).status, qt.Equals, http.StatusNotFound)
		w.Assert(w.call(http.MethodGet, "/safe/x", map[string]string{testKey: "other"}).status, qt.Equals, http.StatusUnauthorized)
		w.Assert(w.ran(), qt.HasLen, 0)
	})
}

// Pattern: a service's servers fail all at once; repeats end at the budget while first tries go on.
func TestRepeatsEndAtTheBudget(t *testing.T) {
	play(t, func(w *world) {
		w.serve("app", "shubra", "a", answerWith(http.StatusInternalServerError, ""))
		w.serve("app", "giza", "b", answerWith(http.StatusInternalServerError, ""))
		w.forwarder.config.Budget = noBudget()
		for range 20 {
			w.Assert(w.call(http.MethodGet, "/safe/x", nil).status, qt.Equals, http.StatusInternalServerError)
		}
		w.Assert(w.ran(), qt.HasLen, 20)
	})
}
