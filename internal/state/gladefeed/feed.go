package gladefeed

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedatagram"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedecider"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

const (
	// heartbeatInterval is how often the reader sends its revision.
	heartbeatInterval = 250 * time.Millisecond
	// readerTimeout is the silence of all readers after which the next VM reads. It is nearly three heartbeats, and
	// well below the limit for leaving servers.
	readerTimeout = 700 * time.Millisecond
	// takeoverStagger is the additional wait of each further VM, so that only one takes over.
	takeoverStagger = 80 * time.Millisecond
	// behindLimit is how long a newer release may be known before a VM that does not have it reads the store itself.
	behindLimit = 600 * time.Millisecond
	// maxRank is the largest number of preceding VMs that counts for this wait.
	maxRank = 6
	// outageStagger is the additional wait of each VM from maxRank on while the readers say that they lost the store.  The store is
	// then probably unavailable to all, and every VM of a large failure domain would repeat the calls that fail.
	outageStagger = 500 * time.Millisecond
	// maxPublishers is the number of VMs that send what they read, so that a new reader is received before every VM
	// knows that it is the reader.
	maxPublishers = 3
	// repeatTime is how long a reader repeats the changes of the recent past in its heartbeats, for VMs that lost a datagram.
	repeatTime = 1200 * time.Millisecond
	// maxRepeatedChanges is the largest number of changes that are repeated.
	maxRepeatedChanges = 64
	// minReaderUptime is how long a preceding reader must have been received without a gap before a VM stops reading itself.
	minReaderUptime = time.Second
)

// Change is a listed server, or the identifier of one that is no longer listed.
type Change struct {
	Server  *gladefleet.Server `json:"server,omitempty"`
	Removed string             `json:"gone,omitempty"`
}

// Update is a reader's message: the changes from the store's revision Before up to Revision, or none.
type Update struct {
	VM       string   `json:"vm"`
	Before   int64    `json:"before"`
	Revision int64    `json:"revision"`
	Changes  []Change `json:"changes,omitempty"`
	// Release is the version in force at the sender.
	Release int64 `json:"release"`
	// Lost reports that the sender should read the store and cannot.
	Lost bool `json:"lost,omitempty"`
	// Reading reports that the sender reads the store, and AgeMillis the time in milliseconds since the store last said that
	// Release is the newest.
	Reading   bool  `json:"reading,omitempty"`
	AgeMillis int64 `json:"ageMillis,omitempty"`
	// ReleaseChange leads to Release, if that is new and the change fits into a datagram.
	ReleaseChange *gladerelease.Change `json:"releaseChange,omitempty"`
	// Digest is that of the sender's list of servers, zero if it is not known. A VM that has the same list need not request it.
	Digest uint64 `json:"digest,omitempty"`
	// Rollouts are those that the sender knows, nil if it knows of none or there are none on this platform.
	Rollouts *gladedecider.States `json:"rollouts,omitempty"`
}

// Config configures a Feed.
type Config struct {
	// VM is the name of this VM.
	// Address is the address on which it receives datagrams.
	VM, Address string
	// Peers returns the addresses of the other VMs in the failure domain.
	Peers func() []string
	// ReleaseBytes bounds the bytes of a change of the release, summed over the VMs that it is sent to. Without it they ask for the
	// release.
	ReleaseBytes int
	// StartupWait is how long this VM waits after its start for a reader before it reads itself.
	StartupWait time.Duration
	// Rank returns the number of live VMs that should read rather than this one, and Precedes reports whether a VM should.
	Rank     func() int
	Precedes func(vm string) bool
	// Progress returns an update without changes that holds this VM's revision, and reports whether the VM reads the store or should
	// do so.
	Progress func() (Update, bool)
	// Behind returns for how long this VM has known of a newer release than its own, zero if it knows of none.
	Behind func() time.Duration
	// Rollouts returns the roll-outs that each update holds; nil means none.
	Rollouts func() *gladedecider.States
	// OnUpdate receives the updates of other VMs. It must not block: further updates wait behind it.
	OnUpdate func(Update)
	Log      hclog.Logger
}

// Feed sends and receives updates.
type Feed struct {
	config          Config
	socket          *gladedatagram.Socket[Update]
	startupDeadline time.Time

	mu sync.Mutex
	// heard holds, by reader, when an update was last received; a reader that says that it lost the store is left out.
	heard map[string]time.Time
	// lostAt is when the last of them said that it lost the store, zero if one is heard or all fell silent.
	lostAt time.Time
	// lossHeardAt is when a reader last said that it lost the store.
	lossHeardAt time.Time
	// precedingAt and precedingSince are when the last update, and the first one after the last silence, of readers that precede
	// this VM were received.
	precedingAt, precedingSince time.Time
	// recent holds the changes published since recentSince.
	recent      Update
	recentSince time.Time
}

