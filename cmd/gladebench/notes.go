package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladedaemon"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

const (
	notesEngines          = 2
	inForceTimeout        = 30 * time.Second
	notePollInterval      = 5 * time.Millisecond
	modelLoadTime         = 100 * time.Millisecond
	bulkNoteOrganisations = 4000
	maxInForceMicros      = 60_000_000
	histogramDigits       = 3
)

// InForceResult holds the time from the submission of a note until its status is in force.
type InForceResult struct {
	What  string  `json:"what"`
	VMs   int     `json:"vms"`
	Notes int64   `json:"notes"`
	P50   float64 `json:"p50Millis"`
	P95   float64 `json:"p95Millis"`
	Max   float64 `json:"maxMillis"`
}

// NoteCallsResult holds the platform calls caused by notes.
type NoteCallsResult struct {
	VMs     int `json:"vms"`
	Watches int `json:"watches"`
	// IdlePerSecond is the rate of calls for notes and snapshots while no note is submitted.
	IdlePerSecond float64 `json:"idlePerSecond"`
	// AllIdlePerSecond is the rate of calls of all kinds while no note is submitted.
	AllIdlePerSecond float64 `json:"allIdlePerSecond"`
	// PerNote is the number of calls for notes and snapshots per submitted note.
	PerNote float64 `json:"perNote"`
}

// BulkResult holds the cost of adding many organisations.
type BulkResult struct {
	Organisations  int     `json:"organisations"`
	Notes          int     `json:"notes"`
	SubmitSeconds  float64 `json:"submitSeconds"`
	InForceSeconds float64 `json:"inForceSeconds"`
	// Objects is the number of objects with notes and snapshots on the platform.
	Objects int `json:"objects"`
	// Bytes is the total size of these objects.
	Bytes int `json:"bytes"`
	// Largest is the size of the largest of these objects, in bytes.
	Largest int `json:"largestBytes"`
	// NewVMSeconds is the time from the start of a new VM until it is ready.
	NewVMSeconds float64 `json:"newVMSeconds"`
}

