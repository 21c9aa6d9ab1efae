package gladenote

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// The platform's object kinds for release notes.
const (
	// KindNotes is the kind of the objects that hold one accepted note each.
	KindNotes = "notes"
	// KindSnapshots is the kind of the snapshot parts and of the head that points to the newest snapshot.
	KindSnapshots = "noteSnapshots"
)

const (
	headName             = "head"
	defaultSnapshotEvery = 64
	defaultKeep          = 64
	maxReadAttempts      = 3
	maxNextNotes         = 8
)

// Errors that Log.Submit wraps.
var (
	// ErrConflict means that another note was accepted for the same base.
	ErrConflict = eris.New("release note conflict")
	// ErrUnknownOutcome means that the note may have been accepted. Submitting it again is safe and shows whether it was.
	ErrUnknownOutcome = eris.New("outcome of submission unknown")
)

// Conflict is the error for a note whose number belongs to another accepted note. It wraps ErrConflict.
type Conflict struct {
	// Other is the accepted note.
	Other Summary
	// Newest is the number of the newest known note, to be used as the next base.
	Newest int64
}

// Error describes the accepted note and the newest number.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%v: note %d %q by %s was accepted for the same base; the newest is %d",
		ErrConflict, c.Other.Number, c.Other.Title, c.Other.Author, c.Newest)
}

// Unwrap returns ErrConflict.
func (c *Conflict) Unwrap() error {
	return ErrConflict
}

// Log is the sequence of accepted notes on the platform, with snapshots that replace the older ones.
type Log struct {
	// Store is the client for the platform's objects.
	Store *gladestore.Client
	// SnapshotEvery is the number of notes from one snapshot to the next; zero means 64.
	SnapshotEvery int64
	// KeepNotes is the number of notes before the newest snapshot that are kept; zero means 64.
	KeepNotes int64
}

// head is the object that points to the newest complete snapshot.
type head struct {
	Number   int64     `json:"number"`
	Parts    int       `json:"parts"`
	Previous *head     `json:"previous,omitempty"`
	Recent   []Summary `json:"recent,omitempty"`
}

// SetNonce sets the nonce of a note that has none to a hash of its content, without its number and time of acceptance.
func (n *Note) SetNonce() error {
	if n.Nonce != "" {
		return nil
	}
	plain := *n
	plain.Number, plain.Accepted = 0, time.Time{}
	raw, err := json.Marshal(plain)
	if err != nil {
		return eris.Wrap(err, "note")
	}
	sum := sha256.Sum256(raw)
	n.Nonce = hex.EncodeToString(sum[:16])
	return nil
}

// Submit stores a note as the successor of the newest state s and returns it with its number and time of acceptance.
// The error wraps ErrConflict, ErrInvalid, ErrUnknownOutcome or an error of the store.
func (l *Log) Submit(ctx context.Context, s *State, n Note) (Note, error) {
	if err := n.SetNonce(); err != nil {
		return n, err
	}
	n.Number = n.Base + 1
	if n.Base < s.Number {
		return n, checkAccepted(s, &n)
	}
	if n.Base > s.Number {
		return n, eris.Wrapf(ErrInvalid, "base: note %d does not exist, the newest is %d", n.Base, s.Number)
	}
	if err := Validate(s, &n); err != nil {
		return n, err
	}
	n.Accepted = time.Now().UTC()
	raw, err := json.Marshal(n)
	if err != nil {
		return n, eris.Wrap(err, "note")
	}
	if err := l.create(ctx, &n, raw); err != nil {
		return n, err
	}
	return n, l.checkNotCompacted(ctx, &n)
}

// checkAccepted returns nil if the note with this number is n itself, and otherwise a Conflict with the accepted note.
// If the accepted note is no longer in s.Recent, the Conflict has only its number.
func checkAccepted(s *State, n *Note) error {
	other, ok := s.FindSummary(n.Number)
	if ok && other.Nonce == n.Nonce {
		return nil
	}
	if !ok {
		other.Number = n.Number
	}
	return &Conflict{Other: other, Newest: s.Number}
}

