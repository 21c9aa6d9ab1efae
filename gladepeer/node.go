package gladepeer

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
)

// Errors of calls to peers.
var (
	// ErrUnknownPeer means that no member with the name is known.
	ErrUnknownPeer = eris.New("unknown peer")
	// ErrUnreachable means that the call was not sent.
	ErrUnreachable = eris.New("peer unreachable")
	// ErrNoAnswer means that no response arrived. The call may have been executed.
	ErrNoAnswer = eris.New("no answer from peer")
	// ErrTooLarge means that a message, a notice or a fact exceeds its size limit.
	ErrTooLarge = eris.New("message too large")
)

const (
	defaultInterval     = time.Second
	defaultSuspicion    = 5 * time.Second
	defaultForgetAfter  = 2 * time.Minute
	defaultFanout       = 2
	defaultCallTimeout  = 10 * time.Second
	defaultMessageBytes = 8 << 20
	maxFactBytes        = 16 << 10
	maxTombstones       = 8192
	// remoteSuspicionFactor multiplies Config.Suspicion for members of other failure domains.
	remoteSuspicionFactor = 4
)

// Config configures a Node.
type Config struct {
	// Self describes this VM. New replaces its PeerAddress by the listener's address, which differs for port 0.
	Self gladeapi.EntryVM
	// Seeds are the peer addresses of VMs to join through.
	Seeds []string
	// Interval is the time between exchanges. Zero means 1 s.
	Interval time.Duration
	// Suspicion is the time without a heartbeat after which a member of this failure domain counts as dead.
	// Zero means 5 s. For members of other failure domains the time is four times as long.
	Suspicion time.Duration
	// ForgetAfter is the time without a heartbeat after which a member is removed. Zero means 2 minutes.
	ForgetAfter time.Duration
	// Fanout is the number of members of this failure domain to exchange digests with in each interval. Zero means 2.
	Fanout int
	// CallTimeout bounds calls whose context has no deadline. Zero means 10 s.
	CallTimeout time.Duration
	// MessageBytes bounds the size of each message. Zero means 8 MiB.
	MessageBytes int64
	// OnPause, if set, is called with the duration of the pause after this VM itself was paused.
	OnPause func(time.Duration)
	// Dial replaces net.Dialer.DialContext, if set.
	Dial gladeapi.Dial
	// Listen replaces net.Listen, if set.
	Listen gladeapi.Listen
	// Now replaces time.Now, if set.
	Now     func() time.Time
	Log     hclog.Logger
	Check   *gladecheck.Checker
	Metrics metrics.Registry
}

// Member holds the state of a VM as known to this one.
type Member struct {
	gladeapi.EntryVM
	// Version increases with each change of the member's own description or facts.
	Version uint64 `json:"version"`
	// Heartbeat is the heartbeat counter. It increases while the incarnation is alive.
	Heartbeat uint64 `json:"beat"`
	// Facts are small values that the member publishes, by name.
	Facts map[string]json.RawMessage `json:"facts,omitempty"`
	// Heard is the time of the last heartbeat, by this VM's clock.
	Heard time.Time `json:"-"`
}

// Node represents this VM in the membership.
type Node struct {
	config   Config
	log      hclog.Logger
	counters *counters

	mu         sync.Mutex
	handlers   map[string]handler
	self       Member
	memberByID map[identity]*Member
	// forgotten holds the last heartbeat counters of removed members, so that stale records do not restore them.
	forgotten *lru.Cache[identity, uint64]
	// listed holds the VMs from another source, such as the platform's list, by name.
	listed map[string]gladeapi.EntryVM
	links  map[string]*link
	// conns holds the open connections and what carries them.
	conns map[*jsonrpc2.Conn]*queuedConn
	// exchanging holds the addresses with an exchange in progress.
	exchanging map[string]bool
	// nextRemoteDomain counts the digests of other failure domains, which take turns.
	nextRemoteDomain int
	// noticeHandlers holds the notice handlers by name.
	noticeHandlers map[string]func(origin string, body json.RawMessage) error
	// seenNotices holds the IDs of notices that were already handled.
	seenNotices *lru.Cache[string, struct{}]
}

type handler func(ctx context.Context, params json.RawMessage) (any, error)

// New opens the listener, starts the exchanges and returns the node and its clean-up function.
func New(c Config) (*Node, func(), error) {
	setDefaults(&c)
	l, err := c.Listen("tcp", c.Self.PeerAddress)
	if err != nil {
		return nil, nil, eris.Wrap(err, "peer listener")
	}
	c.Self.PeerAddress = l.Addr().String()
	n, err := newNode(c)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { n.accept(ctx, l) })
	tasks.Go(func() { n.run(ctx) })
	return n, func() {
		cancel()
		_ = l.Close()
		n.closeLinks()
		tasks.Wait()
	}, nil
}

