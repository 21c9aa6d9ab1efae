package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladereplay"
)

// errTraceFailed means that a run violated an invariant or differed from the expected outcome.
var errTraceFailed = eris.New("trace failed")

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "run traces against daemons and stand-ins in this process",
		ArgsUsage: "TRACE...",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "virtual", Usage: "run in virtual time"},
			&cli.BoolFlag{Name: "json", Usage: "print the full reports as JSON"},
			&cli.BoolFlag{Name: "log", Usage: "print the logs of the daemons"},
		},
		Action: replay,
	}
}

func replay(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return eris.New("replay requires at least one trace file")
	}
	run := func(ctx context.Context) error { return replayAll(ctx, c) }
	if c.Bool("virtual") {
		return inVirtualTime(func(ctx context.Context) error {
			defer time.Sleep(gladereplay.SettleTime)
			return run(ctx)
		})
	}
	return run(ctx)
}

func replayAll(ctx context.Context, c *cli.Command) error {
	var failed int
	for _, path := range c.Args().Slice() {
		trace, err := gladereplay.Load(path)
		if err != nil {
			return err
		}
		report, err := gladereplay.Run(ctx, trace, gladereplay.Config{Log: replayLog(c)})
		if err != nil {
			return eris.Wrap(err, path)
		}
		if c.Bool("json") {
			e := json.NewEncoder(os.Stdout)
			e.SetIndent("", "  ")
			_ = e.Encode(report)
		} else {
			fmt.Print(report.Text())
		}
		if len(report.Failures) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return eris.Wrapf(errTraceFailed, "%d of %d traces", failed, c.Args().Len())
	}
	return nil
}

func replayLog(c *cli.Command) hclog.Logger {
	if !c.Bool("log") {
		return nil
	}
	return hclog.New(&hclog.LoggerOptions{Name: "replay", Level: hclog.Debug, Output: os.Stderr})
}
