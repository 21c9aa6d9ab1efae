package gladestream_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// faults lists the faults of the engine that is chosen first.
var faults = []struct {
	name   string
	faults gladestandin.Faults
	// requests is the number of requests that all engines receive.
	requests int
	// numbered is set if the fault is detectable only with numbered events.
	numbered bool
}{
	{"none", gladestandin.Faults{}, 1, false},
	{"dies", gladestandin.Faults{DieAt: 20}, 2, false},
	{"dies at the first token", gladestandin.Faults{DieAt: 1}, 2, false},
	{"dies with the last token", gladestandin.Faults{DieAt: 60}, 1, false},
	{"dies after the last token, before its end", gladestandin.Faults{DieAt: 60, NoEnd: true}, 1, false},
	{"stalls", gladestandin.Faults{StallAt: 20}, 2, false},
	{"stalls and ignores cancel", gladestandin.Faults{StallAt: 20, IgnoreCancel: true}, 2, false},
	{"is slow", gladestandin.Faults{Slow: 8}, 1, false},
	{"sends no end", gladestandin.Faults{NoEnd: true}, 1, false},
	{"sends no end event", gladestandin.Faults{NoDone: true}, 1, false},
	{"accepts and never answers", gladestandin.Faults{Mute: true}, 2, false},
	{"closes the connection", gladestandin.Faults{BreakAt: 20}, 1, true},
	{"repeats a token", gladestandin.Faults{RepeatAt: 20}, 2, true},
	{"skips a token", gladestandin.Faults{SkipAt: 20}, 2, true},
	{"sends an event of another stream", gladestandin.Faults{CrossAt: 20}, 2, false},
	{"sends an event of an older attempt", gladestandin.Faults{LateAt: 20}, 2, false},
}

func TestEngineFaultsAreHiddenFromCallers(t *testing.T) {
	engines := map[string]gladestandin.EngineConfig{
		"numbered":          {},
		"several per event": {EventTokens: 4},
		"odd text":          {PartialText: true},
		"plain":             {Plain: true},
		"text only":         {Plain: true, NoTokenIDs: true},
	}
	for name, c := range engines {
		for _, f := range faults {
			if f.numbered && c.Plain {
				continue
			}
			t.Run(name+"/"+f.name, func(t *testing.T) {
				runPool(t, c, []int{3}, func(p *pool) {
					p.engines[0].SetFaults(f.faults)
					r := readAll(p.runner.Start(generation("a", prompt, 60)))
					if c.NoTokenIDs {
						p.Check(r.text, qt.Equals, text(sequence(prompt, 60)))
						r.ids = sequence(prompt, 60)
					}
					p.checkOutput(r, prompt, 60)
					requests := 0
					for _, e := range p.engines {
						requests += e.Counts().Requests
					}
					p.Check(requests, qt.Equals, f.requests)
					if !f.faults.IgnoreCancel {
						p.checkNoStreams()
					}
				})
			})
		}
	}
}

func text(ids []int32) string {
	var s string
	for _, id := range ids {
		s += gladestandin.TokenText(id)
	}
	return s
}

func TestSecondFailureDuringRecovery(t *testing.T) {
	second := []gladestandin.Faults{
		{DieAt: 1}, {StallAt: 1}, {Mute: true}, {RepeatAt: 1}, {CrossAt: 1}, {LateAt: 2}, {Pause: true}, {DieAt: 20},
	}
	for _, first := range []gladestandin.Faults{{StallAt: 20}, {CrossAt: 20}} {
		for _, s := range second {
			runPool(t, gladestandin.EngineConfig{}, []int{4}, func(p *pool) {
				p.engines[0].SetFaults(first)
				p.engines[1].SetFaults(s)
				p.checkOutput(readAll(p.runner.Start(generation("a", prompt, 60))), prompt, 60)
				p.engines[1].SetFaults(gladestandin.Faults{})
				p.checkNoStreams()
			})
		}
	}
}

