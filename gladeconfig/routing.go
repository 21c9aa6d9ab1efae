package gladeconfig

import "time"

// Routing sets how backend servers are chosen.
type Routing struct {
	// LoadInterval is the time between reads of a backend server's load.
	LoadInterval Duration `toml:"loadInterval"`
	// ReportAge is the age at which a load report counts for nothing.
	ReportAge Duration `toml:"reportAge"`
	// ReportWeight is what a request that another VM runs counts, against one of this VM.
	ReportWeight float64 `toml:"reportWeight"`
	// AffinityBlocks is the number of leading prompt blocks that pick a backend server.
	AffinityBlocks int `toml:"affinityBlocks"`
	// AffinityFloor is the number of requests up to which a backend server takes its prefixes whatever the others hold.
	AffinityFloor float64 `toml:"affinityFloor"`
	// Spill is the mean number of requests by which the own failure domain must exceed the others to use them.
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

func (r *Routing) check(complain complainer) {
	complain.positive("routing.loadInterval", r.LoadInterval)
	complain.positive("routing.reportAge", r.ReportAge)
	if r.ReportWeight <= 0 || r.ReportWeight > 1 {
		complain("routing.reportWeight", "want more than 0 and at most 1")
	}
	if r.AffinityBlocks < 1 {
		complain("routing.affinityBlocks", "must be at least 1")
	}
	if r.AffinityFloor <= 0 {
		complain("routing.affinityFloor", "must be more than zero")
	}
	if r.Spill <= 0 {
		complain("routing.spill", "must be more than zero")
	}
}
