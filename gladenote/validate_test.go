package gladenote_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/eelgrassglade/eelgrassglade/gladenote"
)

func baseState(c *qt.C) *gladenote.State {
	var s gladenote.State
	next, err := s.Apply(&gladenote.Note{Number: 1, Added: gladenote.Content{
		Models:   []gladenote.Model{{Name: "llm", Pool: "llm", DefaultVersion: "1", Context: 100, MaxTokens: 50}},
		Versions: []gladenote.Version{{Model: "llm", Name: "1", Weights: "w"}},
		Adapters: []gladenote.Adapter{{Name: "quotes", Model: "llm", Version: "a", Weights: "w"}},
		Routes:   []gladenote.Route{{Name: "returns", Pool: "returns-app", TimeoutMillis: 500}},
		Organisations: []gladenote.Organisation{
			{Name: "nile-fixer", KeyHashes: []string{gladenote.HashKey("k")}},
			{Name: "studio", KeyHashes: []string{gladenote.HashKey("s")}},
		},
	}})
	c.Assert(err, qt.IsNil)
	return next
}

func TestValidateReportsEveryError(t *testing.T) {
	type content = gladenote.Content
	type withdrawn = gladenote.Withdrawn
	llm := gladenote.Model{Name: "llm", Pool: "llm", DefaultVersion: "2", Context: 100, MaxTokens: 50}
	tests := map[string]struct {
		note gladenote.Note
		want []string
	}{
		"valid": {gladenote.Note{Changed: content{Routes: []gladenote.Route{{Name: "returns", Pool: "p", TimeoutMillis: 1}}}}, nil},
		"empty": {gladenote.Note{}, []string{"adds, changes and withdraws nothing"}},
		"several errors": {gladenote.Note{
			Added: content{
				Models:   []gladenote.Model{{Name: "a b", Pool: "", Context: 0, MaxTokens: 9, DefaultVersion: "1"}},
				Routes:   []gladenote.Route{{Name: "returns", Pool: "p", TimeoutMillis: 0, Hedge: true}},
				Adapters: []gladenote.Adapter{{Name: "llm", Model: "none", Version: "1", Weights: "w"}},
			},
			Changed: content{Organisations: []gladenote.Organisation{{Name: "new", Concurrent: -1, KeyHashes: []string{"x"}}}},
		}, []string{
			"models[0].name", "models[0].pool", "models[0].context", "models[0].maxTokens", "a b.defaultVersion",
			"routes[0]: returns exists already", "routes[0].timeoutMillis", "routes[0].hedge",
			"adapters.llm: model \"none\"", "adapters.llm: a model has the same name",
			"organisations[0]: new does not exist", "concurrent", "keyHashes[0]",
		}},
		"withdrawn but referenced": {gladenote.Note{Withdrawn: withdrawn{Models: []string{"llm"}}}, []string{
			"versions.llm@1: model \"llm\"", "adapters.quotes: model \"llm\"",
		}},
		"default version withdrawn": {gladenote.Note{Withdrawn: withdrawn{Versions: []gladenote.VersionRef{{Model: "llm", Name: "1"}}}},
			[]string{"models.llm.defaultVersion"}},
		"unknown default": {gladenote.Note{Changed: content{Models: []gladenote.Model{llm}}}, []string{"version llm@2 does not exist"}},
		"named twice": {gladenote.Note{
			Changed:   content{Models: []gladenote.Model{llm}, Versions: []gladenote.Version{{Model: "llm", Name: "1", Weights: "w"}}},
			Added:     content{Versions: []gladenote.Version{{Model: "llm", Name: "2", Weights: "w"}, {Model: "llm", Name: "2", Weights: "w"}}},
			Withdrawn: withdrawn{Models: []string{"llm"}},
		}, []string{"added.versions[1]: llm@2 is already named", "withdrawn.models[0]: llm is already named"}},
		"key of another organisation": {gladenote.Note{Added: content{Organisations: []gladenote.Organisation{
			{Name: "x", KeyHashes: []string{gladenote.HashKey("k")}}, {Name: "y", KeyHashes: []string{gladenote.HashKey("z")}},
			{Name: "w", KeyHashes: []string{gladenote.HashKey("z")}},
		}}}, []string{"organisations.x.keyHashes[0]: the key belongs to organisation \"nile-fixer\"", "organisations.w.keyHashes[0]"}},
		"key moved": {gladenote.Note{
			Added:   content{Organisations: []gladenote.Organisation{{Name: "x", KeyHashes: []string{gladenote.HashKey("k")}}}},
			Changed: content{Organisations: []gladenote.Organisation{{Name: "nile-fixer"}}},
		}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			test.note.Author, test.note.Title, test.note.Base = "amira", name, 1
			err := gladenote.Validate(baseState(c), &test.note)
			if len(test.want) == 0 {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorIs, gladenote.ErrInvalid)
			for _, want := range test.want {
				c.Check(strings.Contains(err.Error(), want), qt.IsTrue, qt.Commentf("no %q in:\n%v", want, err))
			}
		})
	}
}

