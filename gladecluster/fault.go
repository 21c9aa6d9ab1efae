package gladecluster

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoNetwork means that a fault needs a cluster on an in-memory network.
var ErrNoNetwork = eris.New("fault needs an in-memory network")

// KillFailureDomain kills all VMs and backend servers of a failure domain.
func (k *Cluster) KillFailureDomain(domain string) {
	for _, v := range k.LiveVMs() {
		if v.FailureDomain == domain {
			v.Kill()
		}
	}
	for _, s := range append(k.LiveEngines(), k.LiveServices()...) {
		if s.Backend.FailureDomain == domain {
			s.Kill()
		}
	}
}

// Leave puts a backend server on the platform's list as leaving.
func (k *Cluster) Leave(id string, within time.Duration) error {
	e, err := k.Engine(id)
	if err != nil {
		return err
	}
	k.mu.Lock()
	e.Backend.Leaving = true
	e.Backend.LeaveBy = time.Now().Add(within)
	k.mu.Unlock()
	k.Publish()
	return nil
}

// Pause holds all bytes to and from a VM or backend server until Resume.
func (k *Cluster) Pause(name string) error {
	if k.config.Network == nil {
		return ErrNoNetwork
	}
	k.config.Network.Pause(name)
	return nil
}

// Resume ends a pause.
func (k *Cluster) Resume(name string) error {
	if k.config.Network == nil {
		return ErrNoNetwork
	}
	k.config.Network.Resume(name)
	return nil
}

// CutFailureDomains cuts two failure domains off from each other until HealFailureDomains.
func (k *Cluster) CutFailureDomains(a, b string) error {
	return k.pairs(a, b, k.cut)
}

// HealFailureDomains ends the cut between two failure domains.
func (k *Cluster) HealFailureDomains(a, b string) error {
	return k.pairs(a, b, k.heal)
}

// CutPlatform cuts the VMs of a failure domain off from the platform; an empty domain means all.
func (k *Cluster) CutPlatform(domain string) error {
	return k.toPlatform(domain, k.cut)
}

// HealPlatform ends the cut between the VMs of a failure domain and the platform.
func (k *Cluster) HealPlatform(domain string) error {
	return k.toPlatform(domain, k.heal)
}

func (k *Cluster) cut(a, b string) {
	k.config.Network.Cut(a, b)
}

func (k *Cluster) heal(a, b string) {
	k.config.Network.Heal(a, b)
}

func (k *Cluster) toPlatform(domain string, f func(a, b string)) error {
	if k.config.Network == nil {
		return ErrNoNetwork
	}
	for _, v := range k.LiveVMs() {
		if domain == "" || v.FailureDomain == domain {
			f(v.Name, PlatformHost)
		}
	}
	return nil
}

func (k *Cluster) pairs(a, b string, f func(a, b string)) error {
	if k.config.Network == nil {
		return ErrNoNetwork
	}
	for _, x := range k.hostsOf(a) {
		for _, y := range k.hostsOf(b) {
			f(x, y)
		}
	}
	return nil
}

func (k *Cluster) hostsOf(domain string) []string {
	var names []string
	for _, v := range k.LiveVMs() {
		if v.FailureDomain == domain {
			names = append(names, v.Name)
		}
	}
	for _, s := range append(k.LiveEngines(), k.LiveServices()...) {
		if s.Backend.FailureDomain == domain {
			names = append(names, s.Backend.ID)
		}
	}
	return names
}
