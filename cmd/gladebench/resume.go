package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

const (
	resumeDeadline = 5 * time.Minute
	// maxGap is the upper bound of the latency histograms.
	maxGap            = 5 * time.Minute
	significantDigits = 3
	resumeSeed        = 11
	tokenTimeFlag     = "token-time"
)

// resumeConfig holds the values of the experiment's flags.
type resumeConfig struct {
	engines     int
	streams     int
	tokens      int
	lossAfter   int
	promptWords int
	rounds      int
	tokenTime   time.Duration
	prefillTime time.Duration
	pauseTime   time.Duration
	stallFloor  time.Duration
}

func resumeCommand() *cli.Command {
	c := &resumeConfig{}
	return &cli.Command{
		Name:  "resume",
		Usage: "compare resume latency and extra resource use with a restart from zero",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "engines", Value: 36, Destination: &c.engines},
			&cli.IntFlag{Name: "streams", Value: 180, Destination: &c.streams},
			&cli.IntFlag{Name: "tokens", Value: 250, Usage: "tokens of each generation", Destination: &c.tokens},
			&cli.IntFlag{Name: "loss-at", Value: 150, Usage: "tokens after which engines are lost", Destination: &c.lossAfter},
			&cli.IntFlag{Name: "prompt-words", Value: 600, Usage: "words of each prompt", Destination: &c.promptWords},
			&cli.IntFlag{Name: "rounds", Value: 3, Destination: &c.rounds},
			&cli.DurationFlag{Name: tokenTimeFlag, Value: 20 * time.Millisecond, Destination: &c.tokenTime},
			&cli.DurationFlag{Name: "prefill-time", Value: 50 * time.Microsecond, Destination: &c.prefillTime},
			&cli.DurationFlag{Name: "pause", Value: 3 * time.Second, Destination: &c.pauseTime},
			&cli.DurationFlag{Name: "stall-floor", Value: 400 * time.Millisecond, Destination: &c.stallFloor},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of a table"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			return runResume(c, command.Bool("json"))
		},
	}
}

// loss is a failure injected into one engine or into all engines of a failure domain.
type loss struct {
	name        string
	wholeDomain bool
	inject      func(*resumePool, *resumeConfig, string)
}

func losses() []loss {
	die := func(p *resumePool, _ *resumeConfig, id string) { p.kills[id]() }
	stall := func(p *resumePool, _ *resumeConfig, id string) {
		p.engines[id].SetFaults(gladestandin.Faults{Stall: true})
	}
	pause := func(p *resumePool, c *resumeConfig, id string) {
		p.engines[id].SetFaults(gladestandin.Faults{Pause: true})
		time.AfterFunc(c.pauseTime, func() { p.engines[id].SetFaults(gladestandin.Faults{}) })
	}
	return []loss{
		{"death of an engine", false, die},
		{"stall of an engine", false, stall},
		{"pause of an engine", false, pause},
		{"death of a failure domain", true, die},
		{"stall of a failure domain", true, stall},
	}
}

// resumeResult holds the measurements of one loss, with resumption or with restart from zero.
type resumeResult struct {
	Loss     string  `json:"loss"`
	FromZero bool    `json:"fromZero"`
	Streams  int     `json:"streams"`
	Lost     int     `json:"lost"`
	P50      float64 `json:"p50Millis"`
	P95      float64 `json:"p95Millis"`
	P99      float64 `json:"p99Millis"`
	Max      float64 `json:"maxMillis"`
	// ExtraTokens is the number of tokens generated beyond serving each request once.
	ExtraTokens int `json:"extraTokens"`
	// ExtraPrefill is the number of prompt tokens prefilled beyond serving each request once.
	ExtraPrefill int `json:"extraPrefillTokens"`
	// ExtraRequests is the number of engine requests beyond serving each request once.
	ExtraRequests int `json:"extraRequests"`
	// ExtraTimeShare is the ratio of the engine time of ExtraTokens and ExtraPrefill to that of serving each request once.
	ExtraTimeShare float64 `json:"extraTimeShare"`
}

