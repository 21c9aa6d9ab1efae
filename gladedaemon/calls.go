package gladedaemon

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladelimit"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladeonce"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
	"github.com/eelgrassglade/eelgrassglade/gladeservice"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// ServiceCalls is the service name of Calls.
const ServiceCalls = "calls"

const (
	methodAskKey          = "calls.ask"
	methodRunCall         = "calls.run"
	methodNow             = "calls.now"
	maxKeyPeers           = 32
	maxClockSkew          = time.Minute
	memberRefreshInterval = time.Second
)

// Calls handles calls to plain services.
type Calls struct {
	daemon *Daemon
	notes  *Notes
	node   *gladepeer.Node
	limits *Limits
	client *gladeservice.Client
	once   *gladeonce.Once
	issuer *gladeonce.Issuer
	// forwarded is the number of calls that this VM is running for other VMs.
	forwarded atomic.Int64

	mu           sync.Mutex
	incarnations map[string]string
	lastLoss     time.Time
	sweepShard   int
}

func (d *Daemon) addCalls() error {
	c := &Calls{daemon: d, incarnations: map[string]string{}}
	var table *gladeroute.Table
	var store *gladestore.Client
	if err := errors.Join(
		lookup(d, ServiceNotes, &c.notes),
		lookup(d, ServicePeers, &c.node),
		lookup(d, ServiceLimits, &c.limits),
		lookup(d, ServiceRoutes, &table),
		lookup(d, ServiceStore, &store),
	); err != nil {
		return err
	}
	c.client = d.newServiceClient(table, c.limits.budget)
	if err := c.addOnce(store); err != nil {
		return err
	}
	gladepeer.Handle(c.node, methodAskKey, func(_ context.Context, _ string, q gladeonce.LookupRequest) (gladeonce.LookupAnswer, error) {
		return c.once.Lookup(q), nil
	})
	gladepeer.Handle(c.node, methodRunCall, c.runForwarded)
	gladepeer.Handle(c.node, methodNow, func(context.Context, string, struct{}) (time.Time, error) { return time.Now(), nil })
	d.loop(gladeconfig.Duration(memberRefreshInterval), func(context.Context) { c.refreshMembers() })
	d.loop(d.settings.Calls.SweepInterval, c.sweep)
	return d.kernel.Provide(ServiceCalls, c)
}

func (d *Daemon) newServiceClient(table *gladeroute.Table, budget *gladelimit.Budget) *gladeservice.Client {
	client, closeClient := gladeservice.New(gladeservice.Config{
		Choose:         table.Choose,
		Retry:          budget.TryRetry,
		Dial:           d.dial,
		MaxAnswerBytes: d.settings.Calls.MaxAnswerBytes,
		MaxAttempts:    d.settings.Calls.MaxAttempts,
		Metrics:        d.metrics,
		Log:            d.log.Named("calls"),
		Check:          d.check,
		Record:         d.record,
	})
	d.kernel.OnClose(closeClient)
	return client
}

func (c *Calls) addOnce(store *gladestore.Client) error {
	d, s := c.daemon, &c.daemon.settings.Calls
	self := c.node.Self()
	once, closeOnce, err := gladeonce.New(gladeonce.Config{
		VM:           self.Name,
		Incarnation:  self.Incarnation,
		Store:        store,
		LookupPeer:   c.askKey,
		Peers:        c.keyPeers,
		ClaimTimeout: s.ClaimTimeout.D(),
		Retention:    s.Retention.D(),
		KeptBytes:    s.KeptBytes,
		Metrics:      d.metrics,
		Log:          d.log.Named("once"),
		Check:        d.check,
	})
	if err != nil {
		return err
	}
	d.kernel.OnClose(closeOnce)
	c.once = once
	c.issuer = gladeonce.NewIssuer(gladeonce.IssuerConfig{
		VM: self.Name, Incarnation: self.Incarnation, Lifetime: s.KeyLifetime.D(), KeptBytes: s.KeptBytes,
	})
	return nil
}

func (c *Calls) askKey(ctx context.Context, vm string, q gladeonce.LookupRequest) (gladeonce.LookupAnswer, error) {
	return gladepeer.Call[gladeonce.LookupRequest, gladeonce.LookupAnswer](ctx, c.node, vm, methodAskKey, q)
}

// refreshMembers updates the known members. If one is gone or has restarted, what it knew about keys is lost, and
// refreshMembers records the time.
func (c *Calls) refreshMembers() {
	members := c.node.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := make(map[string]string, len(members))
	for _, m := range members {
		now[m.Name] = m.Incarnation
	}
	for name, incarnation := range c.incarnations {
		if now[name] != incarnation {
			c.lastLoss = time.Now()
		}
	}
	c.incarnations = now
}

// keyPeers returns the VMs that may know about a key. It reports false if there are too many of them or if one was lost
// within the repeat window.
func (c *Calls) keyPeers() ([]string, bool) {
	c.refreshMembers()
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.incarnations))
	for name := range c.incarnations {
		names = append(names, name)
	}
	slices.Sort(names)
	complete := c.lastLoss.IsZero() || time.Since(c.lastLoss) > c.daemon.settings.Calls.RepeatWindow.D()
	if len(names) > maxKeyPeers {
		return nil, false
	}
	return names, complete
}

// sweep removes old claims from the next shard that this VM owns.
func (c *Calls) sweep(ctx context.Context) {
	for range gladeonce.Shards {
		c.sweepShard = (c.sweepShard + 1) % gladeonce.Shards
		if c.ownsShard(c.sweepShard) {
			break
		}
	}
	if !c.clocksAgree(ctx) {
		return
	}
	if _, err := c.once.Sweep(ctx, c.sweepShard, time.Now()); err != nil {
		c.daemon.log.Named("once").Debug("Claims not swept.", "error", err)
	}
}

// ownsShard reports whether rendezvous hashing assigns the shard to this VM.
func (c *Calls) ownsShard(shard int) bool {
	suffix := "/" + strconv.Itoa(shard)
	self := xxhash.Sum64String(c.node.Self().Name + suffix)
	for _, m := range c.node.Members() {
		if xxhash.Sum64String(m.Name+suffix) > self {
			return false
		}
	}
	return true
}

// clocksAgree reports whether the wall clocks of this VM and of one other VM differ by less than maxClockSkew. It
// reports true if there is no other VM.
func (c *Calls) clocksAgree(ctx context.Context) bool {
	members := c.node.Members()
	if len(members) == 0 {
		return true
	}
	m := members[c.sweepShard%len(members)]
	theirs, err := gladepeer.Call[struct{}, time.Time](ctx, c.node, m.Name, methodNow, struct{}{})
	return err == nil && time.Since(theirs.Round(0)).Abs() < maxClockSkew
}

// callRequest is a call to a route. It is sent to the VM that issued the key if that is another one.
type callRequest struct {
	ID           string          `json:"id"`
	Organisation string          `json:"organisation"`
	Route        gladenote.Route `json:"route"`
	Key          string          `json:"key"`
	Method       string          `json:"method"`
	Path         string          `json:"path"`
	Header       http.Header     `json:"header"`
	Body         []byte          `json:"body"`
}

// callResult is the result of a forwarded call: an outcome or a refusal.
type callResult struct {
	Outcome *gladeonce.Outcome `json:"outcome,omitempty"`
	Refusal *gladeapi.Refusal  `json:"refusal,omitempty"`
}
