package gladerollout

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

// TestMain pins what is drawn, unless the command line says otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	for _, k := range [][2]string{{"rapid.seed", "20261206"}, {"rapid.checks", "30"}, {"rapid.nofailfile", "true"}} {
		if f := flag.Lookup(k[0]); f.Value.String() == f.DefValue {
			_ = f.Value.Set(k[1])
		}
	}
	os.Exit(m.Run())
}

// drawScenario draws an order for a service of streams whose second route has few requests, or for a plain service.
func drawScenario(t *rapid.T) scenario {
	seconds := func(name string, of ...float64) time.Duration {
		return time.Duration(rapid.SampledFrom(of).Draw(t, name) * float64(time.Second))
	}
	s := scenario{
		Seed: rapid.Uint64().Draw(t, "seed"), Limit: seconds("limit", 12, 14, 16),
		VMs: rapid.SampledFrom([]int{40, 100}).Draw(t, "vms"), Old: 144, Target: rapid.SampledFrom([]int{72, 144}).Draw(t, "target"),
		Rates: []float64{float64(rapid.IntRange(34, 42).Draw(t, "rate")), float64(rapid.IntRange(3, 5).Draw(t, "second rate"))},
		First: time.Second, Whole: 5 * time.Second, BadRoute: -1, Loss: rapid.SampledFrom([]float64{0, 0.1, 0.2}).Draw(t, "loss"),
		ReportDelay: seconds("report delay", 0.2, 1), Deaths: []time.Duration{seconds("death", 0.5, 3, 5, 7, 30)},
	}
	if rapid.IntRange(0, 3).Draw(t, "plain") == 0 {
		s.Old, s.Target, s.Rates, s.First, s.Whole = 6, 6, []float64{150, 70}, 45*time.Millisecond, 45*time.Millisecond
	}
	return s
}

// No order of events may give a bad version more than its bound: it may be bad from the start or later, on one route or
// under load only, while reports are late or lost and the decider dies.
func TestBadVersionKeepsBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawScenario(r)
		if s.Fails = 0.5; rapid.Bool().Draw(r, "slow") {
			s.Fails, s.Slow = 0, 8
		}
		s.BadFrom = rapid.SampledFrom([]time.Duration{0, 0, 3 * time.Second}).Draw(r, "bad from")
		s.BadRoute = rapid.IntRange(-1, 1).Draw(r, "bad route")
		s.UnderLoad = s.BadFrom == 0 && s.BadRoute < 0 && s.Target == 144 && rapid.Bool().Draw(r, "under load")
		got := newModel(s).play()
		if float64(got.target) > 0.1*float64(got.all)+50 || got.state != Reverted {
			r.Fatalf("%s, %d of %d requests: %+v %v", got.state, got.target, got.all, s, got.log)
		}
	})
}

// A good version must be complete before 0.9 of the time limit while reports are lost, the decider dies, the store pauses
// or old servers crash in bulk.
func TestGoodVersionCompletes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawScenario(r)
		s.Crash = rapid.SampledFrom([]time.Duration{0, 3 * time.Second, 6 * time.Second}).Draw(r, "crash")
		s.StoreFrom, s.StoreFor = 2*time.Second, rapid.SampledFrom([]time.Duration{0, 2 * time.Second, 4 * time.Second}).Draw(r, "store")
		got := newModel(s).play()
		if got.state != Complete || got.ended > s.Limit*9/10 {
			r.Fatalf("%s after %v: %+v %v", got.state, got.ended, s, got.log)
		}
	})
}

// Faulty servers of both versions, and bursts that slow both, must not be taken for a bad version. Some false reversions
// remain with one decision per order, so their number is bounded over fixed seeds.
func TestDisturbanceOfBothVersions(t *testing.T) {
	for _, k := range []struct {
		name  string
		flaky bool
		burst time.Duration
	}{{"faulty servers", true, 0}, {"burst in the first stage", false, 4 * time.Second}, {"burst later", false, 7 * time.Second}} {
		t.Run(k.name, func(t *testing.T) {
			c, reverted := qt.New(t), 0
			for seed := range uint64(20) {
				s := scenario{
					Seed: seed, Limit: 14 * time.Second, VMs: 100, Old: 144, Target: 144, Rates: []float64{38, 3}, First: time.Second,
					Whole: 5 * time.Second, ReportDelay: time.Second, BadRoute: -1, Flaky: k.flaky, Burst: k.burst,
				}
				got := newModel(s).play()
				if got.state != Complete {
					reverted++
				}
				c.Assert(got.ended <= s.Limit*9/10, qt.IsTrue)
			}
			c.Assert(reverted <= 1, qt.IsTrue, qt.Commentf("%d of 20", reverted))
		})
	}
}

