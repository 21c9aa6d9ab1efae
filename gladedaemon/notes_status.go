package gladedaemon

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
)

const (
	statusCallTimeout = 500 * time.Millisecond
	maxStatusAttempts = 3
	maxStatusCalls    = 16
)

// holderReport is a VM's report of the newest note it holds and, if it sends orders, of the engines.
type holderReport struct {
	Number  int64                   `json:"number"`
	Engines *gladenote.EngineReport `json:"engines,omitempty"`
}

// domainQuery asks a VM for the status of its failure domain.
type domainQuery struct {
	Number int64 `json:"number"`
}

// domainContacts holds the time of the last contact with each failure domain.
type domainContacts struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (c *domainContacts) record(domain string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == nil {
		c.at = map[string]time.Time{}
	}
	if at.After(c.at[domain]) {
		c.at[domain] = at
	}
}

func (c *domainContacts) last(domain string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at[domain]
}

func (c *domainContacts) names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.at {
		names = append(names, name)
	}
	return names
}

// Status returns the progress of a note in each known failure domain.
func (n *Notes) Status(ctx context.Context, number int64) gladenote.Status {
	s := gladenote.Status{Number: number, Newest: n.State().Number}
	listCtx, cancel := context.WithTimeout(ctx, statusCallTimeout)
	list, listErr := n.roster.VMs(listCtx)
	cancel()
	domains := map[string]bool{n.failureDomain: true}
	for _, m := range n.node.Members() {
		n.contacts.record(m.FailureDomain, m.Heard)
	}
	for _, name := range n.contacts.names() {
		domains[name] = true
	}
	for _, e := range list.Entries {
		domains[e.FailureDomain] = true
	}
	for _, b := range list.Backends {
		domains[b.FailureDomain] = true
	}
	names := make([]string, 0, len(domains))
	for name := range domains {
		names = append(names, name)
	}
	slices.Sort(names)
	s.Domains = make([]gladenote.DomainStatus, len(names))
	var tasks sync.WaitGroup
	for i, name := range names {
		tasks.Go(func() { s.Domains[i] = n.domainStatus(ctx, name, number) })
	}
	tasks.Wait()
	if listErr == nil {
		n.addUnreachable(&s, unreachableVMs(n.node, list.Entries))
	}
	s.InForce = number <= s.Newest && !slices.ContainsFunc(s.Domains, func(d gladenote.DomainStatus) bool { return !d.InForce })
	return s
}

// domainStatus queries VMs of the failure domain for its status, the one with the latest contact first. If none
// answers, it returns the reason and the time since the last contact.
func (n *Notes) domainStatus(ctx context.Context, failureDomain string, number int64) gladenote.DomainStatus {
	if failureDomain == n.failureDomain {
		d, _ := n.handleDomain(ctx, "", domainQuery{Number: number})
		return d
	}
	members := slices.DeleteFunc(n.node.Members(), func(m gladepeer.Member) bool { return m.FailureDomain != failureDomain })
	slices.SortFunc(members, func(a, b gladepeer.Member) int { return b.Heard.Compare(a.Heard) })
	reason := "no live VM of this failure domain is known"
	for _, m := range members[:min(maxStatusAttempts, len(members))] {
		call, cancel := context.WithTimeout(ctx, 2*statusCallTimeout)
		d, err := gladepeer.Call[domainQuery, gladenote.DomainStatus](call, n.node, m.Name, methodNoteDomain, domainQuery{Number: number})
		cancel()
		if err == nil {
			n.contacts.record(failureDomain, time.Now())
			return d
		}
		reason = "can't be heard: " + err.Error()
	}
	d := gladenote.DomainStatus{FailureDomain: failureDomain, VMs: len(members), Reasons: []string{reason}, LastHeard: n.contacts.last(failureDomain)}
	if !d.LastHeard.IsZero() {
		d.AgeMillis = time.Since(d.LastHeard).Milliseconds()
	}
	return d
}

// handleDomain returns the status of this VM's own failure domain.
func (n *Notes) handleDomain(ctx context.Context, _ string, q domainQuery) (gladenote.DomainStatus, error) {
	d := gladenote.DomainStatus{FailureDomain: n.failureDomain}
	members := slices.DeleteFunc(n.node.Members(), func(m gladepeer.Member) bool { return m.FailureDomain != n.failureDomain })
	answers := n.queryHolders(ctx, members, q.Number)
	own, _ := n.handleHolder(ctx, "", struct{}{})
	answers[n.node.Self().Name] = own
	for name, a := range answers {
		d.VMs++
		if a.Number >= q.Number {
			d.Applied++
		} else {
			d.Lagging = append(d.Lagging, name)
		}
		if a.Engines != nil && (d.Engines == nil || a.Engines.FencingNumber > d.Engines.FencingNumber) {
			d.Engines = a.Engines
		}
	}
	slices.Sort(d.Lagging)
	if len(d.Lagging) > 0 {
		d.Reasons = append(d.Reasons, fmt.Sprintf("%d of %d VMs do not hold the note", len(d.Lagging), d.VMs))
	}
	if reason := engineReason(d.Engines, q.Number); reason != "" {
		d.Reasons = append(d.Reasons, reason)
	}
	d.InForce = len(d.Reasons) == 0
	return d, nil
}

func engineReason(r *gladenote.EngineReport, number int64) string {
	switch {
	case r == nil:
		return "no order-giver has reported on the engines"
	case r.Number < number:
		return fmt.Sprintf("the engines were last compared with note %d", r.Number)
	case !r.Converged(number):
		return fmt.Sprintf("%d of %d targets are not ready on engines", r.Wanted-r.Ready, r.Wanted)
	}
	return ""
}

// queryHolders returns the report of each member. It calls only those members whose published facts show that they lack
// the note or that its targets are not ready on engines.
func (n *Notes) queryHolders(ctx context.Context, members []gladepeer.Member, number int64) map[string]holderReport {
	answers := make(map[string]holderReport, len(members)+1)
	var mu sync.Mutex
	var tasks sync.WaitGroup
	slots := make(chan struct{}, maxStatusCalls)
	for _, m := range members {
		a := holderReport{
			Number:  fact[noteFact](&m, factNote).Number,
			Engines: fact[*gladenote.EngineReport](&m, factEngines),
		}
		mu.Lock()
		answers[m.Name] = a
		mu.Unlock()
		if a.Number >= number && (a.Engines == nil || a.Engines.Converged(number)) {
			continue
		}
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			call, cancel := context.WithTimeout(ctx, statusCallTimeout)
			defer cancel()
			fresh, err := gladepeer.Call[struct{}, holderReport](call, n.node, m.Name, methodNoteHolder, struct{}{})
			if err == nil {
				mu.Lock()
				answers[m.Name] = fresh
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	return answers
}

func (n *Notes) handleHolder(context.Context, string, struct{}) (holderReport, error) {
	return holderReport{Number: n.State().Number, Engines: n.engineReport()}, nil
}

// addUnreachable marks the failure domains in which the platform lists VMs that are not live members.
func (n *Notes) addUnreachable(s *gladenote.Status, names map[string][]string) {
	for i := range s.Domains {
		d := &s.Domains[i]
		if silent := names[d.FailureDomain]; len(silent) > 0 {
			slices.SortFunc(silent, cmp.Compare[string])
			d.InForce = false
			d.Reasons = append(d.Reasons, fmt.Sprintf("the platform lists VMs that are not heard: %v", silent))
		}
	}
}
