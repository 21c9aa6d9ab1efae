package gladedaemon

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladeroster"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

const (
	factNote         = "note"
	factEngines      = "engines"
	methodNotePush   = "notePush"
	methodNoteFetch  = "noteFetch"
	methodNoteHolder = "noteHolder"
	methodNoteDomain = "noteDomain"
)

// Notes holds this VM's replica of the release notes and handles their submission and status.
type Notes struct {
	replica       *gladenote.Replica
	store         *gladestore.Client
	roster        *gladeroster.Roster
	node          *gladepeer.Node
	failureDomain string
	log           hclog.Logger
	// orderReport points to the latest report of this VM's Orders. That report is nil while this VM does not send
	// orders.
	orderReport atomic.Pointer[atomic.Pointer[gladenote.EngineReport]]
	// stateChanged receives a value after each new state, which starts a round of Orders.
	stateChanged chan struct{}
	contacts     domainContacts
	inUse        targetUsage
}

// noteFact is the fact that a VM publishes about the newest note it holds.
type noteFact struct {
	Number int64     `json:"number"`
	Since  time.Time `json:"since"`
	// InUse lists the targets that are no longer in force at Number but still used by this VM's generations.
	InUse []string `json:"inUse,omitempty"`
}

// State returns the state in force.
func (n *Notes) State() *gladenote.State {
	return n.replica.State()
}

// Ready returns the reason why the VM must not serve yet, or nil.
func (n *Notes) Ready() error {
	return n.replica.Ready()
}

func (d *Daemon) addNotes() error {
	var (
		store  *gladestore.Client
		node   *gladepeer.Node
		roster *gladeroster.Roster
	)
	if err := errors.Join(
		lookup(d, ServiceStore, &store),
		lookup(d, ServicePeers, &node),
		lookup(d, ServiceRoster, &roster),
	); err != nil {
		return err
	}
	n := &Notes{
		store:         store,
		roster:        roster,
		stateChanged:  make(chan struct{}, 1),
		node:          node,
		failureDomain: d.settings.VM.FailureDomain,
		log:           d.log.Named("notes"),
	}
	replica, closeReplica := gladenote.NewReplica(d.replicaConfig(n))
	n.replica = replica
	d.kernel.OnClose(closeReplica)
	gladepeer.Handle(node, methodNotePush, replica.HandlePush)
	gladepeer.Handle(node, methodNoteFetch, replica.HandleFetch)
	gladepeer.Handle(node, methodNoteHolder, n.handleHolder)
	gladepeer.Handle(node, methodNoteDomain, n.handleDomain)
	d.kernel.OnDump("notes", func() any { return n.dump() })
	return d.kernel.Provide(ServiceNotes, n)
}

func (d *Daemon) replicaConfig(n *Notes) gladenote.ReplicaConfig {
	s := &d.settings.Notes
	return gladenote.ReplicaConfig{
		Name:          d.settings.VM.Name,
		FailureDomain: n.failureDomain,
		Log:           &gladenote.Log{Store: n.store, SnapshotEvery: s.SnapshotEvery},
		Members:       n.members,
		Push: func(ctx context.Context, to string, p gladenote.Push) (int64, error) {
			return gladepeer.Call[gladenote.Push, int64](ctx, n.node, to, methodNotePush, p)
		},
		Fetch: func(ctx context.Context, from string, q gladenote.FetchRequest) (gladenote.FetchAnswer, error) {
			return gladepeer.Call[gladenote.FetchRequest, gladenote.FetchAnswer](ctx, n.node, from, methodNoteFetch, q)
		},
		OnApply:    n.onApply,
		Watchers:   s.Watchers,
		Interval:   s.Interval.D(),
		SettleTime: s.Settle.D(),
		Logger:     n.log,
		Check:      d.check,
	}
}

func (n *Notes) onApply(s *gladenote.State) {
	n.publishNote(s)
	select {
	case n.stateChanged <- struct{}{}:
	default:
	}
}

func (n *Notes) publishNote(s *gladenote.State) {
	n.publishFact(factNote, noteFact{Number: s.Number, Since: time.Now().UTC(), InUse: n.inUse.withdrawn(s)})
}

func (n *Notes) publishFact(name string, value any) {
	if err := n.node.Publish(name, value); err != nil {
		n.log.Error("Fact not published.", "fact", name, "error", err)
	}
}

// engineReport returns the latest report of this VM's Orders, or nil while this VM does not send orders.
func (n *Notes) engineReport() *gladenote.EngineReport {
	if r := n.orderReport.Load(); r != nil {
		return r.Load()
	}
	return nil
}

func (n *Notes) members() []gladenote.Member {
	members := n.node.Members()
	holders := make([]gladenote.Member, len(members))
	for i, m := range members {
		holders[i] = gladenote.Member{
			Name:          m.Name,
			FailureDomain: m.FailureDomain,
			Number:        fact[noteFact](&m, factNote).Number,
		}
	}
	return holders
}

// fact returns the value that a member has published under a name. It is zero if there is none or if it cannot be
// decoded.
func fact[T any](m *gladepeer.Member, name string) T {
	var v T
	if raw, ok := m.Facts[name]; ok {
		_ = json.Unmarshal(raw, &v)
	}
	return v
}

// notesDump is the section of the state dump about release notes.
type notesDump struct {
	Number        int64               `json:"number"`
	Ready         string              `json:"ready"`
	Organisations int                 `json:"organisations"`
	Recent        []gladenote.Summary `json:"recent"`
}

func (n *Notes) dump() notesDump {
	s := n.State()
	d := notesDump{Number: s.Number, Ready: "yes", Organisations: s.Organisations(), Recent: s.Recent}
	if err := n.Ready(); err != nil {
		d.Ready = err.Error()
	}
	return d
}
