package gladepeer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	methodExchange = "exchange"
	// maxRounds bounds the messages that one VM sends in an exchange to make both memberships equal.
	maxRounds = 4
	// relaysPerDomain is the number of VMs of a failure domain that exchange digests with each other failure domain.
	relaysPerDomain = 2
	// maxRelayTargets bounds the other failure domains that one VM exchanges digests with in one interval.
	maxRelayTargets = 2
	// remoteDigests is the number of digests of other failure domains in a message.
	remoteDigests = 1
	// inactiveProbePeriod is the mean number of intervals between exchanges with an address outside the live members.
	inactiveProbePeriod = 4
	// joinFanout is the number of addresses that a VM without live members tries in each interval.
	joinFanout = 3
	// pauseIntervals is the shortest pause of this VM that is detected, and the timeout of an exchange, in intervals.
	pauseIntervals = 3
)

func (n *Node) run(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	ticker := time.NewTicker(n.config.Interval)
	defer ticker.Stop()
	last := n.config.Now()
	for {
		last = n.detectPause(last)
		for _, address := range n.beginInterval() {
			exchanges.Go(func() { n.exchangeWith(ctx, address) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// detectPause reports a pause of this VM since the last interval and returns the current time.
//
// It compares both the monotonic and the wall clock, because either may stop during a pause.
func (n *Node) detectPause(last time.Time) time.Time {
	now := n.config.Now()
	elapsed := max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
	if elapsed < pauseIntervals*n.config.Interval {
		return now
	}
	n.counters.pauses.Inc(1)
	n.log.Warn("This VM was paused.", "for", elapsed)
	n.mu.Lock()
	for _, m := range n.memberByID {
		if last.Sub(m.Heard) < n.config.Suspicion {
			m.Heard = now
		}
	}
	n.mu.Unlock()
	if n.config.OnPause != nil {
		n.config.OnPause(elapsed)
	}
	return now
}

// beginInterval increments this VM's heartbeat counter and returns the addresses to exchange digests with.
func (n *Node) beginInterval() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Heartbeat++
	n.removeSilent()
	n.counters.members.Update(int64(len(n.memberByID)))
	addresses := map[string]bool{}
	live := n.liveByDomain()
	local := live[n.self.FailureDomain]
	for _, m := range randomSample(local, n.config.Fanout) {
		addresses[m.PeerAddress] = true
	}
	for _, domain := range n.relayTargets(live) {
		addresses[randomSample(live[domain], 1)[0].PeerAddress] = true
	}
	for _, address := range n.inactiveAddresses(live) {
		addresses[address] = true
	}
	delete(addresses, n.self.PeerAddress)
	maps.DeleteFunc(addresses, func(a string, _ bool) bool { return n.exchanging[a] })
	for a := range addresses {
		n.exchanging[a] = true
	}
	return slices.Collect(maps.Keys(addresses))
}

// liveByDomain returns the live members of each failure domain. The caller holds n.mu.
func (n *Node) liveByDomain() map[string][]*Member {
	live := map[string][]*Member{}
	for _, m := range n.memberByID {
		if n.live(m) {
			live[m.FailureDomain] = append(live[m.FailureDomain], m)
		}
	}
	return live
}

// relayTargets returns the other failure domains that this VM exchanges digests with in this interval.
// The caller holds n.mu.
func (n *Node) relayTargets(live map[string][]*Member) []string {
	var domains []string
	for domain := range live {
		if domain != n.self.FailureDomain && n.relaysTo(domain, live[n.self.FailureDomain]) {
			domains = append(domains, domain)
		}
	}
	return randomSample(domains, maxRelayTargets)
}

// relaysTo reports whether this VM is one of the relays of its failure domain to another one.
// The caller holds n.mu.
func (n *Node) relaysTo(domain string, local []*Member) bool {
	own := RendezvousWeight(domain, n.self.Name)
	ahead := 0
	for _, m := range local {
		if m.Name != n.self.Name && RendezvousWeight(domain, m.Name) > own {
			ahead++
		}
	}
	return ahead < relaysPerDomain
}

// inactiveAddresses returns addresses that belong to no live member.
//
// It returns joinFanout addresses in every interval while there are no live members, and otherwise one in one of
// inactiveProbePeriod intervals on average. The caller holds n.mu.
func (n *Node) inactiveAddresses(live map[string][]*Member) []string {
	if len(live) > 0 && rand.IntN(inactiveProbePeriod) > 0 {
		return nil
	}
	addresses := map[string]bool{}
	for _, seed := range n.config.Seeds {
		addresses[seed] = true
	}
	for _, v := range n.listed {
		addresses[v.PeerAddress] = true
	}
	for _, m := range n.memberByID {
		addresses[m.PeerAddress] = true
	}
	for _, members := range live {
		for _, m := range members {
			delete(addresses, m.PeerAddress)
		}
	}
	delete(addresses, n.self.PeerAddress)
	count := 1
	if len(live) == 0 {
		count = joinFanout // some of the seeds may be down
	}
	return randomSample(slices.Collect(maps.Keys(addresses)), count)
}

// RendezvousWeight returns the rendezvous hash weight of a VM for a key. The VM with the highest weight is the first
// choice.
func RendezvousWeight(key, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

// randomSample returns up to count random elements. It shuffles all in place.
func randomSample[T any](all []T, count int) []T {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

func (n *Node) exchangeWith(ctx context.Context, address string) {
	defer func() {
		n.mu.Lock()
		delete(n.exchanging, address)
		n.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, pauseIntervals*n.config.Interval)
	defer cancel()
	n.mu.Lock()
	out := message{Opening: true, Digests: n.digests()}
	n.mu.Unlock()
	for range maxRounds {
		in, err := n.sendExchange(ctx, address, out)
		if err != nil {
			n.log.Debug("Exchange failed.", "address", address, "error", err)
			return
		}
		out = n.mergeMessage(in)
		if out.empty() {
			return
		}
	}
}

// sendExchange sends a message of an exchange and returns the reply. If nothing is received on the connection for silenceLimit, it
// sends the message once more on another connection, which is safe because merging a message twice has no effect.
func (n *Node) sendExchange(ctx context.Context, address string, out message) (message, error) {
	conn, err := n.openCall(ctx, address)
	if err != nil {
		return message{}, err
	}
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	watch := time.AfterFunc(silenceLimit, func() {
		if n.retireIfLost(conn, began) {
			cancel()
		}
	})
	defer watch.Stop()
	in, err := callConn[message, message](attempt, n, conn, address, methodExchange, out)
	if err == nil || attempt.Err() == nil || ctx.Err() != nil {
		return in, err
	}
	return callAddress[message, message](ctx, n, address, methodExchange, out)
}

// digests returns short digests of this failure domain and of remoteDigests others.
//
// Successive calls go through the other failure domains in order. The caller holds n.mu.
func (n *Node) digests() []domainDigest {
	result := []domainDigest{n.shortDigest(n.self.FailureDomain)}
	domains := map[string]bool{}
	for _, m := range n.memberByID {
		domains[m.FailureDomain] = true
	}
	delete(domains, n.self.FailureDomain)
	if len(domains) == 0 {
		return result
	}
	others := slices.Sorted(maps.Keys(domains))
	for range min(remoteDigests, len(others)) {
		n.nextRemoteDomain++
		result = append(result, n.shortDigest(others[n.nextRemoteDomain%len(others)]))
	}
	return result
}

func (n *Node) serveExchange(_ context.Context, _ string, in message) (message, error) {
	out := n.mergeMessage(in)
	if !in.Opening {
		return out, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.digests() {
		if !slices.ContainsFunc(out.Digests, func(o domainDigest) bool { return o.Domain == s.Domain }) {
			out.Digests = append(out.Digests, s)
		}
	}
	return out, nil
}

// mergeMessage merges a message into the membership and returns the reply.
//
// The reply holds the records that the sender needs, the identities of records that this VM needs, and full
// digests where the short ones differ.
func (n *Node) mergeMessage(in message) message {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out message
	for _, r := range in.Members[:min(len(in.Members), maxMessageMembers)] {
		n.mergeMember(r)
	}
	for _, s := range in.Digests {
		if len(s.Entries) > 0 {
			n.mergeFullDigest(s, &out)
		} else if !n.mergeShortDigest(s) {
			out.Digests = append(out.Digests, n.fullDigest(s.Domain))
		}
	}
	for _, id := range in.Want[:min(len(in.Want), maxMessageMembers)] {
		if id == identityOf(n.self.Name, n.self.Incarnation) {
			n.addMember(&out, &n.self)
		} else if m := n.memberByID[id]; m != nil {
			n.addMember(&out, m)
		}
	}
	return out
}
