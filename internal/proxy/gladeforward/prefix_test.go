package gladeforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

// Deployments whose servers state no work time and whose routes have one priority must be served as before, and so must
// prompts without numbers of tokens.
func TestPrefixWeighedOnlyWhereAskedFor(t *testing.T) {
	c := qt.New(t)
	shares := []gladerelease.Share{{Service: "llm", Weight: 1}}
	release := func(priority int) *gladerelease.Release {
		return &gladerelease.Release{
			Services: map[string]gladerelease.Service{"llm": {Engine: &gladerelease.Engine{KVTokens: 55_000}}, "app": {}},
			Routes:   []gladerelease.Route{{Shares: shares, Priority: 2}, {Shares: shares, Priority: priority}},
		}
	}
	parts := []gladesend.PrefixPart{{ID: 1, Tokens: 200}, {ID: 2, Tokens: 5000}}
	f := &Forwarder{config: Config{Fleet: gladefleet.New(gladefleet.Config{})}}
	f.config.Fleet.Put(gladefleet.Server{ID: "a", Service: "llm", Slots: 12}, time.Now())
	weighed := func(r *gladerelease.Release, service string, parts []gladesend.PrefixPart) *gladefleet.Prefix {
		s := &stream{job: &job{Forwarder: f, release: r, service: service, call: gladesend.Call{Prefix: parts}}}
		return s.prefix()
	}
	c.Assert(weighed(release(2), "llm", parts), qt.IsNil)
	f.config.Fleet.RecordLoad("a", gladefleet.LoadReport{Running: 1, Slots: 12}, time.Now())
	c.Assert(weighed(release(2), "llm", parts), qt.IsNil)
	want := &gladefleet.Prefix{Parts: []gladefleet.PromptPart{{ID: 1, Tokens: 200}, {ID: 2, Tokens: 5000}}, Capacity: 55_000}
	mixed := release(0)
	c.Assert(weighed(mixed, "llm", parts), qt.DeepEquals, want)
	c.Assert(weighed(mixed, "app", parts), qt.IsNil)
	c.Assert(weighed(mixed, "llm", []gladesend.PrefixPart{{ID: 1}, {ID: 2, Tokens: 5000}}), qt.IsNil)
	f.config.Fleet.RecordLoad("a", gladefleet.LoadReport{Running: 1, Slots: 12, WorkPercent: 90}, time.Now())
	c.Assert(weighed(release(2), "llm", parts), qt.DeepEquals, want)
}
