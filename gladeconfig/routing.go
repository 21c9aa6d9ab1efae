package gladeconfig

import "time"

// Routing configures the choice of backend servers.
type Routing struct {
	// LoadInterval is the time between reads of the load of a backend server.
	LoadInterval Duration `toml:"loadInterval"`
	// ReportAge is the age from which a load report is ignored.
	ReportAge Duration `toml:"reportAge"`
	// ReportWeight is the weight in the load of a request of another VM. A request of this VM has weight 1.
	ReportWeight float64 `toml:"reportWeight"`
	// AffinityBlocks is the number of leading prompt blocks whose hash selects a backend server.
	AffinityBlocks int `toml:"affinityBlocks"`
	// AffinityFloor is the load, in requests, below which prefix affinity ignores the load of other backend servers.
	AffinityFloor float64 `toml:"affinityFloor"`
	// Spill is the excess of the mean load of the own failure domain, in requests per backend server, above which
	// other failure domains are used too.
	Spill float64 `toml:"spill"`
}

func defaultRouting() Routing {
	return Routing{
		LoadInterval:   Duration(time.Second),
		ReportAge:      Duration(5 * time.Second),
		ReportWeight:   0.25,
		AffinityBlocks: 4,
		AffinityFloor:  8,
		Spill:          4,
	}
}

func (r *Routing) check(report reporter) {
	report.positive("routing.loadInterval", r.LoadInterval)
	report.positive("routing.reportAge", r.ReportAge)
	if r.ReportWeight <= 0 || r.ReportWeight > 1 {
		report("routing.reportWeight", "want more than 0 and at most 1")
	}
	if r.AffinityBlocks < 1 {
		report("routing.affinityBlocks", "must be at least 1")
	}
	if r.AffinityFloor <= 0 {
		report("routing.affinityFloor", "must be more than zero")
	}
	if r.Spill <= 0 {
		report("routing.spill", "must be more than zero")
	}
}
