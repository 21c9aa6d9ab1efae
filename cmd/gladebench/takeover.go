package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladedaemon"
	"github.com/eelgrassglade/eelgrassglade/gladekernel"
)

const (
	takeoverPrompt     = "summarise the return manifest of lab seven and list every drum with its silver"
	takeoverSettleTime = 4 * time.Second
	callerRetryPause   = 10 * time.Millisecond
	// neverProtectTokens is a protection threshold that no generation reaches.
	neverProtectTokens = 1 << 30
	takeoverColumns    = "release, batch interval\tinter-token p50\tp95\tfirst token p95\tresume p50\tp95\tmax\tlost\tbatches/token\tbytes/token\trequests/stream\n"
)

// takeoverCase is one replication setting.
type takeoverCase struct {
	name    string
	standby func(*gladeconfig.Standby)
}

func takeoverCases() []takeoverCase {
	batch := func(d time.Duration, atOnce bool) func(*gladeconfig.Standby) {
		return func(s *gladeconfig.Standby) {
			s.BatchInterval = gladeconfig.Duration(d)
			s.ReleaseAtOnce = atOnce
		}
	}
	protect := func(tokens int, after time.Duration) func(*gladeconfig.Standby) {
		return func(s *gladeconfig.Standby) {
			batch(50*time.Millisecond, true)(s)
			s.ProtectTokens, s.ProtectAfter = tokens, gladeconfig.Duration(after)
		}
	}
	return []takeoverCase{
		{"none", protect(neverProtectTokens, 0)},
		{"after, 5ms", batch(5*time.Millisecond, false)},
		{"after, 20ms", batch(20*time.Millisecond, false)},
		{"after, 50ms", batch(50*time.Millisecond, false)},
		{"at once, 5ms", batch(5*time.Millisecond, true)},
		{"at once, 20ms", batch(20*time.Millisecond, true)},
		{"at once, 50ms", batch(50*time.Millisecond, true)},
		{"at once, 200ms", batch(200*time.Millisecond, true)},
		{"at once, 1s", batch(time.Second, true)},
		{"at once, 50ms, from token 64", protect(64, 0)},
		{"at once, 50ms, from 2s", protect(0, 2*time.Second)},
	}
}

func takeoverCommand() *cli.Command {
	return &cli.Command{
		Name:  "takeover",
		Usage: "kill the entry VM of running generations and measure their resumption for each replication setting",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "streams", Usage: "generations on the VM", Value: 16},
			&cli.IntFlag{Name: "kills", Usage: "VMs killed for each setting", Value: 3},
			&cli.IntFlag{Name: "tokens", Usage: "tokens of each generation", Value: 300},
			&cli.BoolFlag{Name: "engines", Usage: "also kill one engine"},
		},
		Action: takeover,
	}
}

func takeover(ctx context.Context, c *cli.Command) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprint(w, takeoverColumns); err != nil {
		return err
	}
	for _, t := range takeoverCases() {
		r := newTakeoverResult()
		for range c.Int("kills") {
			if err := takeoverRound(ctx, c, &t, r); err != nil {
				return err
			}
		}
		if err := r.print(w, t.name); err != nil {
			return err
		}
	}
	return w.Flush()
}

// takeoverResult aggregates the rounds of one setting. Its histograms are in microseconds.
type takeoverResult struct {
	interToken *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	resume     *hdrhistogram.Histogram
	lost       int
	streams    int
	tokens     int
	requests   int
	batches    int64
	bytes      int64
}

func newTakeoverResult() *takeoverResult {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Minute.Microseconds(), 3) }
	return &takeoverResult{interToken: h(), firstToken: h(), resume: h()}
}

