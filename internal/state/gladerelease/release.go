package gladerelease

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells what of a route's requests may be repeated.
type Kind int

// The kinds of routes; Unsafe is the zero value, so that what is not known is never repeated.
const (
	Unsafe Kind = iota
	Safe
	Stream
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream"}[k]
}

// Share is one service of a route that is split by weight.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route leads requests of one host and path prefix to services.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"`
	Kind       Kind   `json:"kind"`
	// Timeout ends a request, zero for none; Target is when a response, or a stream's first event, is still on time.
	Timeout time.Duration `json:"timeout"`
	Target  time.Duration `json:"target"`
	// EventGap is the longest pause between a stream's events that is on time, zero for none.
	EventGap time.Duration `json:"eventGap"`
	// Attempts is the largest number of backend servers that one request may be sent to.
	Attempts  int     `json:"attempts"`
	Priority  int     `json:"priority"`
	Shares    []Share `json:"shares"`
	Public    bool    `json:"public"`
	Resumable bool    `json:"resumable"`
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service returns the service of a request, by weight and the hash of its identifier.
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

// Engine is what the configuration tells of a service of model engines.
type Engine struct {
	Slots int `json:"slots"`
	// KVTokens is the number of tokens that a backend server's memory holds.
	KVTokens int `json:"kvTokens"`
	// Copies tells that the engines keep copies of other engines' runs.
	Copies bool `json:"copies"`
	// CopyRetention is how long a copy outlives its last part.
	CopyRetention time.Duration `json:"copyRetention"`
}

// Service is a pool of backend servers.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// MaxConnections bounds the connections of all callers to one backend server.
	MaxConnections int `json:"maxConnections"`
	// Engine is nil for plain services.
	Engine *Engine `json:"engine"`
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// DefaultLimits hold until a release is known; they are those of the users' first configuration.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Organisation is the holder of an API key.
type Organisation struct {
	Name string `json:"name"`
	// Priority holds for the organisation's requests in place of their routes', if Prioritised.
	Priority    int  `json:"priority"`
	Prioritised bool `json:"prioritised"`
}

// Release is one version of the configuration.
type Release struct {
	Version       int64                   `json:"version"`
	Routes        []Route                 `json:"routes"`
	Services      map[string]Service      `json:"services"`
	Limits        Limits                  `json:"limits"`
	Organisations map[string]Organisation `json:"organisations"` // by API key
	// Restricted tells that requests need a key, unless their route is public.
	Restricted bool `json:"restricted"`

	hosts map[string][]*Route
}

// Index prepares a release for Match; it is called once, before the release is shared.
func (r *Release) Index() {
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

// Match returns the route of the longest prefix that begins the path, or nil.
func (r *Release) Match(host, path string) *Route {
	for _, route := range r.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}
