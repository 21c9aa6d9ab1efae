package gladeshare

import (
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladebudget"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedatagram"
)

const (
	// fullInterval is how often all shares are sent, so that a lost datagram is soon made up for. In between only
	// changed shares are sent: sending all of them at each change would fill a link of 10 Mbit/s under load.
	fullInterval = time.Second
	// changeDelay is the pause after a change, so that one datagram holds further changes. It is short against a
	// prefill, which takes a second or more.
	changeDelay = 15 * time.Millisecond
	// peerTimeout is the silence after which a VM's shares are dropped.
	peerTimeout = 3 * time.Second
	// maxTickDelay is how late the regular exchange may be in a process that runs.
	maxTickDelay = 500 * time.Millisecond
	// totalsInterval is how often the sum of a failure domain's shares is sent to the others. A second is enough, since
	// runs last for seconds. It also spares the VM that relays the sum, which may have a link of 10 Mbit/s.
	totalsInterval = time.Second
	// maxServersPerDatagram keeps a datagram at about 1 KB, so that it fits into one packet. A datagram of several
	// packets is lost with any of them.
	maxServersPerDatagram = 14
	// partPause is the pause after each part of a sum. It is twice the time that a link of 10 Mbit/s needs to send one
	// part to each of some fifty neighbours.
	partPause = 90 * time.Millisecond
)

// Config configures a Sharer.
type Config struct {
	// VM is the name of this VM.
	// Address is the address on which it receives datagrams.
	VM, Address string
	// FailureDomain is the failure domain of this VM.
	FailureDomain string
	// Peers returns the addresses of the other VMs that receive this VM's shares.
	Peers func() []string
	// Bridges returns addresses by failure domain. One VM of each failure domain is its bridge. There, if Peers leaves
	// out the other domains, Bridges returns the addresses of their bridges; elsewhere it returns none.
	Bridges func() map[string]string
	Table   *gladefleet.Table
	// Budget exchanges its counts with those of the peers.
	Budget *gladebudget.Budget
	Log    hclog.Logger
}

// Sharer exchanges shares with other VMs.
type Sharer struct {
	config  Config
	socket  *gladedatagram.Socket[datagram]
	changed chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
	// expiredAt is when silent peers were last dropped.
	expiredAt time.Time
}

// peer is a VM, or a whole failure domain, whose shares were received.
type peer struct {
	// vm is the VM that sent the shares.
	vm string
	// began is the start time of that VM in its newest datagram.
	began int64
	// sequence is the sequence number of that VM's newest datagram.
	sequence  int64
	lastHeard time.Time
	shares    map[string]gladefleet.Share
}

// datagram is the message that a VM sends.
type datagram struct {
	VM string `json:"vm"`
	// Began is the start time of the sender in Unix nanoseconds. It distinguishes restarts.
	Began    int64                       `json:"began"`
	Sequence int64                       `json:"sequence"`
	Shares   map[string]gladefleet.Share `json:"shares"`
	// Part reports that shares which are not in the datagram have not changed.
	Part bool `json:"part,omitempty"`
	// FailureDomain is set if the shares are the sum over all VMs of that domain, on servers of the receiver's domain.
	FailureDomain string `json:"failureDomain,omitempty"`
	// Relayed reports that another VM of the receiver's failure domain passed the sum on.
	Relayed bool `json:"relayed,omitempty"`
	// Counts holds the requests and retries by service; those of a part are the ones with new retries.
	Counts map[string]gladebudget.Counts `json:"counts,omitempty"`
}

// source returns the name under which the shares of a datagram are stored.
func (d *datagram) source() string {
	if d.FailureDomain != "" {
		return "all of " + d.FailureDomain
	}
	return d.VM
}

// New opens the socket, starts the exchange and returns the clean-up function.
func New(c Config) (*Sharer, func(), error) {
	s := &Sharer{config: c, changed: make(chan struct{}, 1), peers: map[string]*peer{}}
	ready := make(chan struct{})
	socket, closeSocket, err := gladedatagram.Open(gladedatagram.Config[datagram]{
		Address: c.Address, Log: c.Log,
		OnReceive: func(in datagram) {
			<-ready
			s.receive(&in)
		},
	})
	if err != nil {
		return nil, nil, eris.Wrap(err, "opening the socket for shares")
	}
	s.socket = socket
	close(ready)
	done := make(chan struct{})
	var tasks sync.WaitGroup
	began := time.Now().UnixNano()
	tasks.Go(func() { s.sendShares(datagram{VM: c.VM, Began: began}, done) })
	tasks.Go(func() { s.sendTotals(datagram{VM: c.VM, Began: began, FailureDomain: c.FailureDomain}, done) })
	return s, func() {
		close(done)
		tasks.Wait()
		closeSocket()
	}, nil
}

// sendShares sends this VM's shares until done is closed.
func (s *Sharer) sendShares(out datagram, done <-chan struct{}) {
	ticker := time.NewTicker(fullInterval)
	defer ticker.Stop()
	var sent map[string]gladefleet.Share
	for {
		select {
		case <-done:
			return
		case <-s.changed:
			time.Sleep(changeDelay)
			shares := s.config.Table.Shares()
			out.Part, out.Shares, out.Counts = true, changedShares(sent, shares), s.config.Budget.ReportChanges(time.Now())
			sent = shares
		case <-ticker.C:
			s.expirePeers(time.Now())
			sent = s.config.Table.Shares()
			out.Part, out.Shares, out.Counts = false, sent, s.config.Budget.Report(time.Now())
		}
		out.Sequence = s.sendParts(out, s.config.Peers(), 0)
	}
}

