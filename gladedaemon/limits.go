package gladedaemon

import (
	"context"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladelimit"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
)

const (
	// ServiceLimits is the service name of Limits.
	ServiceLimits = "limits"
	// ServiceBudget is the service name of the retry budget.
	ServiceBudget = "budget"
)

const (
	methodShares  = "limits.shares"
	sharesTimeout = 500 * time.Millisecond
)

// Limits applies the organisations' limits on this VM and counts requests for the retry budget.
type Limits struct {
	notes   *Notes
	node    *gladepeer.Node
	limiter *gladelimit.Limiter
	sharer  *gladelimit.Sharer
	budget  *gladelimit.Budget
}

func (d *Daemon) addLimits() error {
	s := &d.settings.Limits
	l := &Limits{budget: gladelimit.NewBudget(gladelimit.BudgetConfig{
		Share: s.RetryShare, PerSecond: s.RetriesPerSecond, Reserve: s.RetryReserve,
	})}
	if err := lookup(d, ServiceNotes, &l.notes); err != nil {
		return err
	}
	if err := lookup(d, ServicePeers, &l.node); err != nil {
		return err
	}
	l.sharer = gladelimit.NewSharer(gladelimit.SharerConfig{
		VM: d.settings.VM.Name, VMs: l.vms, RequestShares: l.askShares, Interval: s.ExchangeInterval.D(),
	})
	l.limiter = gladelimit.NewLimiter(gladelimit.Config{
		MaxRunning: s.MaxRunning, MaxQueued: s.MaxQueued, QueueShare: s.QueueShare, Share: l.sharer.Share,
	})
	gladepeer.Handle(l.node, methodShares, func(_ context.Context, from string, r gladelimit.DemandReport) (gladelimit.Shares, error) {
		return l.sharer.HandleReport(from, r), nil
	})
	d.loop(s.ExchangeInterval, l.exchange)
	d.kernel.OnDump("limits", func() any { return l.limiter.State() })
	d.kernel.OnDump("retryBudget", func() any { return l.budget.Counts() })
	if err := d.kernel.Provide(ServiceBudget, l.budget); err != nil {
		return err
	}
	return d.kernel.Provide(ServiceLimits, l)
}

func (l *Limits) vms() []string {
	names := []string{l.node.Self().Name}
	for _, m := range l.node.Members() {
		names = append(names, m.Name)
	}
	return names
}

func (l *Limits) askShares(ctx context.Context, vm string, r gladelimit.DemandReport) (gladelimit.Shares, error) {
	ctx, cancel := context.WithTimeout(ctx, sharesTimeout)
	defer cancel()
	return gladepeer.Call[gladelimit.DemandReport, gladelimit.Shares](ctx, l.node, vm, methodShares, r)
}

// exchange reports to other VMs the demand of each organisation that has a rate limit.
func (l *Limits) exchange(ctx context.Context) {
	demand := l.limiter.TakeDemand()
	state := l.notes.State()
	for name := range demand {
		o, ok := state.Organisation(name)
		if !ok || o.RequestsPerSecond <= 0 && o.TokensPerSecond <= 0 {
			delete(demand, name)
		}
	}
	l.sharer.Exchange(ctx, demand)
}

func limitsOf(o *gladenote.Organisation) gladelimit.Limits {
	return gladelimit.Limits{
		RequestsPerSecond: o.RequestsPerSecond, TokensPerSecond: o.TokensPerSecond, Concurrent: o.Concurrent,
	}
}

// admitCall admits one call within the organisation's limits and returns the function that releases it.
func (l *Limits) admitCall(ctx context.Context, o *gladenote.Organisation) (func(tokens int), error) {
	release, err := l.limiter.Admit(ctx, o.Name, limitsOf(o))
	if err == nil {
		l.budget.CountRequest()
	}
	return release, err
}

// admitGeneration admits a generation within the organisation's limits. It waits at most until the generation's
// deadline.
func (l *Limits) admitGeneration(ctx context.Context, g *gladeapi.Generation) (func(gladeapi.Usage), error) {
	o, ok := l.notes.State().Organisation(g.Organisation)
	if !ok {
		o = gladenote.Organisation{Name: g.Organisation}
	}
	ctx, cancel := context.WithDeadline(ctx, g.Deadline)
	defer cancel()
	release, err := l.admitCall(ctx, &o)
	if err != nil {
		return nil, err
	}
	return func(u gladeapi.Usage) { release(u.CompletionTokens) }, nil
}
