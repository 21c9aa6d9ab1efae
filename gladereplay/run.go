package gladereplay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

const (
	defaultRequestLimit = 10 * time.Minute
	sampleInterval      = 100 * time.Millisecond
	// warmUp is the delay before a trace begins, in which the VMs of a new cluster discover each other.
	warmUp = 5 * time.Second
)

// Config configures Run.
type Config struct {
	Log hclog.Logger
	// Cluster changes the cluster's configuration before it starts, if set.
	Cluster func(*gladecluster.Config)
}

// Report is the result of a run.
type Report struct {
	Name        string                 `json:"name"`
	Seed        uint64                 `json:"seed"`
	Generations map[string]*Generation `json:"generations,omitempty"`
	Calls       map[string]*CallResult `json:"calls,omitempty"`
	// Failures are broken invariants and unexpected outcomes; the trace passed if there are none.
	Failures []Failure `json:"failures,omitempty"`
	// Skipped are the faults that could not be started and the notes that no VM accepted, with the errors.
	Skipped []string     `json:"skipped,omitempty"`
	Work    EngineTotals `json:"work"`
	Took    string       `json:"took"`
}

// Failure is one broken invariant or one unexpected outcome.
type Failure struct {
	// Invariant is empty for an unexpected outcome.
	Invariant gladecheck.Invariant `json:"invariant,omitempty"`
	Request   string               `json:"request,omitempty"`
	Detail    string               `json:"detail"`
}

// Generation is the result of one generation.
type Generation struct {
	Outcome    Outcome              `json:"outcome"`
	Tokens     int                  `json:"tokens"`
	Tries      int                  `json:"tries"`
	Code       string               `json:"code,omitempty"`
	RequestID  string               `json:"requestId,omitempty"`
	FirstToken gladeconfig.Duration `json:"firstToken"`
	LongestGap gladeconfig.Duration `json:"longestGap"`
	Took       gladeconfig.Duration `json:"took"`

	request *Generate
	answer  *gladecaller.Answer
}

// CallResult is the result of one call to a plain service.
type CallResult struct {
	Outcome Outcome              `json:"outcome"`
	Tries   int                  `json:"tries"`
	Code    string               `json:"code,omitempty"`
	Ran     string               `json:"ran,omitempty"`
	Took    gladeconfig.Duration `json:"took"`

	request *Call
	answer  *gladecaller.CallAnswer
}

// EngineTotals sums the work of all engines and the tokens delivered to callers.
type EngineTotals struct {
	Requests      int `json:"requests"`
	PrefillTokens int `json:"prefillTokens"`
	Tokens        int `json:"tokens"`
	Delivered     int `json:"delivered"`
}

// replayer holds the state of a trace that is being replayed.
type replayer struct {
	trace   *Trace
	log     hclog.Logger
	cluster *gladecluster.Cluster
	caller  *gladecaller.Caller
	start   time.Time
	tasks   sync.WaitGroup

	mu           sync.Mutex
	report       Report
	faulted      map[string]bool
	stopped      map[string]bool
	leavingSince map[string]time.Time
	arrivals     []gladecluster.Arrival
	notes        map[string]*noteHistory
	submitted    map[int64]time.Time
}

// Run replays a trace and returns its report. An error means that the run could not start: broken invariants and
// unexpected outcomes are in the report.
func Run(ctx context.Context, t *Trace, c Config) (*Report, error) {
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	r := &replayer{
		trace:        t,
		log:          c.Log,
		faulted:      map[string]bool{},
		stopped:      map[string]bool{},
		leavingSince: map[string]time.Time{},
		notes:        map[string]*noteHistory{},
		submitted:    map[int64]time.Time{},
	}
	r.report = Report{
		Name: t.Header.Name, Seed: t.Header.Seed,
		Generations: map[string]*Generation{}, Calls: map[string]*CallResult{},
	}
	config, err := r.clusterConfig(c)
	if err != nil {
		return nil, err
	}
	cluster, closeCluster, err := gladecluster.New(config)
	if err != nil {
		return nil, eris.Wrap(err, "start the cluster")
	}
	defer closeCluster()
	r.cluster = cluster
	caller, closeCaller := cluster.Caller()
	defer closeCaller()
	r.caller = caller
	sleepUntil(ctx, time.Now().Add(warmUp))
	r.start = time.Now()
	r.replay(ctx)
	r.verifyAll()
	r.report.Took = time.Since(r.start).Round(time.Millisecond).String()
	return &r.report, nil
}

func (r *replayer) clusterConfig(c Config) (gladecluster.Config, error) {
	h := &r.trace.Header
	s := gladeconfig.Default()
	if _, err := toml.Decode(h.Cluster.Settings, &s); err != nil {
		return gladecluster.Config{}, eris.Wrap(err, "decode the settings of the trace")
	}
	config := gladecluster.Config{
		FailureDomains: h.Cluster.FailureDomains,
		VMs:            h.Cluster.VMs,
		Engines:        h.Cluster.Engines,
		Services:       h.Cluster.Services,
		Note:           h.Cluster.Note,
		Network:        &gladewire.Network{},
		Engine:         gladestandin.EngineConfig{TokenTime: h.Cluster.TokenTime.D()},
		Settings:       func(s *gladeconfig.Settings) { _, _ = toml.Decode(h.Cluster.Settings, s) },
		OnArrival:      r.recordArrival,
		Log:            c.Log,
		Check: &gladecheck.Checker{Log: c.Log, OnBroken: func(i gladecheck.Invariant, m string) {
			r.fail(i, "", "reported by a daemon: %s", m)
		}},
	}
	if w, ok := workloads[h.Workload]; ok {
		w.apply(&config)
	}
	if c.Cluster != nil {
		c.Cluster(&config)
	}
	return config, nil
}

