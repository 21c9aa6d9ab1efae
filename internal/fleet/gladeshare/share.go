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
	// interval is how often all shares are told, so that a lost datagram is soon made good; in between only those that
	// have changed are, since all of them at each change would fill a link of 10 Mbit/s under load.
	interval = time.Second
	// settle is the pause after a change in which further ones join it; a prompt is read in a second or more.
	settle = 15 * time.Millisecond
	// forgetAfter is the silence after which a VM counts for nothing.
	forgetAfter = 3 * time.Second
	// totalsEvery is how often the sum of a failure domain's shares goes to the others: runs last for seconds, and the VM
	// that passes it on at home may have a link of 10 Mbit/s.
	totalsEvery = time.Second
	// maxServers bounds the servers of one datagram, which then has about 1 KB: below what a link carries in one packet,
	// since a datagram of several packets is lost with any of them.
	maxServers = 14
	// partPause is what a link of 10 Mbit/s needs for one part to each of some fifty neighbours, and as much again.
	partPause = 90 * time.Millisecond
)

// Config configures a Sharer.
type Config struct {
	// VM names this VM, Address is where it listens.
	VM, Address string
	// FailureDomain is where this VM is.
	FailureDomain string
	// Peers returns the addresses of the other VMs to tell.
	Peers func() []string
	// Bridges returns, at one VM of each failure domain, the addresses of such VMs by failure domain, if Peers leaves the
	// others out.
	Bridges func() map[string]string
	Table   *gladefleet.Table
	// Budget is pooled with the peers that are heard.
	Budget *gladebudget.Budget
	Log    hclog.Logger
}

// Sharer exchanges shares.
type Sharer struct {
	config  Config
	socket  *gladedatagram.Socket[datagram]
	changed chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is a VM, or a whole failure domain, that was heard.
type peer struct {
	// vm told it; began and sequence are those of its newest datagram.
	vm              string
	began, sequence int64
	heard           time.Time
	shares          map[string]gladefleet.Share
}

// datagram is what one VM tells; Began tells its starts apart.
type datagram struct {
	VM       string                      `json:"vm"`
	Began    int64                       `json:"began"`
	Sequence int64                       `json:"sequence"`
	Shares   map[string]gladefleet.Share `json:"shares"`
	// Part tells that only the shares that have changed are there.
	Part bool `json:"part,omitempty"`
	// FailureDomain is set if the shares are the sum of all VMs there, on the receiver's servers, Relayed if another VM
	// passed that on.
	FailureDomain string `json:"failureDomain,omitempty"`
	Relayed       bool   `json:"relayed,omitempty"`
	// Counts are the requests and repeats by service.
	Counts map[string]gladebudget.Counts `json:"counts,omitempty"`
}

// from names whose shares a datagram holds.
func (d *datagram) from() string {
	if d.FailureDomain != "" {
		return "all of " + d.FailureDomain
	}
	return d.VM
}

// New opens the socket, starts exchanging and returns the clean-up function.
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
		return nil, nil, eris.Wrap(err, "socket of shares")
	}
	s.socket = socket
	close(ready)
	done := make(chan struct{})
	var tasks sync.WaitGroup
	began := time.Now().UnixNano()
	tasks.Go(func() { s.tellShares(datagram{VM: c.VM, Began: began}, done) })
	tasks.Go(func() { s.tellTotals(datagram{VM: c.VM, Began: began, FailureDomain: c.FailureDomain}, done) })
	return s, func() {
		close(done)
		tasks.Wait()
		closeSocket()
	}, nil
}

// tellShares tells this VM's shares until done is closed.
func (s *Sharer) tellShares(out datagram, done <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var told map[string]gladefleet.Share
	for {
		select {
		case <-done:
			return
		case <-s.changed:
			time.Sleep(settle)
			shares := s.config.Table.Shares()
			out.Part, out.Shares, out.Counts = true, changes(told, shares), nil
			told = shares
		case <-ticker.C:
			s.forget(time.Now())
			told = s.config.Table.Shares()
			out.Part, out.Shares, out.Counts = false, told, s.config.Budget.Counts(time.Now())
		}
		out.Sequence = s.sendParts(out, s.config.Peers(), 0)
	}
}

// tellTotals tells the sum of the failure domain's shares where this VM is its bridge, until done is closed.
func (s *Sharer) tellTotals(out datagram, done <-chan struct{}) {
	ticker := time.NewTicker(totalsEvery)
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

// changes returns the shares that differ from what was told before; what is no longer there is zero.
func changes(told, shares map[string]gladefleet.Share) map[string]gladefleet.Share {
	changed := map[string]gladefleet.Share{}
	for id, share := range shares {
		if told[id] != share {
			changed[id] = share
		}
	}
	for id := range told {
		if _, ok := shares[id]; !ok {
			changed[id] = gladefleet.Share{}
		}
	}
	return changed
}

// Changed tells that this VM's shares have changed; it never blocks.
func (s *Sharer) Changed() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// sendParts sends a datagram in as many as its servers need, with a pause after each, and returns the number of the last.
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
		if len(out.Shares) == maxServers {
			flush()
		}
	}
	if len(out.Shares) > 0 || !out.Part {
		flush()
	}
	return out.Sequence
}

func (s *Sharer) send(out datagram, addresses []string) {
	if err := s.socket.Send(out, addresses); err != nil {
		s.config.Log.Error("Shares not told.", "servers", len(out.Shares), "reason", err)
	}
}

// receive takes in a datagram, and passes the sum of another failure domain on to the own one.
func (s *Sharer) receive(in *datagram) {
	if !s.take(in, time.Now()) || in.FailureDomain == "" || in.Relayed {
		return
	}
	relayed := *in
	relayed.Relayed = true
	s.send(relayed, s.config.Peers())
}

// take takes in a datagram unless a newer one of its VM is known, and reports whether it did.
func (s *Sharer) take(in *datagram, now time.Time) bool {
	if in.FailureDomain != "" && in.FailureDomain == s.config.FailureDomain {
		return false // its VMs tell more
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	from := in.from()
	p := s.peers[from]
	if p != nil && p.vm == in.VM && (in.Began < p.began || in.Began == p.began && in.Sequence <= p.sequence) {
		return false
	}
	shares := in.Shares
	if in.Part && p != nil && p.began == in.Began {
		shares = maps.Clone(p.shares)
		maps.Copy(shares, in.Shares)
		maps.DeleteFunc(shares, func(_ string, share gladefleet.Share) bool { return share == gladefleet.Share{} })
		s.config.Table.ChangePeer(from, in.Shares)
	} else {
		s.config.Table.SetPeer(from, in.Shares)
	}
	s.peers[from] = &peer{vm: in.VM, began: in.Began, sequence: in.Sequence, heard: now, shares: shares}
	if in.FailureDomain == "" && !in.Part {
		s.config.Budget.SetPeer(from, in.Counts)
	}
	return true
}

// total returns what all VMs of this failure domain have on the servers of another one, which its VMs use first.
func (s *Sharer) total(domain string) map[string]gladefleet.Share {
	total := s.config.Table.Shares()
	defer s.config.Table.KeepDomain(total, domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	for from, p := range s.peers {
		if from != p.vm {
			continue // another failure domain's sum
		}
		for id, share := range p.shares {
			total[id] = total[id].Plus(share)
		}
	}
	return total
}

// forget drops the shares of VMs that have fallen silent.
func (s *Sharer) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for from, p := range s.peers {
		if now.Sub(p.heard) > forgetAfter {
			delete(s.peers, from)
			s.config.Table.SetPeer(from, nil)
			s.config.Budget.SetPeer(from, nil)
		}
	}
}
