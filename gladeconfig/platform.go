package gladeconfig

import "time"

// Platform configures access to the platform's object API.
type Platform struct {
	Address string `toml:"address"`
	// Timeout is the timeout of each request to the platform.
	Timeout Duration `toml:"timeout"`
	// VMInterval is the time between reads of the list of VMs.
	VMInterval Duration `toml:"vmInterval"`
}

func defaultPlatform() Platform {
	return Platform{Timeout: Duration(2 * time.Second), VMInterval: Duration(time.Second)}
}

func (p *Platform) check(report reporter) {
	if p.Address == "" {
		report("platform.address", "must be set")
	}
	report.positive("platform.timeout", p.Timeout)
	report.positive("platform.vmInterval", p.VMInterval)
}
