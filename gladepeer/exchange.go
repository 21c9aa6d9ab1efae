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
	// maxRounds bounds the messages that one exchange takes to make both tables equal.
	maxRounds = 4
	// relaysPerDomain is the number of VMs of a failure domain that exchange with another one.
	relaysPerDomain = 2
	// maxRelayed bounds the other failure domains that one VM exchanges with in one interval.
	maxRelayed = 2
	// remoteSections is the number of other failure domains in each digest.
	remoteSections = 1
	// strayOneIn is how seldom an address outside the live members is tried.
	strayOneIn = 4
	// pauseIntervals is the number of missed intervals that count as a pause of this VM.
	pauseIntervals = 3
)

func (n *Node) run(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	ticker := time.NewTicker(n.config.Interval)
	defer ticker.Stop()
	last := n.config.Now()
	for {
		last = n.noticePause(last)
		for _, address := range n.beat() {
			exchanges.Go(func() { n.exchangeWith(ctx, address) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// noticePause compares both clocks with the last interval's, because either may stand still in a pause.
func (n *Node) noticePause(last time.Time) time.Time {
	now := n.config.Now()
	gone := max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
	if gone < pauseIntervals*n.config.Interval {
		return now
	}
	n.counters.pauses.Inc(1)
	n.log.Warn("This VM was paused.", "for", gone)
	n.mu.Lock()
	for _, m := range n.rows {
		if last.Sub(m.Heard) < n.config.Suspicion {
			m.Heard = now
		}
	}
	n.mu.Unlock()
	if n.config.Paused != nil {
		n.config.Paused(gone)
	}
	return now
}

// beat raises this VM's own beat and returns the addresses to exchange with.
func (n *Node) beat() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Beat++
	n.forget()
	n.counters.members.Update(int64(len(n.rows)))
	addresses := map[string]bool{}
	live := n.liveByDomain()
	local := live[n.self.FailureDomain]
	for _, m := range pick(local, n.config.Fanout) {
		addresses[m.PeerAddress] = true
	}
	for _, domain := range n.relayed(live) {
		addresses[pick(live[domain], 1)[0].PeerAddress] = true
	}
	for _, address := range n.strays(live) {
		addresses[address] = true
	}
	delete(addresses, n.self.PeerAddress)
	maps.DeleteFunc(addresses, func(a string, _ bool) bool { return n.busy[a] })
	for a := range addresses {
		n.busy[a] = true
	}
	return slices.Collect(maps.Keys(addresses))
}

// liveByDomain returns the live members of each failure domain; n.mu is held.
func (n *Node) liveByDomain() map[string][]*Member {
	live := map[string][]*Member{}
	for _, m := range n.rows {
		if n.live(m) {
			live[m.FailureDomain] = append(live[m.FailureDomain], m)
		}
	}
	return live
}

// relayed returns the failure domains that this VM exchanges with in this interval; n.mu is held.
func (n *Node) relayed(live map[string][]*Member) []string {
	var domains []string
	for domain := range live {
		if domain != n.self.FailureDomain && n.relays(domain, live[n.self.FailureDomain]) {
			domains = append(domains, domain)
		}
	}
	return pick(domains, maxRelayed)
}

// relays reports whether this VM is one of those that exchange with a failure domain; n.mu is held.
func (n *Node) relays(domain string, local []*Member) bool {
	own := Rendezvous(domain, n.self.Name)
	ahead := 0
	for _, m := range local {
		if m.Name != n.self.Name && Rendezvous(domain, m.Name) > own {
			ahead++
		}
	}
	return ahead < relaysPerDomain
}

// strays returns an address outside the live members, seldom unless there are none; n.mu is held.
func (n *Node) strays(live map[string][]*Member) []string {
	if len(live) > 0 && rand.IntN(strayOneIn) > 0 {
		return nil
	}
	addresses := map[string]bool{}
	for _, seed := range n.config.Seeds {
		addresses[seed] = true
	}
	for _, v := range n.listed {
		addresses[v.PeerAddress] = true
	}
	for _, m := range n.rows {
		addresses[m.PeerAddress] = true
	}
	for _, members := range live {
		for _, m := range members {
			delete(addresses, m.PeerAddress)
		}
	}
	delete(addresses, n.self.PeerAddress)
	return pick(slices.Collect(maps.Keys(addresses)), 1)
}

// Rendezvous returns the weight of a VM for a key; the VM with the highest weight is the key's first choice.
func Rendezvous(key, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

func pick[T any](all []T, count int) []T {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

func (n *Node) exchangeWith(ctx context.Context, address string) {
	defer func() {
		n.mu.Lock()
		delete(n.busy, address)
		n.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, pauseIntervals*n.config.Interval)
	defer cancel()
	n.mu.Lock()
	out := message{Opening: true, Sections: n.digest()}
	n.mu.Unlock()
	for range maxRounds {
		in, err := callAddress[message, message](ctx, n, address, methodExchange, out)
		if err != nil {
			n.log.Debug("Exchange failed.", "address", address, "error", err)
			return
		}
		out = n.answer(in)
		if out.empty() {
			return
		}
	}
}

// digest returns this failure domain's short digest and some others', in turn; n.mu is held.
func (n *Node) digest() []section {
	sections := []section{n.beats(n.self.FailureDomain)}
	domains := map[string]bool{}
	for _, m := range n.rows {
		domains[m.FailureDomain] = true
	}
	delete(domains, n.self.FailureDomain)
	if len(domains) == 0 {
		return sections
	}
	others := slices.Sorted(maps.Keys(domains))
	for range min(remoteSections, len(others)) {
		n.turn++
		sections = append(sections, n.beats(others[n.turn%len(others)]))
	}
	return sections
}

func (n *Node) serveExchange(_ context.Context, _ string, in message) (message, error) {
	out := n.answer(in)
	if !in.Opening {
		return out, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.digest() {
		if !slices.ContainsFunc(out.Sections, func(o section) bool { return o.Domain == s.Domain }) {
			out.Sections = append(out.Sections, s)
		}
	}
	return out, nil
}

// answer takes in a message and returns what the two sides still lack.
func (n *Node) answer(in message) message {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out message
	for _, r := range in.Rows[:min(len(in.Rows), maxMessageRows)] {
		n.mergeRow(r)
	}
	for _, s := range in.Sections {
		if len(s.Entries) > 0 {
			n.mergeEntries(s, &out)
		} else if !n.mergeBeats(s) {
			out.Sections = append(out.Sections, n.entries(s.Domain))
		}
	}
	for _, id := range in.Want[:min(len(in.Want), maxMessageRows)] {
		if id == identityOf(n.self.Name, n.self.Incarnation) {
			n.addRow(&out, &n.self)
		} else if m := n.rows[id]; m != nil {
			n.addRow(&out, m)
		}
	}
	return out
}
