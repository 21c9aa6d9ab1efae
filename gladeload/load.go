package gladeload

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
)

// The histograms record microseconds, up to 10 minutes.
const (
	minMicros         = 1
	maxMicros         = 10 * 60 * 1_000_000
	significantDigits = 3
	// zipfSkew is the exponent of the Zipf distribution of requests over organisations.
	zipfSkew = 1.1
	// drainTimeout is the time after the last request in which open requests may end.
	drainTimeout = 5 * time.Minute
)

// LoadShape describes the load. A zero field other than Seed takes its default from the users' brief.
type LoadShape struct {
	// Rate is the mean number of requests per second; zero means 50.
	Rate float64 `json:"rate"`
	// Duration is the time in which requests are sent, in nanoseconds in JSON; zero means 20 s.
	Duration time.Duration `json:"duration"`
	// Seed seeds all random choices.
	Seed uint64 `json:"seed"`
	// Organisations is the number of organisations; a few of them send most requests. Zero means 10.
	Organisations int `json:"organisations"`
	// LongShare is the share of long generations, from 0 to 1; zero means 0.04.
	LongShare float64 `json:"longShare"`
	// LongTokens is the length of a long generation and the largest length of a short one; zero means 2000.
	LongTokens int `json:"longTokens"`
	// ShortTokens is the mean length of the other generations; zero means 100.
	ShortTokens int `json:"shortTokens"`
	// PrefixWords is the number of words that all prompts of an organisation share; zero means 200.
	PrefixWords int `json:"prefixWords"`
	// TailWords is the number of words that only one prompt has; zero means 30.
	TailWords int `json:"tailWords"`
}

func (s *LoadShape) setDefaults() {
	s.Rate = cmp.Or(s.Rate, 50)
	s.Duration = cmp.Or(s.Duration, 20*time.Second)
	s.Organisations = cmp.Or(s.Organisations, 10)
	s.LongShare = cmp.Or(s.LongShare, 0.04)
	s.LongTokens = cmp.Or(s.LongTokens, 2000)
	s.ShortTokens = cmp.Or(s.ShortTokens, 100)
	s.PrefixWords = cmp.Or(s.PrefixWords, 200)
	s.TailWords = cmp.Or(s.TailWords, 30)
}

// Result is the result of a run as measured by the callers.
type Result struct {
	Name     string         `json:"name,omitempty"`
	Shape    LoadShape      `json:"shape"`
	Requests int            `json:"requests"`
	Whole    int            `json:"whole"`
	Cut      int            `json:"cut"`
	Refused  map[string]int `json:"refused,omitempty"`
	// Wrong is the number of responses with missing, repeated or unexpected tokens.
	Wrong int `json:"wrong"`
	// WrongText holds the error of each of them.
	WrongText []string `json:"wrongText,omitempty"`
	// Tokens is the number of received token events.
	Tokens int `json:"tokens"`
	// PeakStreams is the largest number of requests open at the same time.
	PeakStreams       int       `json:"peakStreams"`
	RequestsPerSecond float64   `json:"requestsPerSecond"`
	TokensPerSecond   float64   `json:"tokensPerSecond"`
	FirstToken        Quantiles `json:"firstToken"`
	TokenGap          Quantiles `json:"tokenGap"`
	// LongestGap holds the longest gap between two tokens of each generation.
	LongestGap Quantiles `json:"longestGap"`
	// Process is the cost of the process Config.PID, if set.
	Process *ProcessCost `json:"process,omitempty"`

	firstToken, tokenGap, longest *hdrhistogram.Histogram
}

