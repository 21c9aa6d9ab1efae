package gladedaemon

import "github.com/eelgrassglade/eelgrassglade/gladelimit"

func (d *Daemon) addLimits() error {
	s := &d.settings.Limits
	budget := gladelimit.NewBudget(gladelimit.BudgetConfig{
		Share: s.RetryShare, PerSecond: s.RetriesPerSecond, Reserve: s.RetryReserve,
	})
	d.kernel.OnDump("retryBudget", func() any { return budget.Counts() })
	return d.kernel.Provide(ServiceBudget, budget)
}
