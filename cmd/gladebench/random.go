package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/urfave/cli/v3"
	"pgregory.net/rapid"

	"github.com/eelgrassglade/eelgrassglade/gladereplay"
)

func randomCommand() *cli.Command {
	return &cli.Command{
		Name:  "random",
		Usage: "replay random traces in virtual time and shrink the first that fails",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Usage: "number of traces", Value: 100},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first trace", Value: 1},
			&cli.DurationFlag{Name: "shrink", Usage: "time limit for shrinking", Value: 30 * time.Second},
			&cli.StringFlag{Name: "trace", Usage: "write the shrunk trace to `FILE`", Value: "failed.jsonl"},
		},
		Action: random,
	}
}

// totals counts the contents and outcomes of the random traces.
type totals struct {
	traces, generations, whole, calls, faults int
	codes                                     map[string]int
}

func random(_ context.Context, c *cli.Command) error {
	flags := map[string]string{
		"rapid.checks": strconv.Itoa(c.Int("seeds")), "rapid.seed": strconv.FormatUint(c.Uint64("seed"), 10),
		"rapid.shrinktime": c.Duration("shrink").String(), "rapid.nofailfile": "true",
	}
	sum := totals{codes: map[string]int{}}
	return runAsTest("random", flags, func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) { runRandomTrace(t, rt, c.String("trace"), &sum) })
		fmt.Printf("%d traces passed: %d generations (%d whole, others %v), %d calls, %d faults, seed %d\n",
			sum.traces, sum.generations, sum.whole, sum.codes, sum.calls, sum.faults, c.Uint64("seed"))
	})
}

func runRandomTrace(t *testing.T, rt *rapid.T, path string, sum *totals) {
	trace := gladereplay.RandomTrace(rt)
	var text strings.Builder
	_ = trace.Write(&text)
	// If the trace never ends in virtual time and the process is killed, the file remains for inspection.
	_ = os.WriteFile(path+".running", []byte(text.String()), 0o600)
	defer func() { _ = os.Remove(path + ".running") }()
	var report *gladereplay.Report
	var err error
	synctest.Test(t, func(t *testing.T) {
		report, err = gladereplay.Run(t.Context(), trace, gladereplay.Config{})
		time.Sleep(gladereplay.SettleTime)
	})
	if err != nil {
		rt.Fatal(err)
	}
	sum.add(trace, report)
	if len(report.Failures) > 0 {
		_ = os.WriteFile(path, []byte(text.String()), 0o600)
		rt.Fatalf("%s\nshrunk trace in %s", report.Text(), path)
	}
}

func (s *totals) add(trace *gladereplay.Trace, r *gladereplay.Report) {
	s.traces++
	s.generations += len(r.Generations)
	s.calls += len(r.Calls)
	for _, g := range r.Generations {
		if g.Outcome == gladereplay.Whole {
			s.whole++
		} else {
			s.codes[string(g.Outcome)+" "+g.Code]++
		}
	}
	for i := range trace.Events {
		if trace.Events[i].Fault != nil {
			s.faults++
		}
	}
}

// runAsTest runs f as the only test of a test binary and exits the process, because synctest bubbles require a test.
func runAsTest(name string, flags map[string]string, f func(*testing.T)) error {
	testing.Init()
	if err := flag.CommandLine.Parse(nil); err != nil {
		return err
	}
	for flagName, value := range flags {
		if err := flag.Set(flagName, value); err != nil {
			return err
		}
	}
	testing.Main(
		func(string, string) (bool, error) { return true, nil },
		[]testing.InternalTest{{Name: name, F: f}}, nil, nil,
	)
	return nil
}
