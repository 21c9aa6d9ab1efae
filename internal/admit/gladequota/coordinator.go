package gladequota

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"
)

// HandleQuestion answers a question that was sent to this VM as the coordinator.
func (p *Pool) HandleQuestion(q Question) Answer {
	if p.config.Coordinator(q.Server) != p.config.VM {
		return Answer{Declined: true}
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.merge(q.Server, importReport(q.Report, now), "question", now)
	b := p.budgets[q.Server.ID]
	if b == nil { // the end of a limit that this VM did not know, as others may still do
		r := importReport(q.Report, now)
		b = &budget{server: q.Server, report: r, bucket: newBucket(now), announced: report{named: true}}
		p.budgets[q.Server.ID] = b
	}
	answer := Answer{Report: b.export(now)}
	switch {
	case !b.named:
		answer.Granted = q.Asks
	case !q.Asks:
		b.bucket.charge(float64(q.Sent), b.perSecond, now)
	default:
		granted, wait := b.bucket.take(q.Request, b.perSecond, now)
		answer.Granted = granted
		if !granted {
			answer.Wait = clampWait(wait)
			if q.Request.Final {
				answer.RetryAfter = b.bucket.promise(wait, b.perSecond, now, p.config.Random())
			}
		}
	}
	return answer
}

// HandleNotice records a change that a coordinator announced.
func (p *Pool) HandleNotice(n Notice) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.merge(n.Server, importReport(n.Report, now), "notice", now)
}

// Import records the limits that coordinators publish, of servers of which this VM knows nothing yet.
func (p *Pool) Import(published []Notice) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range published {
		if p.budgets[n.Server.ID] == nil {
			p.merge(n.Server, importReport(n.Report, now), "published", now)
		}
	}
}

// publishedAge is the age of published limits, so that what any answer says is newer.
const publishedAge = time.Hour

// Published returns the limits of the servers that this VM coordinates, in the order of their identifiers.
func (p *Pool) Published() []Notice {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var published []Notice
	for _, b := range p.budgets {
		if b.named && p.config.Coordinator(b.server) == p.config.VM {
			r := b.export(now)
			r.SentAge, r.ReceivedAge = publishedAge, publishedAge // true ages would change the fact all the time
			published = append(published, Notice{Server: b.server, Report: r})
		}
	}
	slices.SortFunc(published, func(a, b Notice) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return published
}

// due returns what has to be done now for the limits that this VM knows: telling the others of changes, and checks.
func (p *Pool) due(now time.Time) []func(context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var tasks []func(context.Context)
	for id, b := range p.budgets {
		if !p.config.Known(id) || !b.named && now.Sub(b.receivedAt) > endedRetention {
			delete(p.budgets, id)
			delete(p.unusable, id)
			continue
		}
		s := b.server
		if p.config.Coordinator(s) != p.config.VM {
			if b.unreported && !now.Before(b.silentUntil) {
				b.unreported = false
				q := Question{Server: s, Report: b.export(now)}
				tasks = append(tasks, func(ctx context.Context) { p.tell(ctx, q) })
			}
			continue
		}
		b.unreported = false
		if b.changedSince(&b.announced) {
			b.announced = b.report
			n := Notice{Server: s, Report: b.export(now)}
			p.count("limits.announced")
			tasks = append(tasks, func(context.Context) { p.config.Announce(n) })
		}
		// A VM tells what is new in the answer to a request that was granted to it.
		if last := latest(latest(b.receivedAt, b.checkedAt), b.bucket.grantedAt); b.named && p.config.Check != nil && now.Sub(last) > checkAfter {
			b.checkedAt = now
			b.bucket.charge(1, b.perSecond, now)
			p.count("limits.checks")
			tasks = append(tasks, func(ctx context.Context) { p.config.Check(ctx, s) })
		}
	}
	return tasks
}

// tell reports what this VM observed to the coordinator, again if it does not answer.
func (p *Pool) tell(ctx context.Context, q Question) {
	if _, coordinator := p.ask(ctx, q, false); coordinator != "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.budgets[q.Server.ID]; b != nil {
		b.unreported = true
	}
}

// changedSince reports whether the other VMs, who were told o, have to be told this report.
func (r *report) changedSince(o *report) bool {
	if r.named != o.named {
		return true
	}
	return r.named && (r.started != o.started || math.Abs(r.perSecond-o.perSecond) > announcedChange*o.perSecond)
}

// State is the state of one server's limit at this VM.
type State struct {
	Server    Server  `json:"server"`
	Named     bool    `json:"named"`
	PerSecond float64 `json:"perSecond"`
	// ReceivedMs is the age of the last report in milliseconds.
	ReceivedMs int64 `json:"receivedMs"`
	// Coordinator is the VM that grants the requests, empty for none.
	Coordinator string `json:"coordinator"`
	// Silent reports that it did not answer.
	Silent bool `json:"silent,omitempty"`
	// Tokens is the number of requests that can be granted now, at the coordinator only.
	Tokens float64 `json:"tokens,omitempty"`
	// OwnPerSecond is what this VM sends without a coordinator, in requests per second.
	OwnPerSecond float64 `json:"ownPerSecond"`
}

// States returns the state of all limits at this VM, in the order of the servers' identifiers.
func (p *Pool) States() []State {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var states []State
	for _, b := range p.budgets {
		s := State{
			Server: b.server, Named: b.named, PerSecond: b.perSecond, ReceivedMs: now.Sub(b.receivedAt).Milliseconds(),
			Coordinator: p.config.Coordinator(b.server), Silent: now.Before(b.silentUntil),
			OwnPerSecond: fallbackShare * b.perSecond / float64(max(1, p.config.VMs())),
		}
		if s.Coordinator == p.config.VM {
			b.bucket.fill(b.perSecond, now)
			s.Tokens = b.bucket.tokens
		}
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return states
}
