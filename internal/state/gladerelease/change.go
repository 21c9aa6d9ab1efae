package gladerelease

import (
	"encoding/binary"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Errors of Apply.
var (
	// ErrOtherBase means that a change does not lead on from a release.
	ErrOtherBase = eris.New("the change follows another release")
	// ErrDigest means that a change does not lead to the release that it was made from: the release before it differed.
	ErrDigest = eris.New("the change leads to another release")
)

// Change holds what differs between two releases. It costs a small part of a release, of which most stays the same.
type Change struct {
	// Before is the version that the change follows, and Version the one that it leads to.
	Before  int64 `json:"before"`
	Version int64 `json:"version"`
	// Routes holds new and changed routes, and RemovedRoutes the names of removed ones.
	Routes        []Route  `json:"routes,omitempty"`
	RemovedRoutes []string `json:"removedRoutes,omitempty"`
	// RoutePositions holds the index of each of Routes in the list of the release that the change leads to.  If it is empty, changed
	// routes keep their places and new ones follow all others.
	RoutePositions []int `json:"routePositions,omitempty"`
	// Services and Organisations hold new and changed values; the others the keys of removed ones.
	Services             map[string]Service      `json:"services,omitempty"`
	RemovedServices      []string                `json:"removedServices,omitempty"`
	Organisations        map[string]Organisation `json:"organisations,omitempty"`
	RemovedOrganisations []string                `json:"removedOrganisations,omitempty"`
	// Limits is nil if they stay the same.
	Limits     *Limits `json:"limits,omitempty"`
	Restricted bool    `json:"restricted,omitempty"`
	// Digest is the hash of the release that the change leads to.
	Digest uint64 `json:"digest"`
}

// Diff returns the change from one release to another. It returns false if a change cannot express the difference: names of
// routes that are not unique, another order of the routes that stay the same, or a new or changed route with the host and prefix of another.
func Diff(before, after *Release) (Change, bool) {
	c := Change{Before: before.Version, Version: after.Version, Restricted: after.Restricted, Digest: after.digest}
	old, ok := routesByName(before.Routes)
	if !ok {
		return Change{}, false
	}
	next, ok := routesByName(after.Routes)
	if !ok {
		return Change{}, false
	}
	var positions []int
	for i := range after.Routes {
		yield(i)
		r := &after.Routes[i]
		if o := old[r.Name]; o == nil || !o.equal(r) {
			c.Routes, positions = append(c.Routes, *r), append(positions, i)
		}
	}
	for i := range before.Routes {
		if name := before.Routes[i].Name; next[name] == nil {
			c.RemovedRoutes = append(c.RemovedRoutes, name)
		}
	}
	if !leadsTo(before.Routes, c, after.Routes) {
		if c.RoutePositions = positions; !leadsTo(before.Routes, c, after.Routes) {
			return Change{}, false
		}
	}
	if len(c.Routes) > 0 && dependsOnOrder(c, after.Routes) {
		return Change{}, false
	}
	c.Services, c.RemovedServices = diffMaps(before.Services, after.Services, Service.equal)
	same := func(a, b Organisation) bool { return a == b }
	c.Organisations, c.RemovedOrganisations = diffMaps(before.Organisations, after.Organisations, same)
	if before.Limits != after.Limits {
		c.Limits = &after.Limits
	}
	return c, true
}

// dependsOnOrder reports whether a new or changed route of a change has the host and prefix of another route, so that the first of them
// counts.  Builds that ignore positions may have the routes in another order, which the digest does not show.
func dependsOnOrder(c Change, after []Route) bool {
	type key struct{ host, prefix string }
	seen := make(map[key]int, len(c.Routes))
	for i := range c.Routes {
		seen[key{strings.ToLower(c.Routes[i].Host), c.Routes[i].PathPrefix}] = 0
	}
	for i := range after {
		k := key{strings.ToLower(after[i].Host), after[i].PathPrefix}
		if n, ok := seen[k]; ok {
			if n > 0 {
				return true
			}
			seen[k] = 1
		}
	}
	return false
}

// leadsTo reports whether a change of routes leads to others, in their order.
func leadsTo(before []Route, c Change, after []Route) bool {
	next, ok := applyRoutes(before, c)
	return ok && slices.EqualFunc(next, after, func(a, b Route) bool { return a.Name == b.Name })
}

func routesByName(routes []Route) (map[string]*Route, bool) {
	byName := make(map[string]*Route, len(routes))
	for i := range routes {
		byName[routes[i].Name] = &routes[i]
	}
	return byName, len(byName) == len(routes)
}

// equal reports whether two routes are the same.
func (r *Route) equal(o *Route) bool {
	a, b := *r, *o
	a.Shares, b.Shares = nil, nil
	return reflect.DeepEqual(a, b) && slices.Equal(r.Shares, o.Shares)
}

// equal reports whether two services are the same.
func (s Service) equal(o Service) bool {
	a, b := s, o
	a.Engine, b.Engine = nil, nil
	return a == b && (s.Engine == nil) == (o.Engine == nil) && (s.Engine == nil || *s.Engine == *o.Engine)
}

func diffMaps[V any](before, after map[string]V, same func(a, b V) bool) (changed map[string]V, removed []string) {
	compared := 0
	for k, v := range after {
		yield(compared)
		compared++
		if o, ok := before[k]; !ok || !same(o, v) {
			if changed == nil {
				changed = map[string]V{}
			}
			changed[k] = v
		}
	}
	for k := range before {
		yield(compared)
		compared++
		if _, ok := after[k]; !ok {
			removed = append(removed, k)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

// applyRoutes returns the routes after a change.  It returns false if the positions of the change are not those of a list of that length.
func applyRoutes(routes []Route, c Change) ([]Route, bool) {
	if len(c.RoutePositions) > 0 {
		return insertRoutes(routes, c)
	}
	changed, _ := routesByName(c.Routes)
	removed := setOf(c.RemovedRoutes)
	next := make([]Route, 0, len(routes)+len(c.Routes))
	for i := range routes {
		name := routes[i].Name
		switch r := changed[name]; {
		case removed[name]:
		case r != nil:
			next = append(next, *r)
			delete(changed, name)
		default:
			next = append(next, routes[i])
		}
	}
	for i := range c.Routes {
		if changed[c.Routes[i].Name] != nil {
			next = append(next, c.Routes[i])
		}
	}
	return next, true
}

// insertRoutes returns the routes that stay the same, in their order, with those of the change at their positions.
func insertRoutes(routes []Route, c Change) ([]Route, bool) {
	changed, unique := routesByName(c.Routes)
	if !unique || len(c.RoutePositions) != len(c.Routes) {
		return nil, false
	}
	removed := setOf(c.RemovedRoutes)
	next, inserted := make([]Route, 0, len(routes)+len(c.Routes)), 0
	insert := func() {
		for inserted < len(c.Routes) && c.RoutePositions[inserted] == len(next) {
			next = append(next, c.Routes[inserted])
			inserted++
		}
	}
	insert()
	for i := range routes {
		if name := routes[i].Name; !removed[name] && changed[name] == nil {
			next = append(next, routes[i])
			insert()
		}
	}
	return next, inserted == len(c.Routes)
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// computeDigest returns a hash of the release that does not depend on the order of its parts.
func (r *Release) computeDigest() uint64 {
	digest := r.headDigest()
	for i := range r.Routes {
		yield(i)
		digest ^= r.Routes[i].digest()
	}
	for name, s := range r.Services {
		digest ^= serviceDigest(name, s)
	}
	hashed := 0
	for key, o := range r.Organisations {
		yield(hashed)
		hashed++
		digest ^= organisationDigest(key, o)
	}
	return digest
}

// digestAfter returns the digest of the release that a change leads to.  It hashes only what changes: hashing thousands of routes for
// each of several changes a second would take most of a small VM's processor time.
func (r *Release) digestAfter(c Change, next *Release) uint64 {
	digest := r.digest ^ r.headDigest() ^ next.headDigest()
	replaced := setOf(c.RemovedRoutes)
	for i := range c.Routes {
		yield(i)
		replaced[c.Routes[i].Name] = true
		digest ^= c.Routes[i].digest()
	}
	for i := range r.Routes {
		if replaced[r.Routes[i].Name] {
			digest ^= r.Routes[i].digest()
		}
	}
	digest ^= digestOfChange(r.Services, c.Services, c.RemovedServices, serviceDigest)
	return digest ^ digestOfChange(r.Organisations, c.Organisations, c.RemovedOrganisations, organisationDigest)
}

// digestOfChange returns the difference that a change of a map makes to the digest.
func digestOfChange[V any](values, changed map[string]V, removed []string, digestOf func(string, V) uint64) uint64 {
	digest := uint64(0)
	for k, v := range changed {
		digest ^= digestOf(k, v)
		if old, ok := values[k]; ok {
			digest ^= digestOf(k, old)
		}
	}
	for _, k := range removed {
		if old, ok := values[k]; ok {
			digest ^= digestOf(k, old)
		}
	}
	return digest
}

// headDigest returns the hash of the fields that are no lists.
func (r *Release) headDigest() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d %t %+v", r.Version, r.Restricted, r.Limits))
}

func (r *Route) digest() uint64 {
	var text [512]byte
	return xxhash.Sum64(r.appendText(text[:0]))
}

// appendText appends what the verb %+v of fmt prints for a route, so that digests are those of builds that use fmt, which is slower.
func (r *Route) appendText(b []byte) []byte {
	if r.Kind < 0 || int(r.Kind) >= len(kindNames) {
		return fmt.Appendf(b, "%+v", *r)
	}
	b = append(append(b, "{Name:"...), r.Name...)
	b = append(append(b, " Host:"...), r.Host...)
	b = append(append(b, " PathPrefix:"...), r.PathPrefix...)
	b = append(append(b, " Kind:"...), r.Kind.String()...)
	b = append(append(b, " Timeout:"...), r.Timeout.String()...)
	b = append(append(b, " Target:"...), r.Target.String()...)
	b = append(append(b, " EventGap:"...), r.EventGap.String()...)
	b = strconv.AppendInt(append(b, " Attempts:"...), int64(r.Attempts), 10)
	b = strconv.AppendInt(append(b, " Priority:"...), int64(r.Priority), 10)
	b = append(b, " Shares:["...)
	for i, s := range r.Shares {
		if i > 0 {
			b = append(b, ' ')
		}
		b = append(append(b, "{Service:"...), s.Service...)
		b = append(strconv.AppendInt(append(b, " Weight:"...), int64(s.Weight), 10), '}')
	}
	b = strconv.AppendBool(append(b, "] Public:"...), r.Public)
	b = strconv.AppendBool(append(b, " Resumable:"...), r.Resumable)
	return append(b, '}')
}

func serviceDigest(name string, s Service) uint64 {
	engine := s.Engine
	s.Engine = nil
	return xxhash.Sum64String(fmt.Sprintf("%s %+v %+v", name, s, engine))
}

func organisationDigest(key string, o Organisation) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(o.Name)
	var number [9]byte
	binary.LittleEndian.PutUint64(number[:], uint64(o.Priority))
	if o.Prioritised {
		number[8] = 1
	}
	_, _ = d.Write(number[:])
	return d.Sum64()
}

// Apply returns the release after a change, ready for Match. Its errors are ErrOtherBase and ErrDigest.
func (r *Release) Apply(c Change) (*Release, error) {
	if c.Before != r.Version || c.Version <= c.Before {
		return nil, eris.Wrapf(ErrOtherBase, "%d to %d, not from %d", c.Before, c.Version, r.Version)
	}
	routes, ok := applyRoutes(r.Routes, c)
	if !ok {
		return nil, eris.Wrapf(ErrDigest, "version %d: positions of routes", c.Version)
	}
	next := &Release{
		Version: c.Version, Routes: routes, Limits: r.Limits, Restricted: c.Restricted,
		Services:      applyMap(r.Services, c.Services, c.RemovedServices),
		Organisations: applyMap(r.Organisations, c.Organisations, c.RemovedOrganisations),
	}
	if c.Limits != nil {
		next.Limits = *c.Limits
	}
	if next.digest = r.digestAfter(c, next); next.digest != c.Digest {
		return nil, eris.Wrapf(ErrDigest, "version %d", c.Version)
	}
	next.indexHosts()
	return next, nil
}

// applyMap returns a map after a change; it shares a map that stays the same.
func applyMap[V any](values, changed map[string]V, removed []string) map[string]V {
	if len(changed) == 0 && len(removed) == 0 {
		return values
	}
	next := make(map[string]V, len(values)+len(changed))
	copied := 0
	for k, v := range values {
		yield(copied)
		copied++
		next[k] = v
	}
	maps.Copy(next, changed)
	for _, k := range removed {
		delete(next, k)
	}
	return next
}

const (
	// maxHistory is the number of changes that a History keeps.
	maxHistory = 32
	// maxHistoryItems bounds the routes, services and organisations in them.
	maxHistoryItems = 4096
)

// History keeps the newest changes of a VM's release, for VMs that miss some. Its zero value is empty.
type History struct {
	mu      sync.Mutex
	changes []Change
	items   int
}

// size returns the number of values in a change.
func (c Change) size() int {
	return len(c.Routes) + len(c.RemovedRoutes) + len(c.Services) + len(c.RemovedServices) + len(c.Organisations) + len(c.RemovedOrganisations)
}

// Add adds the change to the newest release.
func (h *History) Add(c Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if last := len(h.changes) - 1; last >= 0 && h.changes[last].Version != c.Before {
		h.changes, h.items = nil, 0
	}
	h.changes = append(h.changes, c)
	h.items += c.size()
	for len(h.changes) > maxHistory || h.items > maxHistoryItems {
		h.items -= h.changes[0].size()
		h.changes = slices.Delete(h.changes, 0, 1)
	}
}

// Reset forgets all changes, after a difference that no Change expresses.
func (h *History) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes, h.items = nil, 0
}

// Since returns the changes that lead from a version to the newest release, or nil if they are not known.
func (h *History) Since(version int64) []Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := slices.IndexFunc(h.changes, func(c Change) bool { return c.Before == version })
	if at < 0 {
		return nil
	}
	return slices.Clone(h.changes[at:])
}
