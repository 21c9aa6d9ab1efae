package gladefront

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladeshare"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeforward"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeserve"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladefeed"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerefusal"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelay"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

const (
	// peerInterval spreads a VM's facts to the other VMs of its failure domain within about 1 s.
	peerInterval = 400 * time.Millisecond
	// peerSuspicion outlasts several lost exchanges and is shorter than the restart of a VM elsewhere.
	peerSuspicion = 4 * time.Second
	// peerRetention is short, so that the addresses of replaced VMs are seldom dialled.
	peerRetention = 30 * time.Second
	// maxPeerMessageBytes is the maximum size of a message of another VM: a release or the list of backend servers.
	maxPeerMessageBytes = 2 << 20
)

// startPeers starts the membership, the relay of releases and servers, and the exchange of shares.
func (f *Front) startPeers() error {
	s := f.config.Settings
	node, closeNode, err := gladepeer.New(gladepeer.Config{
		Self: gladeapi.EntryVM{
			Name: s.VM, FailureDomain: s.FailureDomain, PeerAddress: s.PeerAddress, EntryAddress: s.EntryAddress,
			Incarnation: fmt.Sprintf("%020d", time.Now().UnixNano()),
		},
		Seeds: s.Seeds, Interval: peerInterval, Suspicion: peerSuspicion, ForgetAfter: peerRetention, MessageBytes: maxPeerMessageBytes,
		Log: f.log.Named("peers"), Metrics: f.metrics,
	})
	if err != nil {
		return err
	}
	f.cleanup(closeNode)
	f.node = node
	if err := gladerelay.PublishLink(node, s.LinkRate); err != nil {
		return err
	}
	gladepeer.HandleNotice(node, deathNotice, func(_ string, d gladeforward.ServerDeath) {
		f.suspects.ServerDiedElsewhere(d.Loss())
	})
	gladepeer.HandleNotice(node, refusalNotice, func(_ string, r gladesuspect.Refused) {
		f.suspects.ImportRefused([]gladesuspect.Refused{r})
	})
	gladepeer.HandleNotice(node, clearedNotice, func(_ string, fingerprint uint64) { f.suspects.ClearElsewhere(fingerprint) })
	gladepeer.HandleNotice(node, heldNotice, func(_ string, h gladesuspect.HeldParts) {
		f.suspects.ImportHeld([]gladesuspect.HeldParts{h})
	})
	gladepeer.HandleNotice(node, answeredNotice, func(_ string, a []gladesuspect.PartAnswer) { f.suspects.PartsAnsweredElsewhere(a) })
	f.startLimits()
	f.startSharingRefusals()
	gladepeer.HandleNotice(node, successorNotice, f.adoptSuccessor)
	share, err := offsetPort(s.PeerAddress, sharePortOffset)
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
		Node: node, LinkRate: s.LinkRate, State: f.state, Reading: f.isReading, Release: f.release.Load, History: &f.history, Servers: f.knownServers,
		ReadRelease: func(ctx context.Context) error { return f.readRelease(withStoreCause(ctx, causeRelay)) }, OnRelease: f.onPeerRelease, OnServers: f.onPeerServers,
		OnNewest: func(version int64) {
			f.age.Learn(version, bootTime())
			f.checkRelease()
		},
		Metrics: f.metrics, Log: f.log.Named("relay"),
	})
	f.relay = relay
	f.cleanup(closeRelay)
	return f.startFeed()
}

