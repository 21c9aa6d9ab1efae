package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeforward"
)

// Guards against flags that do not reach the VM, columns that show another field, and a refusal that counts as success.
func TestWhereIsPrinted(t *testing.T) {
	c := qt.New(t)
	query := ""
	vm := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		query = r.URL.RawQuery
		if r.URL.Query().Get("host") != "h" {
			http.Error(rw, "release 7: no route", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(rw).Encode(gladeforward.Where{
			Release: 7, Route: "notes", Kind: "stream", Service: "llm", Organisation: "lab", Priority: 2, TargetMS: 4000, Decision: "refuse",
			Reason: "no room", RetryAfterMS: 1000, Queue: &gladeforward.QueueView{Waiting: 3, Ahead: 2, MaxWaitMS: 500, Exceeded: true},
			Versions: &gladeforward.RuleView{Except: "v2"}, RetriesLeft: 4.5, MoreServers: 9,
			Servers: []gladeforward.ServerView{{
				ID: "i-1", FailureDomain: "giza", Version: "v1", Health: "healthy", Excluded: "no room: slots", Runs: 1, PeerRuns: 7, Slots: 8,
				PendingPrefill: 500, UsedMemory: 9000, Stated: &gladeforward.StatedView{Running: 8, Waiting: 1, Slots: 8, WorkPercent: 120, AgeMS: 30},
				Held: &gladeforward.PrefixView{Tokens: 2000, Probability: 0.5}, Cost: 12,
			}},
		})
	}))
	defer vm.Close()
	run := func(args ...string) (string, error) {
		var b strings.Builder
		command := newCommand()
		command.Writer = &b
		err := command.Run(context.Background(), append([]string{"gladectl", "--vm", strings.TrimPrefix(vm.URL, "http://"), "where"}, args...))
		return b.String(), err
	}
	text, err := run("--host", "h", "--path", "/x", "--accessKey", "k", "--prompt", "5000", "--output", "10", "--prefix", "1f:200", "--repeat")
	c.Assert(err, qt.IsNil)
	c.Assert(query, qt.Equals, "host=h&id=&key=k&output=10&path=%2Fx&prefix=1f%3A200&prompt=5000&repeat=true")
	c.Assert(text, qt.Equals, `refuse: no room, Retry-After about 1000 ms
release 7, route notes (stream), service llm, organisation "lab", priority 2, target 4000 ms
versions: only "", except "v2", fallback false, concentrated on 0
queue: 3 waiting, 2 ahead, longest wait 500 ms, refused at once instead of waiting: true
retries left: 4.5
SERVER  DOMAIN  VERSION  HEALTH   LEFT OUT        RUNS  PEERS  SLOTS  UNREAD  MEMORY  STATED      AGE MS  HELD         COST
i-1     giza    v1       healthy  no room: slots  1     7      8      500     9000    8+1/8 120%  30      2000 x 0.50  12
and 9 more servers
`)
	_, err = run("--host", "other", "--path", "/x")
	c.Assert(err, qt.ErrorMatches, "404 Not Found: release 7: no route")
}
