package gladecluster

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoNetwork is returned for a fault that needs an in-memory network if the cluster runs on loopback TCP.
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

// MarkLeaving marks an engine as leaving within a time on the platform's list.
func (k *Cluster) MarkLeaving(id string, within time.Duration) error {
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

// Pause delays all bytes to and from a VM or backend server until Resume.
func (k *Cluster) Pause(name string) error {
	if k.config.Network == nil {
		return ErrNoNetwork
	}
	k.config.Network.Pause(name)
	return nil
}

// Resume ends the pause of a VM or backend server.
func (k *Cluster) Resume(name string) error {
	if k.config.Network == nil {
		return ErrNoNetwork
	}
	k.config.Network.Resume(name)
	return nil
}

// CutFailureDomains blocks the network between two failure domains until HealFailureDomains.
func (k *Cluster) CutFailureDomains(a, b string) error {
	return k.eachLink(a, b, k.cut)
}

// HealFailureDomains restores the network between two failure domains.
func (k *Cluster) HealFailureDomains(a, b string) error {
	return k.eachLink(a, b, k.heal)
}

// CutPlatform blocks the network between the platform and the VMs of a failure domain; empty means all VMs.
func (k *Cluster) CutPlatform(domain string) error {
	return k.eachPlatformLink(domain, k.cut)
}

// HealPlatform restores the network between the platform and the VMs of a failure domain; empty means all VMs.
func (k *Cluster) HealPlatform(domain string) error {
	return k.eachPlatformLink(domain, k.heal)
}

func (k *Cluster) cut(a, b string) {
	k.config.Network.Cut(a, b)
}

func (k *Cluster) heal(a, b string) {
	k.config.Network.Heal(a, b)
}

func (k *Cluster) eachPlatformLink(domain string, f func(a, b string)) error {
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

func (k *Cluster) eachLink(a, b string, f func(a, b string)) error {
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