func (r *replayer) replay(ctx context.Context) {
	sampling, stopSampling := context.WithCancel(ctx)
	var sampler sync.WaitGroup
	sampler.Go(func() { r.sampleNotes(sampling) })
	for i := range r.trace.Events {
		e := &r.trace.Events[i]
		if e.Expect != nil {
			continue
		}
		sleepUntil(ctx, r.start.Add(e.At.D()))
		r.startEvent(ctx, e)
	}
	r.tasks.Wait()
	r.awaitNotes(ctx)
	stopSampling()
	sampler.Wait()
}

func sleepUntil(ctx context.Context, at time.Time) {
	select {
	case <-time.After(time.Until(at)):
	case <-ctx.Done():
	}
}

func (r *replayer) startEvent(ctx context.Context, e *Event) {
	switch {
	case e.Generate != nil:
		r.tasks.Go(func() { r.generate(ctx, e.Generate) })
	case e.Call != nil:
		r.tasks.Go(func() { r.call(ctx, e.Call) })
	case e.Fault != nil:
		r.injectFault(ctx, e.Fault)
	case e.Note != nil:
		r.tasks.Go(func() { r.submitNote(ctx, e) })
	case e.Stop != nil:
		r.tasks.Go(func() { r.stopVMs(e.Stop) })
	}
}

func (r *replayer) generate(ctx context.Context, g *Generate) {
	ctx, cancel := context.WithTimeout(ctx, r.trace.limit())
	defer cancel()
	q := g.Request
	if q.Model == "" {
		q.Model = r.defaultModel()
	}
	a := r.caller.Generate(ctx, q)
	result := &Generation{
		Outcome: Whole, Tokens: len(a.Events), Tries: len(a.Tries), RequestID: a.RequestID(),
		FirstToken: gladeconfig.Duration(a.FirstToken()), LongestGap: gladeconfig.Duration(a.LongestGap()),
		Took: gladeconfig.Duration(a.Ended.Sub(a.Sent)), request: g, answer: a,
	}
	switch {
	case a.Refusal != nil:
		result.Outcome, result.Code = Refused, string(a.Refusal.Code)
	case a.Err != nil:
		result.Outcome = Cut
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Generations[g.ID] = result
}

func (r *replayer) call(ctx context.Context, c *Call) {
	ctx, cancel := context.WithTimeout(ctx, r.trace.limit())
	defer cancel()
	a := r.caller.Call(ctx, c.Call)
	result := &CallResult{
		Outcome: Whole, Tries: len(a.Tries), Took: gladeconfig.Duration(a.Ended.Sub(a.Sent)), request: c, answer: a,
	}
	switch {
	case a.Refusal != nil:
		result.Outcome, result.Code, result.Ran = Refused, string(a.Refusal.Code), string(a.Refusal.Ran)
	case a.Err != nil:
		result.Outcome = Cut
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Calls[c.ID] = result
}

func (r *replayer) injectFault(ctx context.Context, f *Fault) {
	spec := faults[f.Kind]
	r.log.Info("Fault.", "kind", f.Kind, "target", f.Target)
	if err := spec.begin(r, f); err != nil {
		r.mu.Lock()
		r.report.Skipped = append(r.report.Skipped, fmt.Sprintf("%s %s: %v", f.Kind, f.Target, err))
		r.mu.Unlock()
		return
	}
	if spec.end == nil {
		return
	}
	r.tasks.Go(func() {
		sleepUntil(ctx, time.Now().Add(f.For.D()))
		if err := spec.end(r, f); err != nil && !errors.Is(err, gladecluster.ErrUnknownHost) {
			r.fail("", "", "end of fault %s %s: %v", f.Kind, f.Target, err)
		}
	})
}

func (r *replayer) stopVMs(s *Stop) {
	vms := r.cluster.LiveVMs()
	for _, v := range vms {
		if !s.Rolling && v.Name != s.VM {
			continue
		}
		if s.Replace || s.Rolling {
			if _, err := r.cluster.ReplaceVM(v.FailureDomain); err != nil {
				r.fail("", "", "replacement of %s: %v", v.Name, err)
			}
		}
		r.mu.Lock()
		r.stopped[v.Name] = true
		r.mu.Unlock()
		v.Stop()
	}
}

func (r *replayer) markFaulted(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faulted[name] = true
}

// recordLeaving stores the time at which an incarnation of a backend server was first announced as leaving.
func (r *replayer) recordLeaving(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leavingSince[id].IsZero() {
		r.leavingSince[id] = time.Now()
	}
}

func (r *replayer) recordArrival(a gladecluster.Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

func (r *replayer) fail(i gladecheck.Invariant, request, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Failures = append(r.report.Failures, Failure{
		Invariant: i, Request: request, Detail: fmt.Sprintf(format, args...),
	})
}