// A good version whose servers take longer the more requests they have must not be reverted, although the requests for the target are
// concentrated on few servers, and in a burst.
func TestGoodVersionWithTimesThatDependOnLoad(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(6) {
		s := scenario{
			Seed: seed, Limit: 14 * time.Second, VMs: 100, Old: 144, Target: 144, Rates: []float64{40, 5}, First: 1300 * time.Millisecond,
			Whole: 12 * time.Second, Prefill: 1040 * time.Millisecond, Decode: 3800 * time.Millisecond, ReportDelay: time.Second, BadRoute: -1,
			Burst: []time.Duration{0, 4 * time.Second}[seed%2],
		}
		got := newModel(s).play()
		c.Assert(got.state, qt.Equals, Complete, qt.Commentf("%d %v", seed, got.log))
	}
}

// baseInput is an order in progress with nothing known.
func baseInput() Input {
	return Input{
		Rollout: Rollout{Service: "s", Target: "v2", Duration: 12 * time.Second, Status: Status{State: InProgress, Target: "v2", DurationS: 12, Share: 0.08}},
		Elapsed: 5 * time.Second, TargetServers: 3, OldServers: 3, StoreCurrent: true, CanaryShare: 0.1, CanarySlack: 50,
	}
}

// Orders without servers, without traffic, for the version in use, at the end of their time and during a pause of the store.
func TestDecideSpecialOrders(t *testing.T) {
	limit := 12 * time.Second
	for _, k := range []struct {
		name   string
		change func(in *Input)
		state  State
		share  float64
		reason string
	}{
		{"no status", func(in *Input) { in.Rollout.Status = Status{} }, InProgress, 0.08, "order seen"},
		{"second order", func(in *Input) { in.Rollout.Status = Status{State: Reverted, Target: "v1", DurationS: 12} }, InProgress, 0.08, "order seen"},
		{"no server yet", func(in *Input) { in.Rollout.Status, in.TargetServers = Status{}, 0 }, InProgress, 0, "order seen"},
		{"no server", func(in *Input) { in.TargetServers, in.Elapsed = 0, limit*8/10 }, Reverted, 0, "the target has no server"},
		{"no traffic", func(in *Input) { in.Elapsed = limit * 8 / 10 }, Reverted, 0, "the target has no good answer"},
		{"version in use", func(in *Input) { in.Rollout.Status = Status{State: Complete, Target: "v2", DurationS: 10, Share: 1} }, Complete, 1, "the target is in use already"},
		{"no old server", func(in *Input) { in.OldServers = 0 }, InProgress, 1, "no server of another version is left"},
		{"final", func(in *Input) { in.Rollout.Status.State = Reverted }, Reverted, 0.08, ""},
		{"time limit passed", func(in *Input) { in.Elapsed = limit }, Reverted, 0, "time limit passed"},
		{"moved", func(in *Input) { in.Rollout.Status.Share, in.Elapsed = 1, limit*8/10 }, Complete, 1, "no run is left on old servers"},
		{"store paused", func(in *Input) { in.Rollout.Status.Share, in.Elapsed, in.StoreCurrent = 1, limit*8/10, false }, InProgress, 1, ""},
		{"runs without copy", func(in *Input) {
			in.Rollout.Status.Share, in.Elapsed, in.OldRuns, in.OldRunsWithoutCopy = 1, limit*9/10, 2, 1
		}, InProgress, 1, ""},
		{"runs with copies", func(in *Input) { in.Rollout.Status.Share, in.Elapsed, in.OldRuns = 1, limit*9/10, 2 }, Complete, 1, "2 runs on old servers have copies"},
	} {
		t.Run(k.name, func(t *testing.T) {
			c, in := qt.New(t), baseInput()
			k.change(&in)
			d := Decide(in)
			c.Assert(d.Reason, qt.Equals, k.reason)
			c.Assert(d.Status.State, qt.Equals, k.state)
			c.Assert(d.Status.Share < k.share+1e-9 && d.Status.Share > k.share-1e-9, qt.IsTrue, qt.Commentf("%v", d.Status.Share))
			c.Assert(d.Stop, qt.Equals, d.Status.State == Reverted && d.Reason != "")
		})
	}
}

