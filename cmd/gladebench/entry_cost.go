package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladeengine"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

// entryCostConfig holds the values of the experiment's flags.
type entryCostConfig struct {
	streams     int
	tokens      int
	promptWords int
	rounds      int
	tokenTime   time.Duration
}

func entryCostCommand() *cli.Command {
	c := &entryCostConfig{}
	return &cli.Command{
		Name:  "entry-cost",
		Usage: "compare processor time per token and latency through an entry VM with direct requests to the engines",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "streams", Value: 64, Destination: &c.streams},
			&cli.IntFlag{Name: "tokens", Value: 400, Destination: &c.tokens},
			&cli.IntFlag{Name: "prompt-words", Value: 600, Usage: "words of each prompt", Destination: &c.promptWords},
			&cli.IntFlag{Name: "rounds", Value: 3, Destination: &c.rounds},
			&cli.DurationFlag{Name: tokenTimeFlag, Value: 20 * time.Millisecond, Destination: &c.tokenTime},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return runEntryCost(ctx, c) },
	}
}

// pathCosts holds the measurements of one request path, direct or through an entry VM.
// Its histograms are in microseconds.
type pathCosts struct {
	name       string
	url        func(stream int) string
	model      string
	cpu        time.Duration
	tokens     int
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	mu         sync.Mutex
}

func newPathCosts(name, model string, url func(int) string) *pathCosts {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxGap.Microseconds(), significantDigits) }
	return &pathCosts{name: name, model: model, url: url, firstToken: histogram(), interToken: histogram()}
}

func runEntryCost(ctx context.Context, c *entryCostConfig) error {
	k, closeCluster, err := gladecluster.New(gladecluster.Config{
		VMs: 1, Engines: 4, Engine: gladestandin.EngineConfig{TokenTime: c.tokenTime, CacheBlocks: 1},
	})
	if err != nil {
		return err
	}
	defer closeCluster()
	engine := func(i int) string { return "http://" + k.Engines[i%len(k.Engines)].Backend.Address }
	direct := newPathCosts("engine", gladecluster.ModelName+"@1", engine)
	via := newPathCosts("entry VM", gladecluster.ModelName, func(int) string { return k.VMs[0].URL() })
	for range c.rounds {
		for _, p := range []*pathCosts{direct, via} {
			if err := p.round(ctx, c); err != nil {
				return eris.Wrap(err, p.name)
			}
		}
	}
	fmt.Println("| path | tokens | processor µs per token | first token p50 ms | p95 | inter-token p50 ms | p95 | p99 |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, p := range []*pathCosts{direct, via} {
		millis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		fmt.Printf("| %s | %d | %.1f | %.2f | %.2f | %.2f | %.2f | %.2f |\n", p.name, p.tokens, p.perToken(),
			millis(p.firstToken, 50), millis(p.firstToken, 95), millis(p.interToken, 50), millis(p.interToken, 95), millis(p.interToken, 99))
	}
	fmt.Printf("entry VM alone: %.1f µs of processor time per token\n", via.perToken()-direct.perToken())
	return nil
}

func (p *pathCosts) perToken() float64 {
	return float64(p.cpu.Microseconds()) / float64(p.tokens)
}

// round runs all streams once and adds the processor time of the whole process.
func (p *pathCosts) round(ctx context.Context, c *entryCostConfig) error {
	before := processorTime()
	errs := make(chan error, c.streams)
	for i := range c.streams {
		go func() { errs <- p.stream(ctx, c, i) }()
		time.Sleep(c.tokenTime / time.Duration(c.streams))
	}
	var first error
	for range c.streams {
		if err := <-errs; err != nil {
			first = err
		}
	}
	p.cpu += processorTime() - before
	p.tokens += c.streams * c.tokens
	return first
}

func (p *pathCosts) stream(ctx context.Context, c *entryCostConfig, i int) error {
	prompt, err := json.Marshal(strings.Repeat(fmt.Sprintf("s%d ", i), c.promptWords))
	if err != nil {
		return err
	}
	seed := int64(i)
	body, err := json.Marshal(gladeengine.CompletionRequest{
		Model: p.model, Prompt: prompt, MaxTokens: c.tokens, Seed: &seed, Stream: true, IgnoreEOS: true, ReturnTokenIDs: true,
		RequestID: fmt.Sprintf("%s-%d-%d", p.name, i, time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url(i)+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+gladecluster.APIKey)
	sent := time.Now()
	response, err := gladestatus.Do(http.DefaultClient, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return p.read(response, sent, c.tokens)
}

// read records the time to the first event and the time between events of one stream.
func (p *pathCosts) read(response *http.Response, sent time.Time, want int) error {
	last := sent
	n := 0
	scanner := bufio.NewScanner(response.Body)
	for n < want && scanner.Scan() {
		if !bytes.HasPrefix(scanner.Bytes(), []byte("data: {")) {
			continue
		}
		now := time.Now()
		h := p.interToken
		if n == 0 {
			h = p.firstToken
		}
		p.mu.Lock()
		_ = h.RecordValue(now.Sub(last).Microseconds())
		p.mu.Unlock()
		last = now
		n++
	}
	if n < want {
		return eris.Errorf("stream with status %s: %d events, want %d", response.Status, n, want)
	}
	return nil
}
