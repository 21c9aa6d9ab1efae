package gladefleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawTable draws a table whose random function returns the constant of explanations, and a request for it.
func drawTable(r *rapid.T) (*Table, Requirements) {
	t := New(Config{FailureDomain: "a", FailureDomains: 3, Random: func() float64 { return explainedRandom }, DrainBound: 4 * time.Second})
	number := func(name string, high int) int { return rapid.IntRange(0, high).Draw(r, name) }
	t.largeFleet = number("large", 3) == 0
	prompt, now := 1000*number("prompt", 6), start.Add(time.Second)
	n := Requirements{
		Service: testService, Prompt: prompt, Tokens: prompt + 500, Session: uint64(number("session", 1)), Waiting: number("waiting", 1) == 0,
		Unlimited: number("unlimited", 3) == 0, Limits: CapacityLimits{Memory: 20_000 * number("memory", 1), MaxPendingPrefill: 8000 * number("prefill", 1)},
		Versions: rapid.SampledFrom([]VersionRule{
			{}, {Except: "v1"}, {Only: "v1"}, {Only: "v1", Fallback: true}, {Only: "v1", Fallback: true, Concentrate: 0.4},
		}).Draw(r, "rule"),
	}
	p := &Prefix{Parts: []PromptPart{{1, 500}, {2, 2000}}, Capacity: 20_000}
	if number("weighed", 1) == 0 && prompt > 0 {
		n.Prefix = p
	}
	for i := range number("servers", 25) {
		s := Server{
			ID: fmt.Sprintf("s-%02d", i), Service: testService, Address: fmt.Sprint(i), FailureDomain: string(rune('a' + number("domain", 2))),
			Slots: 2 + number("slots", 6), Started: 1, Version: fmt.Sprint("v", number("version", 1)),
		}
		t.Put(s, start)
		e := t.servers[s.ID]
		e.setPeer("vm", Share{Runs: number("runs", 8), Prompt: 1000 * number("unread", 9), Memory: 1000 * number("used", 20)})
		if number("reports", 2) == 0 {
			t.RecordLoad(s.ID, LoadReport{Running: number("running", 9), Slots: s.Slots, WorkPercent: 50 + float64(number("work", 200))}, start)
		}
		switch number("state", 14) {
		case 0:
			t.MarkFailed(s.ID, start)
		case 1:
			t.MarkLeaving(s.ID, 1, start)
		case 2:
			e.backoffUntil = now.Add(time.Second)
		case 3:
			e.limited, e.exhaustedUntil = true, now.Add(time.Duration(number("exhausted", 900))*time.Millisecond)
		case 4:
			e.quarantinedUntil = now.Add(time.Second)
		case 5:
			n.Avoid = append(n.Avoid, s.ID)
		case 6:
			e.coldUntil = now.Add(time.Second)
		case 7:
			t.Remove(s.ID, start.Add(500*time.Millisecond), 0)
		case 8:
			e.heldUntil = now.Add(time.Second)
		case 9:
			t.prefixes.record(e, p, start)
		case 10:
			e.returningSince = start
		}
	}
	return t, n
}

// Guards against an explanation that differs from the choice: the first server, its reason and the error must be those of Choose, a
// server that is left out must not be chosen, and where nothing but the cost decides, so must the second one be.
func TestExplanationIsTheChoice(t *testing.T) {
	now := start.Add(time.Second)
	rapid.Check(t, func(r *rapid.T) {
		table, n := drawTable(r)
		check := func(ok bool, what string, args ...any) {
			if !ok {
				r.Fatalf(what, args...)
			}
		}
		before := fmt.Sprintf("%+v %+v", table.Statuses(), table.PrefixState())
		x, all := table.Explain(n, 20, now), table.Explain(n, len(table.servers), now)
		check(fmt.Sprintf("%+v %+v", table.Statuses(), table.PrefixState()) == before, "the explanation changed the table")
		check(len(x.Candidates) <= 20 && len(x.Candidates)+x.More == len(table.servers), "%d servers and %d more", len(x.Candidates), x.More)
		place, err := table.Choose(n, now)
		if err != nil {
			check(x.Err != nil && x.Err.Error() == err.Error(), "explained as %v, chosen %v", x.Err, err)
			return
		}
		first := x.Candidates[0]
		check(x.Err == nil && first.ID == place.ID && first.Excluded == "" && x.Reason == place.Reason,
			"explained %+v, %s, %v, chosen %s, %s", first, x.Reason, x.Err, place.ID, place.Reason)
		affinity := n.Session != 0 || n.Prefix != nil || n.Versions.Concentrate > 0
		if affinity || len(x.Candidates) < 2 || x.Candidates[1].Excluded != "" || slices.ContainsFunc(all.Candidates, isFull) {
			return // a full server ends the choice before those of worse health
		}
		place.Release()
		n.Avoid = append(n.Avoid, place.ID)
		next, err := table.Choose(n, now)
		check(err == nil && next.ID == x.Candidates[1].ID, "second %s, chosen %+v, %v", x.Candidates[1].ID, next, err)
	})
}

func isFull(k Candidate) bool {
	return k.Excluded == ExcludedLimit || strings.HasPrefix(string(k.Excluded), "no room")
}

// Guards against reasons that name another cause than the one that leaves a server out.
func TestExplanationNamesTheCause(t *testing.T) {
	c := qt.New(t)
	table, room := newTestTable(2), CapacityLimits{Memory: 20_000, MaxPendingPrefill: 8000}
	for id, s := range map[string]Share{"giza-0": {Runs: 12}, "giza-1": {Memory: 19_000}, "helwan-0": {Prompt: 6000}} {
		table.SetPeerShares("vm-"+id, map[string]Share{id: s})
	}
	table.BackOff("helwan-1", 1, time.Second, start)
	table.MarkFailed("shubra-1", start)
	x := table.Explain(Requirements{Service: testService, Prompt: 5000, Tokens: 5500, Limits: room}, 20, start)
	causes := map[string]string{}
	for _, k := range x.Candidates {
		causes[k.ID] = k.Health + "/" + string(k.Excluded)
	}
	c.Assert(causes, qt.DeepEquals, map[string]string{
		"shubra-0": "healthy/", "shubra-1": "failed/", "giza-0": "healthy/no room: slots", "giza-1": "healthy/no room: memory",
		"helwan-0": "healthy/no room: waiting prefill", "helwan-1": "/backoff",
	})
}
