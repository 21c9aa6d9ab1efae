package gladeonce

import (
	"context"
	"slices"
	"sync"
)

// entry is this VM's state of one key. The mutex of its table guards its fields.
type entry struct {
	state State
	body  string
	// done is closed when the current run ends.
	done    chan struct{}
	outcome *Outcome
	err     error
	// abandonedNonces are the nonces under which this VM never sends.
	abandonedNonces []string
	// claimedElsewhere is set once a claim of the key by another VM was found.
	claimedElsewhere bool
}

// keyTable holds the entries of keys. It calls get and put, which access their storage, with mu held.
type keyTable struct {
	mu  sync.Mutex
	get func(name string) (*entry, bool)
	put func(name string, e *entry) bool
}

// begin returns the entry of a key and whether the caller must run its call. The entry is nil if put rejects the key.
func (t *keyTable) begin(name, body string) (*entry, bool) {
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

// end stores the result of a run and wakes the callers that wait for it.
func (t *keyTable) end(e *entry, s State, o *Outcome, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.state, e.outcome, e.err = s, o, err
	close(e.done)
}

// wait waits for another caller's run of the same key and returns its result.
func (t *keyTable) wait(ctx context.Context, e *entry, body string) (*Outcome, error) {
	t.mu.Lock()
	done, same := e.done, e.body == body
	t.mu.Unlock()
	if !same {
		return nil, keyReused()
	}
	select {
	case <-done:
	case <-ctx.Done():
		return nil, unknownOutcome("the first call with this key has not ended")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.state == StateDone {
		return replay(e.outcome)
	}
	if e.err != nil {
		return nil, e.err
	}
	return nil, unknownOutcome("another call with this key is under way")
}

func (t *keyTable) markClaimedElsewhere(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.claimedElsewhere = true
}

func (t *keyTable) wasClaimedElsewhere(e *entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.claimedElsewhere
}

func (t *keyTable) abandonNonce(e *entry, nonce string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.abandonedNonces = append(e.abandonedNonces, nonce)
}

// lookup returns the state of a key, which is StateReleased for a nonce that was abandoned.
func (t *keyTable) lookup(name, nonce string) (State, *Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.get(name)
	switch {
	case !ok:
		return StateNone, nil
	case nonce != "" && slices.Contains(e.abandonedNonces, nonce):
		return StateReleased, nil
	case nonce == "" && e.claimedElsewhere && e.state != StateDone:
		return StateUnknown, nil
	}
	return e.state, e.outcome
}