func (l *Log) create(ctx context.Context, n *Note, raw []byte) error {
	sameNonce := func(found []byte) bool {
		var other Note
		return json.Unmarshal(found, &other) == nil && other.Nonce == n.Nonce
	}
	found, err := l.Store.CreateOnce(ctx, KindNotes, strconv.FormatInt(n.Number, 10), raw, sameNonce)
	switch {
	case err == nil:
		return eris.Wrap(json.Unmarshal(found.Value, n), "accepted note")
	case errors.Is(err, gladestore.ErrConflict) && len(found.Value) > 0:
		var other Note
		if err := json.Unmarshal(found.Value, &other); err != nil {
			return eris.Wrap(err, "conflicting note")
		}
		return &Conflict{Other: other.Summary(), Newest: other.Number}
	case errors.Is(err, gladestore.ErrNotSent), errors.Is(err, gladestore.ErrTooLarge), errors.Is(err, gladestore.ErrRateLimited):
		return err
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

// checkNotCompacted checks that the note's number was not already part of a snapshot. The object of a compacted note is
// deleted, so that a submission against an old state can create it again.
func (l *Log) checkNotCompacted(ctx context.Context, n *Note) error {
	h, _, err := l.head(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if h.Number < n.Number {
		return nil
	}
	return checkAccepted(&State{Number: h.Number, Recent: h.Recent}, n)
}

func (l *Log) head(ctx context.Context) (head, int64, error) {
	var h head
	o, err := l.Store.Get(ctx, KindSnapshots, headName)
	if errors.Is(err, gladestore.ErrNotFound) {
		return h, 0, nil
	}
	if err != nil {
		return h, 0, err
	}
	return h, o.Version, eris.Wrap(json.Unmarshal(o.Value, &h), "snapshot head")
}

// Read returns the platform's notes after a number. If a snapshot is newer than that number, Read returns its state too,
// and only the notes after it.
func (l *Log) Read(ctx context.Context, after int64) (*State, []Note, error) {
	var err error
	for range maxReadAttempts {
		var s *State
		var notes []Note
		s, notes, err = l.read(ctx, after)
		if err == nil || !errors.Is(err, gladestore.ErrNotFound) && !errors.Is(err, ErrOutOfOrder) {
			return s, notes, err
		}
	}
	return nil, nil, err
}

// Next returns the notes after a number by single reads. It returns an error that wraps ErrOutOfOrder if the next note
// was compacted or if more than a few notes are missing.
func (l *Log) Next(ctx context.Context, after int64) ([]Note, error) {
	h, _, err := l.head(ctx)
	if err != nil {
		return nil, err
	}
	if h.Number > after {
		return nil, eris.Wrapf(ErrOutOfOrder, "note %d is part of a snapshot", after+1)
	}
	var notes []Note
	for range maxNextNotes {
		o, err := l.Store.Get(ctx, KindNotes, strconv.FormatInt(after+1, 10))
		if errors.Is(err, gladestore.ErrNotFound) {
			return notes, nil
		}
		if err != nil {
			return nil, err
		}
		next, err := decodeNotes([]gladestore.Object{o})
		if err != nil {
			return nil, err
		}
		notes = append(notes, next...)
		after++
	}
	return nil, eris.Wrapf(ErrOutOfOrder, "more than %d notes are missing", maxNextNotes)
}

func (l *Log) read(ctx context.Context, after int64) (*State, []Note, error) {
	var s *State
	h, _, err := l.head(ctx)
	if err != nil {
		return nil, nil, err
	}
	if h.Number > after {
		if s, err = l.snapshot(ctx, h); err != nil {
			return nil, nil, err
		}
		after = s.Number
	}
	list, err := l.Store.List(ctx, KindNotes, "")
	if err != nil {
		return nil, nil, err
	}
	notes, err := decodeNotes(list.Objects)
	if err != nil {
		return nil, nil, err
	}
	notes = slices.DeleteFunc(notes, func(n Note) bool { return n.Number <= after })
	if len(notes) > 0 && notes[0].Number != after+1 {
		return nil, nil, eris.Wrapf(ErrOutOfOrder, "note %d after %d", notes[0].Number, after)
	}
	return s, notes, nil
}

func (l *Log) snapshot(ctx context.Context, h head) (*State, error) {
	parts := make([][]byte, h.Parts)
	for i := range parts {
		o, err := l.Store.Get(ctx, KindSnapshots, partName(h.Number, i))
		if err != nil {
			return nil, err
		}
		parts[i] = o.Value
	}
	return Decode(parts)
}

// Compact writes a snapshot of s if the newest one is at least SnapshotEvery notes older, and deletes the snapshots and
// notes that it replaces.
func (l *Log) Compact(ctx context.Context, s *State) error {
	old, version, err := l.head(ctx)
	if err != nil || s.Number < old.Number+cmp.Or(l.SnapshotEvery, defaultSnapshotEvery) {
		return err
	}
	parts, err := s.Encode()
	if err != nil {
		return err
	}
	for i, raw := range parts {
		same := func(found []byte) bool { return bytes.Equal(found, raw) }
		if _, err := l.Store.CreateOnce(ctx, KindSnapshots, partName(s.Number, i), raw, same); err != nil {
			return err
		}
	}
	next := head{Number: s.Number, Parts: len(parts), Recent: s.Recent}
	if version != 0 {
		next.Previous = &head{Number: old.Number, Parts: old.Parts}
	}
	if err := l.putHead(ctx, next, version); err != nil {
		return err
	}
	if err := l.pruneSnapshots(ctx, &next); err != nil {
		return err
	}
	return l.pruneNotes(ctx, s.Number-cmp.Or(l.KeepNotes, defaultKeep))
}

func (l *Log) putHead(ctx context.Context, h head, version int64) error {
	raw, err := json.Marshal(h)
	if err != nil {
		return eris.Wrap(err, "snapshot head")
	}
	same := func(found []byte) bool { return bytes.Equal(found, raw) }
	if version == 0 {
		_, err = l.Store.CreateOnce(ctx, KindSnapshots, headName, raw, same)
	} else {
		_, err = l.Store.UpdateOnce(ctx, KindSnapshots, headName, raw, version, same)
	}
	return err
}

// pruneSnapshots deletes the parts of snapshots older than h, incomplete ones included, except for h's predecessor.
func (l *Log) pruneSnapshots(ctx context.Context, h *head) error {
	list, err := l.Store.List(ctx, KindSnapshots, "")
	if err != nil {
		return err
	}
	for _, o := range list.Objects {
		text, _, part := strings.Cut(o.Name, "-")
		number, err := strconv.ParseInt(text, 10, 64)
		if !part || err != nil || number >= h.Number || h.Previous != nil && number == h.Previous.Number {
			continue
		}
		if err := l.remove(ctx, &o); err != nil {
			return err
		}
	}
	return nil
}

// remove deletes an object unless it was changed or deleted in the meantime.
func (l *Log) remove(ctx context.Context, o *gladestore.Object) error {
	err := l.Store.Delete(ctx, o.Kind, o.Name, o.Version)
	if errors.Is(err, gladestore.ErrConflict) {
		return nil
	}
	return err
}

// pruneNotes deletes the notes up to and including a number.
func (l *Log) pruneNotes(ctx context.Context, upTo int64) error {
	list, err := l.Store.List(ctx, KindNotes, "")
	if err != nil {
		return err
	}
	for _, o := range list.Objects {
		number, err := strconv.ParseInt(o.Name, 10, 64)
		if err != nil || number > upTo {
			continue
		}
		if err := l.remove(ctx, &o); err != nil {
			return err
		}
	}
	return nil
}

func partName(number int64, part int) string {
	return fmt.Sprintf("%d-%d", number, part)
}

func decodeNotes(objects []gladestore.Object) ([]Note, error) {
	notes := make([]Note, len(objects))
	for i, o := range objects {
		if err := json.Unmarshal(o.Value, &notes[i]); err != nil {
			return nil, eris.Wrapf(err, "note %s", o.Name)
		}
	}
	slices.SortFunc(notes, func(a, b Note) int { return cmp.Compare(a.Number, b.Number) })
	return notes, nil
}