func newNode(c Config) (*Node, error) {
	forgotten, err := lru.New[identity, uint64](maxTombstones)
	if err != nil {
		return nil, eris.Wrap(err, "tombstone cache")
	}
	seenNotices, err := lru.New[string, struct{}](maxTombstones)
	if err != nil {
		return nil, eris.Wrap(err, "notice cache")
	}
	n := &Node{
		config:         c,
		log:            c.Log,
		counters:       newCounters(c.Metrics),
		handlers:       map[string]handler{},
		self:           Member{EntryVM: c.Self, Version: 1, Facts: map[string]json.RawMessage{}},
		memberByID:     map[identity]*Member{},
		forgotten:      forgotten,
		listed:         map[string]gladeapi.EntryVM{},
		links:          map[string]*link{},
		conns:          map[*jsonrpc2.Conn]*queuedConn{},
		exchanging:     map[string]bool{},
		noticeHandlers: map[string]func(string, json.RawMessage) error{},
		seenNotices:    seenNotices,
	}
	Handle(n, methodExchange, n.serveExchange)
	Handle(n, methodNotice, n.serveNotice)
	return n, nil
}

func setDefaults(c *Config) {
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	c.Suspicion = cmp.Or(c.Suspicion, defaultSuspicion)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, defaultForgetAfter)
	c.Fanout = cmp.Or(c.Fanout, defaultFanout)
	c.CallTimeout = cmp.Or(c.CallTimeout, defaultCallTimeout)
	c.MessageBytes = cmp.Or(c.MessageBytes, defaultMessageBytes)
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Listen == nil {
		c.Listen = net.Listen
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
}

// Self returns a copy of this VM's own member record.
func (n *Node) Self() Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.self
	m.Facts = maps.Clone(m.Facts)
	return m
}

// Members returns the other live VMs, sorted by name.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	byName := map[string]*Member{}
	for _, m := range n.memberByID {
		if !n.live(m) || m.Name == n.self.Name {
			continue
		}
		if old := byName[m.Name]; old == nil || old.Incarnation < m.Incarnation {
			byName[m.Name] = m
		}
	}
	live := make([]Member, 0, len(byName))
	for _, m := range byName {
		live = append(live, *m)
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// SilentMembers returns the other known VMs that are no longer live, sorted by name.
func (n *Node) SilentMembers() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	heard := map[string]bool{n.self.Name: true}
	for _, m := range n.memberByID {
		if n.live(m) {
			heard[m.Name] = true
		}
	}
	var silent []Member
	for _, m := range n.memberByID {
		if !heard[m.Name] {
			heard[m.Name] = true
			silent = append(silent, *m)
		}
	}
	slices.SortFunc(silent, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return silent
}

// Publish sets a fact of this VM, which is distributed with the membership. A value above 16 KiB gives
// ErrTooLarge.
func (n *Node) Publish(fact string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return eris.Wrapf(err, "fact %q", fact)
	}
	if len(raw) > maxFactBytes {
		return eris.Wrapf(ErrTooLarge, "fact %q has %d bytes", fact, len(raw))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if string(n.self.Facts[fact]) == string(raw) {
		return nil
	}
	n.self.Facts = maps.Clone(n.self.Facts)
	n.self.Facts[fact] = raw
	n.self.Version++
	return nil
}

// SetLeaving marks this VM as leaving, so that other VMs give it no new work.
func (n *Node) SetLeaving() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.self.Leaving {
		n.self.Leaving = true
		n.self.Version++
	}
}

// SetListed replaces the VMs from another source, such as the platform's list.
//
// An empty list changes nothing, and no list returns a leaving incarnation to the active state.
func (n *Node) SetListed(vms []gladeapi.EntryVM) {
	if len(vms) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.listed)
	for _, v := range vms {
		if v.Name == n.self.Name || v.PeerAddress == "" {
			continue
		}
		n.listed[v.Name] = v
		m := n.memberByID[identityOf(v.Name, v.Incarnation)]
		if m != nil && v.Leaving {
			m.Leaving = true
		}
	}
}

// live reports whether a member's last heartbeat is recent enough. The caller holds n.mu.
func (n *Node) live(m *Member) bool {
	limit := n.config.Suspicion
	if m.FailureDomain != n.self.FailureDomain {
		limit *= remoteSuspicionFactor
	}
	return n.config.Now().Sub(m.Heard) < limit
}
