package gladerelease

import (
	"cmp"
	"encoding/json"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind classifies a route by whether its requests may be retried.
type Kind int

// The kinds of routes. Unsafe is the zero value, so that requests of an unknown kind are never retried.
const (
	Unsafe Kind = iota
	Safe
	Stream
)

var kindNames = [...]string{"unsafe", "safe", "stream"}

// String returns the name used in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Share is a service's weight in a route that is split between services.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route assigns the requests of one host and path prefix to services.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"`
	Kind       Kind   `json:"kind"`
	// Timeout limits the duration of a request, zero for no limit.
	Timeout time.Duration `json:"timeout"`
	// Target is the time within which a response, or the first event of a stream, counts as on time.
	Target time.Duration `json:"target"`
	// EventGap is the longest pause between two events of a stream that counts as on time, zero for no limit.
	EventGap time.Duration `json:"eventGap"`
	// Attempts limits the number of backend servers to which one request may be sent.
	Attempts  int     `json:"attempts"`
	Priority  int     `json:"priority"`
	Shares    []Share `json:"shares"`
	Public    bool    `json:"public"`
	Resumable bool    `json:"resumable"`
}

// decoded counts the routes and organisations that were decoded.
var decoded atomic.Int64

// decodeYieldInterval is the number of decoded routes between two yields.  With a yield for each one a VM with many runnable goroutines waits
// for seconds for a release.
const decodeYieldInterval = 16

// UnmarshalJSON decodes a route and yields the processor once for each decodeYieldInterval routes.
func (r *Route) UnmarshalJSON(raw []byte) error {
	if decoded.Add(1)%decodeYieldInterval == 0 {
		runtime.Gosched()
	}
	type plain Route
	return json.Unmarshal(raw, (*plain)(r))
}

// yieldInterval is the number of routes or organisations between two yields.
const yieldInterval = 64

// yield lets other goroutines run at the start of each yieldInterval of a loop over a release.  On a VM with a part of one processor the
// work for thousands of routes takes 0.1 s, and the scheduler alone interrupts it after 10 ms of processor time: events of streams would be late.
func yield(i int) {
	if i%yieldInterval == 0 {
		runtime.Gosched()
	}
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service returns the service for a request, by weight and the hash of its identifier, or "" if the weights sum to
// zero.
func (r *Route) Service(requestID string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// Engine configures a service of model engines.
type Engine struct {
	Slots int `json:"slots"`
	// KVTokens is the number of tokens that fit into a backend server's memory.
	KVTokens int `json:"kvTokens"`
	// Copies reports that engines keep copies of other engines' runs.
	Copies bool `json:"copies"`
	// CopyRetention is how long a copy is kept after its last part was received.
	CopyRetention time.Duration `json:"copyRetention"`
}

// Service is a pool of backend servers.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// MaxConnections limits the connections of all callers to one backend server.
	MaxConnections int `json:"maxConnections"`
	// Engine is nil for plain services.
	Engine *Engine `json:"engine"`
}

// Limits bounds the size of a client's requests and the time that the client may take.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// DefaultLimits apply until a release is known. They are the limits in the users' first configuration.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// OrDefaults returns the limits with those of DefaultLimits in place of the ones that are not positive.
func (l Limits) OrDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultLimits.HeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = DefaultLimits.BodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultLimits.IdleTimeout
	}
	return l
}

// Organisation is the holder of an API key.
type Organisation struct {
	Name string `json:"name"`
	// Priority replaces the priority of the route if Prioritised is set.
	Priority    int  `json:"priority"`
	Prioritised bool `json:"prioritised"`
}

// UnmarshalJSON decodes an organisation and yields the processor once for each yieldInterval of them.
func (o *Organisation) UnmarshalJSON(raw []byte) error {
	yield(int(decoded.Add(1)))
	type plain Organisation
	return json.Unmarshal(raw, (*plain)(o))
}

// Release is one version of the configuration.
type Release struct {
	Version       int64                   `json:"version"`
	Routes        []Route                 `json:"routes"`
	Services      map[string]Service      `json:"services"`
	Limits        Limits                  `json:"limits"`
	Organisations map[string]Organisation `json:"organisations"` // by API key
	// Restricted reports that requests need an API key, except on public routes.
	Restricted bool `json:"restricted"`

	hosts  map[string][]*Route
	digest uint64
}

// Index prepares a release for Match. It must be called once, before the release is shared.
func (r *Release) Index() {
	r.digest = r.computeDigest()
	r.indexHosts()
}

// indexHosts prepares the lookup of routes by host.
func (r *Release) indexHosts() {
	r.hosts = make(map[string][]*Route, len(r.Routes))
	for i := range r.Routes {
		route := &r.Routes[i]
		host := strings.ToLower(route.Host)
		r.hosts[host] = append(r.hosts[host], route)
	}
	for _, routes := range r.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
}

// Match returns the route of a host with the longest prefix of the path, or nil if there is none.
func (r *Release) Match(host, path string) *Route {
	for _, route := range r.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}
