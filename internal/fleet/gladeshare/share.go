package gladeshare

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladebudget"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

const (
	// interval is how often shares are told without a change, so that a lost datagram is soon made good.
	interval = time.Second
	// settle is the pause after a change in which further ones join it; a prompt is read in a second or more.
	settle = 15 * time.Millisecond
	// forgetAfter is the silence after which a VM counts for nothing.
	forgetAfter = 3 * time.Second
	// maxDatagram bounds a datagram, in bytes; some hundred servers fit.
	maxDatagram = 60 << 10
)

// Config configures a Sharer.
type Config struct {
	// VM names this VM, Address is where it listens.
	VM, Address string
	// Peers returns the addresses of the other VMs to tell.
	Peers func() []string
	Table *gladefleet.Table
	// Budget is pooled with the peers that are heard.
	Budget *gladebudget.Budget
	Log    hclog.Logger
}

// Sharer exchanges shares.
type Sharer struct {
	config  Config
	socket  net.PacketConn
	changed chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is a VM that was heard; sequence is that of its newest datagram.
type peer struct {
	began, sequence int64
	heard           time.Time
}

// datagram is what one VM tells; Began tells its starts apart.
type datagram struct {
	VM       string                      `json:"vm"`
	Began    int64                       `json:"began"`
	Sequence int64                       `json:"sequence"`
	Shares   map[string]gladefleet.Share `json:"shares"`
	// Counts are the requests and repeats by service.
	Counts map[string]gladebudget.Counts `json:"counts"`
}

// New opens the socket, starts exchanging and returns the clean-up function.
func New(c Config) (*Sharer, func(), error) {
	socket, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", c.Address)
	if err != nil {
		return nil, nil, eris.Wrap(err, "socket of shares")
	}
	s := &Sharer{config: c, socket: socket, changed: make(chan struct{}, 1), peers: map[string]*peer{}}
	done := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(s.receive)
	tasks.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		out := datagram{VM: c.VM, Began: time.Now().UnixNano()}
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
			s.send(out)
		}
	})
	return s, func() {
		close(done)
		_ = socket.Close()
		tasks.Wait()
	}, nil
}

// Changed tells that this VM's shares have changed; it never blocks.
func (s *Sharer) Changed() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Sharer) send(out datagram) {
	raw, err := json.Marshal(out)
	if err != nil || len(raw) > maxDatagram {
		s.config.Log.Error("Shares not told.", "bytes", len(raw), "reason", err)
		return
	}
	for _, address := range s.config.Peers() {
		to, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			s.config.Log.Error("Shares not told.", "peer", address, "reason", err)
			continue
		}
		// A lost datagram is made good by the next one, so the error needs no more than a line.
		if _, err := s.socket.WriteTo(raw, to); err != nil {
			s.config.Log.Debug("Shares not told.", "peer", address, "reason", err)
		}
	}
}

func (s *Sharer) receive() {
	b := make([]byte, maxDatagram)
	for {
		n, _, err := s.socket.ReadFrom(b)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var in datagram
		if err := json.Unmarshal(b[:n], &in); err != nil {
			s.config.Log.Warn("Shares cannot be read.", "reason", err)
			continue
		}
		s.take(&in, time.Now())
	}
}

// take takes in a datagram unless a newer one of its VM is known.
func (s *Sharer) take(in *datagram, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[in.VM]
	if p != nil && (in.Began < p.began || in.Began == p.began && in.Sequence <= p.sequence) {
		return
	}
	s.peers[in.VM] = &peer{began: in.Began, sequence: in.Sequence, heard: now}
	s.config.Table.SetPeer(in.VM, in.Shares)
	s.config.Budget.SetPeer(in.VM, in.Counts)
}

// forget drops the shares of VMs that have fallen silent.
func (s *Sharer) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, p := range s.peers {
		if now.Sub(p.heard) > forgetAfter {
			delete(s.peers, vm)
			s.config.Table.SetPeer(vm, nil)
			s.config.Budget.SetPeer(vm, nil)
		}
	}
}
