package gladedaemon

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladeroster"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
)

const (
	methodLoads     = "routes.loads"
	loadTimeout     = 500 * time.Millisecond
	maxLoadBytes    = 64 << 10
	maxLoadsAtOnce  = 16
	loadsRepeatedIn = 3
	maxLoadPeers    = 4
)

// Loads is what VMs tell each other of backend servers.
type Loads struct {
	Reports []AgedReport             `json:"reports,omitempty"`
	Leaving []gladeroute.Incarnation `json:"leaving,omitempty"`
}

// AgedReport is a load report with its age at sending.
type AgedReport struct {
	gladeapi.LoadReport
	AgeMillis int64 `json:"ageMillis"`
}

// loads reads and shares the load of the backend servers of the own failure domain.
type loads struct {
	daemon *Daemon
	table  *gladeroute.Table
	node   *gladepeer.Node
	http   *http.Client
	round  int
	sent   map[string]gladeapi.LoadReport
}

func (d *Daemon) addRoutes() error {
	var roster *gladeroster.Roster
	var node *gladepeer.Node
	if err := lookup(d, ServiceRoster, &roster); err != nil {
		return err
	}
	if err := lookup(d, ServicePeers, &node); err != nil {
		return err
	}
	s := &d.settings.Routing
	table := &gladeroute.Table{
		FailureDomain:  d.settings.VM.FailureDomain,
		AffinityBlocks: s.AffinityBlocks,
		AffinityFloor:  s.AffinityFloor,
		Spill:          s.Spill,
		ReportAge:      s.ReportAge.D(),
		ReportWeight:   s.ReportWeight,
		Check:          d.check,
	}
	d.addBackendList(roster, table)
	d.addLoads(node, table)
	d.kernel.OnDump("routes", func() any { return table.Statuses() })
	return d.kernel.Provide(ServiceRoutes, table)
}

func (d *Daemon) addBackendList(roster *gladeroster.Roster, table *gladeroute.Table) {
	log := d.log.Named("routes")
	d.loop(d.settings.Platform.VMInterval, func(ctx context.Context) {
		list, err := roster.VMs(ctx)
		if err != nil {
			log.Warn("VM list not read.", "error", err)
			return
		}
		if len(list.Backends) > 0 {
			table.Set(list.Backends)
		}
	})
}

func (d *Daemon) addLoads(node *gladepeer.Node, table *gladeroute.Table) {
	transport := &http.Transport{DialContext: d.dial}
	l := &loads{
		daemon: d, table: table, node: node, http: &http.Client{Transport: transport},
		sent: map[string]gladeapi.LoadReport{},
	}
	gladepeer.Handle(node, methodLoads, l.learn)
	d.loop(d.settings.Routing.LoadInterval, l.refresh)
	d.kernel.OnClose(transport.CloseIdleConnections)
}

func (l *loads) learn(_ context.Context, _ string, m Loads) (struct{}, error) {
	for _, r := range m.Reports {
		l.table.Learn(r.LoadReport, time.Duration(r.AgeMillis)*time.Millisecond)
	}
	l.table.SetLeaving(m.Leaving)
	return struct{}{}, nil
}

// refresh reads the load of the servers that this VM is responsible for and shares what changed.
func (l *loads) refresh(ctx context.Context) {
	l.round++
	domain := l.daemon.settings.VM.FailureDomain
	members := l.node.Members()
	near := slices.DeleteFunc(slices.Clone(members), func(m gladepeer.Member) bool { return m.FailureDomain != domain })
	reports := l.read(ctx, l.responsible(near))
	message := Loads{Leaving: l.table.Leaving()}
	for _, r := range reports {
		l.table.Learn(r, 0)
		if l.worthSending(r) {
			message.Reports = append(message.Reports, AgedReport{LoadReport: r})
		}
	}
	if len(message.Reports) == 0 && (len(message.Leaving) == 0 || l.round%loadsRepeatedIn != 0) {
		return
	}
	near = some(near)
	far := slices.DeleteFunc(members, func(m gladepeer.Member) bool { return m.FailureDomain == domain })
	if len(far) > 0 && len(message.Leaving) > 0 {
		near = append(near, far[rand.IntN(len(far))])
	}
	l.share(ctx, near, message)
}

// some returns a few of the members, each time others.
func some(members []gladepeer.Member) []gladepeer.Member {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(maxLoadPeers, len(members))]
}

func (l *loads) share(ctx context.Context, to []gladepeer.Member, m Loads) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var tasks sync.WaitGroup
	for _, member := range to {
		tasks.Go(func() { _, _ = gladepeer.Call[Loads, struct{}](ctx, l.node, member.Name, methodLoads, m) })
	}
	tasks.Wait()
}

// worthSending reports whether a report differs from the one sent last, or that one is due again.
func (l *loads) worthSending(r gladeapi.LoadReport) bool {
	old, ok := l.sent[r.Backend]
	same := ok && old.Running == r.Running && old.Waiting == r.Waiting && slices.Equal(old.Targets, r.Targets)
	if same && l.round%loadsRepeatedIn != 0 {
		return false
	}
	l.sent[r.Backend] = r
	return true
}

// responsible returns the servers of the own failure domain that rendezvous gives to this VM.
func (l *loads) responsible(near []gladepeer.Member) []gladeapi.BackendServer {
	self := l.node.Self().Name
	domain := l.daemon.settings.VM.FailureDomain
	return slices.DeleteFunc(l.table.Backends(), func(b gladeapi.BackendServer) bool {
		if b.FailureDomain != domain {
			return true
		}
		own := xxhash.Sum64String(self + "/" + b.ID)
		return slices.ContainsFunc(near, func(m gladepeer.Member) bool { return xxhash.Sum64String(m.Name+"/"+b.ID) > own })
	})
}

func (l *loads) read(ctx context.Context, backends []gladeapi.BackendServer) []gladeapi.LoadReport {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	reports := make([]gladeapi.LoadReport, len(backends))
	slots := make(chan struct{}, maxLoadsAtOnce)
	var tasks sync.WaitGroup
	for i, b := range backends {
		tasks.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if r, err := l.readOne(ctx, b); err == nil {
				reports[i] = r
			}
		})
	}
	tasks.Wait()
	return slices.DeleteFunc(reports, func(r gladeapi.LoadReport) bool { return r.Backend == "" })
}

func (l *loads) readOne(ctx context.Context, b gladeapi.BackendServer) (gladeapi.LoadReport, error) {
	var r gladeapi.LoadReport
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address+"/load", nil)
	if err != nil {
		return r, eris.Wrap(err, "load")
	}
	response, err := l.http.Do(q)
	if err != nil {
		return r, eris.Wrap(err, "load")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return r, eris.Errorf("load: status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&r); err != nil {
		return r, eris.Wrap(err, "load")
	}
	r.Backend = b.ID
	return r, nil
}
