package gladefront

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladeshare"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelay"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

const (
	// peerInterval lets what one VM knows reach the others of its failure domain within about a second.
	peerInterval = 400 * time.Millisecond
	// peerSuspicion is above several lost exchanges and below the time in which a VM restarts elsewhere.
	peerSuspicion = 4 * time.Second
	// forgetPeerAfter drops replaced VMs soon, so that dead addresses are seldom tried.
	forgetPeerAfter = 30 * time.Second
)

// joinPeers starts the membership, the relay of releases and servers, and the exchange of shares.
func (f *Front) joinPeers() error {
	s := f.config.Settings
	node, closeNode, err := gladepeer.New(gladepeer.Config{
		Self: gladeapi.EntryVM{
			Name: s.VM, FailureDomain: s.FailureDomain, PeerAddress: s.PeerAddress, EntryAddress: s.EntryAddress,
			Incarnation: fmt.Sprintf("%020d", time.Now().UnixNano()),
		},
		Seeds: s.Seeds, Interval: peerInterval, Suspicion: peerSuspicion, ForgetAfter: forgetPeerAfter,
		Log: f.log.Named("peers"), Metrics: f.metrics,
	})
	if err != nil {
		return err
	}
	f.cleanup(closeNode)
	f.node = node
	share, err := shareAddress(s.PeerAddress)
	if err != nil {
		return err
	}
	sharer, closeSharer, err := gladeshare.New(gladeshare.Config{
		VM: s.VM, Address: share, Peers: f.nearPeers, Table: f.fleet, Log: f.log.Named("shares"),
	})
	if err != nil {
		return err
	}
	f.cleanup(closeSharer)
	f.sharer = sharer
	f.cleanup(gladerelay.New(gladerelay.Config{
		Node: node, State: f.state, Release: f.release.Load, Servers: f.knownServers,
		OnRelease: func(r *gladerelease.Release, from string) { f.put(r, from) },
		OnServers: f.takeServers,
		Log:       f.log.Named("relay"),
	}))
	return nil
}

// shareAddress is the port after the one for calls, on the same VM.
func shareAddress(peer string) (string, error) {
	host, port, err := net.SplitHostPort(peer)
	if err != nil {
		return "", err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(n+1)), nil
}

// nearPeers returns where the other VMs of this failure domain take shares.
func (f *Front) nearPeers() []string {
	var near []string
	for _, m := range f.node.Members() {
		if m.FailureDomain != f.config.Settings.FailureDomain {
			continue
		}
		if address, err := shareAddress(m.PeerAddress); err == nil { // an address that is none gets nothing
			near = append(near, address)
		}
	}
	return near
}

// vms returns the number of live VMs, this one included.
func (f *Front) vms() int { return len(f.node.Members()) + 1 }

// state returns how new this VM's knowledge is.
func (f *Front) state() gladerelay.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := gladerelay.State{Servers: f.revision, Lost: f.lost}
	if r := f.release.Load(); r != nil {
		s.Release = r.Version
	}
	return s
}

func (f *Front) knownServers() gladerelay.Servers {
	f.mu.Lock()
	revision := f.revision
	f.mu.Unlock()
	s := gladerelay.Servers{Revision: revision}
	for _, x := range f.fleet.Statuses() {
		if x.Listed {
			s.Servers = append(s.Servers, x.Server)
		}
	}
	return s
}

// takeServers takes over the list of a peer that still reaches the store.
func (f *Front) takeServers(s gladerelay.Servers, from string) {
	f.mu.Lock()
	if !f.lost && f.listed || s.Revision <= f.revision || len(s.Servers) == 0 {
		f.mu.Unlock()
		return
	}
	f.revision, f.listed = s.Revision, true
	f.mu.Unlock()
	f.log.Info("Backend servers told by a peer.", "peer", from, "revision", s.Revision, "servers", len(s.Servers))
	f.replace(s.Servers, time.Now())
}

// replace makes the table hold the listed servers.
func (f *Front) replace(servers []gladefleet.Server, now time.Time) {
	listed := map[string]bool{}
	for _, s := range servers {
		listed[s.ID] = true
	}
	before := f.fleet.Statuses()
	lapsed := gladefleet.Lapsed(before, servers)
	for _, s := range servers {
		f.list(s, now)
	}
	for _, s := range before {
		if s.Listed && !listed[s.ID] {
			f.remove(s.ID, now, lapsed[s.Service])
		}
	}
}
