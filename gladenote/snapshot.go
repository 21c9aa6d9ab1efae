package gladenote

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrIncomplete means that the parts of a snapshot do not belong together.
var ErrIncomplete = eris.New("incomplete snapshot")

const (
	maxPartBytes         = 900 << 10
	reservedContentBytes = 256 << 10 // space in the first part for everything except the organisations
)

// snapshotPart is the part of a state that is stored in one object.
type snapshotPart struct {
	Number  int64     `json:"number"`
	Index   int       `json:"index"`
	Count   int       `json:"count"`
	Recent  []Summary `json:"recent,omitempty"`
	Content Content   `json:"content"`
}

// Encode returns the state in parts below 1 MB each. Equal states have equal encodings.
func (s *State) Encode() ([][]byte, error) {
	parts := []*snapshotPart{{Recent: s.Recent, Content: s.content()}}
	size := reservedContentBytes
	for _, o := range s.sortedOrganisations() {
		raw, err := json.Marshal(o)
		if err != nil {
			return nil, eris.Wrap(err, "snapshot")
		}
		if size+len(raw) > maxPartBytes {
			parts = append(parts, &snapshotPart{})
			size = 0
		}
		size += len(raw) + 1
		c := &parts[len(parts)-1].Content
		c.Organisations = append(c.Organisations, o)
	}
	encoded := make([][]byte, len(parts))
	for i, p := range parts {
		p.Number, p.Index, p.Count = s.Number, i, len(parts)
		raw, err := json.Marshal(p)
		if err != nil {
			return nil, eris.Wrap(err, "snapshot")
		}
		encoded[i] = raw
	}
	return encoded, nil
}

// Decode returns the state from all parts of its encoding. The error wraps ErrIncomplete if the parts do not match.
func Decode(parts [][]byte) (*State, error) {
	s := &State{}
	e := s.edit()
	for i, raw := range parts {
		var p snapshotPart
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, eris.Wrapf(err, "snapshot part %d", i)
		}
		if i == 0 {
			s.Number, s.Recent = p.Number, p.Recent
		}
		if p.Number != s.Number || p.Index != i || p.Count != len(parts) {
			return nil, eris.Wrapf(ErrIncomplete, "part %d of %d of note %d", p.Index, p.Count, p.Number)
		}
		e.set(&p.Content)
	}
	return s, nil
}

// content returns everything except the organisations, sorted by name.
func (s *State) content() Content {
	var c Content
	for _, name := range slices.Sorted(maps.Keys(s.Models)) {
		c.Models = append(c.Models, s.Models[name])
	}
	refs := slices.SortedFunc(maps.Keys(s.Versions), func(a, b VersionRef) int { return strings.Compare(a.String(), b.String()) })
	for _, ref := range refs {
		c.Versions = append(c.Versions, s.Versions[ref])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Adapters)) {
		c.Adapters = append(c.Adapters, s.Adapters[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		c.Routes = append(c.Routes, s.Routes[name])
	}
	return c
}

func (s *State) sortedOrganisations() []Organisation {
	all := make([]Organisation, 0, s.Organisations())
	for i := range s.organisations {
		all = slices.AppendSeq(all, maps.Values(s.organisations[i]))
	}
	slices.SortFunc(all, func(a, b Organisation) int { return strings.Compare(a.Name, b.Name) })
	return all
}
