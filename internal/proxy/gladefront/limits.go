package gladefront

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladequota"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

const (
	// limitMethod is the method of a call to the coordinator of a server's limit.
	limitMethod = "limit"
	// limitNotice is the kind of notice that reports a changed limit to the other VMs.
	limitNotice = "limit"
	// limitFact is the fact in which a coordinator publishes limits for VMs that start later.
	limitFact = "limits"
	// maxPublishedLimits keeps the fact below its maximum size.
	maxPublishedLimits = 64
	// domainViewAge is how long a view of the members of the failure domains is used.
	domainViewAge = 100 * time.Millisecond
)

// startLimits starts what keeps the limits that backend servers name. It must come before the first call of another VM.
func (f *Front) startLimits() {
	view := &domainView{}
	pool, closePool := gladequota.New(gladequota.Config{
		VM:          f.config.Settings.VM,
		Coordinator: func(s gladequota.Server) string { return view.refresh(f).coordinator(s) },
		VMs:         func() int { return view.refresh(f).vms },
		Ask: func(ctx context.Context, vm string, q gladequota.Question) (gladequota.Answer, error) {
			return gladepeer.Call[gladequota.Question, gladequota.Answer](ctx, f.node, vm, limitMethod, q)
		},
		Announce: f.announceLimit, Check: f.checkLimit,
		Known:    func(id string) bool { return f.fleet.Usable(id, time.Now()) },
		OnChange: func(id string, limited bool) { f.fleet.SetLimited(id, limited, time.Now()) },
		Log:      f.log.Named("limits"), Metrics: f.metrics,
	})
	f.limits = pool
	f.cleanup(closePool)
	gladepeer.Handle(f.node, limitMethod, func(_ context.Context, _ string, q gladequota.Question) (gladequota.Answer, error) {
		return pool.HandleQuestion(q), nil
	})
	gladepeer.HandleNotice(f.node, limitNotice, func(_ string, n gladequota.Notice) { pool.HandleNotice(n) })
}

func (f *Front) announceLimit(n gladequota.Notice) {
	if err := gladepeer.Notify(f.node, limitNotice, n); err != nil {
		f.log.Warn("Limit not reported to the other VMs.", "server", n.Server.ID, "reason", err)
	}
}

// checkLimit asks a server for its limit by a health check.
func (f *Front) checkLimit(ctx context.Context, s gladequota.Server) {
	server, ok := f.fleet.Server(s.ID)
	release := f.release.Load()
	path := ""
	if release != nil {
		path = release.Services[server.Service].HealthPath
	}
	if !ok || path == "" || f.fleet.Unavailable(s.ID, time.Now()) || !f.fleet.BackoffUntil(s.ID, time.Now()).IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if instance, err := f.engine.Instance(ctx, server.Address, path); err != nil {
		f.log.Info("Limit not checked.", "server", s.ID, "instance", instance, "reason", err)
	}
}

// onAnswer records what a backend server says in an answer: its limit, that it leaves, and a backoff.
func (f *Front) onAnswer(h gladesend.AnswerHead) {
	id := h.Server
	if h.Status == http.StatusMisdirectedRequest {
		id = h.Info.Instance
	}
	server, ok := f.fleet.Server(id)
	if !ok {
		return
	}
	s := gladequota.Server{ID: id, FailureDomain: server.FailureDomain, Started: server.Started}
	if id == h.Server {
		s.Started = h.Started
	} else {
		f.limits.Sent(s) // the request reached a server for which it was not meant
	}
	f.fleet.RecordLoad(id, gladefleet.LoadReport(h.Info.Load), h.At)
	f.limits.Observe(s, h.Info.Limits, h.SentAt, h.At)
	if h.Status == http.StatusServiceUnavailable && len(h.Info.RetryAfter) > 0 {
		f.onRetryAfter(server, s.Started, h)
	}
	if h.Info.Leaving && f.fleet.MarkLeaving(id, s.Started, h.At) {
		f.countCall("servers.saidLeaving")
		f.log.Info("Backend server says that it leaves; it gets new requests only while there is no other.", "server", id, "domain", server.FailureDomain,
			"started", s.Started, "status", h.Status, "sentMs", time.Since(h.SentAt).Milliseconds())
	}
}

