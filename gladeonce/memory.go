package gladeonce

import (
	"context"
	"slices"
	"sync"
)

// entry is what this VM knows of one key; its fields are guarded by the mutex of its table.
type entry struct {
	state State
	body  string
	// done is closed when the current run ends.
	done    chan struct{}
	outcome *Outcome
	err     error
	// nonces are those under which this VM promised never to send.
	nonces []string
	// seen is set once another VM's claim of the key was met.
	seen bool
}

// table finds the entries of keys.
type table struct {
	mu  sync.Mutex
	get func(name string) (*entry, bool)
	put func(name string, e *entry) bool
}

// begin returns the entry of a key and whether the caller has to run it, or nil if the table takes no such key.
func (t *table) begin(name, body string) (*entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.get(name)
	if !ok {
		e = &entry{}
		if !t.put(name, e) {
			return nil, false
		}
	}
	if ok && e.state != StateReleased && e.state != StateNone {
		return e, false
	}
	e.state = StateClaimed
	e.body = body
	e.done = make(chan struct{})
	return e, true
}

// end records how a run ended and wakes those that wait for it.
func (t *table) end(e *entry, s State, o *Outcome, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.state, e.outcome, e.err = s, o, err
	close(e.done)
}

// wait returns what came of another caller's run of the same key.
func (t *table) wait(ctx context.Context, e *entry, body string) (*Outcome, error) {
	t.mu.Lock()
	done, same := e.done, e.body == body
	t.mu.Unlock()
	if !same {
		return nil, keyReused()
	}
	select {
	case <-done:
	case <-ctx.Done():
		return nil, unknown("the first call with this key has not ended")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.state == StateDone {
		return replay(e.outcome)
	}
	if e.err != nil {
		return nil, e.err
	}
	return nil, unknown("another call with this key is under way")
}

func (t *table) markSeen(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.seen = true
}

func (t *table) wasSeen(e *entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.seen
}

func (t *table) abandon(e *entry, nonce string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.nonces = append(e.nonces, nonce)
}

// look returns the state of a key, or of one nonce of it if that was abandoned.
func (t *table) look(name, nonce string) (State, *Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.get(name)
	switch {
	case !ok:
		return StateNone, nil
	case nonce != "" && slices.Contains(e.nonces, nonce):
		return StateReleased, nil
	case nonce == "" && e.seen && e.state != StateDone:
		return StateUnknown, nil
	}
	return e.state, e.outcome
}