func takeoverRound(ctx context.Context, c *cli.Command, t *takeoverCase, r *takeoverResult) error {
	k, closeCluster, err := gladecluster.New(gladecluster.Config{
		VMs: 4, Engines: 3, Settings: func(s *gladeconfig.Settings) { t.standby(&s.Standby) },
	})
	if err != nil {
		return err
	}
	defer closeCluster()
	time.Sleep(takeoverSettleTime)
	base := sumCounters(k, "peer.sentBytes")
	time.Sleep(takeoverSettleTime)
	idle := float64(sumCounters(k, "peer.sentBytes")-base) / takeoverSettleTime.Seconds()
	started, before := time.Now(), sumCounters(k, "peer.sentBytes")
	answers, killed := takeoverStreams(ctx, c, k)
	r.bytes += sumCounters(k, "peer.sentBytes") - before - int64(idle*time.Since(started).Seconds())
	r.batches += sumCounters(k, "standby.batches")
	for _, e := range k.Engines {
		r.requests += e.Engine.Counts().Requests
	}
	for _, a := range answers {
		r.add(a, killed)
	}
	return nil
}

// takeoverStreams runs the generations and kills their VM halfway. It returns the callers' answers and the time of the
// kill.
func takeoverStreams(ctx context.Context, c *cli.Command, k *gladecluster.Cluster) ([]*gladecaller.Answer, time.Time) {
	caller := gladecaller.Config{APIKey: gladecluster.APIKey, RetryDelay: callerRetryPause, Entries: func() []gladecaller.Entry {
		var entries []gladecaller.Entry
		for _, v := range k.VMs {
			entries = append(entries, gladecaller.Entry{Name: v.Name, URL: v.URL()})
		}
		return entries
	}}
	client, closeClient := gladecaller.New(caller)
	defer closeClient()
	answers := make([]*gladecaller.Answer, c.Int("streams"))
	var streams sync.WaitGroup
	for i := range answers {
		streams.Go(func() {
			answers[i] = client.Generate(ctx, gladecaller.Request{
				Model: gladecluster.ModelName, Prompt: fmt.Sprintf("%s %d", takeoverPrompt, i), MaxTokens: c.Int("tokens"),
				Seed: int64(i), Key: fmt.Sprintf("key-%d", i), Stream: true, Entry: k.VMs[0].Name,
			})
		})
	}
	time.Sleep(time.Duration(c.Int("tokens")) * 10 * time.Millisecond / 2)
	killed := time.Now()
	if c.Bool("engines") {
		k.Engines[0].Kill()
	}
	k.VMs[0].Kill()
	streams.Wait()
	return answers, killed
}

func (r *takeoverResult) add(a *gladecaller.Answer, killed time.Time) {
	r.streams++
	r.tokens += len(a.Events)
	if !a.Complete() {
		r.lost++
	}
	if len(a.Events) == 0 {
		return
	}
	_ = r.firstToken.RecordValue(a.FirstToken().Microseconds())
	resumedFrom := a.Tries[len(a.Tries)-1].From
	for i := 1; i < len(a.Events); i++ {
		if i == resumedFrom {
			_ = r.resume.RecordValue(max(1, a.Events[i].At.Sub(killed).Microseconds()))
			continue
		}
		_ = r.interToken.RecordValue(a.Events[i].At.Sub(a.Events[i-1].At).Microseconds())
	}
}

func (r *takeoverResult) print(w *tabwriter.Writer, name string) error {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	_, err := fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d/%d\t%.3f\t%.0f\t%.2f\n", name,
		ms(r.interToken, 50), ms(r.interToken, 95), ms(r.firstToken, 95), ms(r.resume, 50), ms(r.resume, 95), float64(r.resume.Max())/1000,
		r.lost, r.streams, float64(r.batches)/float64(max(1, r.tokens)), float64(r.bytes)/float64(max(1, r.tokens)),
		float64(r.requests)/float64(max(1, r.streams)))
	return err
}

// sumCounters returns the sum of a counter over all VMs, including killed ones.
func sumCounters(k *gladecluster.Cluster, name string) int64 {
	var sum int64
	vms := slices.Clone(k.VMs)
	slices.SortFunc(vms, func(a, b *gladecluster.VM) int { return cmp.Compare(a.Name, b.Name) })
	for _, v := range vms {
		registry, err := gladekernel.Lookup[metrics.Registry](v.Daemon.Kernel(), gladedaemon.ServiceMetrics)
		if err != nil {
			continue
		}
		if counter, ok := registry.Get(name).(metrics.Counter); ok {
			sum += counter.Count()
		}
	}
	return sum
}
