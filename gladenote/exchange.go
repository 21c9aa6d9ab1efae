package gladenote

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	maxPushBytes  = 16 << 10
	maxFetchBytes = 512 << 10
)

// newPush returns the push for a note. It includes the note itself if that is small.
func newPush(n *Note) Push {
	p := Push{Number: n.Number}
	if raw, err := json.Marshal(n); err == nil && len(raw) <= maxPushBytes {
		p.Note = n
	}
	return p
}

// runAnnouncements pushes each new note to other VMs.
func (r *Replica) runAnnouncements(ctx context.Context) {
	for {
		select {
		case s := <-r.announcements:
			r.announce(ctx, s)
		case <-ctx.Done():
			return
		}
	}
}

// announce pushes a note to the VMs of this failure domain. A note that came from the platform also goes to the watchers
// of the other failure domains. Only watchers push, and only notes that did not come from their own failure domain.
func (r *Replica) announce(ctx context.Context, s announcement) {
	if s.source == fromOwnDomain || !r.Watcher() {
		return
	}
	var tasks sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPushes)
	for _, name := range r.recipients(s) {
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			call, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if _, err := r.config.Push(call, name, s.push); err != nil {
				r.log.Debug("Note not pushed.", "to", name, "error", err)
			}
		})
	}
	tasks.Wait()
}

// recipients returns the VMs of this failure domain that are not known to hold the note, and the watchers of the other
// failure domains if the note came from the platform.
func (r *Replica) recipients(s announcement) []string {
	var names []string
	domains := map[string]bool{r.config.FailureDomain: true}
	for _, m := range r.config.Members() {
		if m.FailureDomain == r.config.FailureDomain {
			if m.Number < s.push.Number {
				names = append(names, m.Name)
			}
			continue
		}
		if s.source == fromPlatform && !domains[m.FailureDomain] {
			domains[m.FailureDomain] = true
			names = append(names, r.watchers(m.FailureDomain)...)
		}
	}
	return names
}

// HandlePush applies a pushed note, or fetches the missing notes from the sender.
// It returns the number of the note in force afterwards.
func (r *Replica) HandlePush(ctx context.Context, from string, p Push) (int64, error) {
	own := r.State().Number
	if p.Number <= own {
		return own, nil
	}
	if p.Note != nil && p.Note.Number == own+1 {
		if err := r.apply(r.sourceOf(from), *p.Note); err == nil {
			return r.State().Number, nil
		}
	}
	err := r.fetch(ctx, from)
	return r.State().Number, err
}

func (r *Replica) sourceOf(name string) source {
	for _, m := range r.config.Members() {
		if m.Name == name && m.FailureDomain == r.config.FailureDomain {
			return fromOwnDomain
		}
	}
	return fromOther
}

// HandleFetch answers a request of another VM for notes or for a snapshot part.
// The error wraps ErrIncomplete if the requested part does not exist any more.
func (r *Replica) HandleFetch(_ context.Context, _ string, q FetchRequest) (FetchAnswer, error) {
	r.mu.Lock()
	s, tail := r.State(), r.tail
	r.mu.Unlock()
	a := FetchAnswer{Number: s.Number}
	if q.After >= s.Number {
		return a, nil
	}
	first := slices.IndexFunc(tail, func(n Note) bool { return n.Number == q.After+1 })
	if q.Number == 0 && first >= 0 {
		a.Notes = limitSize(tail[first:])
		return a, nil
	}
	return a, r.addSnapshotPart(s, q, &a)
}

// limitSize returns the first notes that together stay within maxFetchBytes, but at least one.
func limitSize(notes []Note) []Note {
	size := 0
	for i := range notes {
		raw, err := json.Marshal(&notes[i])
		if size += len(raw); err != nil || i > 0 && size > maxFetchBytes {
			return notes[:i]
		}
	}
	return notes
}

// addSnapshotPart adds the requested part of the cached snapshot to an answer. A request for notes gets the first part,
// and replaces the cached snapshot if it is not usable any more.
func (r *Replica) addSnapshotPart(s *State, q FetchRequest, a *FetchAnswer) error {
	r.snapshotMu.Lock()
	defer r.snapshotMu.Unlock()
	if q.Number == 0 && !r.snapshotUsable(s) {
		parts, err := s.Encode()
		if err != nil {
			return err
		}
		r.snapshot, r.snapshotNumber = parts, s.Number
	}
	if q.Number != 0 && q.Number != r.snapshotNumber {
		return eris.Wrapf(ErrIncomplete, "snapshot %d was replaced by %d", q.Number, r.snapshotNumber)
	}
	if q.Part < 0 || q.Part >= len(r.snapshot) {
		return eris.Wrapf(ErrIncomplete, "no part %d of %d", q.Part, len(r.snapshot))
	}
	a.SnapshotNumber, a.Parts, a.Part = r.snapshotNumber, len(r.snapshot), r.snapshot[q.Part]
	return nil
}

// snapshotUsable reports whether the cached snapshot and the notes in the tail lead to s without a gap.
func (r *Replica) snapshotUsable(s *State) bool {
	if r.snapshot == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshotNumber == s.Number || len(r.tail) > 0 && r.tail[0].Number <= r.snapshotNumber+1
}

// fetch updates this VM to the newest note of another one.
func (r *Replica) fetch(ctx context.Context, from string) error {
	for range maxFetchCalls {
		own := r.State().Number
		a, err := r.callFetch(ctx, from, FetchRequest{After: own})
		if err != nil {
			return err
		}
		if a.Number <= own {
			r.comparedWithVM.Store(true)
			return nil
		}
		if a.Parts > 0 {
			err = r.fetchSnapshot(ctx, from, a)
		} else {
			err = r.apply(r.sourceOf(from), a.Notes...)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) fetchSnapshot(ctx context.Context, from string, first FetchAnswer) error {
	parts := [][]byte{first.Part}
	for i := 1; i < first.Parts; i++ {
		a, err := r.callFetch(ctx, from, FetchRequest{Number: first.SnapshotNumber, Part: i})
		if err != nil {
			return err
		}
		parts = append(parts, a.Part)
	}
	s, err := Decode(parts)
	if err != nil {
		return err
	}
	r.replaceState(s)
	return nil
}

func (r *Replica) callFetch(ctx context.Context, from string, q FetchRequest) (FetchAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.config.Fetch(ctx, from, q)
}