// An order may be some seconds old when it is first seen. Its shares must not rise before the reports of all VMs are there: the rate of
// requests in the first of them is too low, and the share would be too high.
func TestSharesWaitForReports(t *testing.T) {
	c, in := qt.New(t), baseInput()
	r := NewRecorder("a", 1)
	for i := range 40 {
		r.Begin("s", "v1", "route", "i", origin.Add(time.Duration(i)*100*time.Millisecond))
	}
	in.Evidence = []Evidence{r.Evidence("s", origin.Add(4*time.Second))}
	in.Elapsed, in.Rollout.Status.StepS, in.Rollout.Status.From = 3*time.Second, 2, "v1"
	c.Assert(Decide(in).Reason, qt.Equals, "")
	in.Rollout.Status.StepS = 1.8
	c.Assert(Decide(in).Reason, qt.Equals, "budget")
}

// Several hundred reports per second reach one VM, so the report of a VM with two routes must stay under 1,200 bytes, and
// must survive its encoding.
func TestEvidenceIsCompact(t *testing.T) {
	c := qt.New(t)
	r := NewRecorder("cairo-shubra-000105", 1)
	now := origin
	for i := range 50 { // two requests per second, the first one 24 s ago
		u := r.Begin("glade-llm", fmt.Sprint("v", 1+i%8/7), fmt.Sprint("summary-", i%2), fmt.Sprint("i-", i%16), now)
		now = now.Add(480 * time.Millisecond)
		switch {
		case i%9 == 8:
			u.End(Failed, 0, now)
		case i%5 != 4:
			u.FirstEvent(now)
			u.End(Succeeded, 100, now.Add(time.Duration(i)*50*time.Millisecond))
		}
	}
	e := r.Evidence("glade-llm", now)
	raw, _ := json.Marshal(e)
	c.Assert(len(raw) < 1200, qt.IsTrue, qt.Commentf("%d bytes", len(raw)))
	var got Evidence
	c.Assert(json.Unmarshal(raw, &got), qt.IsNil)
	again, _ := json.Marshal(got)
	c.Assert(string(again), qt.Equals, string(raw))
	c.Assert(json.Unmarshal([]byte(`{"versions":{"v2":{"routes":{"a":"1,-1"}}}}`), &got), qt.ErrorIs, ErrEncoding)
	begun, failed := e.Counts("v1")
	c.Assert([]int{begun, failed}, qt.DeepEquals, []int{43, 5})
}

// A nil run, a second end and an end before the first event must not change the counts.
func TestRunCountsOnce(t *testing.T) {
	c := qt.New(t)
	(*Run)(nil).FirstEvent(origin)
	(*Run)(nil).Progress(1)
	(*Run)(nil).End(Failed, 0, origin)
	r := NewRecorder("a", 1)
	u := r.Begin("s", "v1", "route", "i", origin)
	u.End(Succeeded, 0, origin)
	u.End(Failed, 0, origin)
	u.FirstEvent(origin)
	begun, failed := r.Evidence("s", origin).Counts("v1")
	c.Assert([]int{begun, failed}, qt.DeepEquals, []int{1, 0})
	c.Assert(r.Evidence("s", origin.Add(window)).Versions, qt.HasLen, 0)
}

// Small samples must not prove badness, and half of the answers failing must be proven soon.
func TestExceedsSmallSamples(t *testing.T) {
	c := qt.New(t)
	old := proportion{0, 100}
	c.Assert(exceeds(proportion{2, 4}, old, failureMargin, badLevel), qt.IsFalse)
	c.Assert(exceeds(proportion{3, 3}, old, failureMargin, badLevel), qt.IsTrue)
	c.Assert(exceeds(proportion{6, 12}, old, failureMargin, badLevel), qt.IsTrue)
	c.Assert(exceeds(proportion{6, 12}, proportion{40, 100}, failureMargin, badLevel), qt.IsFalse)
}

