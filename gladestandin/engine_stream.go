package gladestandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeengine"
)

// endedStreamRetention is the time for which an ended stream can still be re-attached to.
const endedStreamRetention = 10 * time.Second

// engineStream is one attempt. It runs whether or not a connection reads it.
type engineStream struct {
	id        string
	target    string
	prompt    []int32
	maxTokens int
	ignoreEOS bool
	priority  int
	// isRetry is true for a second or later attempt.
	isRetry  bool
	sequence *Sequence
	tokens   []int32
	// prefill is the number of prompt tokens that are not yet computed.
	prefill int
	// chunk is the number of prompt tokens computed in the current step.
	chunk int

	events  []gladeengine.CompletionChunk
	changed chan struct{}
	// breakAt is the number of events after which the connection is closed once; zero disables it.
	breakAt int
	stalled bool
	// done is true if the end event is to be sent.
	done bool
	// ended is true if no more tokens follow.
	ended       bool
	readers     int
	orphanTimer *time.Timer
}

func newEngineStream(q *gladeengine.CompletionRequest, prompt []int32) *engineStream {
	var seed int64
	if q.Seed != nil {
		seed = *q.Seed
	}
	return &engineStream{
		id:        gladeengine.IDPrefix + q.RequestID,
		target:    q.Model,
		prompt:    prompt,
		maxTokens: q.MaxTokens,
		ignoreEOS: q.IgnoreEOS,
		priority:  q.Priority,
		isRetry:   attemptNumber(q.RequestID) > 1,
		sequence:  NewSequence(q.Model, seed, prompt),
		changed:   make(chan struct{}),
	}
}

func attemptNumber(id string) int {
	parts := strings.Split(id, ".")
	if len(parts) < 3 {
		return 1
	}
	number, _ := strconv.Atoi(parts[len(parts)-2])
	return number
}

func (s *engineStream) lastToken() int32 {
	if len(s.tokens) > 0 {
		return s.tokens[len(s.tokens)-1]
	}
	if len(s.prompt) > 0 {
		return s.prompt[len(s.prompt)-1]
	}
	return 0
}

func (s *engineStream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var q gladeengine.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt, err := promptTokens(q.Prompt)
	if err != nil || q.MaxTokens < 1 {
		http.Error(w, "bad prompt or max_tokens", http.StatusBadRequest)
		return
	}
	s := newEngineStream(&q, prompt)
	if status := e.enqueue(s); status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if e.Faults().Mute {
		select {
		case <-r.Context().Done():
		case <-e.terminated:
		}
		panic(http.ErrAbortHandler)
	}
	e.serveEvents(w, r, s, 0)
}

// enqueue queues a new stream and returns 200, 404 if its target is not ready, or 409 if its identifier is in use.
func (e *Engine) enqueue(s *engineStream) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Requests++
	if !e.ready(s.target) {
		return http.StatusNotFound
	}
	if e.streams[s.id] != nil {
		return http.StatusConflict
	}
	s.readers = 1
	e.streams[s.id] = s
	if e.faults.Mute {
		return http.StatusOK
	}
	e.waiting = append(e.waiting, s)
	e.startSteps()
	return http.StatusOK
}

func (e *Engine) serveAttach(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("starting_after"))
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	if s == nil {
		e.mu.Unlock()
		http.NotFound(w, r)
		return
	}
	e.counts.Attached++
	s.readers++
	if s.orphanTimer != nil {
		s.orphanTimer.Stop()
	}
	e.mu.Unlock()
	e.serveEvents(w, r, s, after)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[r.PathValue("id")]
	if s == nil {
		http.NotFound(w, r)
		return
	}
	if e.faults.IgnoreCancel {
		return
	}
	e.cancel(s)
}

// cancel ends a stream before its last token. The caller holds e.mu.
func (e *Engine) cancel(s *engineStream) {
	if s.ended {
		return
	}
	e.counts.Cancelled++
	e.finish(s)
}

// finish removes a stream from the batch. The caller holds e.mu.
func (e *Engine) finish(s *engineStream) {
	s.ended = true
	s.notifyReaders()
	same := func(o *engineStream) bool { return o == s }
	e.running = slices.DeleteFunc(slices.Clone(e.running), same)
	e.waiting = slices.DeleteFunc(slices.Clone(e.waiting), same)
	e.scheduleRemoval(s)
	e.startSteps()
}

// scheduleRemoval removes an ended stream after endedStreamRetention; until then it can be re-attached to.
func (e *Engine) scheduleRemoval(s *engineStream) {
	forget := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[s.id] == s {
			delete(e.streams, s.id)
		}
	}
	time.AfterFunc(endedStreamRetention, forget)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request, s *engineStream, after int) {
	defer e.releaseReader(s)
	w.Header().Set("Content-Type", "text/event-stream")
	next := 0
	for {
		e.mu.Lock()
		events := s.events[next:]
		ended, done, changed, gate := s.ended, s.done, s.changed, e.gate
		broken := s.breakAt > 0 && next+len(events) >= s.breakAt
		if broken {
			s.breakAt = 0
		}
		dead := e.dead
		e.mu.Unlock()
		if gate != nil {
			e.awaitResume(r)
			continue
		}
		next += len(events)
		writeEvents(w, events, after)
		if broken || dead {
			panic(http.ErrAbortHandler)
		}
		if ended {
			endEvents(w, done)
			return
		}
		select {
		case <-changed:
		case <-e.terminated:
		case <-r.Context().Done():
			return
		}
	}
}

func writeEvents(w http.ResponseWriter, events []gladeengine.CompletionChunk, after int) {
	for _, c := range events {
		if c.SequenceNumber != nil && *c.SequenceNumber+len(c.Choices[0].TokenIDs) <= after {
			continue
		}
		data, _ := json.Marshal(c)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
	_ = http.NewResponseController(w).Flush()
}

func endEvents(w http.ResponseWriter, done bool) {
	if done {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// releaseReader removes one reader of a stream. The loss of the last one cancels the stream of a plain engine at once
// and that of another engine after OrphanTime.
func (e *Engine) releaseReader(s *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers > 0 || s.ended {
		return
	}
	if e.config.Plain {
		e.cancel(s)
		return
	}
	s.orphanTimer = time.AfterFunc(e.config.OrphanTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.readers == 0 {
			e.cancel(s)
		}
	})
}
