package gladestream

import (
	"context"
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// Journal holds the tokens of one generation and notifies its readers; its methods are safe for concurrent use.
type Journal struct {
	// Generation is the request, which the journal never changes.
	Generation *gladeapi.Generation

	mu      sync.Mutex
	tokens  []gladeapi.Token
	digest  xxhash.Digest
	attempt gladeapi.Attempt
	base    int
	// joining is set from a join until the first tokens after it.
	joining      bool
	promptTokens []int32
	backend      gladeapi.BackendServer
	finish       gladeapi.FinishReason
	err          error
	changed      chan struct{}
	stops        StopFilter
	stopMatched  bool
	// gated is set while readers see only the first released tokens.
	gated    bool
	released int
	// abandoned is set once another VM may own the generation.
	abandoned bool
}

// NewJournal returns an empty journal for g.
func NewJournal(g *gladeapi.Generation) *Journal {
	j := &Journal{Generation: g, promptTokens: g.PromptTokens, changed: make(chan struct{}), stops: StopFilter{Stops: g.Sampling.Stop}}
	j.digest.Reset()
	return j
}

// RestoreJournal returns a journal for g that starts with the tokens of another VM's journal.
func RestoreJournal(g *gladeapi.Generation, promptTokens []int32, tokens []gladeapi.Token) *Journal {
	j := NewJournal(g)
	if len(promptTokens) > 0 {
		j.promptTokens = promptTokens
	}
	for _, t := range tokens {
		j.appendToken(EventToken{ID: t.ID, Text: t.Text, Logprobs: t.Logprobs})
	}
	return j
}

// Gate hides tokens from readers until Release.
func (j *Journal) Gate() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.gated = true
	j.released = len(j.tokens)
}

// Release lets readers see the first n tokens, or all present and future ones if n is negative.
func (j *Journal) Release(n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if n < 0 {
		j.gated = false
	}
	j.released = max(j.released, n)
	j.notifyReaders()
}

// Placement is the current attempt, its engine and the number of tokens at its start.
type Placement struct {
	Attempt gladeapi.Attempt
	Backend gladeapi.BackendServer
	Base    int
}

// Placement returns the placement of the current attempt.
func (j *Journal) Placement() Placement {
	j.mu.Lock()
	defer j.mu.Unlock()
	return Placement{Attempt: j.attempt, Backend: j.backend, Base: j.base}
}

// Begin makes an attempt the current one and returns the identifiers of the tokens before it.
func (j *Journal) Begin(a gladeapi.Attempt, b gladeapi.BackendServer) []int32 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.begin(a, b).ids
}

// beginUnlessEnded is Begin for an attempt that is not to be made if the generation has ended, as another VM may have taken it
// over meanwhile.
func (j *Journal) beginUnlessEnded(a gladeapi.Attempt, b gladeapi.BackendServer) (deliveredTokens, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended() {
		return deliveredTokens{}, ErrGenerationEnded
	}
	return j.begin(a, b), nil
}

// begin is Begin for a caller that holds the lock.
func (j *Journal) begin(a gladeapi.Attempt, b gladeapi.BackendServer) deliveredTokens {
	j.attempt = a
	j.backend = b
	j.base = len(j.tokens)
	j.joining = false
	d := deliveredTokens{ids: make([]int32, len(j.tokens))}
	for i := range j.tokens {
		d.ids[i] = j.tokens[i].ID
		d.prefix = j.tokens[i].Prefix
	}
	return d
}

// deliveredTokens are the tokens before an attempt.
type deliveredTokens struct {
	ids []int32
	// prefix is the journal's hash of them, zero without tokens.
	prefix uint64
}

// matchesPrefix reports whether the identifiers give the journal's hash.
func (d deliveredTokens) matchesPrefix() bool {
	var digest xxhash.Digest
	digest.Reset()
	var b [4]byte
	for _, id := range d.ids {
		binary.LittleEndian.PutUint32(b[:], uint32(id))
		_, _ = digest.Write(b[:])
	}
	return len(d.ids) == 0 || d.prefix == digest.Sum64()
}