func runResume(c *resumeConfig, asJSON bool) error {
	var results []*resumeResult
	for _, l := range losses() {
		for _, fromZero := range []bool{false, true} {
			r, err := measureLoss(c, &l, fromZero)
			if err != nil {
				return eris.Wrap(err, l.name)
			}
			results = append(results, r)
			if !asJSON {
				printResume(results)
			}
		}
	}
	if !asJSON {
		return nil
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(results)
}

func measureLoss(c *resumeConfig, l *loss, fromZero bool) (*resumeResult, error) {
	r := &resumeResult{Loss: l.name, FromZero: fromZero}
	gaps := hdrhistogram.New(1, maxGap.Microseconds(), significantDigits)
	var extra gladestandin.EngineCounts
	for round := range c.rounds {
		if err := measureRound(c, l, fromZero, round, gaps, &extra); err != nil {
			return nil, err
		}
	}
	r.Streams = c.streams * c.rounds
	r.Lost = int(gaps.TotalCount())
	millis := func(q float64) float64 { return float64(gaps.ValueAtQuantile(q)) / 1000 }
	r.P50, r.P95, r.P99, r.Max = millis(50), millis(95), millis(99), float64(gaps.Max())/1000
	r.ExtraTokens = extra.Tokens
	r.ExtraPrefill = extra.PrefillTokens
	r.ExtraRequests = extra.Requests
	cost := func(tokens, prefill int) float64 {
		return float64(tokens)*float64(c.tokenTime) + float64(prefill)*float64(c.prefillTime)
	}
	r.ExtraTimeShare = cost(extra.Tokens, extra.PrefillTokens) / cost(r.Streams*c.tokens, r.Streams*c.promptWords)
	return r, nil
}

// measureRound runs all streams through one loss. It records the longest gap of each lost stream and adds the
// engines' extra work to extra.
func measureRound(
	c *resumeConfig, l *loss, fromZero bool, round int, gaps *hdrhistogram.Histogram, extra *gladestandin.EngineCounts,
) error {
	p, err := newResumePool(c, fromZero)
	if err != nil {
		return err
	}
	defer p.close()
	streams := startStreams(c, p, round)
	for _, s := range streams {
		s.waitForTokens(c.lossAfter)
	}
	lost := p.lostEngines(l, streams[0].engineID())
	at := time.Now()
	delivered := map[*measuredStream]int{}
	for _, s := range streams {
		if slices.Contains(lost, s.engineID()) {
			delivered[s] = s.len()
		}
	}
	for _, id := range lost {
		l.inject(p, c, id)
	}
	for _, s := range streams {
		if err := s.verify(); err != nil {
			return err
		}
	}
	for s, n := range delivered {
		_ = gaps.RecordValue(s.longestGap(at, n).Microseconds())
	}
	time.Sleep(c.pauseTime)
	sum := p.counts()
	extra.Tokens += sum.Tokens - c.streams*c.tokens
	extra.PrefillTokens += sum.PrefillTokens - c.streams*c.promptWords
	extra.Requests += sum.Requests - c.streams
	return nil
}

// lostEngines returns the IDs of the engines that the loss affects: the given one or all of its failure domain.
func (p *resumePool) lostEngines(l *loss, id string) []string {
	if !l.wholeDomain {
		return []string{id}
	}
	i := slices.IndexFunc(p.servers, func(b gladeapi.BackendServer) bool { return b.ID == id })
	var ids []string
	for _, b := range p.servers {
		if b.FailureDomain == p.servers[i].FailureDomain {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// measuredStream is one generation and the times at which its tokens were delivered.
type measuredStream struct {
	run    *gladestream.Run
	prompt string

	mu      sync.Mutex
	changed *sync.Cond
	ids     []int32
	times   []time.Time
	end     gladestream.End
}

func startStreams(c *resumeConfig, p *resumePool, round int) []*measuredStream {
	streams := make([]*measuredStream, c.streams)
	for i := range streams {
		id := fmt.Sprintf("r%d-%d", round, i)
		s := &measuredStream{prompt: strings.TrimSpace(strings.Repeat(id+" ", c.promptWords))}
		s.changed = sync.NewCond(&s.mu)
		s.run = p.runners[i%len(p.runners)].Start(&gladeapi.Generation{
			ID: id, Target: resumeTarget, Prompt: s.prompt, Fingerprint: uint64(i + 1),
			Deadline: time.Now().Add(resumeDeadline),
			Sampling: gladeapi.Sampling{MaxTokens: c.tokens, Seed: resumeSeed, IgnoreEOS: true},
		})
		go s.read()
		streams[i] = s
		// The starts are spread over the time of one token, like those of independent callers.
		time.Sleep(c.tokenTime / time.Duration(c.streams))
	}
	return streams
}

func (s *measuredStream) read() {
	for n := 0; ; {
		tokens, end, err := s.run.Journal.Read(context.Background(), n)
		if err != nil {
			return
		}
		now := time.Now()
		n += len(tokens)
		s.mu.Lock()
		for _, t := range tokens {
			s.ids = append(s.ids, t.ID)
			s.times = append(s.times, now)
		}
		if end.Ended() && n == s.run.Journal.Len() {
			s.end = end
		}
		ended := s.end.Ended()
		s.mu.Unlock()
		s.changed.Broadcast()
		if ended {
			return
		}
	}
}

func (s *measuredStream) waitForTokens(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.ids) < n && !s.end.Ended() {
		s.changed.Wait()
	}
}

func (s *measuredStream) engineID() string {
	return s.run.Journal.Placement().Backend.ID
}

func (s *measuredStream) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ids)
}

// verify waits for the end and checks that every token of the request was delivered once and in order.
func (s *measuredStream) verify() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.end.Ended() {
		s.changed.Wait()
	}
	if s.end.Err != nil {
		return eris.Wrap(s.end.Err, s.run.Journal.Generation.ID)
	}
	sequence := gladestandin.NewSequence(resumeTarget.String(), resumeSeed, gladestandin.Tokenize(s.prompt))
	for i, id := range s.ids {
		if want, _ := sequence.Next(); id != want {
			return eris.Errorf("%s: token %d is %d, want %d", s.run.Journal.Generation.ID, i, id, want)
		}
	}
	if want := s.run.Journal.Generation.Sampling.MaxTokens; len(s.ids) != want {
		return eris.Errorf("%s: %d tokens, want %d", s.run.Journal.Generation.ID, len(s.ids), want)
	}
	return nil
}