// sendTotals sends the sum of the failure domain's shares until done is closed. It sends only while this VM is the
// bridge of its domain.
func (s *Sharer) sendTotals(out datagram, done <-chan struct{}) {
	ticker := time.NewTicker(totalsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		for domain, bridge := range s.config.Bridges() {
			out.Shares = s.total(domain)
			out.Sequence = s.sendParts(out, []string{bridge}, partPause)
		}
	}
}

// changedShares returns the shares that differ from those sent before; a share that no longer exists is zero.
func changedShares(sent, shares map[string]gladefleet.Share) map[string]gladefleet.Share {
	changed := map[string]gladefleet.Share{}
	for id, share := range shares {
		if sent[id] != share {
			changed[id] = share
		}
	}
	for id := range sent {
		if _, ok := shares[id]; !ok {
			changed[id] = gladefleet.Share{}
		}
	}
	return changed
}

// NotifyChanged signals that this VM's shares, or its counts of retries, have changed; it never blocks.
func (s *Sharer) NotifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// sendParts splits a datagram into as many as its servers need, pauses after each, and returns the last sequence
// number.
func (s *Sharer) sendParts(out datagram, addresses []string, pause time.Duration) int64 {
	shares := out.Shares
	out.Shares = map[string]gladefleet.Share{}
	flush := func() {
		out.Sequence++
		s.send(out, addresses)
		out.Part, out.Counts, out.Shares = true, nil, map[string]gladefleet.Share{}
		time.Sleep(pause)
	}
	for id, share := range shares {
		out.Shares[id] = share
		if len(out.Shares) == maxServersPerDatagram {
			flush()
		}
	}
	if len(out.Shares) > 0 || len(out.Counts) > 0 || !out.Part {
		flush()
	}
	return out.Sequence
}

func (s *Sharer) send(out datagram, addresses []string) {
	if err := s.socket.Send(out, addresses); err != nil {
		s.config.Log.Error("Shares cannot be sent.", "servers", len(out.Shares), "reason", err)
	}
}

// receive applies a datagram, and relays the sum of another failure domain to the VMs of its own.
func (s *Sharer) receive(in *datagram) {
	if !s.apply(in, time.Now()) || in.FailureDomain == "" || in.Relayed {
		return
	}
	relayed := *in
	relayed.Relayed = true
	s.send(relayed, s.config.Peers())
}

// apply stores the shares of a datagram unless a newer one of the same VM was received, and reports whether it did.
func (s *Sharer) apply(in *datagram, now time.Time) bool {
	if in.FailureDomain != "" && in.FailureDomain == s.config.FailureDomain {
		return false // its VMs send their own shares, which say more than the sum
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	from := in.source()
	p := s.peers[from]
	if p != nil && p.vm == in.VM && (in.Began < p.began || in.Began == p.began && in.Sequence <= p.sequence) {
		return false
	}
	shares := in.Shares
	continues := in.Part && p != nil && p.began == in.Began
	if continues {
		shares = maps.Clone(p.shares)
		maps.Copy(shares, in.Shares)
		maps.DeleteFunc(shares, func(_ string, share gladefleet.Share) bool { return share == gladefleet.Share{} })
		s.config.Table.UpdatePeerShares(from, in.Shares)
	} else {
		s.config.Table.SetPeerShares(from, in.Shares)
	}
	if p != nil && p.began != in.Began && in.FailureDomain == "" {
		s.config.Budget.RestartPeer(from, now)
	}
	s.peers[from] = &peer{vm: in.VM, began: in.Began, sequence: in.Sequence, lastHeard: now, shares: shares}
	switch {
	case in.FailureDomain != "":
	case continues:
		s.config.Budget.UpdatePeerCounts(from, in.Counts)
	case !in.Part:
		s.config.Budget.SetPeerCounts(from, in.Counts)
	}
	return true
}

// total returns the sum of the shares that all VMs of this failure domain have on the servers of another one. Those
// servers are the first choice of the VMs there, which therefore need the sum.
func (s *Sharer) total(domain string) map[string]gladefleet.Share {
	total := s.config.Table.Shares()
	defer s.config.Table.KeepDomain(total, domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	for from, p := range s.peers {
		if from != p.vm {
			continue // the sum of another failure domain
		}
		for id, share := range p.shares {
			total[id] = total[id].Add(share)
		}
	}
	return total
}

// expirePeers drops the shares of VMs that have been silent for longer than peerTimeout.  It is called every fullInterval: in the rest of the
// time since the last call this VM stood still, and datagrams that arrived meanwhile may still wait in the socket.
func (s *Sharer) expirePeers(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stood := now.Sub(s.expiredAt) - fullInterval; !s.expiredAt.IsZero() && stood > maxTickDelay {
		for _, p := range s.peers {
			p.lastHeard = p.lastHeard.Add(stood)
		}
	}
	s.expiredAt = now
	for from, p := range s.peers {
		if now.Sub(p.lastHeard) > peerTimeout {
			delete(s.peers, from)
			s.config.Table.SetPeerShares(from, nil)
			s.config.Budget.SetPeerCounts(from, nil)
		}
	}
}
