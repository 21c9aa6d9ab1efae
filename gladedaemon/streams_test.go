package gladedaemon_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

// maxOutputGap is the documented limit on the gap in a stream after a failure.
const maxOutputGap = 3 * time.Second

func withCluster(t *testing.T, c gladecluster.Config, f func(*qt.C, *gladecluster.Cluster, *gladecaller.Caller)) {
	synctest.Test(t, func(t *testing.T) {
		q := qt.New(t)
		c.Network = &gladewire.Network{}
		c.Check = &gladecheck.Checker{OnBroken: func(i gladecheck.Invariant, m string) { t.Errorf("%s: %s", i, m) }}
		k, closeCluster, err := gladecluster.New(c)
		q.Assert(err, qt.IsNil)
		caller, closeCaller := k.Caller()
		f(q, k, caller)
		closeCaller()
		closeCluster()
	})
}

func newRequest(i, tokens int) gladecaller.Request {
	return gladecaller.Request{
		Model: gladecluster.ModelName, Prompt: fmt.Sprint("write assay summary ", i), MaxTokens: tokens, Seed: int64(i), Stream: true,
	}
}

func checkComplete(q *qt.C, r gladecaller.Request, a *gladecaller.Answer) {
	q.Check(a.Complete(), qt.IsTrue, qt.Commentf("%v %v", a.Err, a.Refusal))
	q.Check(gladecaller.NewExpectedAnswer(gladecluster.ModelName+"@1", &r).Verify(a), qt.IsNil)
	q.Check(a.LongestGap() <= maxOutputGap, qt.IsTrue, qt.Commentf("gap %s", a.LongestGap()))
	q.Check(a.Tries, qt.HasLen, 1)
}

// runDuringStreams starts n streams, calls f half a second later and checks that each stream is complete and correct.
func runDuringStreams(q *qt.C, caller *gladecaller.Caller, n, tokens int, f func()) {
	type answered struct {
		request gladecaller.Request
		answer  *gladecaller.Answer
	}
	done := make(chan answered)
	for i := range n {
		go func() {
			r := newRequest(i, tokens)
			done <- answered{r, caller.Generate(context.Background(), r)}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	f()
	for range n {
		a := <-done
		checkComplete(q, a.request, a.answer)
	}
}

func TestLeavingEngineHasNoStreamsAtLeaveTime(t *testing.T) {
	withCluster(t, gladecluster.Config{Engines: 3, VMs: 1}, func(q *qt.C, k *gladecluster.Cluster, caller *gladecaller.Caller) {
		runDuringStreams(q, caller, 9, 800, func() {
			id := k.Engines[0].Backend.ID
			q.Check(k.Engines[0].Engine.ActiveStreams() > 0, qt.IsTrue)
			q.Assert(k.MarkLeaving(id, 5*time.Second), qt.IsNil)
			time.Sleep(5 * time.Second)
			q.Check(k.Engines[0].Engine.ActiveStreams(), qt.Equals, 0)
			k.Engines[0].Kill()
		})
	})
}

func TestStreamsSurviveLossOfFailureDomain(t *testing.T) {
	c := gladecluster.Config{FailureDomains: []string{"shubra", "helwan", "giza"}, Engines: 4, VMs: 1}
	withCluster(t, c, func(q *qt.C, k *gladecluster.Cluster, caller *gladecaller.Caller) {
		runDuringStreams(q, caller, 24, 300, func() {
			for _, e := range k.LiveEngines() {
				if e.Backend.FailureDomain == "shubra" {
					e.Kill()
				}
			}
		})
	})
}

func TestPoisonRefusalSpreadsToAllVMs(t *testing.T) {
	c := gladecluster.Config{FailureDomains: []string{"shubra", "helwan"}, Engines: 3, VMs: 2}
	c.Settings = func(s *gladeconfig.Settings) { s.Peers.Seeds = []string{"shubra-vm-1:8082"} }
	withCluster(t, c, func(q *qt.C, k *gladecluster.Cluster, caller *gladecaller.Caller) {
		for _, e := range k.Engines {
			e.Engine.SetFaults(gladestandin.Faults{Poison: "crash here"})
		}
		r := newRequest(0, 50)
		r.Prompt = "please crash here now"
		r.Entry = k.VMs[0].Name
		a := caller.Generate(context.Background(), r)
		q.Assert(a.Refusal, qt.IsNotNil)
		q.Check(a.Refusal.Code, qt.Equals, gladeapi.CodePoison)
		q.Check(k.LiveEngines(), qt.HasLen, 4)
		time.Sleep(10 * time.Second)
		for _, v := range k.VMs {
			r.Entry = v.Name
			a := caller.Generate(context.Background(), r)
			q.Assert(a.Refusal, qt.IsNotNil)
			q.Check(a.Refusal.Code, qt.Equals, gladeapi.CodePoison)
			q.Check(a.Refusal.Ran, qt.Equals, gladeapi.NotRun)
		}
		q.Check(k.LiveEngines(), qt.HasLen, 4)
	})
}
