package gladestream_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

func TestContinueJoinsTheLiveAttempt(t *testing.T) {
	for _, eventTokens := range []int{1, 4} {
		runPool(t, gladestandin.EngineConfig{EventTokens: eventTokens}, []int{2}, func(p *pool) {
			c := p.config
			c.Cancel = nil
			first := gladestream.NewRunner(c).Start(generation("a", prompt, 800))
			time.Sleep(500 * time.Millisecond)
			placement := first.Journal.Placement()
			tokens, _, err := first.Journal.ReadAll(context.Background(), 0)
			p.Assert(err, qt.IsNil)
			first.Stop()
			time.Sleep(100 * time.Millisecond)
			j := gladestream.RestoreJournal(generation("a", prompt, 800), first.Journal.PromptTokens(), tokens[:len(tokens)-7])
			p.checkOutput(readAll(p.runner.Continue(j, placement)), prompt, 800)
			p.Check(p.engines[0].Counts().Requests+p.engines[1].Counts().Requests, qt.Equals, 1)
			p.Check(p.engines[0].Counts().Attached, qt.Equals, 1)
		})
	}
}

func TestContinueAfterEngineDeath(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{}, []int{2}, func(p *pool) {
		first := p.runner.Start(generation("a", prompt, 200))
		time.Sleep(500 * time.Millisecond)
		placement := first.Journal.Placement()
		tokens, _, _ := first.Journal.ReadAll(context.Background(), 0)
		first.Stop()
		p.kills[0]()
		<-first.Done
		j := gladestream.RestoreJournal(generation("a", prompt, 200), first.Journal.PromptTokens(), tokens)
		run := p.runner.Continue(j, placement)
		p.checkOutput(readAll(run), prompt, 200)
		p.Check(run.Journal.Placement().Attempt.Number, qt.Equals, placement.Attempt.Number+1)
	})
}

func TestMoveIsHiddenFromCaller(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{}, []int{2}, func(p *pool) {
		run := p.runner.Start(generation("a", prompt, 200))
		time.Sleep(500 * time.Millisecond)
		p.servers[0].Leaving = true
		p.table.SetServers(p.servers)
		p.Check(p.runner.MoveStreams("e01"), qt.Equals, 1)
		p.checkOutput(readAll(run), prompt, 200)
		p.Check(p.engines[1].Counts().Requests, qt.Equals, 1)
		p.checkNoStreams()
	})
}

func TestNoEngineAlive(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{}, []int{1}, func(p *pool) {
		p.kills[0]()
		none := refusal(p, readAll(p.runner.Start(generation("a", prompt, 20))))
		p.Check(none.Code, qt.Equals, gladeapi.CodeNoBackend)
		p.Check(none.Ran, qt.Equals, gladeapi.NotRun)
		run := p.runner.Start(generation("b", prompt, 20))
		time.Sleep(10 * time.Second)
		p.addEngine(gladestandin.EngineConfig{}, "d1")
		p.table.SetServers(p.servers)
		p.checkOutput(readAll(run), prompt, 20)
	})
}

func TestLastEngineLostFailsAtDeadlineWithDidRun(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{}, []int{1}, func(p *pool) {
		p.engines[0].SetFaults(gladestandin.Faults{DieAt: 10})
		r := readAll(p.runner.Start(generation("a", prompt, 20)))
		p.Check(r.ids, qt.DeepEquals, sequence(prompt, 10))
		p.Check(refusal(p, r).Code, qt.Equals, gladeapi.CodeDeadline)
		p.Check(refusal(p, r).Ran, qt.Equals, gladeapi.DidRun)
	})
}

func TestUnresumableTextFailsGeneration(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{Plain: true, NoTokenIDs: true, PartialText: true}, []int{2}, func(p *pool) {
		p.engines[0].SetFaults(gladestandin.Faults{DieAt: 30})
		r := refusal(p, readAll(p.runner.Start(generation("a", prompt, 60))))
		p.Check(r.Code, qt.Equals, gladeapi.CodeBackendFailed)
		p.Check(r.Ran, qt.Equals, gladeapi.DidRun)
	})
}

