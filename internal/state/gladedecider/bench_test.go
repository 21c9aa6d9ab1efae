package gladedecider

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
)

// benchReport returns the report of a VM with a request each two seconds on two routes, a tenth of them at the target.
func benchReport(vm int, now time.Time) Report {
	recorder := gladerollout.NewRecorder(fmt.Sprintf("vm-%d", vm), 1)
	for i := range 12 {
		version, began := "v1", now.Add(-time.Duration(24-2*i)*time.Second)
		if (i+vm)%10 == 0 {
			version = "v2"
		}
		run := recorder.Begin(service, version, fmt.Sprintf("route-%d", i%2), fmt.Sprintf("i-%d", (vm+i)%40), began)
		run.FirstEvent(began.Add(time.Second))
		run.End(gladerollout.Succeeded, 80, began.Add(5*time.Second))
	}
	return Report{VM: fmt.Sprintf("vm-%d", vm), Start: 1, Sequence: 1, Service: service, Target: "v2", Evidence: recorder.Evidence(service, now)}
}

// BenchmarkDecider measures one step of a decider with the reports of 320 VMs, and the decoding of one report.
func BenchmarkDecider(b *testing.B) {
	const vms = 320
	now := time.Now()
	registry := NewRegistry(time.Second)
	registry.Put(rollout("v2", 5, gladerollout.InProgress), now)
	d := &Decider{orders: map[string]*order{}, config: Config{
		VM: "vm-a", Registry: registry, CanaryShare: 0.1, CanarySlack: 50, Decide: gladerollout.Decide, Log: hclog.NewNullLogger(),
		Metrics: metrics.NewRegistry(), Now: time.Now, Reached: func() bool { return true },
		Servers: func(string, string) (int, int) { return 20, 20 },
	}}
	r, _, _ := registry.Get(service, now)
	o := d.order(r, now)
	raw, err := json.Marshal(benchReport(1, now))
	if err != nil {
		b.Fatal(err)
	}
	for vm := range vms {
		d.Receive(benchReport(vm, now))
	}
	b.Run("step", func(b *testing.B) {
		for b.Loop() {
			d.config.Decide(d.collect(o, Known{Rollout: r, ElapsedMillis: 5000}, now))
		}
	})
	b.Run("report", func(b *testing.B) {
		for b.Loop() {
			var report Report
			if err := json.Unmarshal(raw, &report); err != nil {
				b.Fatal(err)
			}
			d.Receive(report)
		}
		b.ReportMetric(float64(len(raw)), "bytes")
	})
}