// New opens the socket, starts sending and receiving, and returns the clean-up function.
func New(c Config) (*Feed, func(), error) {
	f := &Feed{config: c, startupDeadline: time.Now().Add(c.StartupWait), heard: map[string]time.Time{}}
	socket, closeSocket, err := gladedatagram.Open(gladedatagram.Config[Update]{Address: c.Address, OnReceive: f.receive, Log: c.Log})
	if err != nil {
		return nil, nil, eris.Wrap(err, "opening the socket for the feed")
	}
	f.socket = socket
	done := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if u, ok := c.Progress(); ok {
					f.send(f.withRecent(u, time.Now()))
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

// Publish sends an update to the neighbours if this VM is one of the first readers in rank, and repeats its changes in the
// next heartbeats.
func (f *Feed) Publish(u Update) {
	f.addRecent(u, time.Now())
	f.send(u)
}

// addRecent adds the changes of an update to those that are repeated.
func (f *Feed) addRecent(u Update, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case len(u.Changes) == 0:
	case u.Before == f.recent.Revision && now.Sub(f.recentSince) < repeatTime && len(f.recent.Changes)+len(u.Changes) <= maxRepeatedChanges:
		f.recent.Revision = u.Revision
		f.recent.Changes = slices.Concat(f.recent.Changes, u.Changes)
	default:
		f.recent, f.recentSince = u, now
	}
}

// withRecent adds the recent changes to a heartbeat, if they lead to its revision.
func (f *Feed) withRecent(u Update, now time.Time) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.recent.Revision == u.Revision && now.Sub(f.recentSince) < repeatTime && len(f.recent.Changes) <= maxRepeatedChanges {
		u.Before, u.Changes = f.recent.Before, f.recent.Changes
	}
	return u
}

func (f *Feed) send(u Update) {
	if f.config.Rank() >= maxPublishers && !f.isOnlyReader(u, time.Now()) {
		return
	}
	u.VM = f.config.VM
	if f.config.Rollouts != nil {
		u.Rollouts = f.config.Rollouts()
	}
	peers := f.config.Peers()
	if u.ReleaseChange != nil && !f.fits(u.ReleaseChange, len(peers)) {
		u.ReleaseChange = nil
	}
	err := f.socket.Send(u, peers)
	if errors.Is(err, gladedatagram.ErrTooLarge) { // receivers ask for what they miss
		u.Before, u.Changes, u.ReleaseChange = u.Revision, nil, nil
		err = f.socket.Send(u, peers)
	}
	if err != nil {
		f.config.Log.Error("Update cannot be sent.", "revision", u.Revision, "reason", err)
	}
}

// isOnlyReader reports whether an update is of a reader that receives no other one: its failure domain has the store's changes
// from nobody else, whatever its rank.
func (f *Feed) isOnlyReader(u Update, now time.Time) bool {
	return u.Reading && now.Sub(f.LastHeard()) > readerTimeout
}

// fits reports whether a change of the release may be sent to a number of VMs.
func (f *Feed) fits(c *gladerelease.Change, vms int) bool {
	raw, err := json.Marshal(c)
	if err != nil {
		f.config.Log.Error("Change of the release cannot be encoded.", "release", c.Version, "reason", err)
		return false
	}
	return len(raw)*vms <= f.config.ReleaseBytes
}

func (f *Feed) receive(u Update) {
	switch {
	case u.Lost:
		f.forget(u.VM, time.Now())
	case u.Reading:
		f.recordHeard(u.VM, time.Now())
	}
	f.config.OnUpdate(u)
}

// LastHeard returns when an update of a reader was last received, the zero time if none was.
func (f *Feed) LastHeard() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastHeard()
}

// lastHeard returns when an update of a reader was last received. The caller holds f.mu.
func (f *Feed) lastHeard() time.Time {
	last := time.Time{}
	for _, at := range f.heard {
		if at.After(last) {
			last = at
		}
	}
	return last
}

func (f *Feed) recordHeard(vm string, now time.Time) {
	precedes := f.config.Precedes(vm)
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.lastHeard()) > readerTimeout {
		clear(f.heard)
	}
	f.heard[vm], f.lostAt = now, time.Time{}
	if !precedes {
		return
	}
	if now.Sub(f.precedingAt) > readerTimeout {
		f.precedingSince = now
	}
	f.precedingAt = now
}

// forget records that a reader says that it does not reach the store: another VM need not wait until it is silent.
func (f *Feed) forget(vm string, now time.Time) {
	precedes := f.config.Precedes(vm)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossHeardAt = now
	if _, heard := f.heard[vm]; !heard {
		return
	}
	delete(f.heard, vm)
	// A VM that has stopped reading must not hide that the last reader lost the store.
	maps.DeleteFunc(f.heard, func(_ string, at time.Time) bool { return now.Sub(at) > readerTimeout })
	if len(f.heard) == 0 {
		f.lostAt = now
	}
	if precedes {
		f.precedingAt = time.Time{}
	}
}

// ShouldRead reports whether this VM should read the store itself; reading reports whether it already does.
func (f *Feed) ShouldRead(reading bool, now time.Time) bool {
	if now.Before(f.startupDeadline) {
		return false
	}
	rank := min(f.config.Rank(), maxRank)
	stagger := time.Duration(rank) * takeoverStagger
	if rank == 0 || f.config.Behind() > behindLimit+stagger {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if reading { // a reader that comes later may stop for this one at the same time
		return now.Sub(f.precedingAt) > readerTimeout || now.Sub(f.precedingSince) < minReaderUptime
	}
	if now.Sub(f.lossHeardAt) < readerTimeout {
		stagger += time.Duration(max(0, f.config.Rank()-maxRank)) * outageStagger
	}
	if len(f.heard) == 0 && !f.lostAt.IsZero() {
		return now.Sub(f.lostAt) >= stagger-takeoverStagger
	}
	// Before the first update the silence counts from the startup wait: VMs that start together would all read at once.
	silentSince := f.startupDeadline.Add(-readerTimeout)
	if last := f.lastHeard(); last.After(silentSince) {
		silentSince = last
	}
	return now.Sub(silentSince) > readerTimeout+stagger
}
