package gladestandin

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeengine"
)

// startSteps starts runSteps unless it is running. The caller holds e.mu.
func (e *Engine) startSteps() {
	if e.stepping || e.dead {
		return
	}
	e.stepping = true
	e.tasks.Go(e.runSteps)
}

// runSteps generates one event per stream and step until no stream can run.
func (e *Engine) runSteps() {
	for {
		e.mu.Lock()
		e.admit()
		gate := e.gate
		if e.idle() {
			e.stepping = false
			e.mu.Unlock()
			return
		}
		batch, d := e.nextBatch()
		e.mu.Unlock()
		if gate != nil {
			e.awaitGate(gate)
			continue
		}
		select {
		case <-time.After(d):
		case <-e.terminated:
		}
		e.mu.Lock()
		if gate = e.gate; gate == nil {
			e.advance(batch)
		}
		e.mu.Unlock()
	}
}

func (e *Engine) awaitGate(gate chan struct{}) {
	select {
	case <-gate:
	case <-e.terminated:
	}
}

func (e *Engine) idle() bool {
	return e.dead || e.faults.Stall || !slices.ContainsFunc(e.running, (*engineStream).runnable)
}

func (s *engineStream) runnable() bool {
	return !s.stalled
}

// admit moves waiting streams to the batch, lowest priority number first and oldest first among equals.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *engineStream) int { return cmp.Compare(a.priority, b.priority) })
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cache.cachedTokens(s.target, s.prompt)
		s.prefill = len(s.prompt) - cached
		e.counts.CachedTokens += cached
		e.counts.PrefillTokens += s.prefill
		if s.isRetry {
			e.counts.RecomputedTokens += s.prefill
		}
		e.running = append(e.running, s)
	}
}

// nextBatch returns the streams of the next step and the step's duration.
func (e *Engine) nextBatch() ([]*engineStream, time.Duration) {
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
		e.advanceStream(s)
	}
}

func (e *Engine) advanceStream(s *engineStream) {
	read := s.prefill == 0
	s.prefill -= s.chunk
	if s.prefill > 0 {
		return
	}
	if !read {
		e.cache.add(s.target, s.prompt)
		if e.matchesPoison(s.target, s.prompt) {
			e.crash()
			return
		}
	}
	e.generate(s)
	s.notifyReaders()
}

// generate appends the next event of a stream.
func (e *Engine) generate(s *engineStream) {
	first := len(s.tokens)
	choice := gladeengine.CompletionChoice{}
	for range e.config.EventTokens {
		id, eos := s.sequence.Next()
		before := s.lastToken()
		s.tokens = append(s.tokens, id)
		e.counts.Tokens++
		choice.Text += e.tokenText(before, id)
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
	e.appendWithFaults(s, chunk, len(s.tokens))
	e.endEvent(s, last)
}

// endEvent applies the faults that happen after an event and finishes the stream after its last token.
func (e *Engine) endEvent(s *engineStream, last bool) {
	n := len(s.tokens)
	switch {
	case takeDue(&e.faults.DieAt, n):
		e.crash()
	case takeDue(&e.faults.StallAt, n):
		s.stalled = true
	case last && e.faults.NoEnd:
		s.stalled = true
	case last:
		s.done = !e.faults.NoDone
		e.cache.add(s.target, slices.Concat(s.prompt, s.tokens))
		e.finish(s)
	}
}

func (e *Engine) tokenText(before, id int32) string {
	if e.config.PartialText {
		return PartialTokenText(before, id)
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
