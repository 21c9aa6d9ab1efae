package gladeroster

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

var errDown = eris.New("platform down")

// platform simulates the platform's list of VMs.
type platform struct {
	list gladeapi.VMList
	// down holds the failure domains without access to the platform.
	down map[string]bool
	// reads counts the calls since the test last reset it.
	reads int
}

func (p *platform) set(backends ...gladeapi.BackendServer) {
	p.list.Version++
	p.list.Backends = backends
}

func backendServer(id string, leaving bool) gladeapi.BackendServer {
	return gladeapi.BackendServer{ID: id, Incarnation: "1", Leaving: leaving}
}

type vm struct {
	node   *gladepeer.Node
	roster *Roster
}

func startVMs(c *qt.C, p *platform, count, domains int) ([]vm, func()) {
	w := &gladewire.Network{}
	var vms []vm
	var closers []func()
	for i := range count {
		name, domain := fmt.Sprintf("vm-%d", i), fmt.Sprintf("domain-%d", i%domains)
		h := w.Host(name)
		e := gladeapi.EntryVM{Name: name, FailureDomain: domain, PeerAddress: name + ":1", Incarnation: "1"}
		p.list.Entries = append(p.list.Entries, e)
		n, closeNode, err := gladepeer.New(gladepeer.Config{Self: e, Dial: h.Dial, Listen: h.Listen})
		c.Assert(err, qt.IsNil)
		closers = append(closers, closeNode)
		vms = append(vms, vm{n, New(Config{Peers: n, Read: func(context.Context) (gladeapi.VMList, error) {
			p.reads++
			if p.down[domain] {
				return gladeapi.VMList{}, errDown
			}
			return p.list, nil
		}})})
	}
	return vms, func() {
		for _, f := range closers {
			f()
		}
	}
}

func refresh(vms []vm) {
	for _, v := range vms {
		_, _ = v.roster.VMs(context.Background())
	}
	time.Sleep(time.Second)
}

func TestFewVMsReadPlatformAndAllGetList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &platform{down: map[string]bool{}}
		p.set(backendServer("a", false), backendServer("b", false))
		vms, closeAll := startVMs(c, p, 20, 2)
		defer closeAll()
		for range 10 {
			refresh(vms)
		}
		p.reads = 0
		p.set(backendServer("a", true), backendServer("c", false))
		refresh(vms)
		refresh(vms)
		c.Assert(p.reads <= 2*2*defaultReaders, qt.IsTrue, qt.Commentf("%d reads", p.reads))
		for _, v := range vms {
			list, err := v.roster.VMs(t.Context())
			c.Assert(err, qt.IsNil)
			c.Assert(list.Backends, qt.DeepEquals, []gladeapi.BackendServer{backendServer("a", true), backendServer("c", false)})
		}
		p.down["domain-1"] = true
		p.set(backendServer("d", false))
		// Three rounds, because the change passes from a reader in domain-0 to a reader in domain-1 and then to its other VMs.
		for range 3 {
			refresh(vms)
		}
		for _, v := range vms {
			c.Assert(v.roster.list().Backends, qt.DeepEquals, []gladeapi.BackendServer{backendServer("d", false)})
		}
	})
}

func TestListNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &platform{down: map[string]bool{}}
		vms, closeAll := startVMs(c, p, 1, 1)
		defer closeAll()
		r := vms[0].roster
		_, err := r.VMs(t.Context())
		c.Assert(err, qt.IsNotNil)
		p.set(backendServer("a", false))
		refresh(vms)
		lagging := p.list
		p.set(backendServer("a", true))
		refresh(vms)
		current := p.list
		p.list = lagging
		refresh(vms)
		c.Assert(r.list().Backends, qt.DeepEquals, []gladeapi.BackendServer{backendServer("a", true)})
		p.list = current
		p.set(backendServer("a", false))
		refresh(vms)
		c.Assert(r.list().Backends, qt.DeepEquals, []gladeapi.BackendServer{backendServer("a", true)})
		p.set()
		refresh(vms)
		c.Assert(r.list().Backends, qt.DeepEquals, []gladeapi.BackendServer{backendServer("a", true)})
	})
}