// startFeed starts the feed, by which the reader of the failure domain sends the others the changes of backend servers.
func (f *Front) startFeed() error {
	s := f.config.Settings
	address, err := offsetPort(s.PeerAddress, feedPortOffset)
	if err != nil {
		return err
	}
	delay := restartReadDelay
	if s.FirstStart {
		delay = firstReadDelay
	}
	feed, closeFeed, err := gladefeed.New(gladefeed.Config{
		VM: s.VM, Address: address, Peers: func() []string { return f.domainPeers(feedPortOffset) },
		ReleaseBytes: gladerelay.LinkBudget, StartupWait: delay, Rank: f.rank, Precedes: f.precedes, Progress: f.readState,
		Behind: func() time.Duration { return f.age.State(bootTime()).Behind }, OnUpdate: f.onUpdate, Rollouts: f.feedRollouts,
		Log: f.log.Named("feed"),
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

// deathNotice is the kind of notice that reports a server's death under a request to the other VMs.
const deathNotice = "death"

func (f *Front) reportDeath(d gladeforward.ServerDeath) {
	if err := gladepeer.Notify(f.node, deathNotice, d); err != nil {
		f.log.Warn("Crash not reported to the other VMs.", "fingerprint", d.Fingerprint, "reason", err)
	}
}

const (
	// refusalNotice is the kind of notice that reports a refused request to the other VMs.
	refusalNotice = "refusal"
	// clearedNotice is the kind of notice that reports that a suspected request has finished.
	clearedNotice = "cleared"
	// heldNotice is the kind of notice that reports refused prompt parts, or a trial of them, to the other VMs.
	heldNotice = "heldParts"
	// answeredNotice is the kind of notice that reports that requests with suspected prompt parts were answered.
	answeredNotice = "answeredParts"
)

func (f *Front) reportRefusal(r gladesuspect.Refused) {
	if err := gladepeer.Notify(f.node, refusalNotice, r); err != nil {
		f.log.Warn("Refusal not reported to the other VMs.", "fingerprint", r.Fingerprint, "reason", err)
	}
}

func (f *Front) reportHeld(h gladesuspect.HeldParts) {
	if err := gladepeer.Notify(f.node, heldNotice, h); err != nil {
		f.log.Warn("Refused prompt parts not reported to the other VMs.", "set", h.ID, "reason", err)
	}
}

func (f *Front) reportAnswered(a []gladesuspect.PartAnswer) {
	if err := gladepeer.Notify(f.node, answeredNotice, a); err != nil {
		f.log.Warn("Answered prompt parts not reported to the other VMs.", "parts", len(a), "reason", err)
	}
}

func (f *Front) reportCleared(fingerprint uint64) {
	if err := gladepeer.Notify(f.node, clearedNotice, fingerprint); err != nil {
		f.log.Warn("Finished suspect not reported to the other VMs.", "fingerprint", fingerprint, "reason", err)
	}
}

const (
	// refusalPublishers is the number of VMs of a failure domain that publish what they refuse.
	refusalPublishers = 2
	// maxPeerWait is the longest time for which a VM that starts holds requests until it has heard what the others refuse.
	maxPeerWait = 500 * time.Millisecond
	// peerSettleTime is how long it goes on after it has heard of a first VM; the records of the others follow within that time.
	peerSettleTime = 100 * time.Millisecond
	// peerCheckInterval is how often it looks for that meanwhile.
	peerCheckInterval = 20 * time.Millisecond
)

// startSharingRefusals starts the exchange of refusals with VMs that start later or missed a notice.
func (f *Front) startSharingRefusals() {
	done := make(chan struct{})
	var task sync.WaitGroup
	task.Go(func() {
		began, firstHeard := time.Now(), time.Time{}
		for {
			members := f.shareRefusals()
			if len(members) > 0 && firstHeard.IsZero() {
				firstHeard = time.Now()
			}
			wait := gladerefusal.Interval
			if !f.heardPeers() {
				wait = f.settlePeers(began, firstHeard, len(members))
			}
			select {
			case <-done:
				return
			case <-time.After(wait):
			}
		}
	})
	f.cleanup(func() {
		close(done)
		task.Wait()
	})
}

// shareRefusals imports and publishes refusals once, and returns the other VMs.
func (f *Front) shareRefusals() []gladepeer.Member {
	members := f.node.Members()
	err := gladerefusal.Import(members, f.suspects)
	if f.rank() < refusalPublishers {
		err = errors.Join(err, gladerefusal.Publish(f.node, f.suspects))
	}
	if err != nil {
		f.log.Warn("Refused requests not shared.", "reason", err)
	}
	if err := f.shareLimits(members); err != nil {
		f.log.Warn("Limits not shared.", "reason", err)
	}
	return members
}

// settlePeers closes peersHeard if this VM need not wait for the others any longer, and returns the time until the next look.
func (f *Front) settlePeers(began, firstHeard time.Time, members int) time.Duration {
	settled := !firstHeard.IsZero() && time.Since(firstHeard) >= peerSettleTime
	if !settled && time.Since(began) < maxPeerWait && !f.config.Settings.FirstStart {
		return peerCheckInterval
	}
	close(f.peersHeard)
	f.log.Info("Heard the other VMs.", "members", members, "afterMs", time.Since(began).Milliseconds(),
		"refused", len(f.suspects.Refused()), "refusedParts", len(f.suspects.Held()))
	return gladerefusal.Interval
}

func (f *Front) heardPeers() bool {
	select {
	case <-f.peersHeard:
		return true
	default:
		return false
	}
}

// handle answers a request once this VM has heard what the others refuse: a VM that starts would send requests that crash their
// servers once more.
func (f *Front) handle(ctx context.Context, x *gladeserve.Exchange, forward func(context.Context, *gladeserve.Exchange)) {
	select {
	case <-f.peersHeard:
	case <-ctx.Done():
	}
	f.awaitRollouts(ctx)
	forward(ctx, x)
}

// successorNotice is the kind of notice that reports a successor to the other VMs.
const successorNotice = "successor"

// reportSuccessor tells the other VMs of a server that has taken over the address of another one.  While the store is
// unavailable, its entries name no server that started since.
func (f *Front) reportSuccessor(s gladefleet.Successor) {
	if err := gladepeer.Notify(f.node, successorNotice, s); err != nil {
		f.log.Warn("Successor not reported to the other VMs.", "server", s.Server.ID, "reason", err)
	}
}

func (f *Front) adoptSuccessor(origin string, s gladefleet.Successor) {
	if f.fleet.Adopt(s) {
		f.log.Info("Backend server recognised.", "server", s.Server.ID, "predecessor", s.Predecessor, "address", s.Server.Address, "from", origin)
	}
}

// maxAllToAllVMs is the largest number of VMs that exchange shares all to all.  In a larger fleet shares stay in their
// failure domain, which sends only their sums to the others: the traffic between failure domains would grow with the
// square of the VMs.
const maxAllToAllVMs = 40

// sharePeers returns the addresses to which this VM sends its shares.
func (f *Front) sharePeers() []string {
	wide := f.vmCount() > maxAllToAllVMs
	f.fleet.SetLargeFleet(wide)
	return f.peerAddresses(sharePortOffset, !wide)
}

// bridges returns, by failure domain, the address of the VM that receives the sums of this domain's shares: the first in
// the order of readers.  Only the first VM of this domain sends them.
func (f *Front) bridges() map[string]string {
	if f.vmCount() <= maxAllToAllVMs || f.rank() > 0 {
		return nil
	}
	receivers := map[string]gladepeer.Member{}
	for _, m := range f.node.Members() {
		if m.FailureDomain == f.config.Settings.FailureDomain || m.Leaving {
			continue
		}
		o, ok := receivers[m.FailureDomain]
		if !ok || candidate(m).Precedes(candidate(o)) {
			receivers[m.FailureDomain] = m
		}
	}
	addresses := map[string]string{}
	for domain, m := range receivers {
		if address, err := offsetPort(m.PeerAddress, sharePortOffset); err == nil { // a malformed address is skipped
			addresses[domain] = address
		}
	}
	return addresses
}

// firstReadDelay lets VMs that start together find each other before one of them reads; callers come seconds later.
const firstReadDelay = 2 * time.Second

// restartReadDelay is the same for a VM that restarts.  It reads the store once at its start, and knows its rank a second later.
const restartReadDelay = 1200 * time.Millisecond

// rank returns the number of live VMs of this failure domain that precede this one in the order of readers.
func (f *Front) rank() int {
	s := f.config.Settings
	ahead := 0
	for _, m := range f.node.Members() {
		if m.FailureDomain == s.FailureDomain && !m.Leaving && f.isPrecededBy(candidate(m)) {
			ahead++
		}
	}
	return ahead
}

// precedes reports whether another VM should read the store rather than this one. One that is not known as a member has no known link.
func (f *Front) precedes(vm string) bool {
	for _, m := range f.node.Members() {
		if m.Name == vm {
			return f.isPrecededBy(candidate(m))
		}
	}
	return f.isPrecededBy(gladefeed.Candidate{VM: vm})
}

func (f *Front) isPrecededBy(c gladefeed.Candidate) bool {
	s := f.config.Settings
	return f.stopping.Load() || c.Precedes(gladefeed.Candidate{VM: s.VM, Link: s.LinkRate})
}

// candidate returns a member's place in the order of readers.
func candidate(m gladepeer.Member) gladefeed.Candidate {
	return gladefeed.Candidate{VM: m.Name, Link: gladerelay.LinkOf(m)}
}

const (
	// sharePortOffset is the offset of the port for shares from the port for peer calls.
	sharePortOffset = 1
	// feedPortOffset is the offset of the port for the feed from the port for peer calls.
	feedPortOffset = 2
	// rolloutPortOffset is the offset of the port for evidence on roll-outs from the port for peer calls.
	rolloutPortOffset = 3
)

// offsetPort returns a peer's address with its port increased by an offset.
func offsetPort(peer string, offset int) (string, error) {
	host, port, err := net.SplitHostPort(peer)
	if err != nil {
		return "", err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(n+offset)), nil
}

// domainPeers returns the addresses of the other VMs of this failure domain, with their ports increased by an offset.
func (f *Front) domainPeers(offset int) []string { return f.peerAddresses(offset, false) }

func (f *Front) peerAddresses(offset int, all bool) []string {
	var addresses []string
	for _, m := range f.node.Members() {
		if !all && m.FailureDomain != f.config.Settings.FailureDomain {
			continue
		}
		if address, err := offsetPort(m.PeerAddress, offset); err == nil { // a malformed address is skipped
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// otherAddresses returns the addresses of the other parties that are known to be up, to compare a server with.
func (f *Front) otherAddresses() []string {
	f.mu.Lock()
	lost := f.storeRefused || f.unreachable[gladeplatform.KindConfig] || f.unreachable[gladeplatform.KindServers]
	f.mu.Unlock()
	store := f.config.Settings.StoreAddress
	if lost {
		store = ""
	}
	return otherParties(f.node.Members(), f.config.Settings.FailureDomain, store)
}

// otherParties returns the address of the VM that was heard last in another failure domain than the given one, that of the store unless it is
// empty, and that of the VM heard last in this failure domain.  VMs that leave are left out: they may end at any moment.
func otherParties(vms []gladepeer.Member, domain, store string) []string {
	var remote, local gladepeer.Member
	for _, m := range vms {
		latest := &remote
		if m.FailureDomain == domain {
			latest = &local
		}
		if !m.Leaving && m.PeerAddress != "" && m.Heard.After(latest.Heard) {
			*latest = m
		}
	}
	return slices.DeleteFunc([]string{remote.PeerAddress, store, local.PeerAddress}, func(address string) bool { return address == "" })
}

// vmCount returns the number of live VMs, this one included.
func (f *Front) vmCount() int { return len(f.node.Members()) + 1 }

// state returns the release and revision that this VM has and whether it lost the store.
func (f *Front) state() gladerelay.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := gladerelay.State{
		Servers: f.revision, Lost: f.storeRefused || f.unreachable[gladeplatform.KindConfig] || f.unreachable[gladeplatform.KindServers],
	}
	if r := f.release.Load(); r != nil {
		s.Release = r.Version
	}
	if f.rollouts != nil {
		s.Rollouts = f.rollouts.registry.Newest()
	}
	return s
}