// Join makes an attempt that another VM began the current one and returns how many of its tokens the journal holds.
func (j *Journal) Join(p Placement) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempt = p.Attempt
	j.backend = p.Backend
	j.base = min(p.Base, len(j.tokens))
	j.joining = true
	return len(j.tokens) - j.base
}

// allowOverlap lets the next event of the current attempt repeat tokens. It returns how many of them the journal holds.
func (j *Journal) allowOverlap() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.joining = true
	return len(j.tokens) - j.base
}

// Append adds the tokens of an event up to a stop string, or none of them if it returns an error.
func (j *Journal) Append(a gladeapi.Attempt, e Event) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.joining {
		e = j.trimOverlap(e)
	}
	if err := j.validate(a, e); err != nil {
		return err
	}
	j.joining = j.joining && len(e.Tokens) == 0
	j.setPromptTokens(e.PromptTokens)
	for _, t := range e.Tokens {
		if j.appendToken(t) {
			break
		}
	}
	if e.Finish != "" && j.finish == "" {
		j.finish = e.Finish
	}
	if len(e.Tokens) > 0 || e.Finish != "" {
		j.notifyReaders()
	}
	return nil
}

// setPromptTokens keeps the first prompt tokens that an engine reports, without the prefix that a resumed attempt adds.
func (j *Journal) setPromptTokens(ids []int32) {
	if len(j.promptTokens) == 0 && len(ids) > j.base {
		j.promptTokens = ids[:len(ids)-j.base]
	}
}

// trimOverlap removes tokens that the journal already holds from the first event after a join.
// If they differ, it returns the event unchanged.
func (j *Journal) trimOverlap(e Event) Event {
	held := len(j.tokens) - j.base
	n := held - e.First
	if e.First < 0 || n <= 0 || n >= len(e.Tokens) {
		return e
	}
	for i, t := range e.Tokens[:n] {
		if j.tokens[j.base+e.First+i].ID != t.ID {
			return e
		}
	}
	e.Tokens = e.Tokens[n:]
	e.First = held
	return e
}

func (j *Journal) validate(a gladeapi.Attempt, e Event) error {
	if a != j.attempt {
		return eris.Wrapf(ErrStaleAttempt, "%s, current is %s", a.ID(), j.attempt.ID())
	}
	if j.ended() {
		return ErrGenerationEnded
	}
	limit := j.Generation.Sampling.MaxTokens
	if limit > 0 && len(j.tokens)+len(e.Tokens) > limit {
		return eris.Wrapf(ErrTooManyTokens, "limit is %d", limit)
	}
	if e.First < 0 || len(e.Tokens) == 0 {
		return nil
	}
	next := len(j.tokens) - j.base
	if e.First > next {
		return eris.Wrapf(ErrTokenGap, "got %d, want %d", e.First, next)
	}
	if e.First < next {
		return eris.Wrapf(ErrTokenRepeated, "got %d, want %d", e.First, next)
	}
	return nil
}

// appendToken adds a token and reports whether it completed a stop string.
func (j *Journal) appendToken(t EventToken) bool {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], uint32(t.ID))
	_, _ = j.digest.Write(b[:])
	j.tokens = append(j.tokens, gladeapi.Token{
		Index:    len(j.tokens),
		ID:       t.ID,
		Text:     t.Text,
		Prefix:   j.digest.Sum64(),
		Logprobs: t.Logprobs,
	})
	_, stopped := j.stops.Push(t.Text)
	if stopped {
		j.finish = gladeapi.FinishStop
		j.stopMatched = true
	}
	return stopped
}

// Fail ends the generation with err, unless it has ended.
func (j *Journal) Fail(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended() {
		return
	}
	j.err = err
	j.notifyReaders()
}