func TestKeyMovesBetweenOrganisations(t *testing.T) {
	c := qt.New(t)
	moved, err := baseState(c).Apply(&gladenote.Note{Number: 2,
		Added:   gladenote.Content{Organisations: []gladenote.Organisation{{Name: "x", KeyHashes: []string{gladenote.HashKey("k")}}}},
		Changed: gladenote.Content{Organisations: []gladenote.Organisation{{Name: "nile-fixer"}}},
	})
	c.Assert(err, qt.IsNil)
	o, ok := moved.OrganisationOfKey("k")
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Name, qt.Equals, "x")
}

// TestSnapshotRoundTrip applies random notes, encodes and decodes the resulting state, and compares the two states.
func TestSnapshotRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := qt.New(t)
		s := baseState(c)
		for range rapid.IntRange(0, 8).Draw(r, "notes") {
			n := gladenote.Note{Number: s.Number + 1, Title: "t"}
			for range rapid.IntRange(0, 5).Draw(r, "organisations") {
				i := rapid.IntRange(0, 9).Draw(r, "i")
				n.Added.Organisations = append(n.Added.Organisations, gladenote.Organisation{
					Name: fmt.Sprint("org-", i), KeyHashes: []string{gladenote.HashKey(fmt.Sprint(i))}, Concurrent: i,
				})
			}
			n.Withdrawn.Organisations = []string{fmt.Sprint("org-", rapid.IntRange(0, 9).Draw(r, "gone"))}
			next, err := s.Apply(&n)
			c.Assert(err, qt.IsNil)
			s = next
		}
		parts, err := s.Encode()
		c.Assert(err, qt.IsNil)
		decoded, err := gladenote.Decode(parts)
		c.Assert(err, qt.IsNil)
		again, err := decoded.Encode()
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.DeepEquals, parts)
		for i := range 10 {
			a, okA := s.OrganisationOfKey(fmt.Sprint(i))
			b, okB := decoded.OrganisationOfKey(fmt.Sprint(i))
			c.Assert(okA, qt.Equals, okB)
			c.Assert(a, qt.DeepEquals, b)
		}
	})
}

func TestSnapshotOfManyOrganisations(t *testing.T) {
	c := qt.New(t)
	const organisations = 48_000
	s := baseState(c)
	var n gladenote.Note
	for i := range organisations {
		n.Added.Organisations = append(n.Added.Organisations, gladenote.Organisation{
			Name: fmt.Sprintf("organisation-%05d", i), KeyHashes: []string{gladenote.HashKey(fmt.Sprint(i))}, RequestsPerSecond: 5,
		})
	}
	n.Number = 2
	s, err := s.Apply(&n)
	c.Assert(err, qt.IsNil)
	parts, err := s.Encode()
	c.Assert(err, qt.IsNil)
	for _, p := range parts {
		c.Assert(len(p) < 1<<20, qt.IsTrue)
	}
	decoded, err := gladenote.Decode(parts)
	c.Assert(err, qt.IsNil)
	c.Assert(decoded.Organisations(), qt.Equals, organisations+2)
	_, err = gladenote.Decode(parts[:len(parts)-1])
	c.Assert(err, qt.ErrorIs, gladenote.ErrIncomplete)
}

func ExampleState_Apply() {
	var s gladenote.State
	next, err := s.Apply(&gladenote.Note{Number: 1, Added: gladenote.Content{
		Models:   []gladenote.Model{{Name: "glade-llm", Pool: "glade-llm", DefaultVersion: "1"}},
		Versions: []gladenote.Version{{Model: "glade-llm", Name: "1", Weights: "weights://glade-llm/1"}},
	}})
	fmt.Println(err)
	target, _, err := next.Resolve("glade-llm")
	fmt.Println(target, err)
	_, err = next.Apply(&gladenote.Note{Number: 3})
	fmt.Println(err)
	// Output:
	// <nil>
	// glade-llm@1 <nil>
	// note 3 after 1: release note out of order
}