// longestGap returns the longest wait for a token after the loss at the given time, when n tokens had been delivered.
func (s *measuredStream) longestGap(at time.Time, n int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := at
	var longest time.Duration
	for _, t := range s.times[min(n, len(s.times)):] {
		longest = max(longest, t.Sub(last))
		last = t
	}
	return longest
}

func printResume(results []*resumeResult) {
	r := results[len(results)-1]
	if len(results) == 1 {
		fmt.Println("| loss | recovery | lost streams | p50 ms | p95 ms | p99 ms | max ms | extra tokens | extra prefill | extra requests | extra engine time |")
		fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	}
	recovery := "resume"
	if r.FromZero {
		recovery = "from zero"
	}
	fmt.Printf("| %s | %s | %d | %.0f | %.0f | %.0f | %.0f | %d | %d | %d | %s |\n", r.Loss, recovery, r.Lost,
		r.P50, r.P95, r.P99, r.Max, r.ExtraTokens, r.ExtraPrefill, r.ExtraRequests,
		strconv.FormatFloat(100*r.ExtraTimeShare, 'f', 2, 64)+" %")
	if !r.FromZero {
		return
	}
	resumed := results[len(results)-2]
	fmt.Printf("| %s | ratio | | %.1f | %.1f | %.1f | %.1f | | | | %.1f |\n", r.Loss,
		r.P50/resumed.P50, r.P95/resumed.P95, r.P99/resumed.P99, r.Max/resumed.Max, r.ExtraTimeShare/max(resumed.ExtraTimeShare, 1e-9))
}
