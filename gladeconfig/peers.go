package gladeconfig

import "time"

// Peers is the listener for other VMs and the first of them to ask.
type Peers struct {
	Listen string   `toml:"listen"`
	Seeds  []string `toml:"seeds"`
	TLS    TLS      `toml:"tls"`
	// Insecure lets anybody who reaches the listener take part as a VM.
	Insecure bool `toml:"insecure"`
	// Interval is the time between exchanges of membership.
	Interval Duration `toml:"interval"`
	// Suspicion is the silence after which a VM of the same failure domain counts as dead.
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

func (p *Peers) check(complain complainer) {
	complain.address("peers.listen", p.Listen)
	for _, seed := range p.Seeds {
		complain.address("peers.seeds", seed)
	}
	p.TLS.check("peers", complain)
	if p.TLS.Set() && p.TLS.CA == "" {
		complain("peers.tls.ca", "must be set, so that only VMs get in")
	}
	if !p.TLS.Set() && !p.Insecure && !Loopback(p.Listen) {
		complain("peers.tls", "must be set unless the listener is on loopback or peers.insecure is true")
	}
	complain.positive("peers.interval", p.Interval)
	if p.Suspicion < 3*p.Interval {
		complain("peers.suspicion", "must be at least three times peers.interval")
	}
}