func TestStopCancelsTheEngine(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{}, []int{1}, func(p *pool) {
		run := p.runner.Start(generation("a", prompt, 2000))
		time.Sleep(100 * time.Millisecond)
		run.Stop()
		<-run.Done
		time.Sleep(time.Second)
		p.Check(p.engines[0].Counts().Cancelled, qt.Equals, 1)
		p.checkNoStreams()
	})
}

func TestRetryBudgetDelaysOnlyGenerationsWithoutTokens(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{}, []int{3}, func(p *pool) {
		start := time.Now()
		c := p.config
		c.Retry = func() bool { return time.Since(start) > 20*time.Second }
		p.engines[0].SetFaults(gladestandin.Faults{Mute: true})
		p.engines[1].SetFaults(gladestandin.Faults{StallAt: 10})
		r := gladestream.NewRunner(c)
		held := r.Start(generation("a", prompt, 30))
		time.Sleep(time.Millisecond)
		resumed := r.Start(generation("b", prompt, 30))
		p.checkOutput(readAll(resumed), prompt, 30)
		p.Check(time.Since(start) < 5*time.Second, qt.IsTrue)
		p.checkOutput(readAll(held), prompt, 30)
		p.Check(time.Since(start) > 20*time.Second, qt.IsTrue)
	})
}

func TestResumedGenerationRunsBeforeNewOnes(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{MaxBatch: 1}, []int{2}, func(p *pool) {
		lost := p.runner.Start(generation("lost", prompt, 100))
		time.Sleep(200 * time.Millisecond)
		p.servers[0].Leaving = true
		p.table.SetServers(p.servers)
		busy := p.runner.Start(generation("busy", "busy", 30))
		time.Sleep(10 * time.Millisecond)
		queued := p.runner.Start(generation("new", "new", 30))
		time.Sleep(10 * time.Millisecond)
		p.kills[0]()
		p.checkOutput(readAll(lost), prompt, 100)
		p.Check(queued.Journal.Len() < 30, qt.IsTrue)
		p.checkOutput(readAll(busy), "busy", 30)
		p.checkOutput(readAll(queued), "new", 30)
	})
}

func TestMetrics(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{}, []int{3}, func(p *pool) {
		c := p.config
		c.Metrics = metrics.NewRegistry()
		p.engines[0].SetFaults(gladestandin.Faults{StallAt: 10})
		p.engines[1].SetFaults(gladestandin.Faults{CrossAt: 10})
		p.checkOutput(readAll(gladestream.NewRunner(c).Start(generation("a", prompt, 60))), prompt, 60)
		for name, want := range map[string]int64{
			"attempts": 3, "resumes": 2, "stalls": 1, "dropped.foreign": 1, "deaths": 0,
			"recomputedTokens": int64(2*len(gladestandin.Tokenize(prompt)) + 10 + 19),
		} {
			p.Check(metrics.GetOrRegisterCounter("streams."+name, c.Metrics).Count(), qt.Equals, want, qt.Commentf(name))
		}
		h := c.Metrics.Get("streams.gapMicros").(metrics.Histogram)
		p.Check(h.Count(), qt.Equals, int64(2))
		p.Check(time.Duration(h.Max())*time.Microsecond <= maxGap, qt.IsTrue)
	})
}

func TestPromptOfTokensIsSentAsTokens(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{}, []int{1}, func(p *pool) {
		g := generation("a", "", 20)
		g.PromptTokens = gladestandin.Tokenize(prompt)
		p.checkOutput(readAll(p.runner.Start(g)), prompt, 20)
	})
}

func TestChooseIgnoringAvoidBacksOff(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{}, []int{1}, func(p *pool) {
		choices := 0
		c := p.config
		c.Choose = func(context.Context, gladeapi.Requirements) (gladeapi.Choice, error) {
			choices++
			return gladeapi.Choice{Backend: p.servers[0], Release: func(gladeapi.Outcome) {}}, nil
		}
		p.kills[0]()
		none := refusal(p, readAll(gladestream.NewRunner(c).Start(generation("a", prompt, 20))))
		p.Check(none.Code, qt.Equals, gladeapi.CodeNoBackend)
		p.Check(choices < 1000, qt.IsTrue, qt.Commentf("%d choices in 2 minutes", choices))
	})
}
