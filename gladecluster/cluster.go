package gladecluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladedaemon"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

// ModelName, PoolName, OrganisationName and APIKey are what the default note brings into force.
const (
	ModelName        = "glade-llm"
	PoolName         = "glade-llm"
	OrganisationName = "nile-fixer"
	APIKey           = "demo-key"
)

const readyTimeout = 30 * time.Second

// Config configures a Cluster.
type Config struct {
	// FailureDomains are the names of the failure domains; empty means one, called shubra.
	FailureDomains []string
	// Engines and VMs are the numbers in each failure domain; zero means two.
	Engines int
	VMs     int
	// Services is the number of plain services in each failure domain.
	Services int
	// Network runs the cluster in memory; nil means loopback TCP.
	Network *gladewire.Network
	// Engine configures all engines.
	Engine gladestandin.EngineConfig
	// Settings changes the settings of each VM, if set.
	Settings func(*gladeconfig.Settings)
	// Note is the first release note; nil means DefaultNote.
	Note  *gladenote.Note
	Log   hclog.Logger
	Check *gladecheck.Checker
}

// Server is one stand-in with its listener.
type Server struct {
	Backend gladeapi.BackendServer
	Engine  *gladestandin.Engine
	Service *gladestandin.Service
	// Kill closes the listener and all connections.
	Kill func()
}

// VM is one daemon.
type VM struct {
	Name   string
	Daemon *gladedaemon.Daemon
	// Stop drains the daemon and waits for its end.
	Stop func()
	// Dial reaches the VM as a caller does.
	Dial gladeapi.Dial
}

// URL returns the callers' base URL of the VM.
func (v *VM) URL() string {
	return "http://" + v.Daemon.EntryAddress()
}

// Cluster is a platform, engines and entry VMs.
type Cluster struct {
	Platform *gladestandin.Platform
	Engines  []*Server
	Services []*Server
	// Ledger counts the runs of all services.
	Ledger gladestandin.Ledger
	VMs    []*VM

	config  Config
	closers []func()
	mu      sync.Mutex
}

// DefaultNote returns a note with one model and one organisation without limits.
func DefaultNote() *gladenote.Note {
	return &gladenote.Note{
		Number: 1,
		Author: "demo",
		Title:  "first note",
		Added: gladenote.Content{
			Models: []gladenote.Model{{
				Name: ModelName, Pool: PoolName, DefaultVersion: "1", Context: 32768, MaxTokens: 16384,
			}},
			Routes:        DefaultRoutes(),
			Versions:      []gladenote.Version{{Model: ModelName, Name: "1", Weights: "weights://glade-llm/1"}},
			Organisations: []gladenote.Organisation{{Name: OrganisationName, KeyHashes: []string{gladenote.HashKey(APIKey)}}},
		},
	}
}

// New starts a cluster, waits until every VM is ready and returns its clean-up function.
func New(c Config) (*Cluster, func(), error) {
	if len(c.FailureDomains) == 0 {
		c.FailureDomains = []string{"shubra"}
	}
	if c.Engines == 0 {
		c.Engines = 2
	}
	if c.VMs == 0 {
		c.VMs = 2
	}
	if c.Note == nil {
		c.Note = DefaultNote()
	}
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	k := &Cluster{Platform: &gladestandin.Platform{}, config: c}
	if err := k.start(); err != nil {
		k.close()
		return nil, nil, err
	}
	return k, k.close, nil
}

func (k *Cluster) start() error {
	platform, _, err := k.serve("platform", k.Platform)
	if err != nil {
		return err
	}
	note, err := json.Marshal(k.config.Note)
	if err != nil {
		return eris.Wrap(err, "note")
	}
	k.Platform.Put(gladedaemon.KindNotes, strconv.FormatInt(k.config.Note.Number, 10), note)
	for _, domain := range k.config.FailureDomains {
		for i := range k.config.Engines {
			if err := k.addEngine(domain, i); err != nil {
				return err
			}
		}
		for i := range k.config.Services {
			if err := k.addService(domain, i); err != nil {
				return err
			}
		}
	}
	k.Publish()
	for _, domain := range k.config.FailureDomains {
		for i := range k.config.VMs {
			if err := k.addVM(domain, i, platform); err != nil {
				return err
			}
		}
	}
	return k.waitReady()
}

