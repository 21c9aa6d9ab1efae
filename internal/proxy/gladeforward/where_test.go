package gladeforward

import (
	"errors"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladeline"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

func whereQuery(host, path, key string) Query {
	return Query{Call: gladesend.Call{Host: host, Target: path, Key: key, PromptTokens: 5000, OutputTokens: 100, LastEvent: gladesend.NoEvent}}
}

// Guards against an explanation for a request that would be refused, and against errors that do not tell the causes apart.
func TestWhereNamesWhatIsUnknown(t *testing.T) {
	runTest(t, func(w *harness) {
		fails := func(q Query, status int, reason string) {
			_, err := w.forwarder.Explain(q)
			failure, ok := errors.AsType[*WhereError](err)
			w.Assert(ok, qt.IsTrue)
			w.Assert(failure.Status, qt.Equals, status)
			w.Assert(failure.Reason, qt.Matches, reason)
		}
		fails(whereQuery("other", "/safe/x", "key"), http.StatusNotFound, "release 1: no route")
		fails(whereQuery("h", "/none", "key"), http.StatusNotFound, "release 1: no route")
		fails(whereQuery("h", "/safe/x", "wrong"), http.StatusUnauthorized, "release 1: unknown key")
		fails(whereQuery("h", "/safe/x", "key"), http.StatusUnprocessableEntity, `release 1: service "app" of route drums has no server`)
		w.forwarder.config.Release = func() *gladerelease.Release { return nil }
		fails(whereQuery("h", "/safe/x", "key"), http.StatusServiceUnavailable, "this VM has no release .*")
	})
}

// Guards against an explanation that reserves, counts or advances something, or asks for the rule by the wrong function.
func TestWhereChangesNothing(t *testing.T) {
	runTest(t, func(w *harness) {
		w.serve("llm", "shubra", "a", streamEvents(1, eventPause, nil))
		w.serve("llm", "giza", "b", streamEvents(1, eventPause, nil))
		w.forwarder.config.Versions = func(string, string, bool) gladefleet.VersionRule { panic("counted") }
		w.forwarder.config.PeekVersions = func(_, _ string, repeat bool) gladefleet.VersionRule {
			return gladefleet.VersionRule{Except: map[bool]string{true: "v2"}[repeat]}
		}
		for range 3 {
			got, err := w.forwarder.Explain(whereQuery("h:80", "/stream/x?q", "key"))
			w.Assert(err, qt.IsNil)
			w.Assert([]string{got.Decision, got.Route, got.Service, got.Organisation, got.Servers[0].ID}, qt.DeepEquals,
				[]string{WhereSend, "notes", "llm", "lab", "a"})
			w.Assert(got.Versions, qt.IsNil)
			w.Assert(got.Servers[0].Runs+got.Servers[1].Runs, qt.Equals, 0)
			w.Assert(got.RetriesLeft, qt.Equals, w.forwarder.config.Budget.Remaining("llm", time.Now()))
		}
		q := whereQuery("h", "/stream/x", "key")
		q.Repeat = true
		got, err := w.forwarder.Explain(q)
		w.Assert(err, qt.IsNil)
		w.Assert(got.Versions, qt.DeepEquals, &RuleView{Except: "v2"})
		w.Assert(w.fleet.Shares(), qt.HasLen, 0)
		w.Assert(w.forwarder.config.Budget.Counts(time.Now()), qt.HasLen, 0)
		w.Assert(w.forwarder.queues, qt.HasLen, 0)
		w.Assert(w.serversRun(), qt.HasLen, 0)
	})
}

// Guards against an explanation that names a server while a request would wait or be refused.
func TestWhereNamesTheQueue(t *testing.T) {
	runTest(t, func(w *harness) {
		w.engine.Copies, w.engine.KVTokens = false, oneRunTokens
		w.serve("llm", "shubra", "a", streamEvents(1, eventPause, nil))
		explain := func() *Where {
			got, err := w.forwarder.Explain(whereQuery("h", "/stream/x", "key"))
			w.Assert(err, qt.IsNil)
			return got
		}
		w.fleet.SetPeerShares("vm-2", map[string]gladefleet.Share{"a": {Runs: 1, Memory: oneRunTokens}})
		full := explain()
		w.Assert([]string{full.Decision, full.Servers[0].Excluded}, qt.DeepEquals, []string{WhereWait, "no room: memory"})
		w.Assert(full.Queue, qt.DeepEquals, &QueueView{MaxWaitMS: int64(waitShare * testTarget.Seconds() * 1000)})
		waiting := w.forwarder.queue("llm").Enqueue(gladeline.Request{Organisation: "lab"}, time.Now())
		w.fleet.SetPeerShares("vm-2", nil)
		behind := explain()
		w.Assert([]any{behind.Decision, behind.Queue.Ahead}, qt.DeepEquals, []any{WhereWait, 1})
		time.Sleep(3 * time.Second) // nothing was served meanwhile
		refused := explain()
		w.Assert([]any{refused.Decision, refused.RetryAfterMS}, qt.DeepEquals, []any{WhereRefuse, int64(25)})
		waiting.Remove(false, time.Now())
		w.fleet.BackOff("a", 1, time.Minute, time.Now())
		w.Assert([]string{explain().Decision, explain().Servers[0].Excluded}, qt.DeepEquals, []string{WhereRefuse, "backoff"})
	})
}
