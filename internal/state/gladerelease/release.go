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
	Service string
	Weight  int
}

// Route leads requests of one host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout ends a request, zero for none; Target is when a response, or a stream's first event, is still on time.
	Timeout time.Duration
	Target  time.Duration
	// EventGap is the longest pause between a stream's events that is on time, zero for none.
	EventGap time.Duration
	// Attempts is the largest number of backend servers that one request may be sent to.
	Attempts  int
	Priority  int
	Shares    []Share
	Public    bool
	Resumable bool
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
	Slots int
	// KVTokens is the number of tokens that a backend server's memory holds.
	KVTokens int
	// Copies tells that the engines keep copies of other engines' runs.
	Copies bool
	// CopyRetention is how long a copy outlives its last part.
	CopyRetention time.Duration
}

// Service is a pool of backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of all callers to one backend server.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits hold until a release is known; they are those of the users' first configuration.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Organisation is the holder of an API key.
type Organisation struct {
	Name     string
	Priority int
}

// Release is one version of the configuration.
type Release struct {
	Version       int64
	Routes        []Route
	Services      map[string]Service
	Limits        Limits
	Organisations map[string]Organisation // by API key
	// Restricted tells that requests need a key, unless their route is public.
	Restricted bool

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