// Publish puts the current engines on the platform's list.
func (k *Cluster) Publish() {
	list := gladeapi.VMList{}
	for _, e := range k.Engines {
		list.Backends = append(list.Backends, e.Backend)
	}
	for _, s := range k.Services {
		list.Backends = append(list.Backends, s.Backend)
	}
	k.Platform.SetVMs(list)
}

func (k *Cluster) addEngine(domain string, i int) error {
	id := fmt.Sprintf("%s-engine-%d", domain, i+1)
	c := k.config.Engine
	c.ID = id
	engine := gladestandin.NewEngine(c)
	address, kill, err := k.serve(id, engine)
	if err != nil {
		return err
	}
	k.Engines = append(k.Engines, &Server{
		Engine: engine,
		Kill:   kill,
		Backend: gladeapi.BackendServer{
			ID: id, Kind: gladeapi.KindEngine, Address: address, FailureDomain: domain, Incarnation: "1", Pool: PoolName,
		},
	})
	return nil
}

func (k *Cluster) addVM(domain string, i int, platform string) error {
	name := fmt.Sprintf("%s-vm-%d", domain, i+1)
	s := gladeconfig.Default()
	s.VM = gladeconfig.VM{Name: name, FailureDomain: domain}
	s.Platform.Address = "http://" + platform
	s.Entry.LameDuck = 0
	s.Entry.Listen = k.address(name, 8080)
	s.Operators.Listen = k.address(name, 8081)
	s.Peers.Listen = k.address(name, 8082)
	if k.config.Settings != nil {
		k.config.Settings(&s)
	}
	dial, listen := k.seams(name)
	d, _, err := gladedaemon.New(gladedaemon.Config{
		Settings: s, Dial: dial, Listen: listen, Log: k.config.Log.Named(name), Check: k.config.Check,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := d.Run(ctx); err != nil {
			k.config.Log.Error("Daemon failed.", "vm", name, "error", err)
		}
	}()
	stop := func() {
		cancel()
		<-done
	}
	k.onClose(stop)
	client, _ := k.seams("client")
	k.VMs = append(k.VMs, &VM{Name: name, Daemon: d, Stop: stop, Dial: client})
	return nil
}

func (k *Cluster) address(host string, port int) string {
	if k.config.Network == nil {
		return "127.0.0.1:0"
	}
	return host + ":" + strconv.Itoa(port)
}

func (k *Cluster) seams(host string) (gladeapi.Dial, gladeapi.Listen) {
	if k.config.Network == nil {
		return (&net.Dialer{}).DialContext, net.Listen
	}
	h := k.config.Network.Host(host)
	return h.Dial, h.Listen
}

func (k *Cluster) serve(host string, h http.Handler) (string, func(), error) {
	_, listen := k.seams(host)
	l, err := listen("tcp", k.address(host, 80))
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	kill := sync.OnceFunc(func() {
		_ = s.Close()
		<-done
	})
	k.onClose(kill)
	return l.Addr().String(), kill, nil
}

func (k *Cluster) onClose(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closers = append(k.closers, f)
}

func (k *Cluster) close() {
	for i := len(k.closers) - 1; i >= 0; i-- {
		k.closers[i]()
	}
}

func (k *Cluster) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, v := range k.VMs {
		for !ready(v) {
			if time.Now().After(deadline) {
				return eris.Errorf("%s is not ready", v.Name)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func ready(v *VM) bool {
	client := v.Client()
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, v.URL()+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Client returns an HTTP client that reaches the VM as callers do.
func (v *VM) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: v.Dial}}
}
