package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladeload"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladerecord"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

const (
	// stateNoteOrganisations is the number of organisations in each note that builds the state.
	stateNoteOrganisations  = 2000
	journalTokens           = 2_000_000
	journalBatchTokens      = 32
	recordRequests          = 4096
	recordEntriesPerRequest = 8
	organisationChanges     = 200
	keyLookups              = 200_000
)

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the costs per unit on which docs/CAPACITY.md is based",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "organisations", Value: 48_000},
			&cli.IntSliceFlag{Name: "vms", Usage: "VMs in each of 6 failure domains of the idle clusters", Value: []int{1, 2, 4, 8}},
			&cli.DurationFlag{Name: "idle", Usage: "duration of the measurement of each idle cluster", Value: 10 * time.Second},
		},
		Action: capacity,
	}
}

func capacity(ctx context.Context, c *cli.Command) error {
	for _, measure := range []func(context.Context, *cli.Command) error{
		measureState, measureJournal, measureRecord, measureIdle,
	} {
		if err := measure(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// heapInUse returns the size of the live heap in bytes, after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// buildState returns a state with the default note and n organisations.
func buildState(n int) (*gladenote.State, error) {
	state, err := (&gladenote.State{}).Apply(gladecluster.DefaultNote())
	if err != nil {
		return nil, err
	}
	all := gladeload.Organisations(n)
	for i := 0; i < n; i += stateNoteOrganisations {
		part := all[i:min(i+stateNoteOrganisations, n)]
		note := gladenote.Note{Number: state.Number + 1, Added: gladenote.Content{Organisations: part}}
		if state, err = state.Apply(&note); err != nil {
			return nil, err
		}
	}
	return state, nil
}

func measureState(_ context.Context, c *cli.Command) error {
	n := c.Int("organisations")
	before := heapInUse()
	start := processorTime()
	state, err := buildState(n)
	if err != nil {
		return err
	}
	loaded := processorTime() - start
	bytes := heapInUse() - before
	start = processorTime()
	for i := range organisationChanges {
		o := gladenote.Organisation{Name: fmt.Sprintf("organisation-%d", i), KeyHashes: []string{gladenote.HashKey(fmt.Sprint(i))}}
		note := gladenote.Note{Number: state.Number + 1, Changed: gladenote.Content{Organisations: []gladenote.Organisation{o}}}
		if state, err = state.Apply(&note); err != nil {
			return err
		}
	}
	change := (processorTime() - start) / organisationChanges
	start = processorTime()
	for i := range keyLookups {
		state.OrganisationOfKey(gladeload.OrganisationKey(i % n))
	}
	lookup := (processorTime() - start) / keyLookups
	parts, err := state.Encode()
	if err != nil {
		return err
	}
	total := 0
	for _, p := range parts {
		total += len(p)
	}
	fmt.Printf("state: %d organisations, %.1f MiB heap (%.0f bytes each), loaded in %s of processor time,\n"+
		"       %s per changed organisation, %s per key look-up, snapshot %.1f MiB in %d objects\n",
		n, bytes/(1<<20), bytes/float64(n), loaded.Round(time.Millisecond), change.Round(time.Microsecond), lookup,
		float64(total)/(1<<20), len(parts))
	return nil
}

func measureJournal(context.Context, *cli.Command) error {
	g := &gladeapi.Generation{ID: "shubra-vm-1-AAAAAA-1"}
	j := gladestream.NewJournal(g)
	a := gladeapi.Attempt{Request: g.ID, Number: 1, Nonce: "ABCDEFGH"}
	before := heapInUse()
	start := processorTime()
	j.Begin(a, gladeapi.BackendServer{})
	for i := range journalTokens {
		e := gladestream.Event{First: i, Tokens: []gladestream.EventToken{{ID: int32(i % 50_000), Text: gladestandin.TokenText(int32(i))}}}
		if err := j.Append(a, e); err != nil {
			return err
		}
	}
	perToken := (processorTime() - start) / journalTokens
	bytes := (heapInUse() - before) / journalTokens
	tokens, _, err := j.ReadAll(context.Background(), 0)
	if err != nil {
		return err
	}
	start = processorTime()
	encoded := 0
	for i := 0; i < len(tokens)/10; i += journalBatchTokens {
		raw, err := json.Marshal(gladeapi.JournalBatch{Request: g.ID, Owner: "shubra-vm-1", Attempt: a, Tokens: tokens[i : i+journalBatchTokens]})
		if err != nil {
			return err
		}
		encoded += len(raw)
	}
	encode := (processorTime() - start) / (journalTokens / 10)
	fmt.Printf("journal: %s of processor time and %.0f bytes of heap per token; %.0f bytes and %s per token encoded for a standby in batches of %d\n",
		perToken, bytes, float64(encoded)/(journalTokens/10), encode, journalBatchTokens)
	runtime.KeepAlive(j)
	return nil
}

func measureRecord(context.Context, *cli.Command) error {
	before := heapInUse()
	recorder, err := gladerecord.New(gladerecord.Config{VM: "shubra-vm-1"})
	if err != nil {
		return err
	}
	start := processorTime()
	for i := range recordRequests {
		for range recordEntriesPerRequest {
			recorder.Add(fmt.Sprintf("shubra-vm-1-AAAAAA-%d", i), "stream", "attempt", "%s on %s: %s", "a", "engine-1", "least in flight")
		}
	}
	spent := (processorTime() - start) / (recordRequests * recordEntriesPerRequest)
	bytes := heapInUse() - before
	fmt.Printf("record: %s of processor time per entry, %.0f bytes per entry, %.1f MiB for %d requests of %d entries\n",
		spent, bytes/(recordRequests*recordEntriesPerRequest), bytes/(1<<20), recordRequests, recordEntriesPerRequest)
	runtime.KeepAlive(recorder)
	return nil
}

// measureIdle measures clusters without load: the remaining cost is membership, notes, leases and load reports.
func measureIdle(ctx context.Context, c *cli.Command) error {
	domains := []string{"east-1", "east-2", "east-3", "west-1", "west-2", "west-3"}
	for _, vms := range c.IntSlice("vms") {
		if err := measureIdleCluster(ctx, c.Duration("idle"), domains, vms); err != nil {
			return err
		}
	}
	return nil
}

func measureIdleCluster(ctx context.Context, watch time.Duration, domains []string, vms int) error {
	before := heapInUse()
	k, closeCluster, err := gladecluster.New(gladecluster.Config{FailureDomains: domains, VMs: vms, Engines: 2})
	if err != nil {
		return eris.Wrap(err, "idle cluster")
	}
	defer closeCluster()
	sleep(ctx, watch/2)
	start, countsBefore := processorTime(), k.Platform.Counts()
	sleep(ctx, watch)
	spent := processorTime() - start
	countsAfter := k.Platform.Counts()
	n := float64(len(k.VMs))
	seconds := watch.Seconds()
	calls := countsAfter.Calls() - countsBefore.Calls()
	fmt.Printf("idle: %3d VMs in %d failure domains: %.3f%% of a core and %.2f MiB of heap per VM (stand-ins included), "+
		"platform %.1f reads/s and %.1f writes/s in all, %d watches open\n",
		len(k.VMs), len(domains), 100*spent.Seconds()/seconds/n, (heapInUse()-before)/(1<<20)/n,
		float64(calls-(countsAfter.Writes-countsBefore.Writes))/seconds,
		float64(countsAfter.Writes-countsBefore.Writes)/seconds, countsAfter.Watches)
	if os.Getenv("GLADE_KINDS") != "" {
		fmt.Println("      calls by kind since the start:", countsAfter.Kinds)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
