package gladenote

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// The errors of Resolve and Apply.
var (
	// ErrUnknownModel means that no model or adapter has the name.
	ErrUnknownModel = eris.New("unknown model")
	// ErrUnknownVersion means that the model has no such version.
	ErrUnknownVersion = eris.New("unknown version")
	// ErrOutOfOrder means that a note is not the successor of the state.
	ErrOutOfOrder = eris.New("release note out of order")
)

const (
	shardCount = 256
	maxRecent  = 256
)

// Summary identifies an accepted note.
type Summary struct {
	Number   int64     `json:"number"`
	Nonce    string    `json:"nonce"`
	Author   string    `json:"author"`
	Title    string    `json:"title"`
	Accepted time.Time `json:"accepted,omitzero"`
}

// Summary returns the summary of the note.
func (n *Note) Summary() Summary {
	return Summary{Number: n.Number, Nonce: n.Nonce, Author: n.Author, Title: n.Title, Accepted: n.Accepted}
}

// State is the result of all notes up to Number. It is immutable.
type State struct {
	Number   int64
	Models   map[string]Model
	Versions map[VersionRef]Version
	Adapters map[string]Adapter
	Routes   map[string]Route
	// Recent lists the newest notes, oldest first.
	Recent []Summary

	organisations [shardCount]map[string]Organisation
	keys          [shardCount]map[string]string
}

// HashKey returns the hexadecimal SHA-256 hash of an API key, as a note contains it.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

func shard(name string) int {
	return int(xxhash.Sum64String(name) % shardCount)
}

// Organisation returns the organisation with a name, and whether it exists.
func (s *State) Organisation(name string) (Organisation, bool) {
	o, ok := s.organisations[shard(name)][name]
	return o, ok
}

// OrganisationOfKey returns the organisation that owns an API key, and whether there is one.
func (s *State) OrganisationOfKey(key string) (Organisation, bool) {
	hash := HashKey(key)
	name, ok := s.keys[shard(hash)][hash]
	if !ok {
		return Organisation{}, false
	}
	return s.Organisation(name)
}

// Organisations returns the number of organisations.
func (s *State) Organisations() int {
	var n int
	for i := range s.organisations {
		n += len(s.organisations[i])
	}
	return n
}

// FindSummary returns the summary of a note in Recent, and whether it is there.
func (s *State) FindSummary(number int64) (Summary, bool) {
	for _, r := range s.Recent {
		if r.Number == number {
			return r, true
		}
	}
	return Summary{}, false
}

// InForce reports whether the state contains the version and, if the target has one, the adapter of a target.
func (s *State) InForce(t gladeapi.Target) bool {
	if _, ok := s.Versions[VersionRef{Model: t.Model, Name: t.Version}]; !ok {
		return false
	}
	if t.Adapter == "" {
		return true
	}
	name, version, _ := strings.Cut(t.Adapter, ":")
	a, ok := s.Adapters[name]
	return ok && a.Model == t.Model && a.Version == version
}

// Resolve returns the target and the model for a request's model field, which is a model, an adapter or MODEL@VERSION.
// The error wraps ErrUnknownModel or ErrUnknownVersion.
func (s *State) Resolve(name string) (gladeapi.Target, Model, error) {
	name, version, pinned := strings.Cut(name, "@")
	var adapter string
	if a, ok := s.Adapters[name]; ok {
		adapter = a.Name + ":" + a.Version
		name = a.Model
	}
	m, ok := s.Models[name]
	if !ok {
		return gladeapi.Target{}, Model{}, eris.Wrapf(ErrUnknownModel, "model %q", name)
	}
	if !pinned {
		version = m.DefaultVersion
	}
	if _, ok := s.Versions[VersionRef{Model: name, Name: version}]; !ok {
		return gladeapi.Target{}, Model{}, eris.Wrapf(ErrUnknownVersion, "model %q version %q", name, version)
	}
	return gladeapi.Target{Model: name, Adapter: adapter, Version: version}, m, nil
}

// Apply returns the state after the next note. The receiver is not changed and may be nil.
// The error wraps ErrOutOfOrder if the note's number is not the next one.
func (s *State) Apply(n *Note) (*State, error) {
	next := &State{}
	if s != nil {
		*next = *s
	}
	if n.Number != next.Number+1 {
		return nil, eris.Wrapf(ErrOutOfOrder, "note %d after %d", n.Number, next.Number)
	}
	next.Number = n.Number
	next.Recent = append(slices.Clone(next.Recent), n.Summary())
	next.Recent = next.Recent[max(0, len(next.Recent)-maxRecent):]
	e := next.edit()
	e.withdraw(&n.Withdrawn)
	e.set(&n.Added)
	e.set(&n.Changed)
	return next, nil
}

// edit returns an editor for a state that is not shared yet.
func (s *State) edit() *editor {
	s.Models = cloneMap(s.Models)
	s.Versions = cloneMap(s.Versions)
	s.Adapters = cloneMap(s.Adapters)
	s.Routes = cloneMap(s.Routes)
	return &editor{state: s, cloned: map[*map[string]Organisation]bool{}, clonedKeys: map[*map[string]string]bool{}}
}

// editor changes a state that is not shared yet. It clones each shard before the first change to it.
type editor struct {
	state      *State
	cloned     map[*map[string]Organisation]bool
	clonedKeys map[*map[string]string]bool
}

func (e *editor) set(c *Content) {
	for _, m := range c.Models {
		e.state.Models[m.Name] = m
	}
	for _, v := range c.Versions {
		e.state.Versions[VersionRef{Model: v.Model, Name: v.Name}] = v
	}
	for _, a := range c.Adapters {
		e.state.Adapters[a.Name] = a
	}
	for _, r := range c.Routes {
		e.state.Routes[r.Name] = r
	}
	for _, o := range c.Organisations {
		e.removeOrganisation(o.Name)
		e.organisations(o.Name)[o.Name] = o
		for _, hash := range o.KeyHashes {
			e.keys(hash)[hash] = o.Name
		}
	}
}

func (e *editor) withdraw(w *Withdrawn) {
	for _, name := range w.Models {
		delete(e.state.Models, name)
	}
	for _, ref := range w.Versions {
		delete(e.state.Versions, ref)
	}
	for _, name := range w.Adapters {
		delete(e.state.Adapters, name)
	}
	for _, name := range w.Routes {
		delete(e.state.Routes, name)
	}
	for _, name := range w.Organisations {
		e.removeOrganisation(name)
	}
}

func (e *editor) removeOrganisation(name string) {
	old, ok := e.state.Organisation(name)
	if !ok {
		return
	}
	for _, hash := range old.KeyHashes {
		if e.keys(hash)[hash] == name {
			delete(e.keys(hash), hash)
		}
	}
	delete(e.organisations(name), name)
}

func (e *editor) organisations(name string) map[string]Organisation {
	m := &e.state.organisations[shard(name)]
	if !e.cloned[m] {
		*m = cloneMap(*m)
		e.cloned[m] = true
	}
	return *m
}

func (e *editor) keys(hash string) map[string]string {
	m := &e.state.keys[shard(hash)]
	if !e.clonedKeys[m] {
		*m = cloneMap(*m)
		e.clonedKeys[m] = true
	}
	return *m
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
