package gladestandin

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeengine"
)

// kick starts the steps unless they run; the caller holds the lock.
func (e *Engine) kick() {
	if e.stepping || e.dead {
		return
	}
	e.stepping = true
	e.tasks.Go(e.steps)
}

// steps runs the batch, one token of each stream at a time, until there is nothing to do.
func (e *Engine) steps() {
	for {
		e.mu.Lock()
		e.admit()
		gate := e.gate
		if e.idle() {
			e.stepping = false
			e.mu.Unlock()
			return
		}
		batch, d := e.plan()
		e.mu.Unlock()
		if gate != nil {
			e.wait(gate)
			continue
		}
		select {
		case <-time.After(d):
		case <-e.died:
		}
		e.mu.Lock()
		if gate = e.gate; gate == nil {
			e.advance(batch)
		}
		e.mu.Unlock()
	}
}

func (e *Engine) wait(gate chan struct{}) {
	select {
	case <-gate:
	case <-e.died:
	}
}

func (e *Engine) idle() bool {
	return e.dead || e.faults.Stall || !slices.ContainsFunc(e.running, (*engineStream).runnable)
}

func (s *engineStream) runnable() bool {
	return !s.stalled
}

// admit fills the batch with the waiting streams of the lowest priority number, oldest first.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *engineStream) int { return cmp.Compare(a.priority, b.priority) })
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cache.cached(s.target, s.prompt)
		s.prefill = len(s.prompt) - cached
		e.counts.CachedTokens += cached
		e.counts.PrefillTokens += s.prefill
		if s.again {
			e.counts.RecomputedTokens += s.prefill
		}
		e.running = append(e.running, s)
	}
}

// plan returns the streams of the next step and its duration.
func (e *Engine) plan() ([]*engineStream, time.Duration) {
	var batch []*engineStream
	budget := prefillChunk
	decoding := 0
	for _, s := range e.running {
		if s.stalled {
			continue
		}
		chunk := min(s.prefill, budget)
		s.chunk = chunk
		budget -= chunk
		if s.prefill == 0 {
			decoding++
		}
		batch = append(batch, s)
	}
	d := time.Duration(prefillChunk-budget) * e.config.PrefillTime
	d += e.config.TokenTime + time.Duration(max(0, decoding-1))*e.config.BatchTime
	if e.faults.Slow > 0 {
		d = time.Duration(float64(d) * e.faults.Slow)
	}
	return batch, d
}

func (e *Engine) advance(batch []*engineStream) {
	if e.faults.Stall {
		return
	}
	for _, s := range batch {
		if e.dead {
			return
		}
		if s.ended {
			continue
		}
		e.advanceOne(s)
	}
}

func (e *Engine) advanceOne(s *engineStream) {
	read := s.prefill == 0
	s.prefill -= s.chunk
	if s.prefill > 0 {
		return
	}
	if !read {
		e.cache.add(s.target, s.prompt)
		if e.poisonous(s.target, s.prompt) {
			e.die()
			return
		}
	}
	e.generate(s)
	s.wake()
}

// generate adds the next event of a stream.
func (e *Engine) generate(s *engineStream) {
	first := len(s.tokens)
	choice := gladeengine.CompletionChoice{}
	for range e.config.EventTokens {
		id, eos := s.sequence.Next()
		before := s.last()
		s.tokens = append(s.tokens, id)
		e.counts.Tokens++
		choice.Text += e.text(before, id)
		choice.FinishReason = finishReason(eos && !s.ignoreEOS, len(s.tokens) == s.maxTokens)
		if choice.FinishReason != nil {
			break
		}
	}
	if !e.config.NoTokenIDs {
		choice.TokenIDs = s.tokens[first:]
		if first == 0 {
			choice.PromptTokenIDs = s.prompt
		}
	}
	chunk := gladeengine.CompletionChunk{ID: s.id, Object: "text_completion", Model: s.target}
	if !e.config.Plain {
		chunk.SequenceNumber = &first
	}
	last := choice.FinishReason != nil
	if e.faults.NoEnd {
		choice.FinishReason = nil
	}
	chunk.Choices = []gladeengine.CompletionChoice{choice}
	e.distort(s, chunk, len(s.tokens))
	e.after(s, last)
}

// after ends a stream at its last token and brings about the faults that come between tokens.
func (e *Engine) after(s *engineStream, last bool) {
	n := len(s.tokens)
	switch {
	case due(&e.faults.DieAt, n):
		e.die()
	case due(&e.faults.StallAt, n):
		s.stalled = true
	case last && e.faults.NoEnd:
		s.stalled = true
	case last:
		s.done = !e.faults.NoDone
		e.cache.add(s.target, slices.Concat(s.prompt, s.tokens))
		e.finish(s)
	}
}

func (e *Engine) text(before, id int32) string {
	if e.config.OddText {
		return OddTokenText(before, id)
	}
	return TokenText(id)
}

func finishReason(eos, full bool) *string {
	var reason gladeapi.FinishReason
	switch {
	case eos:
		reason = gladeapi.FinishStop
	case full:
		reason = gladeapi.FinishLength
	default:
		return nil
	}
	text := string(reason)
	return &text
}
