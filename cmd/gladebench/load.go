package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladeload"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
)

const (
	flagTokenTime = "token-time"
	flagRounds    = "rounds"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send open-loop load and report the outcomes and latencies at the callers",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "rate", Usage: "requests per second", Value: 50},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "organisations", Value: 10},
			&cli.IntFlag{Name: "long-tokens", Usage: "tokens of the 4% long generations", Value: 2000},
			&cli.IntFlag{Name: "short-tokens", Usage: "mean tokens of the others", Value: 100},
			&cli.IntFlag{Name: "vms", Usage: "daemons in each of 3 failure domains", Value: 2},
			&cli.IntFlag{Name: "engines", Usage: "engines in each failure domain", Value: 4},
			&cli.DurationFlag{Name: flagTokenTime, Usage: "engines' time between tokens", Value: 30 * time.Millisecond},
			&cli.StringSliceFlag{Name: "settings", Usage: "compare daemons with settings `FILE`s, in alternating rounds"},
			&cli.IntFlag{Name: flagRounds, Usage: "rounds of each settings file", Value: 1},
			&cli.StringSliceFlag{Name: "entry", Usage: "load the daemon at `URL` instead of starting a cluster"},
			&cli.StringFlag{Name: "key", Usage: "API key for the daemons of --entry", Value: gladecluster.APIKey},
			&cli.IntFlag{Name: "pid", Usage: "measure the processor time and memory of process `PID`"},
			&cli.BoolFlag{Name: "print-note", Usage: "print the release note that the load requires, without sending load"},
			&cli.StringFlag{Name: "json", Usage: "write the report to `FILE`"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot to `FILE` (.svg or .png)"},
		},
		Action: load,
	}
}

func loadShape(c *cli.Command) gladeload.LoadShape {
	return gladeload.LoadShape{
		Rate: c.Float("rate"), Duration: c.Duration("duration"), Seed: c.Uint64("seed"),
		Organisations: c.Int("organisations"), LongTokens: c.Int("long-tokens"), ShortTokens: c.Int("short-tokens"),
	}
}

func load(ctx context.Context, c *cli.Command) error {
	if c.Bool("print-note") {
		note := gladeload.Note(c.Int("organisations"))
		note.Number = 0
		return json.NewEncoder(os.Stdout).Encode(note)
	}
	results, err := runLoads(ctx, c)
	if err != nil {
		return err
	}
	wrong := 0
	for _, r := range results {
		fmt.Print(r.Text())
		wrong += r.Wrong
	}
	if path := c.String("json"); path != "" {
		raw, err := json.MarshalIndent(results, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, append(raw, '\n'), 0o600); err != nil {
			return err
		}
	}
	if path := c.String("plot"); path != "" {
		if err := gladeload.Plot(path, results); err != nil {
			return err
		}
	}
	if wrong > 0 {
		return eris.Errorf("%d wrong answers", wrong)
	}
	return nil
}

func runLoads(ctx context.Context, c *cli.Command) ([]*gladeload.Result, error) {
	if len(c.StringSlice("entry")) > 0 {
		return []*gladeload.Result{loadEntries(ctx, c)}, nil
	}
	files := c.StringSlice("settings")
	if len(files) == 0 {
		files = []string{""}
	}
	var results []*gladeload.Result
	for round := range c.Int(flagRounds) {
		for _, file := range files {
			r, err := loadCluster(ctx, c, file)
			if err != nil {
				return nil, err
			}
			r.Name = fmt.Sprintf("%s round %d", filepath.Base(file), round+1)
			if file == "" {
				r.Name = fmt.Sprintf("defaults round %d", round+1)
			}
			results = append(results, r)
		}
	}
	return results, nil
}

func loadEntries(ctx context.Context, c *cli.Command) *gladeload.Result {
	var entries []gladecaller.Entry
	for _, url := range c.StringSlice("entry") {
		entries = append(entries, gladecaller.Entry{Name: url, URL: url})
	}
	caller, closeCaller := gladecaller.New(gladecaller.Config{
		APIKey: c.String("key"), Entries: func() []gladecaller.Entry { return entries },
	})
	defer closeCaller()
	r := gladeload.Run(ctx, gladeload.Config{
		Shape: loadShape(c), Caller: caller, Model: gladecluster.ModelName,
		Entries: c.StringSlice("entry"), PID: c.Int("pid"),
	})
	r.Name = "entry"
	return r
}

func loadCluster(ctx context.Context, c *cli.Command, file string) (*gladeload.Result, error) {
	var settings gladeconfig.Settings
	if file != "" {
		if _, err := toml.DecodeFile(file, &settings); err != nil {
			return nil, eris.Wrap(err, file)
		}
	}
	k, closeCluster, err := gladecluster.New(gladecluster.Config{
		FailureDomains: []string{"shubra", "helwan", "giza"},
		VMs:            c.Int("vms"),
		Engines:        c.Int("engines"),
		Engine:         gladestandin.EngineConfig{TokenTime: c.Duration(flagTokenTime)},
		Note:           gladeload.Note(c.Int("organisations")),
		Settings: func(s *gladeconfig.Settings) {
			// The cluster's names and addresses take precedence over those in the file.
			own := *s
			if file != "" {
				_, _ = toml.DecodeFile(file, s)
			}
			s.VM, s.Platform.Address, s.Entry.LameDuck = own.VM, own.Platform.Address, own.Entry.LameDuck
			s.Entry.Listen, s.Operators.Listen, s.Peers.Listen = own.Entry.Listen, own.Operators.Listen, own.Peers.Listen
		},
	})
	if err != nil {
		return nil, err
	}
	defer closeCluster()
	caller, closeCaller := k.Caller()
	defer closeCaller()
	var entries []string
	for _, v := range k.VMs {
		entries = append(entries, v.Name)
	}
	return gladeload.Run(ctx, gladeload.Config{
		Shape: loadShape(c), Caller: caller, Model: gladecluster.ModelName, Entries: entries, Key: gladeload.OrganisationKey,
		PID: os.Getpid(),
	}), nil
}
