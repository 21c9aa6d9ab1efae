package gladeapi

import (
	"context"
	"net"
	"time"
)

// Dial opens a network connection. Tests replace it to simulate the network.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Listen opens a network listener. Tests replace it to simulate the network.
type Listen func(network, address string) (net.Listener, error)

// BackendKind distinguishes model engines from plain services.
type BackendKind string

// The kinds of backend server.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
)

// BackendServer is one model engine or one instance of a plain service.
type BackendServer struct {
	ID            string      `json:"id"`
	Kind          BackendKind `json:"kind"`
	Address       string      `json:"address"`
	FailureDomain string      `json:"failureDomain"`
	// Incarnation changes whenever a new process starts serving at Address.
	Incarnation string `json:"incarnation"`
	// Pool is the name of the deployment that the server belongs to. Routes and models refer to it.
	Pool string `json:"pool"`
	// Leaving is set once the server is to be shut down. It is never reset within an incarnation.
	Leaving bool `json:"leaving,omitempty"`
	// LeaveBy is the time at which the server shuts down; it is zero if that is unknown.
	LeaveBy time.Time `json:"leaveBy,omitzero"`
}

// EntryVM is a VM that serves callers.
type EntryVM struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// PeerAddress is the address at which other VMs reach the VM.
	PeerAddress string `json:"peerAddress"`
	// EntryAddress is the address at which callers reach the VM.
	EntryAddress string `json:"entryAddress"`
	Incarnation  string `json:"incarnation"`
	Leaving      bool   `json:"leaving,omitempty"`
}

// VMList is the platform's list of live and leaving VMs. It may be out of date.
type VMList struct {
	Version  int64           `json:"version"`
	Backends []BackendServer `json:"backends"`
	Entries  []EntryVM       `json:"entries"`
}

// LoadReport is the load that a backend server reports. It may be out of date when it arrives.
type LoadReport struct {
	Backend     string `json:"backend"`
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// CacheUsed is the fraction of the prefix cache in use, from 0 to 1.
	CacheUsed float64 `json:"cacheUsed"`
	// Targets lists the weights that the engine has loaded.
	Targets []string `json:"targets"`
	// Taken is the time at which the server measured the load.
	Taken time.Time `json:"taken"`
}

// Requirements describe the request for which a backend server is chosen.
type Requirements struct {
	// Target is set if an engine is chosen.
	Target Target
	// Pool is set if an instance of a plain service is chosen.
	Pool string
	// Blocks are the hashes of the prompt's leading blocks, shortest prefix first.
	Blocks []uint64
	// Tokens is the expected number of tokens to generate.
	Tokens int
	// Avoid lists backend servers that must not be chosen.
	Avoid []string
	// Resume is set for an attempt that continues after tokens were delivered.
	Resume bool
	// Isolate requests an engine that runs no other request suspected of crashing engines.
	Isolate bool
}

// Outcome is the result of a use of a backend server, as reported to the router.
type Outcome int

// The outcomes of a use of a backend server.
const (
	OutcomeDone Outcome = iota
	OutcomeCancelled
	OutcomeFailed
	OutcomeStalled
)

// Choice is a chosen backend server. It counts as in use until Release is called.
type Choice struct {
	Backend BackendServer
	// Reason is the rule of the router that chose the server.
	Reason string
	// Release ends the use of the server and must be called exactly once.
	Release func(Outcome)
}