// Quantiles are the quantiles of a histogram of durations, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50Millis"`
	P95 float64 `json:"p95Millis"`
	P99 float64 `json:"p99Millis"`
	Max float64 `json:"maxMillis"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// Config configures Run.
type Config struct {
	Shape  LoadShape
	Caller *gladecaller.Caller
	// Model is the model of all requests.
	Model string
	// Entries are the names of the VMs that receive the requests in turn.
	Entries []string
	// Key returns the API key of an organisation; nil means the caller's own key.
	Key func(organisation int) string
	// PID is the process whose cost is measured; zero means none.
	PID int
}

// Run sends the load and waits for all responses, at most drainTimeout after the load.
func Run(ctx context.Context, c Config) *Result {
	c.Shape.setDefaults()
	r := &Result{
		Shape: c.Shape, Refused: map[string]int{},
		firstToken: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		tokenGap:   hdrhistogram.New(minMicros, maxMicros, significantDigits),
		longest:    hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
	watch := startSampling(c.PID)
	start := time.Now()
	l := &sender{config: &c, result: r, random: rand.New(rand.NewPCG(c.Shape.Seed, 1))}
	l.zipf = rand.NewZipf(l.random, zipfSkew, 1, uint64(c.Shape.Organisations-1))
	ctx, cancel := context.WithTimeout(ctx, c.Shape.Duration+drainTimeout)
	defer cancel()
	l.send(ctx)
	l.tasks.Wait()
	took := time.Since(start).Seconds()
	r.RequestsPerSecond = float64(r.Requests) / took
	r.TokensPerSecond = float64(r.Tokens) / took
	r.FirstToken, r.TokenGap, r.LongestGap = quantiles(r.firstToken), quantiles(r.tokenGap), quantiles(r.longest)
	r.Process = watch.stop(r.Requests, r.Tokens)
	return r
}

type sender struct {
	config *Config
	result *Result
	random *rand.Rand
	zipf   *rand.Zipf
	tasks  sync.WaitGroup

	mu           sync.Mutex
	openRequests int
}

func (l *sender) send(ctx context.Context) {
	next := time.Now()
	end := next.Add(l.config.Shape.Duration)
	for n := 0; next.Before(end) && ctx.Err() == nil; n++ {
		time.Sleep(time.Until(next))
		q := l.request(n)
		l.tasks.Go(func() { l.sendRequest(ctx, q) })
		next = next.Add(time.Duration(l.random.ExpFloat64() / l.config.Shape.Rate * float64(time.Second)))
	}
}

func (l *sender) request(n int) gladecaller.Request {
	s := &l.config.Shape
	organisation := int(l.zipf.Uint64())
	q := gladecaller.Request{
		Model:     l.config.Model,
		Prompt:    prompt(organisation, n, s),
		MaxTokens: int(math.Ceil(l.random.ExpFloat64() * float64(s.ShortTokens))),
		Seed:      int64(n),
		Key:       fmt.Sprintf("load-%d-%d", s.Seed, n),
		Stream:    true,
		Entry:     l.config.Entries[n%len(l.config.Entries)],
	}
	q.MaxTokens = min(max(q.MaxTokens, 1), s.LongTokens)
	if l.random.Float64() < s.LongShare {
		q.MaxTokens = s.LongTokens
	}
	if l.config.Key != nil {
		q.APIKey = l.config.Key(organisation)
	}
	return q
}

func prompt(organisation, n int, s *LoadShape) string {
	var b strings.Builder
	for i := range s.PrefixWords {
		_, _ = fmt.Fprintf(&b, "o%dw%d ", organisation, i)
	}
	for i := range s.TailWords {
		_, _ = fmt.Fprintf(&b, "r%dw%d ", n, i)
	}
	return b.String()
}

func (l *sender) sendRequest(ctx context.Context, q gladecaller.Request) {
	l.mu.Lock()
	l.openRequests++
	l.result.PeakStreams = max(l.result.PeakStreams, l.openRequests)
	l.mu.Unlock()
	a := l.config.Caller.Generate(ctx, q)
	err := gladecaller.NewExpectedAnswer(q.Model+"@1", &q).Verify(a)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openRequests--
	l.result.add(a, err)
}

func (r *Result) add(a *gladecaller.Answer, err error) {
	r.Requests++
	r.Tokens += len(a.Events)
	switch {
	case err != nil:
		r.Wrong++
		r.WrongText = append(r.WrongText, err.Error())
	case a.Refusal != nil:
		r.Refused[string(a.Refusal.Code)]++
	case a.Err != nil:
		r.Cut++
	default:
		r.Whole++
	}
	if len(a.Events) == 0 {
		return
	}
	recordDuration(r.firstToken, a.FirstToken())
	recordDuration(r.longest, a.LongestGap())
	for i := 1; i < len(a.Events); i++ {
		recordDuration(r.tokenGap, a.Events[i].At.Sub(a.Events[i-1].At))
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), minMicros))
}

// Organisations returns n organisations with the API keys of OrganisationKey.
func Organisations(n int) []gladenote.Organisation {
	all := make([]gladenote.Organisation, n)
	for i := range all {
		all[i] = gladenote.Organisation{
			Name: fmt.Sprintf("organisation-%d", i), KeyHashes: []string{gladenote.HashKey(OrganisationKey(i))},
		}
	}
	return all
}

// OrganisationKey returns the API key of the organisation with an index.
func OrganisationKey(organisation int) string {
	return fmt.Sprintf("load-key-%d", organisation)
}

// Note returns the default first note with additional organisations.
func Note(organisations int) *gladenote.Note {
	n := gladecluster.DefaultNote()
	n.Added.Organisations = append(n.Added.Organisations, Organisations(organisations)...)
	return n
}
