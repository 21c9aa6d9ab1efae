package gladenote

import (
	"errors"
	"fmt"
	"regexp"

	"github.com/rotisserie/eris"
)

// ErrInvalid is wrapped by each error about a note's content.
var ErrInvalid = eris.New("invalid release note")

const (
	maxTitleBytes    = 200
	maxItems         = 10_000
	maxKeys          = 16
	maxContextTokens = 10_000_000
)

var (
	namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Validate checks a note against the state that it was written for. The error joins all violations found, each of which
// wraps ErrInvalid.
func Validate(s *State, n *Note) error {
	v := &validator{state: s, note: n}
	v.checkHeader()
	v.checkNames()
	v.checkContent("added", &n.Added)
	v.checkContent("changed", &n.Changed)
	next, err := s.Apply(&Note{Number: s.Number + 1, Added: n.Added, Changed: n.Changed, Withdrawn: n.Withdrawn})
	if err != nil {
		return err
	}
	v.checkReferences(next)
	v.checkKeys(next)
	return errors.Join(v.errs...)
}

type validator struct {
	state *State
	note  *Note
	errs  []error
}

func (v *validator) addError(path, format string, args ...any) {
	v.errs = append(v.errs, fmt.Errorf("%w: %s: %s", ErrInvalid, path, fmt.Sprintf(format, args...)))
}

func (v *validator) require(ok bool, path, format string, args ...any) {
	if !ok {
		v.addError(path, format, args...)
	}
}

func (v *validator) checkHeader() {
	for _, f := range []struct{ path, text string }{{"author", v.note.Author}, {"title", v.note.Title}} {
		v.require(f.text != "", f.path, "must be set")
		v.require(len(f.text) <= maxTitleBytes, f.path, "is longer than %d bytes", maxTitleBytes)
	}
	itemCount := v.note.Added.itemCount() + v.note.Changed.itemCount() + v.note.Withdrawn.itemCount()
	v.require(itemCount > 0, "note", "adds, changes and withdraws nothing")
	v.require(itemCount <= maxItems, "note", "has %d items, at most %d are allowed", itemCount, maxItems)
}

func (c *Content) itemCount() int {
	return len(c.Models) + len(c.Adapters) + len(c.Versions) + len(c.Routes) + len(c.Organisations)
}

func (w *Withdrawn) itemCount() int {
	return len(w.Models) + len(w.Adapters) + len(w.Versions) + len(w.Routes) + len(w.Organisations)
}

// checkNames checks that added items are new, that changed or withdrawn items exist, and that no item occurs twice.
func (v *validator) checkNames() {
	s, a, c, w := v.state, &v.note.Added, &v.note.Changed, &v.note.Withdrawn
	checkNamesOfKind(v, "models", containsKey(s.Models), collect(a.Models, Model.key), collect(c.Models, Model.key), w.Models)
	checkNamesOfKind(v, "versions", containsKey(s.Versions), collect(a.Versions, Version.key), collect(c.Versions, Version.key), w.Versions)
	checkNamesOfKind(v, "adapters", containsKey(s.Adapters), collect(a.Adapters, Adapter.key), collect(c.Adapters, Adapter.key), w.Adapters)
	checkNamesOfKind(v, "routes", containsKey(s.Routes), collect(a.Routes, Route.key), collect(c.Routes, Route.key), w.Routes)
	exists := func(name string) bool {
		_, ok := s.Organisation(name)
		return ok
	}
	checkNamesOfKind(v, "organisations", exists, collect(a.Organisations, Organisation.key), collect(c.Organisations, Organisation.key), w.Organisations)
}

func (m Model) key() string        { return m.Name }
func (r Version) key() VersionRef  { return VersionRef{Model: r.Model, Name: r.Name} }
func (a Adapter) key() string      { return a.Name }
func (r Route) key() string        { return r.Name }
func (o Organisation) key() string { return o.Name }

// String returns the reference as model@version.
func (r VersionRef) String() string {
	return r.Model + "@" + r.Name
}

func collect[T any, K comparable](items []T, key func(T) K) []K {
	keys := make([]K, len(items))
	for i := range items {
		keys[i] = key(items[i])
	}
	return keys
}

func containsKey[K comparable, T any](m map[K]T) func(K) bool {
	return func(k K) bool {
		_, ok := m[k]
		return ok
	}
}

func checkNamesOfKind[K comparable](v *validator, kind string, exists func(K) bool, added, changed, withdrawn []K) {
	seen := map[K]string{}
	check := func(part string, keys []K, wantExists bool, complaint string) {
		for i, k := range keys {
			path := fmt.Sprintf("%s.%s[%d]", part, kind, i)
			if first, ok := seen[k]; ok {
				v.addError(path, "%v is already named at %s", k, first)
				continue
			}
			seen[k] = path
			v.require(exists(k) == wantExists, path, "%v %s", k, complaint)
		}
	}
	check("added", added, false, "exists already")
	check("changed", changed, true, "does not exist")
	check("withdrawn", withdrawn, true, "does not exist")
}

func (v *validator) checkContent(part string, c *Content) {
	for i, m := range c.Models {
		path := fmt.Sprintf("%s.models[%d].", part, i)
		v.checkName(path+"name", m.Name)
		v.checkName(path+"pool", m.Pool)
		v.require(m.Context > 0 && m.Context <= maxContextTokens, path+"context", "must be from 1 to %d", maxContextTokens)
		v.require(m.MaxTokens > 0 && m.MaxTokens <= m.Context, path+"maxTokens", "must be from 1 to context")
	}
	for i, r := range c.Versions {
		path := fmt.Sprintf("%s.versions[%d].", part, i)
		v.checkName(path+"name", r.Name)
		v.require(r.Weights != "", path+"weights", "must be set")
		v.require(r.Replicas >= 0, path+"replicas", "must not be negative")
	}
	for i, a := range c.Adapters {
		path := fmt.Sprintf("%s.adapters[%d].", part, i)
		v.checkName(path+"name", a.Name)
		v.checkName(path+"version", a.Version)
		v.require(a.Weights != "", path+"weights", "must be set")
	}
	for i, r := range c.Routes {
		path := fmt.Sprintf("%s.routes[%d].", part, i)
		v.checkName(path+"name", r.Name)
		v.checkName(path+"pool", r.Pool)
		v.require(r.TimeoutMillis > 0, path+"timeoutMillis", "must be more than zero")
		v.require(r.Idempotent || !r.Hedge, path+"hedge", "is only allowed on an idempotent route")
	}
	for i := range c.Organisations {
		v.checkOrganisation(fmt.Sprintf("%s.organisations[%d].", part, i), &c.Organisations[i])
	}
}

func (v *validator) checkOrganisation(path string, o *Organisation) {
	v.checkName(path+"name", o.Name)
	v.require(len(o.KeyHashes) <= maxKeys, path+"keyHashes", "has more than %d keys", maxKeys)
	for i, hash := range o.KeyHashes {
		v.require(hashPattern.MatchString(hash), fmt.Sprintf("%skeyHashes[%d]", path, i), "is not a SHA-256 in lower-case hexadecimal")
	}
	v.require(o.RequestsPerSecond >= 0, path+"requestsPerSecond", "must not be negative")
	v.require(o.TokensPerSecond >= 0, path+"tokensPerSecond", "must not be negative")
	v.require(o.Concurrent >= 0, path+"concurrent", "must not be negative")
}

func (v *validator) checkName(path, name string) {
	v.require(namePattern.MatchString(name), path, "%q must match %s", name, namePattern)
}

// checkReferences checks that all references between models, versions and adapters are valid after the note.
// It also checks that no adapter has the name of a model.
func (v *validator) checkReferences(next *State) {
	for _, m := range next.Models {
		ref := VersionRef{Model: m.Name, Name: m.DefaultVersion}
		_, ok := next.Versions[ref]
		v.require(ok, "models."+m.Name+".defaultVersion", "version %s does not exist after this note", ref)
	}
	for ref := range next.Versions {
		_, ok := next.Models[ref.Model]
		v.require(ok, "versions."+ref.String(), "model %q does not exist after this note", ref.Model)
	}
	for _, a := range next.Adapters {
		_, ok := next.Models[a.Model]
		v.require(ok, "adapters."+a.Name, "model %q does not exist after this note", a.Model)
		_, taken := next.Models[a.Name]
		v.require(!taken, "adapters."+a.Name, "a model has the same name")
	}
}

// checkKeys checks that no API key of an added or changed organisation belongs to another organisation.
func (v *validator) checkKeys(next *State) {
	owners := map[string]string{}
	for _, o := range append(append([]Organisation{}, v.note.Added.Organisations...), v.note.Changed.Organisations...) {
		for i, hash := range o.KeyHashes {
			path := fmt.Sprintf("organisations.%s.keyHashes[%d]", o.Name, i)
			if owner, ok := owners[hash]; ok {
				v.addError(path, "the key belongs to organisation %q", owner)
				continue
			}
			owners[hash] = o.Name
			owner := v.state.keys[shard(hash)][hash]
			if owner != "" && owner != o.Name && next.ownsKey(owner, hash) {
				v.addError(path, "the key belongs to organisation %q", owner)
			}
		}
	}
}

func (s *State) ownsKey(organisation, hash string) bool {
	o, _ := s.Organisation(organisation)
	for _, h := range o.KeyHashes {
		if h == hash {
			return true
		}
	}
	return false
}