// inProgress returns an order in progress.
func inProgress(share float64, revision int64) Rollout {
	return Rollout{Service: "s", Target: "v2", Revision: revision, Status: Status{State: InProgress, Target: "v2", Share: share, From: "v1"}}
}

// A hundred VMs with a few requests each must keep the share together, also after they did not know the state for a while.
func TestSelectorsKeepShare(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		share, requests := rapid.Float64Range(0.02, 0.9).Draw(r, "share"), rapid.IntRange(2, 30).Draw(r, "requests")
		random := rapid.Float64Range(0, 1).Draw(r, "phase")
		phase := func() float64 { random += 0.61803398875; random -= float64(int(random)); return random }
		chosen := 0
		for range 100 {
			s := NewSelector(phase)
			for i := range requests {
				s.Set([]Rollout{inProgress(share, 1)}, i%4 != 3)
				if s.Choose("s", "route", false).Only == "v2" {
					chosen++
				}
				if s.Choose("s", "route", true) != (gladefleet.VersionRule{Except: "v2"}) {
					r.Fatal("a repeat went to the target")
				}
			}
		}
		want := share * float64(100*(requests-requests/4)) // without the state, nothing goes to the target
		if float64(chosen) < want-8 || float64(chosen) > want+8 {
			r.Fatalf("%d, want %f", chosen, want)
		}
	})
}

// A notice and stale or late states must never give the target more than it had, whatever comes in between.
func TestStopOnlyReduces(t *testing.T) {
	c := qt.New(t)
	s := NewSelector(func() float64 { return 0.5 })
	old, target := gladefleet.VersionRule{Except: "v2"}, gladefleet.VersionRule{Only: "v2", Fallback: true}
	choose := func() gladefleet.VersionRule { return s.Choose("s", "route", false) }
	s.Stop("s", "v2") // unknown
	c.Assert(choose(), qt.Equals, gladefleet.VersionRule{})
	s.Set([]Rollout{{Service: "s", Target: "v2", Revision: 1}}, true)
	c.Assert(choose(), qt.Equals, old)
	s.Set([]Rollout{inProgress(1, 2)}, false) // all traffic had moved
	c.Assert(choose(), qt.Equals, target)
	s.Stop("s", "v2")
	c.Assert(choose(), qt.Equals, old)
	s.Set([]Rollout{inProgress(1, 3)}, true) // written before the notice
	c.Assert(choose(), qt.Equals, old)
	reverted := inProgress(0, 4)
	reverted.Status.State = Reverted
	s.Set([]Rollout{reverted}, true)
	s.Set([]Rollout{inProgress(1, 3)}, true) // late
	c.Assert(choose(), qt.Equals, old)
	third := Rollout{Service: "s", Target: "v3", Revision: 5, Status: reverted.Status}
	s.Set([]Rollout{third}, true) // servers of v2 may still be listed
	c.Assert(choose(), qt.Equals, gladefleet.VersionRule{Only: "v1"})
	third.Revision, third.Status = 6, Status{State: Complete, Target: "v3", Share: 1}
	s.Set([]Rollout{third}, false)
	c.Assert(s.Choose("s", "route", true), qt.Equals, gladefleet.VersionRule{Only: "v3", Fallback: true})
	third.Duration, third.Revision = time.Second, 7 // a second order for the version in use
	s.Set([]Rollout{third}, true)
	c.Assert(choose(), qt.Equals, gladefleet.VersionRule{Only: "v3", Fallback: true})
}

// Most services have no roll-out. Their requests must not pay for the others'.
func TestChooseWithoutRollout(t *testing.T) {
	c := qt.New(t)
	s := NewSelector(func() float64 { return 0 })
	s.Set([]Rollout{inProgress(0.5, 1)}, true)
	c.Assert(testing.AllocsPerRun(100, func() {
		if s.Choose("other", "route", false) != (gladefleet.VersionRule{}) {
			panic("a rule for a service without a roll-out")
		}
	}), qt.Equals, 0.0)
}
