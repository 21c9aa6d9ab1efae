package gladefront

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladeshare"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeforward"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladefeed"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelay"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
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
	gladepeer.HandleNotice(node, noticeDeath, func(_ string, d gladeforward.Death) {
		f.suspects.DiedElsewhere(d.Fingerprint, d.Server)
	})
	share, err := after(s.PeerAddress, sharePort)
	if err != nil {
		return err
	}
	sharer, closeSharer, err := gladeshare.New(gladeshare.Config{
		VM: s.VM, Address: share, FailureDomain: s.FailureDomain, Peers: f.sharePeers, Bridges: f.bridges,
		Table: f.fleet, Budget: f.budget, Log: f.log.Named("shares"),
	})
	if err != nil {
		return err
	}
	f.cleanup(closeSharer)
	f.sharer = sharer
	relay, closeRelay := gladerelay.New(gladerelay.Config{
		Node: node, State: f.state, Release: f.release.Load, Servers: f.knownServers,
		OnRelease: func(r *gladerelease.Release, from string) { f.put(r, from) },
		OnServers: f.takeServers,
		Log:       f.log.Named("relay"),
	})
	f.relay = relay
	f.cleanup(closeRelay)
	return f.joinFeed()
}

// joinFeed starts the exchange of what the failure domain's reader learns of the backend servers.
func (f *Front) joinFeed() error {
	s := f.config.Settings
	address, err := after(s.PeerAddress, feedPort)
	if err != nil {
		return err
	}
	patience := time.Duration(0)
	if s.FirstStart {
		patience = firstPatience
	}
	feed, closeFeed, err := gladefeed.New(gladefeed.Config{
		VM: s.VM, Address: address, Peers: func() []string { return f.nearPeers(feedPort) },
		Patience: patience, Rank: f.rank, Read: f.read, OnUpdate: f.hearUpdate, Log: f.log.Named("feed"),
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.feed = feed
	f.mu.Unlock()
	f.cleanup(closeFeed)
	return nil
}

// noticeDeath tells other VMs of a server that crashed under a request.
const noticeDeath = "death"

func (f *Front) tellDeath(d gladeforward.Death) {
	if err := gladepeer.Notify(f.node, noticeDeath, d); err != nil {
		f.log.Warn("Crash not told to the other VMs.", "fingerprint", d.Fingerprint, "reason", err)
	}
}

// wideVMs is the number of VMs up to which shares go to all of them; beyond it they stay in the failure domain, and their
// sum goes to the others, since the bytes between failure domains would grow with the square of the VMs.
const wideVMs = 40

// sharePeers returns where shares go.
func (f *Front) sharePeers() []string {
	wide := f.vms() > wideVMs
	f.fleet.SetWide(wide)
	return f.peerAddresses(sharePort, !wide)
}

// bridges returns where the sums of this failure domain's shares go: to the first reader of each other one.
func (f *Front) bridges() map[string]string {
	if f.vms() <= wideVMs || f.rank() > 0 {
		return nil
	}
	first := map[string]gladepeer.Member{}
	for _, m := range f.node.Members() {
		if m.FailureDomain == f.config.Settings.FailureDomain || m.Leaving {
			continue
		}
		o, ok := first[m.FailureDomain]
		if !ok || gladepeer.Rendezvous(readerKey, m.Name) > gladepeer.Rendezvous(readerKey, o.Name) {
			first[m.FailureDomain] = m
		}
	}
	addresses := map[string]string{}
	for domain, m := range first {
		if address, err := after(m.PeerAddress, sharePort); err == nil { // an address that is none gets nothing
			addresses[domain] = address
		}
	}
	return addresses
}

// firstPatience lets VMs that start together know each other before one of them reads; callers come seconds later.
const firstPatience = 2 * time.Second

// rank returns how many live VMs of this failure domain come before this one in the order of readers.
func (f *Front) rank() int {
	s := f.config.Settings
	own := gladepeer.Rendezvous(readerKey, s.VM)
	ahead := 0
	for _, m := range f.node.Members() {
		if m.FailureDomain == s.FailureDomain && !m.Leaving && (f.stop.Load() || gladepeer.Rendezvous(readerKey, m.Name) > own) {
			ahead++
		}
	}
	return ahead
}

// readerKey is hashed with the VMs' names for the order in which they read the store.
const readerKey = "reader"

// read returns how far this VM has read the store, and whether it still does.
func (f *Front) read() (gladefeed.Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := gladefeed.Update{Before: f.revision, Revision: f.revision}
	if r := f.release.Load(); r != nil {
		u.Release = r.Version
	}
	return u, f.listed && f.reading && !f.lost[gladeplatform.KindServers] && !f.lost[gladeplatform.KindConfig]
}

// hearUpdate takes in what the reader tells, or asks it for what was missed.
func (f *Front) hearUpdate(u gladefeed.Update) {
	f.mu.Lock()
	known, listed := f.revision, f.listed
	if listed && u.Before <= known && u.Revision > known {
		f.revision = u.Revision
	}
	f.mu.Unlock()
	f.askRelease(u)
	switch {
	case listed && u.Revision <= known:
	case listed && u.Before <= known:
		now := time.Now()
		for _, c := range u.Changes {
			if c.Server != nil {
				f.list(*c.Server, now)
			} else {
				f.remove(c.Gone, now, false)
			}
		}
	default:
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		f.relay.AskServers(ctx, u.VM)
	}
}

// askRelease asks the reader for its release unless this VM has it by now.
func (f *Front) askRelease(u gladefeed.Update) {
	if r := f.release.Load(); r != nil && r.Version >= u.Release {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	f.relay.AskRelease(ctx, u.VM)
}

const (
	// sharePort and feedPort are the distances of their ports from the one for calls.
	sharePort = 1
	feedPort  = 2
)

// after returns the address on the same VM whose port is some ports further on.
func after(peer string, distance int) (string, error) {
	host, port, err := net.SplitHostPort(peer)
	if err != nil {
		return "", err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(n+distance)), nil
}

// nearPeers returns addresses of the other VMs of this failure domain, some ports after the one for calls.
func (f *Front) nearPeers(distance int) []string { return f.peerAddresses(distance, false) }

func (f *Front) peerAddresses(distance int, all bool) []string {
	var near []string
	for _, m := range f.node.Members() {
		if !all && m.FailureDomain != f.config.Settings.FailureDomain {
			continue
		}
		if address, err := after(m.PeerAddress, distance); err == nil { // an address that is none gets nothing
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
	s := gladerelay.State{Servers: f.revision, Lost: f.lost[gladeplatform.KindConfig] || f.lost[gladeplatform.KindServers]}
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
	if f.listed && s.Revision <= f.revision || len(s.Servers) == 0 {
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
