package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladeentry"
	"github.com/eelgrassglade/eelgrassglade/gladerecord"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

const (
	demoTokens          = 120
	demoKillAfterTokens = 50
	demoSeed            = 7
	demoPrompt          = "summarise the return manifest of lab seven"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:   "demo",
		Usage:  "stream a generation, kill its engine midway and show how it resumes",
		Action: demo,
	}
}

func demo(ctx context.Context, _ *cli.Command) error {
	k, closeCluster, err := gladecluster.New(gladecluster.Config{
		FailureDomains: []string{"shubra", "helwan", "giza"},
		Services:       1,
	})
	if err != nil {
		return err
	}
	defer closeCluster()
	fmt.Printf("%d VMs, %d engines, %d plain services in 3 failure domains are ready\n",
		len(k.VMs), len(k.Engines), len(k.Services))
	r, err := streamAndKillEngine(ctx, k)
	if err != nil {
		return err
	}
	if err := r.verify(); err != nil {
		return err
	}
	fmt.Printf("engine killed after token %d; output resumed after %s; %d tokens, none missing or repeated\n",
		demoKillAfterTokens, r.resumeLatency.Round(100*time.Microsecond), len(r.texts))
	if err := printExplanation(ctx, k.VMs[0], r.request); err != nil {
		return err
	}
	return postTwice(ctx, k)
}

// postTwice sends one credit posting to two VMs concurrently and checks that it ran once.
func postTwice(ctx context.Context, k *gladecluster.Cluster) error {
	caller, closeCaller := k.Caller()
	defer closeCaller()
	var tasks sync.WaitGroup
	answers := make([]*gladecaller.CallAnswer, 2)
	for i := range answers {
		tasks.Go(func() {
			answers[i] = caller.Call(ctx, gladecaller.Call{
				Route: gladecluster.CreditsRoute, Body: "credit lab seven", Key: "credit-7", Entry: k.VMs[i].Name,
			})
		})
	}
	tasks.Wait()
	for _, a := range answers {
		if !a.Answered() {
			return eris.Errorf("credit posting: refusal %v, error %v", a.Refusal, a.Err)
		}
	}
	if n := k.RunCounter.Total(); n != 1 {
		return eris.Errorf("credit posting ran %d times, want 1", n)
	}
	fmt.Println("one credit posting sent to two VMs at once ran once; both returned its answer")
	return nil
}

// demoResult holds the output of the demo's generation.
type demoResult struct {
	request       string
	texts         []string
	resumeLatency time.Duration
}

// streamAndKillEngine streams a generation, kills its engine and reads the stream to its end.
func streamAndKillEngine(ctx context.Context, k *gladecluster.Cluster) (*demoResult, error) {
	body, err := json.Marshal(map[string]any{
		"model": gladecluster.ModelName, "prompt": demoPrompt, "max_tokens": demoTokens,
		"seed": demoSeed, "stream": true, "ignore_eos": true,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, k.VMs[0].URL()+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+gladecluster.APIKey)
	response, err := gladestatus.Do(k.VMs[0].Client(), request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("completion request: status %s", response.Status)
	}
	r := &demoResult{request: response.Header.Get(gladeentry.HeaderRequestID)}
	return r, r.read(response, k)
}

func (r *demoResult) read(response *http.Response, k *gladecluster.Cluster) error {
	var killed time.Time
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var a gladeentry.Answer
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			return err
		}
		if len(a.Choices) == 0 || a.Choices[0].Text == nil || *a.Choices[0].Text == "" {
			continue
		}
		r.texts = append(r.texts, *a.Choices[0].Text)
		switch len(r.texts) {
		case demoKillAfterTokens:
			killBusyEngines(k)
			killed = time.Now()
		case demoKillAfterTokens + 1:
			r.resumeLatency = time.Since(killed)
		}
	}
	return scanner.Err()
}

func killBusyEngines(k *gladecluster.Cluster) {
	busy := slices.DeleteFunc(k.LiveEngines(), func(e *gladecluster.Server) bool { return e.Engine.ActiveStreams() == 0 })
	for _, e := range busy {
		e.Kill()
	}
}

// verify checks that every token was delivered once and in order.
func (r *demoResult) verify() error {
	sequence := gladestandin.NewSequence(gladecluster.ModelName+"@1", demoSeed, gladestandin.Tokenize(demoPrompt))
	for i, text := range r.texts {
		id, _ := sequence.Next()
		if want := gladestandin.TokenText(id); text != want {
			return eris.Errorf("token %d is %q, want %q", i, text, want)
		}
	}
	if len(r.texts) != demoTokens {
		return eris.Errorf("%d tokens, want %d", len(r.texts), demoTokens)
	}
	return nil
}

func printExplanation(ctx context.Context, v *gladecluster.VM, id string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Daemon.OperatorsAddress()+"/explain/"+id, nil)
	if err != nil {
		return err
	}
	response, err := gladestatus.Do(http.DefaultClient, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var record gladerecord.Record
	if err := json.NewDecoder(response.Body).Decode(&record); err != nil {
		return err
	}
	fmt.Println("explain", record.Request)
	for _, e := range record.Entries {
		fmt.Printf("  %s %s %s: %s\n", e.At.Format("15:04:05.000"), e.Component, e.Event, e.Reason)
	}
	return nil
}
