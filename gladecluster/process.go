package gladecluster

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladedaemon"
	"github.com/eelgrassglade/eelgrassglade/gladekernel"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
)

// ErrUnknownHost is returned if no live VM or backend server has the given name.
var ErrUnknownHost = eris.New("no live VM or backend server")

const (
	entryPort     = 8080
	operatorsPort = 8081
	peersPort     = 8082

	// balancerDelay is the time for which the balancer still sends requests to a stopping VM.
	balancerDelay = 500 * time.Millisecond
	lameDuck      = 2 * balancerDelay

	serviceRunTime = 5 * time.Millisecond
)

func (k *Cluster) startEngine(domain, id string) error {
	c := k.config.Engine
	c.ID = id
	c.Incarnation = k.nextIncarnation()
	s := &Server{Backend: gladeapi.BackendServer{
		ID: id, Kind: gladeapi.KindEngine, FailureDomain: domain, Incarnation: c.Incarnation, Pool: k.config.EnginePool,
	}}
	c.Crash = func() { s.Kill() }
	s.Engine = gladestandin.NewEngine(c)
	k.onClose(s.Engine.Close)
	if err := k.startServer(s, s.Engine); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Engines = append(k.Engines, s)
	return nil
}

func (k *Cluster) startService(domain, id string) error {
	service := gladestandin.NewService(gladestandin.ServiceConfig{ID: id, RunTime: serviceRunTime, RunCounter: k.RunCounter})
	s := &Server{Service: service, Backend: gladeapi.BackendServer{
		ID: id, Kind: gladeapi.KindService, FailureDomain: domain, Incarnation: k.nextIncarnation(), Pool: k.config.ServicePool,
	}}
	if err := k.startServer(s, service); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Services = append(k.Services, s)
	return nil
}

func (k *Cluster) startServer(s *Server, h http.Handler) error {
	id := s.Backend.ID
	address, kill, err := k.serve(id, k.reportArrivals(s, h))
	if err != nil {
		return err
	}
	s.Backend.Address = address
	s.Kill = func() {
		k.mu.Lock()
		s.Killed = true
		k.mu.Unlock()
		kill()
		if s.Engine != nil {
			s.Engine.Close()
		}
	}
	return nil
}

func (k *Cluster) nextIncarnation() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastIncarnation++
	return strconv.Itoa(k.lastIncarnation)
}

func (k *Cluster) startVM(domain, name string) (*VM, error) {
	n := k.host(name)
	d, _, err := gladedaemon.New(gladedaemon.Config{
		Settings: k.settings(domain, name), Dial: n.dial, Listen: n.listen,
		WrapCallers: func(h http.Handler) http.Handler { return k.config.Wrap(name, h) },
		Log:         k.config.Log.Named(name), Check: k.config.Check,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := d.Run(ctx); err != nil {
			k.config.Log.Error("Daemon failed.", "vm", name, "error", err)
		}
	}()
	v := &VM{Name: name, FailureDomain: domain, Daemon: d, Dial: k.host(CallerHost).dial, Entry: entryVM(d)}
	v.Stop = func() {
		cancel()
		time.AfterFunc(balancerDelay, func() { k.removeFromBalancer(v) })
		<-done
		k.removeLive(v)
	}
	v.Kill = sync.OnceFunc(func() {
		k.removeLive(v)
		n.kill()
	})
	k.onClose(func() {
		cancel()
		<-done
	})
	if k.config.OnVM != nil {
		k.config.OnVM(v)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.VMs = append(k.VMs, v)
	k.live = append(k.live, v)
	return v, nil
}

func (k *Cluster) settings(domain, name string) gladeconfig.Settings {
	s := gladeconfig.Default()
	s.VM = gladeconfig.VM{Name: name, FailureDomain: domain}
	s.Platform.Address = "http://" + k.platform
	s.Entry.LameDuck = 0
	if k.config.Network != nil {
		s.Entry.LameDuck = gladeconfig.Duration(lameDuck)
	}
	s.Entry.Listen = k.address(name, entryPort)
	s.Operators.Listen = k.address(name, operatorsPort)
	s.Peers.Listen = k.address(name, peersPort)
	s.Operators.Insecure = true
	s.Peers.Insecure = true
	if k.config.Settings != nil {
		k.config.Settings(&s)
	}
	return s
}

func entryVM(d *gladedaemon.Daemon) gladeapi.EntryVM {
	node, err := gladekernel.Lookup[*gladepeer.Node](d.Kernel(), gladedaemon.ServicePeers)
	if err != nil {
		return gladeapi.EntryVM{EntryAddress: d.EntryAddress()}
	}
	e := node.Self().EntryVM
	e.EntryAddress = d.EntryAddress()
	return e
}

// removeFromBalancer stops new requests to a stopping VM.
func (k *Cluster) removeFromBalancer(v *VM) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v.stopping = true
}

func (k *Cluster) removeLive(v *VM) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, l := range k.live {
		if l == v {
			k.live = append(k.live[:i:i], k.live[i+1:]...)
			return
		}
	}
}

