package gladestream_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of TestRandomFaults")
	seeds     = flag.Uint64("seeds", 20, "number of seeds of TestRandomFaults")
)

const (
	randomFaults  = 8
	randomStreams = 10
	// maxKilledEngines is the number of engines that may be killed; the others stay available.
	maxKilledEngines = 4
)

// randomFault injects a fault into one engine and later reverts it if it is transient.
func randomFault(p *pool, r *rand.Rand) {
	i := r.IntN(len(p.engines))
	e, host := p.engines[i], p.servers[i].ID
	later := func(f func()) { time.AfterFunc(time.Duration(r.IntN(4000))*time.Millisecond, f) }
	clearFaults := func() { e.SetFaults(gladestandin.Faults{}) }
	switch at := 1 + r.IntN(100); r.IntN(11) {
	case 0:
		if i < maxKilledEngines {
			p.kills[i]()
		}
	case 1:
		if i < maxKilledEngines {
			e.SetFaults(gladestandin.Faults{DieAt: at})
		}
	case 2:
		e.SetFaults(gladestandin.Faults{StallAt: at})
	case 3:
		e.SetFaults(gladestandin.Faults{Stall: true})
		later(clearFaults)
	case 4:
		e.SetFaults(gladestandin.Faults{Pause: true})
		later(clearFaults)
	case 5:
		p.network.Pause(host)
		later(func() { p.network.Resume(host) })
	case 6:
		e.SetFaults(gladestandin.Faults{RepeatAt: at, SkipAt: at + 20})
	case 7:
		e.SetFaults(gladestandin.Faults{CrossAt: at, LateAt: at + 20})
	case 8:
		e.SetFaults(gladestandin.Faults{BreakAt: at, IgnoreCancel: true})
	case 9:
		e.SetFaults(gladestandin.Faults{Mute: true})
		later(clearFaults)
	case 10:
		p.runner.MoveStreams(host)
	}
}

func TestRandomFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			c := gladestandin.EngineConfig{
				EventTokens: 1 + r.IntN(3), Plain: r.IntN(4) == 0, PartialText: r.IntN(2) == 0, MaxBatch: 2 + r.IntN(8),
			}
			runPool(t, c, []int{2, 2, 2}, func(p *pool) { runRandomFaults(p, r, c.Plain) })
		})
	}
}

func runRandomFaults(p *pool, r *rand.Rand, plain bool) {
	runs := make([]*gladestream.Run, randomStreams)
	for i := range runs {
		runs[i] = p.runner.Start(generation(fmt.Sprint("r", i), fmt.Sprint(prompt, i), 200))
		time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond)
	}
	for range randomFaults {
		time.Sleep(time.Duration(r.IntN(600)) * time.Millisecond)
		randomFault(p, r)
		if plain {
			clearNumberedFaults(p)
		}
	}
	for i, run := range runs {
		got := readAll(run)
		want := sequence(fmt.Sprint(prompt, i), 200)
		p.Check(got.ids, qt.DeepEquals, want[:min(len(got.ids), len(want))])
		if got.end.Err == nil {
			p.Check(got.ids, qt.HasLen, len(want))
			continue
		}
		// A request that was on two of the four killed engines is refused as poison; nothing else may end a generation.
		p.Check(refusal(p, got).Code, qt.Equals, gladeapi.CodePoison)
	}
	for _, s := range p.servers {
		p.network.Resume(s.ID)
	}
	time.Sleep(5 * time.Second)
}

// clearNumberedFaults clears the faults that cannot be detected without numbered events.
func clearNumberedFaults(p *pool) {
	for _, e := range p.engines {
		f := e.Faults()
		f.RepeatAt, f.SkipAt = 0, 0
		e.SetFaults(f)
	}
}
