package gladestream_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladeengine"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

const (
	// maxGap is the guaranteed maximum time between two tokens across an engine loss.
	maxGap = 3 * time.Second
	prompt = "read the return manifest of lab seven"
	seed   = 5
)

var weights = gladeapi.Target{Model: "m", Version: "1"}

// pool is a set of engines on an in-memory network with a Runner that uses them.
type pool struct {
	*qt.C
	network  *gladewire.Network
	engines  []*gladestandin.Engine
	servers  []gladeapi.BackendServer
	kills    []func()
	table    *gladeroute.Table
	suspects *gladesuspect.Tracker
	client   *gladeengine.Client
	config   gladestream.Config
	runner   *gladestream.Runner
}

// runPool runs f in a synctest bubble with counts[i] engines in failure domain i+1.
func runPool(t *testing.T, c gladestandin.EngineConfig, counts []int, f func(*pool)) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{C: qt.New(t), network: &gladewire.Network{}, table: &gladeroute.Table{FailureDomain: "d1", LeastLoaded: true}}
		for d, n := range counts {
			for range n {
				p.addEngine(c, fmt.Sprint("d", d+1))
			}
		}
		p.table.SetServers(p.servers)
		client, closeClient := gladeengine.New(gladeengine.Config{Dial: p.network.Host("vm").Dial})
		p.suspects = gladesuspect.New(gladesuspect.Config{
			Servers: p.table.Backends,
			Down:    func(ctx context.Context, b gladeapi.BackendServer) bool { return client.Probe(ctx, b) != nil },
		})
		p.client = client
		p.Cleanup(closeClient)
		p.config = gladestream.Config{
			Choose: func(_ context.Context, n gladeapi.Requirements) (gladeapi.Choice, error) {
				return p.table.Choose("pool", n)
			},
			Open:     client.Open,
			Attach:   client.Attach,
			Probe:    client.Probe,
			Cancel:   client.Cancel,
			Suspects: p.suspects,
			Servers:  p.table.Backends,
			Check:    &gladecheck.Checker{OnBroken: func(i gladecheck.Invariant, m string) { t.Errorf("%s: %s", i, m) }},
		}
		p.runner = gladestream.NewRunner(p.config)
		synctest.Wait()
		f(p)
	})
}

func (p *pool) addEngine(c gladestandin.EngineConfig, domain string) {
	id := fmt.Sprintf("e%02d", len(p.engines)+1)
	l, err := p.network.Host(id).Listen("tcp", id+":80")
	p.Assert(err, qt.IsNil)
	s := &http.Server{}
	c.ID = id
	c.Crash = func() { _ = s.Close() }
	e := gladestandin.NewEngine(c)
	s.Handler = e
	go func() { _ = s.Serve(l) }()
	kill := func() {
		e.Close()
		_ = s.Close()
	}
	p.Cleanup(kill)
	p.engines = append(p.engines, e)
	p.kills = append(p.kills, kill)
	p.servers = append(p.servers, gladeapi.BackendServer{
		ID: id, Kind: gladeapi.KindEngine, Address: id + ":80", FailureDomain: domain, Incarnation: "1", Pool: "pool",
	})
}

func generation(id, prompt string, tokens int) *gladeapi.Generation {
	return &gladeapi.Generation{
		ID: id, Target: weights, Prompt: prompt, Deadline: time.Now().Add(2 * time.Minute),
		Fingerprint: gladestandin.PromptFingerprint(weights.String(), gladestandin.Tokenize(prompt)),
		Sampling:    gladeapi.Sampling{MaxTokens: tokens, Seed: seed, IgnoreEOS: true},
	}
}

// result is the output that a caller received.
type result struct {
	ids  []int32
	text string
	end  gladestream.End
	// gap is the longest time between two reads that returned tokens or the end.
	gap time.Duration
}

func readAll(run *gladestream.Run) result {
	var r result
	last := time.Now()
	for {
		tokens, end, err := run.Journal.Read(context.Background(), len(r.ids))
		if err != nil {
			panic(err)
		}
		if len(r.ids) > 0 {
			r.gap = max(r.gap, time.Since(last))
		}
		last = time.Now()
		for _, t := range tokens {
			r.ids = append(r.ids, t.ID)
			r.text += t.Text
		}
		if end.Ended() && len(r.ids) == run.Journal.Len() {
			r.end = end
			<-run.Done
			return r
		}
	}
}

func sequence(prompt string, n int) []int32 {
	s := gladestandin.NewSequence(weights.String(), seed, gladestandin.Tokenize(prompt))
	ids := make([]int32, n)
	for i := range ids {
		ids[i], _ = s.Next()
	}
	return ids
}

// checkOutput checks that a caller received each token of its own request once, without a gap longer than maxGap.
func (p *pool) checkOutput(r result, prompt string, n int) {
	p.Helper()
	p.Check(r.end, qt.Equals, gladestream.End{Finish: gladeapi.FinishLength})
	p.Check(r.ids, qt.DeepEquals, sequence(prompt, n))
	p.Check(r.gap <= maxGap, qt.IsTrue, qt.Commentf("gap %s", r.gap))
}

// checkNoStreams checks that no live engine runs a stream 15 s from now.
func (p *pool) checkNoStreams() {
	p.Helper()
	time.Sleep(15 * time.Second)
	for _, e := range p.engines {
		if !e.Dead() {
			p.Check(e.ActiveStreams(), qt.Equals, 0)
		}
	}
}

func refusal(p *pool, r result) *gladeapi.Refusal {
	p.Helper()
	p.Assert(r.end.Err, qt.IsNotNil)
	return gladeapi.AsRefusal(r.end.Err)
}