// Abandon ends the generation with err because another VM may own it, and discards tokens that were not released.
//
// It has no effect if the generation has ended and its end is visible to readers.
// The engine's attempt is not cancelled, because the other VM may join it.
func (j *Journal) Abandon(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	held := j.gated && j.released < len(j.tokens)
	if j.ended() && !held {
		return
	}
	if held {
		j.tokens = j.tokens[:j.released]
	}
	j.finish = ""
	j.err = err
	j.abandoned = true
	j.notifyReaders()
}

// Abandoned reports whether Abandon ended the generation.
func (j *Journal) Abandoned() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.abandoned
}

// Finish ends the generation with a finish reason, unless it has ended.
func (j *Journal) Finish(reason gladeapi.FinishReason) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended() {
		return
	}
	j.finish = reason
	j.notifyReaders()
}

// End is the end of a generation. Both fields are zero until then.
type End struct {
	Finish gladeapi.FinishReason
	Err    error
}

// Ended reports whether the generation has ended.
func (e End) Ended() bool {
	return e.Finish != "" || e.Err != nil
}

// Read waits for released tokens from index from, or for the end, and returns both. It returns the error of ctx.
func (j *Journal) Read(ctx context.Context, from int) ([]gladeapi.Token, End, error) {
	return j.read(ctx, from, true)
}

// ReadAll is like Read, but includes tokens that have not been released. It is meant for replication.
func (j *Journal) ReadAll(ctx context.Context, from int) ([]gladeapi.Token, End, error) {
	return j.read(ctx, from, false)
}

func (j *Journal) read(ctx context.Context, from int, releasedOnly bool) ([]gladeapi.Token, End, error) {
	for {
		j.mu.Lock()
		last := len(j.tokens)
		end := End{Finish: j.finish, Err: j.err}
		if releasedOnly && j.gated && j.released < last {
			last = j.released
			end = End{}
		}
		tokens := j.tokens[min(from, last):last]
		changed := j.changed
		j.mu.Unlock()
		if len(tokens) > 0 || end.Ended() {
			return tokens, end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, End{}, ctx.Err()
		}
	}
}

// Verify returns the index after a caller's position, or ErrPositionMismatch if the journal's tokens up to it differ.
func (j *Journal) Verify(p gladeapi.Position) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if p.Index < 0 || p.Index >= len(j.tokens) || j.tokens[p.Index].Prefix != p.Prefix {
		return 0, eris.Wrapf(ErrPositionMismatch, "index %d of %d", p.Index, len(j.tokens))
	}
	return p.Index + 1, nil
}

// Len returns the number of tokens, including those not yet released.
func (j *Journal) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.tokens)
}

// End returns the end of the generation; its Ended method reports whether there is one.
func (j *Journal) End() End {
	j.mu.Lock()
	defer j.mu.Unlock()
	return End{Finish: j.finish, Err: j.err}
}

// PromptTokens returns the tokens of the prompt, or nil while neither the request nor an engine has supplied them.
func (j *Journal) PromptTokens() []int32 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.promptTokens
}

// texts returns the text of each token.
func (j *Journal) texts() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := make([]string, len(j.tokens))
	for i := range j.tokens {
		all[i] = j.tokens[i].Text
	}
	return all
}

// stoppedEarly reports whether a stop string ended the generation, so that its engine may still be generating.
func (j *Journal) stoppedEarly() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stopMatched
}

// Usage returns the token counts; a token counts once however many attempts computed it.
func (j *Journal) Usage() gladeapi.Usage {
	j.mu.Lock()
	defer j.mu.Unlock()
	return gladeapi.Usage{
		PromptTokens:     len(j.promptTokens),
		CompletionTokens: len(j.tokens),
		TotalTokens:      len(j.promptTokens) + len(j.tokens),
	}
}

func (j *Journal) ended() bool {
	return j.finish != "" || j.err != nil
}

func (j *Journal) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}