func notesCommand() *cli.Command {
	return &cli.Command{
		Name:  "notes",
		Usage: "measure the time until notes are in force, their platform calls and the cost of adding many organisations",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "notes", Usage: "notes of each kind", Value: 60},
			&cli.IntFlag{Name: "organisations", Value: 48_000},
			&cli.IntSliceFlag{Name: "vms", Usage: "cluster sizes in VMs for the platform calls", Value: []int{3, 15, 60}},
			&cli.DurationFlag{Name: "idle", Usage: "duration of the measurement without notes", Value: 5 * time.Second},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			for _, measure := range []func(context.Context, *cli.Command) error{measureInForce, measureNoteCalls, measureBulk} {
				if err := measure(ctx, c); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// notesBench is a cluster with a client of its operators' listeners.
type notesBench struct {
	*gladecluster.Cluster
	client *http.Client
	// base is the number of the newest note.
	base int64
}

func newNotesBench(ctx context.Context, vms int) (*notesBench, func(), error) {
	k, closeCluster, err := gladecluster.New(gladecluster.Config{
		FailureDomains: resumeDomains, Engines: notesEngines, VMs: vms / len(resumeDomains),
	})
	if err != nil {
		return nil, nil, err
	}
	for _, e := range k.Engines {
		e.Engine.SetOrders(gladestandin.OrderConfig{LoadTime: modelLoadTime})
	}
	b := &notesBench{Cluster: k, client: &http.Client{}, base: 1}
	if err := b.waitInForce(ctx, 1); err != nil {
		closeCluster()
		return nil, nil, err
	}
	return b, closeCluster, nil
}

func (b *notesBench) call(ctx context.Context, vm int, method, path string, body, answer any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	url := "http://" + b.VMs[vm%len(b.VMs)].Daemon.OperatorsAddress() + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	response, err := gladestatus.Do(b.client, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(answer)
}

func (b *notesBench) submit(ctx context.Context, vm int, n gladenote.Note) error {
	var a gladedaemon.NoteAnswer
	n.Base, n.Author, n.Title = b.base, "gladebench", fmt.Sprint("note ", b.base+1)
	if err := b.call(ctx, vm, http.MethodPost, "/notes", n, &a); err != nil {
		return err
	}
	if a.Accepted == nil {
		return eris.Errorf("note refused: %v", a.Errors)
	}
	b.base = a.Accepted.Number
	return nil
}

// waitInForce polls the status until the newest note is in force.
func (b *notesBench) waitInForce(ctx context.Context, vm int) error {
	started := time.Now()
	for {
		var s gladenote.Status
		if err := b.call(ctx, vm, http.MethodGet, fmt.Sprintf("/notes/status?number=%d", b.base), nil, &s); err != nil {
			return err
		}
		if s.InForce {
			return nil
		}
		if time.Since(started) > inForceTimeout {
			return eris.Errorf("note %d is not in force after %s: %+v", b.base, inForceTimeout, s)
		}
		time.Sleep(notePollInterval)
	}
}

func measureInForce(ctx context.Context, c *cli.Command) error {
	b, closeBench, err := newNotesBench(ctx, 15)
	if err != nil {
		return err
	}
	defer closeBench()
	for _, kind := range []struct {
		what string
		note func(i int) gladenote.Note
	}{{"organisation added", organisationNote}, {"adapter added", adapterNote}} {
		h := hdrhistogram.New(1, maxInForceMicros, histogramDigits)
		for i := range c.Int("notes") {
			started := time.Now()
			if err := b.submit(ctx, i, kind.note(i)); err != nil {
				return err
			}
			if err := b.waitInForce(ctx, i+7); err != nil {
				return err
			}
			if err := h.RecordValue(time.Since(started).Microseconds()); err != nil {
				return err
			}
		}
		if err := json.NewEncoder(os.Stdout).Encode(InForceResult{
			What: kind.what, VMs: len(b.VMs), Notes: h.TotalCount(),
			P50: millis(h.ValueAtQuantile(50)), P95: millis(h.ValueAtQuantile(95)), Max: millis(h.Max()),
		}); err != nil {
			return err
		}
	}
	return nil
}

func millis(micros int64) float64 {
	return float64(micros) / 1000
}

func organisationNote(i int) gladenote.Note {
	name := fmt.Sprintf("organisation-%05d", i)
	return gladenote.Note{Added: gladenote.Content{Organisations: []gladenote.Organisation{
		{Name: name, KeyHashes: []string{gladenote.HashKey(name)}, RequestsPerSecond: 5},
	}}}
}

func adapterNote(i int) gladenote.Note {
	return gladenote.Note{Added: gladenote.Content{Adapters: []gladenote.Adapter{
		{Name: fmt.Sprint("adapter-", i), Model: gladecluster.ModelName, Version: "1", Weights: "weights://adapter"},
	}}}
}

func measureNoteCalls(ctx context.Context, c *cli.Command) error {
	for _, n := range c.IntSlice("vms") {
		b, closeBench, err := newNotesBench(ctx, n)
		if err != nil {
			return err
		}
		r, err := b.measureCalls(ctx, c.Duration("idle"))
		closeBench()
		if err != nil {
			return err
		}
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return err
		}
	}
	return nil
}

func noteCalls(c *gladestandin.PlatformCounts) float64 {
	return float64(c.Kinds[gladenote.KindNotes] + c.Kinds[gladenote.KindSnapshots])
}

func (b *notesBench) measureCalls(ctx context.Context, idle time.Duration) (*NoteCallsResult, error) {
	const notes = 16
	before := b.Platform.Counts()
	time.Sleep(idle)
	idleCounts := b.Platform.Counts()
	for i := range notes {
		if err := b.submit(ctx, i, organisationNote(i)); err != nil {
			return nil, err
		}
	}
	if err := b.waitInForce(ctx, 1); err != nil {
		return nil, err
	}
	after := b.Platform.Counts()
	return &NoteCallsResult{
		VMs:              len(b.VMs),
		Watches:          idleCounts.Watches,
		IdlePerSecond:    (noteCalls(&idleCounts) - noteCalls(&before)) / idle.Seconds(),
		AllIdlePerSecond: float64(idleCounts.Calls()-before.Calls()) / idle.Seconds(),
		PerNote:          (noteCalls(&after) - noteCalls(&idleCounts)) / notes,
	}, nil
}

func measureBulk(ctx context.Context, c *cli.Command) error {
	b, closeBench, err := newNotesBench(ctx, 15)
	if err != nil {
		return err
	}
	defer closeBench()
	r := &BulkResult{Organisations: c.Int("organisations")}
	started := time.Now()
	for first := 0; first < r.Organisations; first += bulkNoteOrganisations {
		var n gladenote.Note
		for i := first; i < min(first+bulkNoteOrganisations, r.Organisations); i++ {
			n.Added.Organisations = append(n.Added.Organisations, organisationNote(i).Added.Organisations...)
		}
		if err := b.submit(ctx, 0, n); err != nil {
			return err
		}
		r.Notes++
	}
	r.SubmitSeconds = time.Since(started).Seconds()
	if err := b.waitInForce(ctx, 7); err != nil {
		return err
	}
	r.InForceSeconds = time.Since(started).Seconds()
	if err := b.forceSnapshot(ctx); err != nil {
		return err
	}
	r.Objects, r.Bytes, r.Largest = b.storedNotes()
	started = time.Now()
	if err := b.replaceVM(ctx); err != nil {
		return err
	}
	r.NewVMSeconds = time.Since(started).Seconds()
	return json.NewEncoder(os.Stdout).Encode(r)
}

// forceSnapshot submits small notes until the platform holds a snapshot.
func (b *notesBench) forceSnapshot(ctx context.Context) error {
	for i := 0; len(b.Platform.Objects(gladenote.KindSnapshots)) == 0; i++ {
		if err := b.submit(ctx, i, adapterNote(i)); err != nil {
			return err
		}
		time.Sleep(notePollInterval)
	}
	return nil
}

// storedNotes counts the objects with notes and snapshots. It returns their number, their total size and the size of the
// largest, in bytes.
func (b *notesBench) storedNotes() (objects, total, largest int) {
	for _, kind := range []string{gladenote.KindNotes, gladenote.KindSnapshots} {
		for _, o := range b.Platform.Objects(kind) {
			objects++
			total += len(o.Value)
			largest = max(largest, len(o.Value))
		}
	}
	return objects, total, largest
}

// replaceVM replaces a VM and waits until the new one is ready.
func (b *notesBench) replaceVM(ctx context.Context) error {
	v, err := b.ReplaceVM("giza")
	if err != nil {
		return err
	}
	client := v.Client()
	defer client.CloseIdleConnections()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, v.URL()+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := gladestatus.Do(client, request)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
		time.Sleep(notePollInterval)
	}
}
