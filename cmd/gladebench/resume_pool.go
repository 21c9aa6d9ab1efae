package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeengine"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
)

const (
	resumePoolName = "resume"
	// baselineTimeout replaces the first-token timeouts of the baseline. A restart from zero is silent while it
	// generates the delivered tokens again, and the usual timeouts would treat that as a stall.
	baselineTimeout = time.Hour
	// baselineFirstTokenTimeout limits the wait for the first event of a restarted attempt.
	baselineFirstTokenTimeout = 1500 * time.Millisecond
)

var (
	resumeDomains = []string{"shubra", "helwan", "giza"}
	resumeTarget  = gladeapi.Target{Model: "glade-llm", Version: "1"}
)

// resumePool consists of engines on loopback in three failure domains and one Runner per domain.
type resumePool struct {
	engines map[string]*gladestandin.Engine
	servers []gladeapi.BackendServer
	runners []*gladestream.Runner
	kills   map[string]func()
	closers []func()
}

func newResumePool(c *resumeConfig, fromZero bool) (*resumePool, error) {
	p := &resumePool{engines: map[string]*gladestandin.Engine{}, kills: map[string]func(){}}
	for i := range c.engines {
		if err := p.addEngine(c, fmt.Sprintf("engine-%02d", i+1), resumeDomains[i%len(resumeDomains)]); err != nil {
			p.close()
			return nil, err
		}
	}
	for _, domain := range resumeDomains {
		p.addRunner(c, domain, fromZero)
	}
	return p, nil
}

func (p *resumePool) addEngine(c *resumeConfig, id, domain string) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := gladestandin.NewEngine(gladestandin.EngineConfig{
		ID: id, TokenTime: c.tokenTime, BatchTime: c.tokenTime / 100, PrefillTime: c.prefillTime,
	})
	s := &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.Serve(l) }()
	kill := sync.OnceFunc(func() {
		_ = s.Close()
		e.Close()
	})
	p.closers = append(p.closers, kill)
	p.engines[id] = e
	p.kills[id] = kill
	p.servers = append(p.servers, gladeapi.BackendServer{
		ID: id, Kind: gladeapi.KindEngine, Address: l.Addr().String(), FailureDomain: domain, Incarnation: "1", Pool: resumePoolName,
	})
	return nil
}

func (p *resumePool) addRunner(c *resumeConfig, domain string, fromZero bool) {
	client, closeClient := gladeengine.New(gladeengine.Config{})
	p.closers = append(p.closers, closeClient)
	table := &gladeroute.Table{FailureDomain: domain}
	table.SetServers(p.servers)
	config := gladestream.Config{
		Choose: func(_ context.Context, n gladeapi.Requirements) (gladeapi.Choice, error) {
			return table.Choose(resumePoolName, n)
		},
		Open:     client.Open,
		Attach:   client.Attach,
		Probe:    client.Probe,
		Cancel:   client.Cancel,
		Servers:  table.Backends,
		Timeouts: gladestream.Timeouts{TokenFloor: c.stallFloor},
		Suspects: gladesuspect.New(gladesuspect.Config{
			Servers: table.Backends,
			Down:    func(ctx context.Context, b gladeapi.BackendServer) bool { return client.Probe(ctx, b) != nil },
		}),
	}
	if fromZero {
		config.Open = openFromZero(client.Open)
		config.Timeouts.ResumedFirstTokenFloor = baselineTimeout
		config.Timeouts.FirstTokenCeiling = baselineTimeout
	}
	p.runners = append(p.runners, gladestream.NewRunner(config))
}

func (p *resumePool) close() {
	for _, f := range p.closers {
		f()
	}
}

// counts returns the sum of the counts of all engines, including killed ones.
func (p *resumePool) counts() gladestandin.EngineCounts {
	var sum gladestandin.EngineCounts
	for _, e := range p.engines {
		c := e.Counts()
		sum.Requests += c.Requests
		sum.PrefillTokens += c.PrefillTokens
		sum.CachedTokens += c.CachedTokens
		sum.RecomputedTokens += c.RecomputedTokens
		sum.Tokens += c.Tokens
		sum.Cancelled += c.Cancelled
		sum.Attached += c.Attached
	}
	return sum
}

type openFunc func(context.Context, gladestream.OpenRequest) (*gladestream.Source, error)

// openFromZero returns the baseline's open function. A resumed attempt generates all tokens again, and the
// stream drops those already delivered.
func openFromZero(open openFunc) openFunc {
	return func(ctx context.Context, o gladestream.OpenRequest) (*gladestream.Source, error) {
		skip := len(o.Delivered)
		o.Delivered = nil
		s, err := open(ctx, o)
		if err != nil || skip == 0 {
			return s, err
		}
		next := s.Next
		firstEvent := time.AfterFunc(baselineFirstTokenTimeout, s.Close)
		s.Next = func() (gladestream.Event, error) {
			for {
				e, err := next()
				firstEvent.Stop()
				if err != nil || e.First >= skip || e.End {
					e.First -= skip
					return e, err
				}
			}
		}
		return s, nil
	}
}
