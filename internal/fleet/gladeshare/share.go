package gladeshare

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladebudget"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedatagram"
)

const (
	// interval is how often shares are told without a change, so that a lost datagram is soon made good.
	interval = time.Second
	// settle is the pause after a change in which further ones join it; a prompt is read in a second or more.
	settle = 15 * time.Millisecond
	// forgetAfter is the silence after which a VM counts for nothing.
	forgetAfter = 3 * time.Second
	// totalsEvery is how often the sum of a failure domain's shares goes to the others: runs last for seconds, and the
	// bytes between failure domains are few.
	totalsEvery = 500 * time.Millisecond
)

// Config configures a Sharer.
type Config struct {
	// VM names this VM, Address is where it listens.
	VM, Address string
	// FailureDomain is where this VM is.
	FailureDomain string
	// Peers returns the addresses of the other VMs to tell.
	Peers func() []string
	// Bridges returns, at one VM of each failure domain, the addresses of such VMs of the others that Peers leaves out.
	Bridges func() []string
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
	// FailureDomain is set if the shares are the sum of all VMs there, Relayed if another VM passed that on.
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
	tasks.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		out := datagram{VM: c.VM, Began: began}
		for {
			select {
			case <-done:
				return
			case <-s.changed:
				time.Sleep(settle)
			case <-ticker.C:
				s.forget(time.Now())
			}
			out.Sequence++
			out.Shares, out.Counts = c.Table.Shares(), c.Budget.Counts(time.Now())
			s.send(out, c.Peers())
		}
	})
	tasks.Go(func() {
		ticker := time.NewTicker(totalsEvery)
		defer ticker.Stop()
		out := datagram{VM: c.VM, Began: began, FailureDomain: c.FailureDomain}
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if bridges := c.Bridges(); len(bridges) > 0 {
				out.Sequence++
				out.Shares = s.total()
				s.send(out, bridges)
			}
		}
	})
	return s, func() {
		close(done)
		tasks.Wait()
		closeSocket()
	}, nil
}

// Changed tells that this VM's shares have changed; it never blocks.
func (s *Sharer) Changed() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
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
	s.peers[from] = &peer{vm: in.VM, began: in.Began, sequence: in.Sequence, heard: now, shares: in.Shares}
	s.config.Table.SetPeer(from, in.Shares)
	if in.FailureDomain == "" {
		s.config.Budget.SetPeer(from, in.Counts)
	}
	return true
}

// total returns what all VMs of this failure domain have on the servers.
func (s *Sharer) total() map[string]gladefleet.Share {
	total := s.config.Table.Shares()
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