// onRetryAfter records the backoff that a server asks for.
func (f *Front) onRetryAfter(s gladefleet.Server, started int64, h gladesend.AnswerHead) {
	lasts, err := gladeapi.ParseRetryAfter(h.Info.RetryAfter)
	if err != nil {
		f.log.Info("Retry-After of a backend server is ignored.", "server", s.ID, "reason", err)
		return
	}
	if f.fleet.BackOff(s.ID, started, lasts, h.At) {
		f.countCall("servers.backoff")
		f.log.Info("Backend server asks for a backoff.", "server", s.ID, "domain", s.FailureDomain, "forMs", lasts.Milliseconds(),
			"sentMs", time.Since(h.SentAt).Milliseconds())
	}
}

// onEngineAnswer records the limit that a backend server names in the answer to a call of this VM's own.
func (f *Front) onEngineAnswer(address string, h gladesend.AnswerHead) {
	server, ok := f.fleet.ServerAt(address)
	if !ok || h.Info.Instance != "" && h.Info.Instance != server.ID {
		return
	}
	h.Server, h.Started = server.ID, server.Started
	f.onAnswer(h)
}

// shareLimits imports the limits that other VMs publish, and publishes those that this VM coordinates.
func (f *Front) shareLimits(members []gladepeer.Member) error {
	err := gladepeer.EachFact(members, limitFact, "limits", f.limits.Import)
	published := f.limits.Published()
	return errors.Join(err, gladepeer.PublishValues(f.node, limitFact, published[:min(len(published), maxPublishedLimits)]))
}

// limitGauges sets the gauges of limits.
func (f *Front) limitGauges(gauge func(name string, v int64)) {
	named, coordinated := 0, 0
	for _, s := range f.limits.States() {
		if s.Named {
			named++
			if s.Coordinator == f.config.Settings.VM {
				coordinated++
			}
		}
	}
	gauge("limits.named", int64(named))
	gauge("limits.coordinated", int64(coordinated))
}

// domainView is which VMs this VM sees in each failure domain.
type domainView struct {
	mu sync.Mutex
	at time.Time
	// live holds the names of the live VMs, by failure domain; "" holds all of them.
	live map[string][]string
	// silent holds the numbers of VMs that were lost a short time ago.
	silent map[string]int
	vms    int
}

// refresh returns a view that is not older than domainViewAge.
func (v *domainView) refresh(f *Front) *domainView {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if now.Sub(v.at) < domainViewAge {
		return &domainView{live: v.live, silent: v.silent, vms: v.vms}
	}
	s := f.config.Settings
	v.at, v.vms = now, 1
	v.live, v.silent = map[string][]string{"": {s.VM}, s.FailureDomain: {s.VM}}, map[string]int{}
	for _, m := range f.node.Members() {
		v.vms++
		if !m.Leaving {
			v.live[m.FailureDomain] = append(v.live[m.FailureDomain], m.Name)
			v.live[""] = append(v.live[""], m.Name)
		}
	}
	for _, m := range f.node.SilentMembers() {
		if !m.Leaving {
			v.vms++
			v.silent[m.FailureDomain]++
			v.silent[""]++
		}
	}
	return &domainView{live: v.live, silent: v.silent, vms: v.vms}
}

// coordinator returns the VM that grants the requests to a server: one of its failure domain, or of all VMs if it has none
// there. It returns none unless this VM sees more than half of them.
func (v *domainView) coordinator(s gladequota.Server) string {
	domain := s.FailureDomain
	if len(v.live[domain])+v.silent[domain] == 0 {
		domain = ""
	}
	if len(v.live[domain]) <= v.silent[domain] {
		return ""
	}
	var best string
	var weight uint64
	for _, vm := range v.live[domain] {
		if w := gladepeer.RendezvousWeight(s.ID, vm); best == "" || w > weight {
			best, weight = vm, w
		}
	}
	return best
}

// placementGauges sets the gauges of what the choice of servers knows of their load and of prompts.
func (f *Front) placementGauges(gauge func(name string, v int64), now time.Time) {
	gauge("servers.reporting", int64(f.fleet.Reporting(now)))
	p := f.fleet.PrefixState()
	gauge("prefix.parts", int64(p.Parts))
	for service, rate := range p.HeldHits {
		gauge("prefix.heldHitPercent."+service, int64(100*rate))
	}
	for service, rate := range p.HashHits {
		gauge("prefix.hashHitPercent."+service, int64(100*rate))
	}
}
