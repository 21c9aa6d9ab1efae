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

// The errors of calls to peers.
var (
	// ErrUnknownPeer means that no live member has the name.
	ErrUnknownPeer = eris.New("unknown peer")
	// ErrUnreachable means that the call was not sent.
	ErrUnreachable = eris.New("peer unreachable")
	// ErrNoAnswer means that the call was sent and may have been carried out.
	ErrNoAnswer = eris.New("no answer from peer")
	// ErrTooLarge means that a message or a fact is larger than the bound.
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
	// remoteSuspicion multiplies Suspicion for members of other failure domains.
	remoteSuspicion = 4
)

// Config configures a Node.
type Config struct {
	// Self describes this VM; its PeerAddress is replaced by the listener's address if that has port 0.
	Self gladeapi.EntryVM
	// Seeds are the peer addresses of VMs to ask first.
	Seeds []string
	// Interval is the time between exchanges; zero means 1 s.
	Interval time.Duration
	// Suspicion is the silence after which a member of the same failure domain counts as dead; zero means 5 s.
	// Members of other failure domains are given four times as long.
	Suspicion time.Duration
	// ForgetAfter is the silence after which a member is removed; zero means 2 minutes.
	ForgetAfter time.Duration
	// Fanout is the number of members of the failure domain asked at each interval; zero means 2.
	Fanout int
	// CallTimeout bounds calls whose context has no deadline; zero means 10 s.
	CallTimeout time.Duration
	// MessageBytes bounds each message; zero means 8 MiB.
	MessageBytes int64
	// Paused is called after this VM itself stood still, with how long it did.
	Paused func(time.Duration)
	// Dial and Listen replace the network, if set.
	Dial   gladeapi.Dial
	Listen gladeapi.Listen
	// Now replaces the clock, if set.
	Now     func() time.Time
	Log     hclog.Logger
	Check   *gladecheck.Checker
	Metrics metrics.Registry
}

// Member is a VM as this one knows it.
type Member struct {
	gladeapi.EntryVM
	// Version rises with each change of what the member says of itself.
	Version uint64 `json:"version"`
	// Beat rises while the incarnation lives.
	Beat uint64 `json:"beat"`
	// Facts are small values that the member publishes about itself.
	Facts map[string]json.RawMessage `json:"facts,omitempty"`
	// Heard is when Beat last rose, by this VM's clock.
	Heard time.Time `json:"-"`
}

// Node is this VM among its peers.
type Node struct {
	config   Config
	log      hclog.Logger
	counters *counters

	mu       sync.Mutex
	handlers map[string]handler
	self     Member
	rows     map[identity]*Member
	// forgotten holds the last beats of removed members, so that a late rumour does not bring them back.
	forgotten *lru.Cache[identity, uint64]
	// listed are the VMs that another source, such as the platform's list, has named.
	listed map[string]gladeapi.EntryVM
	links  map[string]*link
	conns  map[*jsonrpc2.Conn]struct{}
	busy   map[string]bool
	turn   int
	// notices are the functions by name, seen the identifiers of those that have arrived.
	notices map[string]func(origin string, body json.RawMessage) error
	seen    *lru.Cache[string, struct{}]
}

type handler func(ctx context.Context, params json.RawMessage) (any, error)

// New opens the listener, starts exchanging membership and returns the clean-up function.
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
		return nil, eris.Wrap(err, "forgotten members")
	}
	seen, err := lru.New[string, struct{}](maxTombstones)
	if err != nil {
		return nil, eris.Wrap(err, "seen notices")
	}
	n := &Node{
		config:    c,
		log:       c.Log,
		counters:  newCounters(c.Metrics),
		handlers:  map[string]handler{},
		self:      Member{EntryVM: c.Self, Version: 1, Facts: map[string]json.RawMessage{}},
		rows:      map[identity]*Member{},
		forgotten: forgotten,
		listed:    map[string]gladeapi.EntryVM{},
		links:     map[string]*link{},
		conns:     map[*jsonrpc2.Conn]struct{}{},
		busy:      map[string]bool{},
		notices:   map[string]func(string, json.RawMessage) error{},
		seen:      seen,
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

// Self returns this VM as it tells others.
func (n *Node) Self() Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.self
	m.Facts = maps.Clone(m.Facts)
	return m
}

// Members returns the other live VMs, by name.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	byName := map[string]*Member{}
	for _, m := range n.rows {
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

// Silent returns the other VMs that are known but no longer heard of, by name.
func (n *Node) Silent() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	heard := map[string]bool{n.self.Name: true}
	for _, m := range n.rows {
		if n.live(m) {
			heard[m.Name] = true
		}
	}
	var silent []Member
	for _, m := range n.rows {
		if !heard[m.Name] {
			heard[m.Name] = true
			silent = append(silent, *m)
		}
	}
	slices.SortFunc(silent, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return silent
}

// Publish sets a fact about this VM that reaches all others with the membership.
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

// SetLeaving tells the others that this VM takes no new work.
func (n *Node) SetLeaving() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.self.Leaving {
		n.self.Leaving = true
		n.self.Version++
	}
}

// Learn takes in the VMs that another source names, such as the platform's list.
//
// An empty list changes nothing, and a list never revives an incarnation that has left.
func (n *Node) Learn(vms []gladeapi.EntryVM) {
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
		m := n.rows[identityOf(v.Name, v.Incarnation)]
		if m != nil && v.Leaving {
			m.Leaving = true
		}
	}
}

// live reports whether a member has been heard of lately; n.mu is held.
func (n *Node) live(m *Member) bool {
	limit := n.config.Suspicion
	if m.FailureDomain != n.self.FailureDomain {
		limit *= remoteSuspicion
	}
	return n.config.Now().Sub(m.Heard) < limit
}
