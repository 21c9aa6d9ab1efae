package gladedecider

import (
	"bytes"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
)

const (
	// reportInterval is how often a VM sends its evidence on a pending order.
	reportInterval = 500 * time.Millisecond
	// reportRepeats is how often unchanged evidence is sent again, because a datagram may be lost.
	reportRepeats = 2
)

// Report is what one VM tells the decider of an order.
type Report struct {
	VM string `json:"vm"`
	// Start distinguishes the incarnations of a VM, and Sequence its reports.
	Start    int64  `json:"start"`
	Sequence int64  `json:"sequence"`
	Service  string `json:"service"`
	Target   string `json:"target"`
	// OldRuns is the number of the VM's runs on servers of other versions, OldRunsWithoutCopy of those that have no copy on a
	// server of the target.
	OldRuns            int                   `json:"oldRuns,omitempty"`
	OldRunsWithoutCopy int                   `json:"oldRunsWithoutCopy,omitempty"`
	Evidence           gladerollout.Evidence `json:"evidence"`
}

// Receive records the report of a VM, this one included, unless a later one is known.
func (d *Decider) Receive(r Report) {
	now := d.config.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.orders[r.Service]
	if o == nil || o.target != r.Target {
		return
	}
	old, known := o.reports[r.VM]
	if known && (r.Start < old.Start || r.Start == old.Start && r.Sequence <= old.Sequence) {
		return
	}
	o.reports[r.VM] = received{Report: r, at: now}
}

// collect returns what a decision on an order depends on. The caller holds d.mu.
func (d *Decider) collect(o *order, k Known, now time.Time) gladerollout.Input {
	in := gladerollout.Input{
		Rollout: k.Rollout, Elapsed: time.Duration(k.ElapsedMillis) * time.Millisecond, CanaryShare: d.config.CanaryShare,
		CanarySlack: d.config.CanarySlack, StoreCurrent: d.config.Reached() && !o.unsure && !now.Before(o.settledAt),
	}
	in.TargetServers, in.OldServers = d.config.Servers(o.service, o.target)
	for _, r := range o.reports {
		e := r.Evidence
		e.Age = now.Sub(r.at)
		in.Evidence = append(in.Evidence, e)
		if e.Age <= reportLife {
			in.OldRuns += r.OldRuns
			in.OldRunsWithoutCopy += r.OldRunsWithoutCopy
		}
	}
	o.input = in
	return in
}

// Status is what this VM knows of an order, for operators.
type Status struct {
	Service string `json:"service"`
	// Deciding reports that this VM decides. The rest is known to the decider, the reason also to the other candidates.
	Deciding           bool   `json:"deciding"`
	Reason             string `json:"reason,omitempty"`
	Reports            int    `json:"reports,omitempty"`
	OldRuns            int    `json:"oldRuns,omitempty"`
	OldRunsWithoutCopy int    `json:"oldRunsWithoutCopy,omitempty"`
	TargetServers      int    `json:"targetServers,omitempty"`
	OldServers         int    `json:"oldServers,omitempty"`
	// Requests holds the requests that began in the window of the reports, by version.
	Requests map[string]Requests `json:"requests,omitempty"`
}

// Requests counts the requests at the servers of a version.
type Requests struct {
	Begun  int `json:"begun"`
	Failed int `json:"failed"`
}

// requests adds up the requests of all VMs by version.
func requests(evidence []gladerollout.Evidence) map[string]Requests {
	all := map[string]Requests{}
	for _, e := range evidence {
		for version := range e.Versions {
			begun, failed := e.Counts(version)
			all[version] = Requests{Begun: all[version].Begun + begun, Failed: all[version].Failed + failed}
		}
	}
	return all
}

// Statuses returns what this VM knows of the pending orders, by service.
func (d *Decider) Statuses() map[string]Status {
	rollouts, _ := d.config.Registry.Rollouts(d.config.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]Status{}
	for _, r := range rollouts {
		o := d.orders[r.Service]
		if o == nil {
			continue
		}
		all[r.Service] = Status{
			Service: r.Service, Deciding: d.owns(o, r), Reason: o.reason, Reports: len(o.reports), OldRuns: o.input.OldRuns,
			OldRunsWithoutCopy: o.input.OldRunsWithoutCopy, TargetServers: o.input.TargetServers, OldServers: o.input.OldServers,
			Requests: requests(o.input.Evidence),
		}
	}
	return all
}

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	VM       string
	Start    int64
	Registry *Registry
	// Evidence returns what this VM has seen of a service.
	Evidence func(service string) gladerollout.Evidence
	// Runs returns the numbers of this VM's runs on servers of other versions than a target, and of those without a copy on one
	// of the target.
	Runs func(service, target string) (runs, withoutCopy int)
	// Send sends a report to a VM, which may be this one.
	Send func(vm string, r Report)
	Now  func() time.Time
	Log  hclog.Logger
}

// sentReport is the report that was sent last on an order.
type sentReport struct {
	decider string
	raw     []byte
	repeats int
}

// StartReporter starts to send this VM's evidence to the deciders of pending orders, and returns the clean-up function.
func StartReporter(c ReporterConfig) func() {
	done := make(chan struct{})
	var task sync.WaitGroup
	sent := map[string]*sentReport{}
	sequence := int64(0)
	task.Go(func() {
		ticker := time.NewTicker(reportInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				c.report(sent, &sequence)
			}
		}
	})
	return func() {
		close(done)
		task.Wait()
	}
}

// report sends the evidence that has changed.
func (c *ReporterConfig) report(sent map[string]*sentReport, sequence *int64) {
	now := c.Now()
	known := c.Registry.States(now).Known
	for _, k := range known {
		r := k.Rollout
		if !r.Pending() || vacant(r) {
			continue
		}
		report := Report{VM: c.VM, Start: c.Start, Service: r.Service, Target: r.Target, Evidence: c.Evidence(r.Service)}
		report.OldRuns, report.OldRunsWithoutCopy = c.Runs(r.Service, r.Target)
		raw, err := json.Marshal(report)
		if err != nil {
			c.Log.Error("Evidence cannot be encoded.", "service", r.Service, "reason", err)
			continue
		}
		last := sent[r.Service]
		switch {
		case last == nil || last.decider != r.Status.Decider || !bytes.Equal(last.raw, raw):
			sent[r.Service] = &sentReport{decider: r.Status.Decider, raw: raw}
		case report.OldRuns == 0 && last.repeats >= reportRepeats:
			continue
		default:
			last.repeats++
		}
		*sequence++
		report.Sequence = *sequence
		c.Send(r.Status.Decider, report)
	}
	for service := range sent {
		if !slices.ContainsFunc(known, func(k Known) bool { return k.Rollout.Service == service && k.Rollout.Pending() }) {
			delete(sent, service)
		}
	}
}
