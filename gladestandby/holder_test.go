package gladestandby

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

const request = "request-1"

func generation() *gladeapi.Generation {
	return &gladeapi.Generation{ID: request, Organisation: "nile-fixer", Key: "key", Deadline: time.Now().Add(time.Minute)}
}

func tokensOf(ids ...int32) []gladeapi.Token {
	j := gladestream.NewJournal(generation())
	for _, id := range ids {
		_ = j.Append(gladeapi.Attempt{}, gladestream.Event{First: -1, Tokens: []gladestream.EventToken{{ID: id}}})
	}
	tokens, _, _ := j.ReadAll(context.Background(), 0)
	return tokens
}

func holder(t interface{ Errorf(string, ...any) }, c Config) (*Service, func()) {
	h := (&gladewire.Network{}).Host("vm-1")
	peers, closePeers, err := gladepeer.New(gladepeer.Config{
		Self: gladeapi.EntryVM{Name: "vm-1", FailureDomain: "shubra", PeerAddress: "vm-1:1"}, Dial: h.Dial, Listen: h.Listen,
	})
	if err != nil {
		panic(err)
	}
	c.Peers = peers
	c.Check = &gladecheck.Checker{OnBroken: func(i gladecheck.Invariant, m string) { t.Errorf("%s: %s", i, m) }}
	s, closeService, err := New(c)
	if err != nil {
		panic(err)
	}
	return s, func() {
		closeService()
		closePeers()
	}
}

func TestHold(t *testing.T) {
	tokens := tokensOf(1, 2, 3, 4)
	first := gladeapi.JournalBatch{Generation: generation(), Request: request, Owner: "a", Tokens: tokens[:2]}
	for _, test := range []struct {
		name    string
		batches []gladeapi.JournalBatch
		want    HoldAnswer
	}{
		{"unknown generation", []gladeapi.JournalBatch{{Request: request, Owner: "a", Tokens: tokens}}, HoldAnswer{}},
		{"first", []gladeapi.JournalBatch{first}, HoldAnswer{Have: 2}},
		{"next", []gladeapi.JournalBatch{first, {Request: request, Owner: "a", Tokens: tokens[2:]}}, HoldAnswer{Have: 4}},
		{"repeated", []gladeapi.JournalBatch{first, first}, HoldAnswer{Have: 2}},
		{"overlapping", []gladeapi.JournalBatch{first, {Request: request, Owner: "a", Tokens: tokens[1:]}}, HoldAnswer{Have: 4}},
		{"with a gap", []gladeapi.JournalBatch{first, {Request: request, Owner: "a", Tokens: tokens[3:]}}, HoldAnswer{Have: 2}},
		{"of another owner", []gladeapi.JournalBatch{first, {Request: request, Owner: "b", Tokens: tokens[2:]}},
			HoldAnswer{Refused: true, Owner: "a"}},
		{"of a successor", []gladeapi.JournalBatch{first, {Request: request, Owner: "b", Epoch: 1, Tokens: tokens[1:3]}}, HoldAnswer{Have: 3}},
		{"of a former owner", []gladeapi.JournalBatch{first, {Request: request, Owner: "b", Epoch: 1}, {Request: request, Owner: "a", Tokens: tokens[2:]}},
			HoldAnswer{Refused: true, Owner: "b", Epoch: 1}},
		{"dropped by a former owner", []gladeapi.JournalBatch{first, {Request: request, Owner: "b", Epoch: 1}, {Request: request, Owner: "a", Dropped: true}},
			HoldAnswer{Refused: true, Owner: "b", Epoch: 1}},
		{"after a drop", []gladeapi.JournalBatch{first, {Request: request, Owner: "a", Dropped: true}, {Request: request, Owner: "a", Tokens: tokens[2:]}},
			HoldAnswer{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, closeService := holder(t, Config{})
				defer closeService()
				var got HoldAnswer
				for _, b := range test.batches {
					got, _ = s.serveHold(t.Context(), b.Owner, b)
				}
				qt.Assert(t, got, qt.Equals, test.want)
			})
		})
	}
}

func TestFullStandbyRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, closeService := holder(t, Config{MaxHeldBytes: 64})
		defer closeService()
		b := gladeapi.JournalBatch{Generation: generation(), Request: request, Owner: "a", Tokens: tokensOf(1, 2)}
		got, _ := s.serveHold(t.Context(), "a", b)
		qt.Assert(t, got.Have, qt.Equals, 2)
		b.Request = "request-2"
		got, _ = s.serveHold(t.Context(), "a", b)
		qt.Assert(t, got.Full, qt.IsTrue)
		time.Sleep(2*time.Minute + defaultRetention)
		got, _ = s.serveHold(t.Context(), "a", b)
		qt.Assert(t, got.Have, qt.Equals, 2)
	})
}

func TestTakeChecksThePosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tokens := tokensOf(1, 2, 3)
		s, closeService := holder(t, Config{})
		defer closeService()
		_, _ = s.serveHold(t.Context(), "a", gladeapi.JournalBatch{Generation: generation(), Request: request, Owner: "a", Tokens: tokens})
		q := TakeRequest{Request: request, Owner: "a", Position: &gladeapi.Position{Index: 1, Prefix: tokens[2].Prefix}}
		got, _ := s.serveTake(t.Context(), "b", q)
		c.Assert(got.Differs, qt.IsTrue)
		c.Assert(s.held[request].batch.Owner, qt.Equals, "a")
		q.Position = &gladeapi.Position{Index: 7, Prefix: 7}
		got, _ = s.serveTake(t.Context(), "b", q)
		c.Assert(got.Batch.Epoch, qt.Equals, 1)
		got, _ = s.serveTake(t.Context(), "c", q)
		c.Assert(got, qt.Equals, TakeAnswer{Found: true, Moved: true, Owner: "b"})
		_, err := s.serveTake(t.Context(), "", q)
		c.Assert(err, qt.IsNotNil)
	})
}

// TestOneOwnerPerEpoch has owners and successors send in random order. A standby must never accept two owners for one
// epoch.
func TestOneOwnerPerEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, closeService := holder(t, Config{})
		defer closeService()
		tokens := tokensOf(1, 2, 3, 4, 5, 6)
		owners := map[int]string{0: "a"}
		epochs := map[string]int{"a": 0}
		_, _ = s.serveHold(t.Context(), "a", gladeapi.JournalBatch{Generation: generation(), Request: request, Owner: "a"})
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			name := names.Draw(t, "name")
			if rapid.Bool().Draw(t, "take") {
				got, _ := s.serveTake(t.Context(), name, TakeRequest{Request: request, Owner: names.Draw(t, "lost")})
				if got.Batch != nil {
					if other, ok := owners[got.Batch.Epoch]; ok {
						t.Fatalf("%s and %s own epoch %d", other, name, got.Batch.Epoch)
					}
					owners[got.Batch.Epoch], epochs[name] = name, got.Batch.Epoch
				}
				continue
			}
			epoch, owned := epochs[name]
			if !owned {
				continue
			}
			from := rapid.IntRange(0, 6).Draw(t, "from")
			got, _ := s.serveHold(t.Context(), name, gladeapi.JournalBatch{Request: request, Owner: name, Epoch: epoch, Tokens: tokens[from:]})
			h := s.held[request].batch
			if got.Refused == (h.Owner == name && h.Epoch == epoch) {
				t.Fatalf("%s of epoch %d: %+v, held by %s of epoch %d", name, epoch, got, h.Owner, h.Epoch)
			}
			for i, held := range h.Tokens {
				if held.Prefix != tokens[i].Prefix {
					t.Fatalf("token %d differs", i)
				}
			}
		}
	})
}
