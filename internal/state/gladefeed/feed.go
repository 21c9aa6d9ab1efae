package gladefeed

import (
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedatagram"
)

const (
	// beat is how often the reader says how far it has read.
	beat = 250 * time.Millisecond
	// silence is the time without a reader after which the next VM reads: nearly three beats, well below the bound on
	// leaving servers.
	silence = 700 * time.Millisecond
	// stagger is how much longer each further VM waits, so that one reader is enough; maxRank bounds the wait.
	stagger = 80 * time.Millisecond
	maxRank = 6
	// tellers is the number of VMs that tell what they read, so that a new reader is heard before it is known as one.
	tellers = 3
	// trust is how long a reader is heard before a VM stops reading itself.
	trust = time.Second
)

// Change is a server that is listed, or the identifier of one that is no longer.
type Change struct {
	Server *gladefleet.Server `json:"server,omitempty"`
	Gone   string             `json:"gone,omitempty"`
}

// Update is what a reader tells: the changes after one revision of the store up to another, or none.
type Update struct {
	VM       string   `json:"vm"`
	Before   int64    `json:"before"`
	Revision int64    `json:"revision"`
	Changes  []Change `json:"changes,omitempty"`
	// Release is the version that the reader has in force.
	Release int64 `json:"release"`
}

// Config configures a Feed.
type Config struct {
	// VM names this VM, Address is where it listens.
	VM, Address string
	// Peers returns the addresses of the failure domain's other VMs.
	Peers func() []string
	// Patience is how long this VM waits for a reader before it reads itself for the first time.
	Patience time.Duration
	// Rank returns how many live VMs come before this one in the order in which they should read.
	Rank func() int
	// Read returns an update without changes: how far this VM has read the store, and whether it reaches it.
	Read func() (Update, bool)
	// OnUpdate receives what a reader tells.
	OnUpdate func(Update)
	Log      hclog.Logger
}

// Feed tells and hears updates.
type Feed struct {
	config  Config
	socket  *gladedatagram.Socket[Update]
	patient time.Time

	mu sync.Mutex
	// heard is when a reader was last heard, since is when it was first heard without a silence.
	heard, since time.Time
}

// New opens the socket, starts telling and hearing, and returns the clean-up function.
func New(c Config) (*Feed, func(), error) {
	f := &Feed{config: c, patient: time.Now().Add(c.Patience)}
	socket, closeSocket, err := gladedatagram.Open(gladedatagram.Config[Update]{Address: c.Address, OnReceive: f.receive, Log: c.Log})
	if err != nil {
		return nil, nil, eris.Wrap(err, "socket of the feed")
	}
	f.socket = socket
	done := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() {
		ticker := time.NewTicker(beat)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if u, ok := c.Read(); ok {
					f.Tell(u)
				}
			}
		}
	})
	return f, func() {
		close(done)
		tasks.Wait()
		closeSocket()
	}, nil
}

// Tell sends an update to the neighbours if this VM is one of the first readers.
func (f *Feed) Tell(u Update) {
	if f.config.Rank() >= tellers {
		return
	}
	u.VM = f.config.VM
	peers := f.config.Peers()
	err := f.socket.Send(u, peers)
	if errors.Is(err, gladedatagram.ErrTooLarge) { // the receivers ask for what they miss
		u.Before, u.Changes = u.Revision, nil
		err = f.socket.Send(u, peers)
	}
	if err != nil {
		f.config.Log.Error("Update not told.", "revision", u.Revision, "reason", err)
	}
}

func (f *Feed) receive(u Update) {
	f.hear(time.Now())
	f.config.OnUpdate(u)
}

func (f *Feed) hear(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.heard) > silence {
		f.since = now
	}
	f.heard = now
}

// Wanted reports whether this VM should read the store itself; reading tells whether it does.
func (f *Feed) Wanted(reading bool, now time.Time) bool {
	if now.Before(f.patient) {
		return false
	}
	rank := min(f.config.Rank(), maxRank)
	if rank == 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.heard) > silence+time.Duration(rank)*stagger {
		return true
	}
	return reading && now.Sub(f.since) < trust
}
