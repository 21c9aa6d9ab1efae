package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladedaemon"
	"github.com/eelgrassglade/eelgrassglade/gladekernel"
)

const settleTime = time.Second

func onceCommand() *cli.Command {
	return &cli.Command{
		Name:   "once",
		Usage:  "measure the platform calls and the latency of at-most-once calls over loopback",
		Flags:  []cli.Flag{&cli.IntFlag{Name: "calls", Value: 500}},
		Action: measureOnce,
	}
}

// onceCase describes one kind of call.
type onceCase struct {
	name  string
	route string
	// issuer is the index of the VM that issues the key; it is negative if no VM does.
	issuer int
	// target is the index of the VM that receives the call.
	target int
	// keyFormat formats the caller's keys. Two cases with the same format repeat the same calls.
	keyFormat string
}

func measureOnce(ctx context.Context, c *cli.Command) error {
	k, closeCluster, err := gladecluster.New(gladecluster.Config{Services: 2, VMs: 2, Engines: 1})
	if err != nil {
		return err
	}
	defer closeCluster()
	time.Sleep(2 * settleTime)
	caller, closeCaller := k.Caller()
	defer closeCaller()
	fmt.Println("call                           writes  reads     p50/idempotent      p99/idempotent")
	var base [2]time.Duration
	for i, x := range []onceCase{
		{name: "idempotent", route: gladecluster.LookupsRoute, issuer: -1},
		{name: "caller's key", route: gladecluster.CreditsRoute, issuer: -1, keyFormat: "caller-%d"},
		{name: "caller's key, repeated", route: gladecluster.CreditsRoute, issuer: -1, keyFormat: "caller-%d"},
		{name: "caller's key, at another VM", route: gladecluster.CreditsRoute, issuer: -1, target: 1, keyFormat: "caller-%d"},
		{name: "VM's key", route: gladecluster.CreditsRoute},
		{name: "VM's key, at another VM", route: gladecluster.CreditsRoute, target: 1},
	} {
		writes, reads := platformCalls(k)
		took, err := x.run(ctx, k, caller, c.Int("calls"))
		if err != nil {
			return err
		}
		time.Sleep(settleTime)
		writesAfter, readsAfter := platformCalls(k)
		n := float64(c.Int("calls"))
		p50, p99 := took[len(took)/2], took[len(took)*99/100]
		if i == 0 {
			base = [2]time.Duration{p50, p99}
		}
		fmt.Printf("%-30s %6.2f %6.2f  %18.2f  %18.2f\n", x.name, float64(writesAfter-writes)/n, float64(readsAfter-reads)/n,
			float64(p50)/float64(base[0]), float64(p99)/float64(base[1]))
	}
	runs := k.RunCounter.Runs()
	for key, n := range runs {
		if n != 1 {
			return eris.Errorf("key %s ran %d times, want 1", key, n)
		}
	}
	fmt.Printf("%d keys, each ran once\n", len(runs))
	return nil
}

func (o *onceCase) run(ctx context.Context, k *gladecluster.Cluster, caller *gladecaller.Caller, calls int) ([]time.Duration, error) {
	took := make([]time.Duration, calls)
	for i := range took {
		q := gladecaller.Call{Route: o.route, Path: "/post", Body: "12 pounds", Entry: k.VMs[o.target].Name}
		switch {
		case o.keyFormat != "":
			q.Key = fmt.Sprintf(o.keyFormat, i)
		case o.issuer >= 0:
			calls, err := gladekernel.Lookup[*gladedaemon.Calls](k.VMs[o.issuer].Daemon.Kernel(), gladedaemon.ServiceCalls)
			if err != nil {
				return nil, err
			}
			q.Key = calls.Issue(gladecluster.OrganisationName, o.route)
		}
		started := time.Now()
		a := caller.Call(ctx, q)
		took[i] = time.Since(started)
		if !a.Answered() || a.Body != q.Body {
			return nil, eris.Errorf("%s: refusal %v, error %v", o.name, a.Refusal, a.Err)
		}
	}
	slices.Sort(took)
	return took, nil
}

func platformCalls(k *gladecluster.Cluster) (writes, reads int64) {
	for _, v := range k.VMs {
		r, err := gladekernel.Lookup[metrics.Registry](v.Daemon.Kernel(), gladedaemon.ServiceMetrics)
		if err != nil {
			continue
		}
		writes += metrics.GetOrRegisterCounter("once.platformWrites", r).Count()
		reads += metrics.GetOrRegisterCounter("once.platformReads", r).Count()
	}
	return writes, reads
}