func TestLateEventsAfterPauseAreDropped(t *testing.T) {
	for name, pause := range map[string]func(*pool, bool){
		"engine": func(p *pool, on bool) { p.engines[0].SetFaults(gladestandin.Faults{Pause: on}) },
		"host": func(p *pool, on bool) {
			if on {
				p.network.Pause("e01")
				return
			}
			p.network.Resume("e01")
		},
	} {
		t.Run(name, func(t *testing.T) {
			runPool(t, gladestandin.EngineConfig{}, []int{2}, func(p *pool) {
				time.AfterFunc(200*time.Millisecond, func() { pause(p, true) })
				time.AfterFunc(1500*time.Millisecond, func() { pause(p, false) })
				p.checkOutput(readAll(p.runner.Start(generation("a", prompt, 300))), prompt, 300)
				p.checkNoStreams()
			})
		})
	}
}

func TestStreamsOfLostEngineAreSpread(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{}, []int{4}, func(p *pool) {
		p.table.SetServers(p.servers[:1])
		runs := make([]*gladestream.Run, 12)
		for i := range runs {
			runs[i] = p.runner.Start(generation(string(rune('a'+i)), prompt+string(rune('a'+i)), 200))
		}
		time.Sleep(500 * time.Millisecond)
		p.table.SetServers(p.servers)
		p.kills[0]()
		time.Sleep(time.Second)
		for _, e := range p.engines[1:] {
			p.Check(e.ActiveStreams(), qt.Equals, 4)
		}
		for i, run := range runs {
			p.checkOutput(readAll(run), prompt+string(rune('a'+i)), 200)
		}
	})
}

func TestWholeFailureDomainLost(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{}, []int{4, 4, 4}, func(p *pool) {
		runs := make([]*gladestream.Run, 24)
		for i := range runs {
			runs[i] = p.runner.Start(generation(string(rune('a'+i)), prompt+string(rune('a'+i)), 200))
		}
		time.Sleep(500 * time.Millisecond)
		for _, kill := range p.kills[:4] {
			kill()
			time.Sleep(5 * time.Millisecond)
		}
		for i, run := range runs {
			p.checkOutput(readAll(run), prompt+string(rune('a'+i)), 200)
		}
		p.Check(p.suspects.Refused(), qt.HasLen, 0)
	})
}

func TestPoisonIsRefusedAndOtherStreamsFinish(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{}, []int{3, 3}, func(p *pool) {
		for _, e := range p.engines {
			e.SetFaults(gladestandin.Faults{Poison: "crash here"})
		}
		others := make([]*gladestream.Run, 12)
		for i := range others {
			others[i] = p.runner.Start(generation(string(rune('a'+i)), prompt+string(rune('a'+i)), 300))
		}
		time.Sleep(500 * time.Millisecond)
		poison := readAll(p.runner.Start(generation("p", "please crash here now", 50)))
		p.Check(refusal(p, poison).Code, qt.Equals, gladeapi.CodePoison)
		p.Check(refusal(p, poison).Ran, qt.Equals, gladeapi.RanUnknown)
		again := refusal(p, readAll(p.runner.Start(generation("q", "please crash here now", 50))))
		p.Check(again.Code, qt.Equals, gladeapi.CodePoison)
		p.Check(again.Ran, qt.Equals, gladeapi.NotRun)
		dead := 0
		for _, e := range p.engines {
			if e.Dead() {
				dead++
			}
		}
		p.Check(dead, qt.Equals, 2)
		for i, run := range others {
			p.checkOutput(readAll(run), prompt+string(rune('a'+i)), 300)
		}
	})
}

func TestWholeFailureDomainStalledOrCutOff(t *testing.T) {
	for name, lose := range map[string]func(*pool, int){
		"stalled": func(p *pool, i int) { p.engines[i].SetFaults(gladestandin.Faults{Stall: true}) },
		"paused":  func(p *pool, i int) { p.network.Pause(p.servers[i].ID) },
	} {
		for _, streams := range []int{1, 24} {
			t.Run(fmt.Sprint(name, streams), func(t *testing.T) {
				runPool(t, gladestandin.EngineConfig{}, []int{6, 6, 6}, func(p *pool) {
					runs := make([]*gladestream.Run, streams)
					for i := range runs {
						runs[i] = p.runner.Start(generation(string(rune('a'+i)), prompt+string(rune('a'+i)), 500))
					}
					time.Sleep(500 * time.Millisecond)
					for i := range 6 {
						lose(p, i)
					}
					for i, run := range runs {
						p.checkOutput(readAll(run), prompt+string(rune('a'+i)), 500)
					}
					for _, s := range p.servers[:6] {
						p.network.Resume(s.ID)
					}
					p.checkNoStreams()
				})
			})
		}
	}
}
