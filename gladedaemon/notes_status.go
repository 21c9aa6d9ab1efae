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
	statusTries       = 3
	statusCalls       = 16
)

// holderAnswer is what a VM says of itself when asked for a status.
type holderAnswer struct {
	Number  int64                   `json:"number"`
	Engines *gladenote.EngineReport `json:"engines,omitempty"`
}

// domainQuery asks a VM for the status of its failure domain.
type domainQuery struct {
	Number int64 `json:"number"`
}

// heardDomains remembers when each failure domain was last heard of.
type heardDomains struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (h *heardDomains) mark(domain string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = map[string]time.Time{}
	}
	if at.After(h.at[domain]) {
		h.at[domain] = at
	}
}

func (h *heardDomains) last(domain string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.at[domain]
}

func (h *heardDomains) names() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for name := range h.at {
		names = append(names, name)
	}
	return names
}

// Status returns how far a note is in force in each failure domain that is known.
func (n *Notes) Status(ctx context.Context, number int64) gladenote.Status {
	s := gladenote.Status{Number: number, Newest: n.State().Number}
	listCtx, cancel := context.WithTimeout(ctx, statusCallTimeout)
	list, listErr := n.roster.VMs(listCtx)
	cancel()
	domains := map[string]bool{n.domain: true}
	for _, m := range n.node.Members() {
		n.heard.mark(m.FailureDomain, m.Heard)
	}
	for _, name := range n.heard.names() {
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
		tasks.Go(func() { s.Domains[i] = n.askDomain(ctx, name, number) })
	}
	tasks.Wait()
	if listErr == nil {
		n.addUnheard(&s, unheard(n.node, list.Entries))
	}
	s.InForce = number <= s.Newest && !slices.ContainsFunc(s.Domains, func(d gladenote.DomainStatus) bool { return !d.InForce })
	return s
}

// askDomain lets a VM of the failure domain answer, and tells the reason and age if none does.
func (n *Notes) askDomain(ctx context.Context, domain string, number int64) gladenote.DomainStatus {
	if domain == n.domain {
		d, _ := n.answerDomain(ctx, "", domainQuery{Number: number})
		return d
	}
	members := slices.DeleteFunc(n.node.Members(), func(m gladepeer.Member) bool { return m.FailureDomain != domain })
	slices.SortFunc(members, func(a, b gladepeer.Member) int { return b.Heard.Compare(a.Heard) })
	reason := "no live VM of this failure domain is known"
	for _, m := range members[:min(statusTries, len(members))] {
		call, cancel := context.WithTimeout(ctx, 2*statusCallTimeout)
		d, err := gladepeer.Call[domainQuery, gladenote.DomainStatus](call, n.node, m.Name, methodNoteDomain, domainQuery{Number: number})
		cancel()
		if err == nil {
			n.heard.mark(domain, time.Now())
			return d
		}
		reason = "can't be heard: " + err.Error()
	}
	d := gladenote.DomainStatus{FailureDomain: domain, VMs: len(members), Reasons: []string{reason}, Heard: n.heard.last(domain)}
	if !d.Heard.IsZero() {
		d.AgeMillis = time.Since(d.Heard).Milliseconds()
	}
	return d
}

// answerDomain tells the status of this VM's own failure domain.
func (n *Notes) answerDomain(ctx context.Context, _ string, q domainQuery) (gladenote.DomainStatus, error) {
	d := gladenote.DomainStatus{FailureDomain: n.domain}
	members := slices.DeleteFunc(n.node.Members(), func(m gladepeer.Member) bool { return m.FailureDomain != n.domain })
	answers := n.holders(ctx, members, q.Number)
	own, _ := n.answerHolder(ctx, "", struct{}{})
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
	case !r.Holds(number):
		return fmt.Sprintf("%d of %d targets are not ready on engines", r.Wanted-r.Ready, r.Wanted)
	}
	return ""
}

// holders returns what each member holds, asking those whose published facts do not suffice.
func (n *Notes) holders(ctx context.Context, members []gladepeer.Member, number int64) map[string]holderAnswer {
	answers := make(map[string]holderAnswer, len(members)+1)
	var mu sync.Mutex
	var tasks sync.WaitGroup
	slots := make(chan struct{}, statusCalls)
	for _, m := range members {
		a := holderAnswer{
			Number:  fact[noteFact](&m, factNote).Number,
			Engines: fact[*gladenote.EngineReport](&m, factEngines),
		}
		mu.Lock()
		answers[m.Name] = a
		mu.Unlock()
		if a.Number >= number && (a.Engines == nil || a.Engines.Holds(number)) {
			continue
		}
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			call, cancel := context.WithTimeout(ctx, statusCallTimeout)
			defer cancel()
			fresh, err := gladepeer.Call[struct{}, holderAnswer](call, n.node, m.Name, methodNoteHolder, struct{}{})
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

func (n *Notes) answerHolder(context.Context, string, struct{}) (holderAnswer, error) {
	return holderAnswer{Number: n.State().Number, Engines: n.engines()}, nil
}

// addUnheard marks failure domains in which the platform lists VMs that this one can't hear.
func (n *Notes) addUnheard(s *gladenote.Status, names map[string][]string) {
	for i := range s.Domains {
		d := &s.Domains[i]
		if silent := names[d.FailureDomain]; len(silent) > 0 {
			slices.SortFunc(silent, cmp.Compare[string])
			d.InForce = false
			d.Reasons = append(d.Reasons, fmt.Sprintf("the platform lists VMs that are not heard: %v", silent))
		}
	}
}
