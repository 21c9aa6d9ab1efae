package gladeconfig

import "time"

// Peers configures the listener for other VMs and the membership protocol.
type Peers struct {
	Listen string `toml:"listen"`
	// Seeds lists the addresses of the VMs that a new VM contacts first.
	Seeds []string `toml:"seeds"`
	TLS   TLS      `toml:"tls"`
	// Insecure allows a listener without TLS, at which any host can join as a VM.
	Insecure bool `toml:"insecure"`
	// Interval is the time between exchanges of the membership list.
	Interval Duration `toml:"interval"`
	// Suspicion is the time without a message after which a VM of the same failure domain is considered dead.
	Suspicion Duration `toml:"suspicion"`
}

func defaultPeers() Peers {
	return Peers{
		Listen:    "127.0.0.1:8082",
		TLS:       defaultTLS(),
		Interval:  Duration(time.Second),
		Suspicion: Duration(5 * time.Second),
	}
}

func (p *Peers) check(report reporter) {
	report.address("peers.listen", p.Listen)
	for _, seed := range p.Seeds {
		report.address("peers.seeds", seed)
	}
	p.TLS.check("peers", report)
	if p.TLS.Enabled() && p.TLS.CA == "" {
		report("peers.tls.ca", "must be set, so that only VMs get in")
	}
	if !p.TLS.Enabled() && !p.Insecure && !IsLoopback(p.Listen) {
		report("peers.tls", "must be set unless the listener is on loopback or peers.insecure is true")
	}
	report.positive("peers.interval", p.Interval)
	if p.Suspicion < 3*p.Interval {
		report("peers.suspicion", "must be at least three times peers.interval")
	}
}