// LiveVMs returns the VMs that have been neither stopped nor killed.
func (k *Cluster) LiveVMs() []*VM {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]*VM(nil), k.live...)
}

// VM returns a live VM by name.
func (k *Cluster) VM(name string) (*VM, error) {
	for _, v := range k.LiveVMs() {
		if v.Name == name {
			return v, nil
		}
	}
	return nil, eris.Wrap(ErrUnknownHost, name)
}

// Engine returns a live engine by its identifier.
func (k *Cluster) Engine(id string) (*Server, error) {
	for _, e := range k.LiveEngines() {
		if e.Backend.ID == id {
			return e, nil
		}
	}
	return nil, eris.Wrap(ErrUnknownHost, id)
}

// Service returns a live plain service by its identifier.
func (k *Cluster) Service(id string) (*Server, error) {
	for _, s := range k.LiveServices() {
		if s.Backend.ID == id {
			return s, nil
		}
	}
	return nil, eris.Wrap(ErrUnknownHost, id)
}

// LiveEngines returns the engines that have not been killed.
func (k *Cluster) LiveEngines() []*Server {
	return k.liveServers(&k.Engines)
}

// LiveServices returns the plain services that have not been killed.
func (k *Cluster) LiveServices() []*Server {
	return k.liveServers(&k.Services)
}

func (k *Cluster) liveServers(servers *[]*Server) []*Server {
	k.mu.Lock()
	defer k.mu.Unlock()
	var live []*Server
	for _, s := range *servers {
		if !s.Killed {
			live = append(live, s)
		}
	}
	return live
}

// ReplaceVM starts a VM with a new name and no state in a failure domain and publishes it on the platform's list.
func (k *Cluster) ReplaceVM(domain string) (*VM, error) {
	v, err := k.startVM(domain, fmt.Sprintf("%s-vm-r%s", domain, k.nextIncarnation()))
	if err != nil {
		return nil, err
	}
	k.Publish()
	return v, nil
}

// RestartEngine kills an engine if it is live and starts its next incarnation at once.
func (k *Cluster) RestartEngine(id string) error {
	if e, err := k.Engine(id); err == nil {
		e.Kill()
	}
	for _, e := range k.Engines {
		if e.Backend.ID == id {
			if err := k.startEngine(e.Backend.FailureDomain, id); err != nil {
				return err
			}
			k.Publish()
			return nil
		}
	}
	return eris.Wrap(ErrUnknownHost, id)
}

// Publish replaces the platform's list with the live engines, plain services and VMs.
func (k *Cluster) Publish() {
	list := gladeapi.VMList{}
	for _, e := range k.LiveEngines() {
		list.Backends = append(list.Backends, e.Backend)
	}
	for _, s := range k.LiveServices() {
		list.Backends = append(list.Backends, s.Backend)
	}
	for _, v := range k.LiveVMs() {
		list.Entries = append(list.Entries, v.Entry)
	}
	k.Platform.SetVMs(list)
}
