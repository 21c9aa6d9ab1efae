package gladecluster

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"

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
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

// The names and the API key in the default note.
const (
	// ModelName is the name of the model.
	ModelName = "glade-llm"
	// PoolName is the default pool of the engines.
	PoolName = "glade-llm"
	// DefaultServicePool is the default pool of the plain services.
	DefaultServicePool = "returns-app"
	// OrganisationName is the name of the organisation.
	OrganisationName = "nile-fixer"
	// APIKey is the API key of the organisation.
	APIKey = "demo-key"
)

// The host names on an in-memory network.
const (
	// PlatformHost is the host of the platform.
	PlatformHost = "platform"
	// CallerHost is the host of all callers.
	CallerHost = "client"
)

const readyTimeout = 30 * time.Second

// Config configures a Cluster.
type Config struct {
	// FailureDomains are the names of the failure domains; empty means shubra alone.
	FailureDomains []string
	// Engines is the number of engines in each failure domain; zero means 2.
	Engines int
	// VMs is the number of VMs in each failure domain; zero means 2.
	VMs int
	// Services is the number of plain services in each failure domain.
	Services int
	// EnginePool is the pool of the engines; empty means PoolName.
	EnginePool string
	// ServicePool is the pool of the plain services; empty means DefaultServicePool.
	ServicePool string
	// Network runs the cluster in memory; nil means loopback TCP.
	Network *gladewire.Network
	// Engine configures all engines.
	Engine gladestandin.EngineConfig
	// Settings changes the settings of each VM before it starts, if set.
	Settings func(*gladeconfig.Settings)
	// Note is the first release note; nil means DefaultNote.
	Note *gladenote.Note
	// Wrap wraps the handler of each stand-in and the caller-facing handler of each VM, if set.
	Wrap func(host string, h http.Handler) http.Handler
	// OnVM is called with each VM after its start, if set.
	OnVM func(*VM)
	// OnArrival is called with each request that reaches a backend server, if set.
	OnArrival func(Arrival)
	Log       hclog.Logger
	Check     *gladecheck.Checker
}

// Server is a running stand-in of a backend server.
type Server struct {
	Backend gladeapi.BackendServer
	// Engine is the stand-in of an engine, otherwise nil.
	Engine *gladestandin.Engine
	// Service is the stand-in of a plain service, otherwise nil.
	Service *gladestandin.Service
	// Killed is true after Kill.
	Killed bool
	// Kill closes the listener and all connections.
	Kill func()
}

// VM is a daemon in this process.
type VM struct {
	Name string
	// FailureDomain is the name of the VM's failure domain.
	FailureDomain string
	Daemon        *gladedaemon.Daemon
	// Stop drains the daemon and returns when it has ended.
	Stop func()
	// Kill closes the daemon's connections and listeners at once, as the death of its process does.
	Kill func()
	// Entry is the VM's entry in the platform's list.
	Entry gladeapi.EntryVM
	// Dial connects to the VM from the callers' host.
	Dial gladeapi.Dial

	// stopping is true once the balancer sends the VM no new requests.
	stopping bool
}

// URL returns the base URL of the VM for callers.
func (v *VM) URL() string {
	return "http://" + v.Daemon.EntryAddress()
}

// Cluster is a platform with backend servers and entry VMs in one process.
type Cluster struct {
	Platform *gladestandin.Platform
	Engines  []*Server
	Services []*Server
	VMs      []*VM
	// RunCounter counts the runs of all plain services.
	RunCounter *gladestandin.RunCounter

	config          Config
	platform        string
	closers         []func()
	lastIncarnation int
	live            []*VM
	mu              sync.Mutex
}

// DefaultNote returns a note with one model, the default routes and one organisation without limits.
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
	c.EnginePool = cmp.Or(c.EnginePool, PoolName)
	c.ServicePool = cmp.Or(c.ServicePool, DefaultServicePool)
	if c.Wrap == nil {
		c.Wrap = func(_ string, h http.Handler) http.Handler { return h }
	}
	k := &Cluster{Platform: &gladestandin.Platform{}, RunCounter: &gladestandin.RunCounter{}, config: c}
	if err := k.start(); err != nil {
		k.close()
		return nil, nil, err
	}
	return k, k.close, nil
}

func (k *Cluster) start() error {
	platform, _, err := k.serve(PlatformHost, k.Platform)
	if err != nil {
		return err
	}
	k.platform = platform
	note, err := json.Marshal(k.config.Note)
	if err != nil {
		return eris.Wrap(err, "encode the first note")
	}
	k.Platform.Put(gladedaemon.KindNotes, strconv.FormatInt(k.config.Note.Number, 10), note)
	for _, domain := range k.config.FailureDomains {
		for i := range k.config.Engines {
			if err := k.startEngine(domain, fmt.Sprintf("%s-engine-%d", domain, i+1)); err != nil {
				return err
			}
		}
		for i := range k.config.Services {
			if err := k.startService(domain, fmt.Sprintf("%s-service-%d", domain, i+1)); err != nil {
				return err
			}
		}
	}
	k.Publish()
	for _, domain := range k.config.FailureDomains {
		for i := range k.config.VMs {
			if _, err := k.startVM(domain, fmt.Sprintf("%s-vm-%d", domain, i+1)); err != nil {
				return err
			}
		}
	}
	k.Publish()
	return k.waitReady()
}

func (k *Cluster) address(host string, port int) string {
	if k.config.Network == nil {
		return "127.0.0.1:0"
	}
	return host + ":" + strconv.Itoa(port)
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
	for _, v := range k.LiveVMs() {
		for !ready(v) {
			if time.Now().After(deadline) {
				return eris.Errorf("VM %s is not ready after %s", v.Name, readyTimeout)
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
	response, err := gladestatus.Do(client, request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Client returns an HTTP client that connects to the VM from the callers' host.
func (v *VM) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: v.Dial}}
}
