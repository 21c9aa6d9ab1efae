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
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

const (
	methodLoads        = "routes.loads"
	loadTimeout        = 500 * time.Millisecond
	maxLoadBytes       = 64 << 10
	maxConcurrentLoads = 16
	// loadRepeatRounds is the number of rounds after which unchanged reports are sent again.
	loadRepeatRounds = 3
	maxLoadPeers     = 4
)

// LoadMessage is the message with which VMs exchange load reports and the backend servers that are leaving.
type LoadMessage struct {
	Reports []AgedReport             `json:"reports,omitempty"`
	Leaving []gladeroute.Incarnation `json:"leaving,omitempty"`
}

// AgedReport is a load report with its age when it was sent.
type AgedReport struct {
	gladeapi.LoadReport
	AgeMillis int64 `json:"ageMillis"`
}

// loadExchange reads the load of the backend servers in this VM's failure domain and sends it to other VMs.
type loadExchange struct {
	daemon   *Daemon
	table    *gladeroute.Table
	node     *gladepeer.Node
	http     *http.Client
	round    int
	lastSent map[string]gladeapi.LoadReport
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
			table.SetServers(list.Backends)
		}
	})
}

func (d *Daemon) addLoads(node *gladepeer.Node, table *gladeroute.Table) {
	transport := &http.Transport{DialContext: d.dial}
	l := &loadExchange{
		daemon: d, table: table, node: node, http: &http.Client{Transport: transport},
		lastSent: map[string]gladeapi.LoadReport{},
	}
	gladepeer.Handle(node, methodLoads, l.handleLoads)
	d.loop(d.settings.Routing.LoadInterval, l.refresh)
	d.kernel.OnClose(transport.CloseIdleConnections)
}

func (l *loadExchange) handleLoads(_ context.Context, _ string, m LoadMessage) (struct{}, error) {
	for _, r := range m.Reports {
		l.table.UpdateLoad(r.LoadReport, time.Duration(r.AgeMillis)*time.Millisecond)
	}
	l.table.SetLeaving(m.Leaving)
	return struct{}{}, nil
}

// refresh reads the load of the servers that are assigned to this VM and sends the reports that have changed or are
// due.
func (l *loadExchange) refresh(ctx context.Context) {
	l.round++
	domain := l.daemon.settings.VM.FailureDomain
	members := l.node.Members()
	local := slices.DeleteFunc(slices.Clone(members), func(m gladepeer.Member) bool { return m.FailureDomain != domain })
	reports := l.readAll(ctx, l.assigned(local))
	message := LoadMessage{Leaving: l.table.Leaving()}
	for _, r := range reports {
		l.table.UpdateLoad(r, 0)
		if l.shouldSend(r) {
			message.Reports = append(message.Reports, AgedReport{LoadReport: r})
		}
	}
	if len(message.Reports) == 0 && (len(message.Leaving) == 0 || l.round%loadRepeatRounds != 0) {
		return
	}
	local = sample(local)
	remote := slices.DeleteFunc(members, func(m gladepeer.Member) bool { return m.FailureDomain == domain })
	if len(remote) > 0 && len(message.Leaving) > 0 {
		local = append(local, remote[rand.IntN(len(remote))])
	}
	l.send(ctx, local, message)
}

// sample returns up to maxLoadPeers members, chosen at random. It reorders its argument.
func sample(members []gladepeer.Member) []gladepeer.Member {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(maxLoadPeers, len(members))]
}

func (l *loadExchange) send(ctx context.Context, to []gladepeer.Member, m LoadMessage) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var tasks sync.WaitGroup
	for _, member := range to {
		tasks.Go(func() { _, _ = gladepeer.Call[LoadMessage, struct{}](ctx, l.node, member.Name, methodLoads, m) })
	}
	tasks.Wait()
}

// shouldSend reports whether a report differs from the last one sent or is due again, and if so records it as sent.
func (l *loadExchange) shouldSend(r gladeapi.LoadReport) bool {
	old, ok := l.lastSent[r.Backend]
	same := ok && old.Running == r.Running && old.Waiting == r.Waiting && slices.Equal(old.Targets, r.Targets)
	if same && l.round%loadRepeatRounds != 0 {
		return false
	}
	l.lastSent[r.Backend] = r
	return true
}

// assigned returns the servers of this VM's failure domain that rendezvous hashing assigns to this VM.
func (l *loadExchange) assigned(local []gladepeer.Member) []gladeapi.BackendServer {
	self := l.node.Self().Name
	domain := l.daemon.settings.VM.FailureDomain
	return slices.DeleteFunc(l.table.Backends(), func(b gladeapi.BackendServer) bool {
		if b.FailureDomain != domain {
			return true
		}
		own := xxhash.Sum64String(self + "/" + b.ID)
		return slices.ContainsFunc(local, func(m gladepeer.Member) bool { return xxhash.Sum64String(m.Name+"/"+b.ID) > own })
	})
}

func (l *loadExchange) readAll(ctx context.Context, backends []gladeapi.BackendServer) []gladeapi.LoadReport {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	reports := make([]gladeapi.LoadReport, len(backends))
	slots := make(chan struct{}, maxConcurrentLoads)
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

func (l *loadExchange) readOne(ctx context.Context, b gladeapi.BackendServer) (gladeapi.LoadReport, error) {
	var r gladeapi.LoadReport
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address+"/load", nil)
	if err != nil {
		return r, eris.Wrapf(err, "load of %s", b.ID)
	}
	response, err := gladestatus.Do(l.http, q)
	if err != nil {
		return r, eris.Wrapf(err, "load of %s", b.ID)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return r, eris.Errorf("load of %s: status %d", b.ID, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&r); err != nil {
		return r, eris.Wrapf(err, "decode load of %s", b.ID)
	}
	r.Backend = b.ID
	return r, nil
}
