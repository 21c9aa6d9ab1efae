package gladereplay

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
)

const (
	randomSpanMillis   = 20_000
	randomMaxTokens    = 800
	randomRequestLimit = gladeconfig.Duration(3 * time.Minute)
)

// RandomTrace returns a random trace without expected outcomes, so that a run checks only the invariants.
func RandomTrace(t *rapid.T) *Trace {
	d := traceGenerator{t: t}
	d.trace.Header = Header{
		Trace: Version, Name: "random", Workload: NileFixer, Limit: randomRequestLimit,
		Cluster: ClusterShape{
			FailureDomains: []string{"shubra", "helwan", "giza"}[:d.intBetween("domains", 1, 3)],
			VMs:            d.intBetween("vms", 2, 3),
			Engines:        d.intBetween("engines", 2, 4),
			Services:       d.intBetween("services", 1, 2),
			TokenTime:      gladeconfig.Duration(10 * time.Millisecond),
		},
	}
	for i := range d.intBetween("generations", 1, 8) {
		d.generate(i)
	}
	for i := range d.intBetween("calls", 0, 6) {
		d.call(i)
	}
	for range d.intBetween("faults", 1, 8) {
		d.fault()
	}
	for i := range d.intBetween("notes", 0, 2) {
		d.note(int64(i + 2))
	}
	if d.intBetween("stops", 0, 3) == 0 {
		d.add(Event{Stop: &Stop{Rolling: true}})
	}
	return &d.trace
}

type traceGenerator struct {
	t     *rapid.T
	trace Trace
}

func (d *traceGenerator) intBetween(label string, low, high int) int {
	return rapid.IntRange(low, high).Draw(d.t, label)
}

func (d *traceGenerator) add(e Event) {
	e.At = gladeconfig.Duration(d.intBetween("atMillis", 0, randomSpanMillis)) * gladeconfig.Duration(time.Millisecond)
	i := 0
	for i < len(d.trace.Events) && d.trace.Events[i].At <= e.At {
		i++
	}
	d.trace.Events = append(d.trace.Events[:i], append([]Event{e}, d.trace.Events[i:]...)...)
}

func (d *traceGenerator) domain() string {
	return rapid.SampledFrom(d.trace.Header.Cluster.FailureDomains).Draw(d.t, "domain")
}

func (d *traceGenerator) vm() string {
	return fmt.Sprintf("%s-vm-%d", d.domain(), d.intBetween("vm", 1, d.trace.Header.Cluster.VMs))
}

func (d *traceGenerator) engine() string {
	return fmt.Sprintf("%s-engine-%d", d.domain(), d.intBetween("engine", 1, d.trace.Header.Cluster.Engines))
}

func (d *traceGenerator) service() string {
	return fmt.Sprintf("%s-service-%d", d.domain(), d.intBetween("service", 1, d.trace.Header.Cluster.Services))
}

func (d *traceGenerator) duration() gladeconfig.Duration {
	return gladeconfig.Duration(d.intBetween("forMillis", 100, randomSpanMillis)) * gladeconfig.Duration(time.Millisecond)
}

func (d *traceGenerator) generate(i int) {
	g := &Generate{ID: fmt.Sprintf("generation-%d", i), Request: gladecaller.Request{
		Prompt:    fmt.Sprintf("summarise manifest number %d", i),
		MaxTokens: d.intBetween("tokens", 1, randomMaxTokens),
		Seed:      int64(i),
		Key:       fmt.Sprintf("key-%d", i),
		Stream:    d.intBetween("stream", 0, 3) > 0,
		Chat:      d.intBetween("chat", 0, 3) == 0,
		Entry:     d.vm(),
		EOS:       d.intBetween("eos", 0, 1) == 0,
	}}
	if g.Stream && d.intBetween("drops", 0, 3) == 0 {
		g.DropAfter = d.intBetween("dropAfter", 1, randomMaxTokens)
	}
	d.add(Event{Generate: g})
}

func (d *traceGenerator) call(i int) {
	route := rapid.SampledFrom([]string{"post-credit", "book-pickup", "drum-status"}).Draw(d.t, "route")
	key := fmt.Sprintf("credit-%d", i)
	body := "body of " + key
	for n := range d.intBetween("copies", 1, 3) {
		c := gladecaller.Call{Route: route, Body: body, Entry: d.vm(), Sends: d.intBetween("sends", 1, 3)}
		if !idempotentRoutes[route] {
			c.Key = key
		}
		d.add(Event{Call: &Call{ID: fmt.Sprintf("call-%d-%d", i, n), Call: c}})
	}
}

func (d *traceGenerator) fault() {
	kinds := []FaultKind{
		KillEngine, RestartEngine, KillVM, ReplaceVM, Pause, CutFailureDomains, CutPlatform, LeaveBackend,
		EngineFault, ServiceFault, PlatformFault, KillFailureDomain,
	}
	f := &Fault{Kind: rapid.SampledFrom(kinds).Draw(d.t, "kind"), For: d.duration()}
	switch f.Kind {
	case KillEngine, RestartEngine, LeaveBackend:
		f.Target = d.engine()
	case KillVM:
		f.Target = d.vm()
	case Pause:
		f.Target = rapid.SampledFrom([]string{d.vm(), d.engine(), d.service()}).Draw(d.t, "paused")
	case EngineFault:
		f.Target, f.Engine = d.engine(), d.engineFaults()
	case ServiceFault:
		f.Target, f.Service = d.service(), d.serviceFault()
	case PlatformFault:
		f.Platform = d.platformFaults()
	case CutFailureDomains:
		f.Target, f.Other = d.domain(), d.domain()
		if f.Target == f.Other {
			return
		}
	default:
		f.Target = d.domain()
	}
	d.add(Event{Fault: f})
}

func (d *traceGenerator) engineFaults() *gladestandin.Faults {
	n := d.intBetween("atToken", 1, 100)
	return rapid.SampledFrom([]*gladestandin.Faults{
		{DieAt: n}, {StallAt: n}, {Stall: true}, {Slow: 20}, {RepeatAt: n}, {SkipAt: n}, {CrossAt: n}, {LateAt: n},
		{BreakAt: n}, {IgnoreCancel: true}, {NoEnd: true}, {NoDone: true}, {Mute: true},
	}).Draw(d.t, "engineFault")
}

func (d *traceGenerator) serviceFault() *gladestandin.ServiceFault {
	return rapid.SampledFrom([]*gladestandin.ServiceFault{
		{DieBefore: true}, {DieDuring: true}, {DieAfter: true}, {LoseAnswer: true}, {Late: 5 * time.Second},
		{Slow: time.Second}, {EchoOf: "someone-else"}, {Refuse: true}, {RefuseQuietly: true},
	}).Draw(d.t, "serviceFault")
}

func (d *traceGenerator) platformFaults() *gladestandin.PlatformFaults {
	return rapid.SampledFrom([]*gladestandin.PlatformFaults{
		{Down: true}, {Delay: time.Second}, {LoseAnswers: 3}, {StaleLists: true}, {SkipEvents: 2},
	}).Draw(d.t, "platformFault")
}

func (d *traceGenerator) note(number int64) {
	version := fmt.Sprint(number)
	d.add(Event{Note: &gladenote.Note{
		Number: number, Base: number - 1, Author: "operator", Title: "add version " + version,
		Added: gladenote.Content{Versions: []gladenote.Version{{
			Model: "glade-llm", Name: version, Weights: "weights://glade-llm/" + version,
		}}},
	}})
}
