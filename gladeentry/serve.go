package gladeentry

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, o gladenote.Organisation) {
	s.serveGeneration(w, r, &o, false)
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, o gladenote.Organisation) {
	s.serveGeneration(w, r, &o, true)
}

func (s *Server) serveGeneration(w http.ResponseWriter, r *http.Request, o *gladenote.Organisation, chat bool) {
	q, err := s.parse(w, r, o, chat)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	e, err := s.acquireRun(r.Context(), q)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	defer s.runs.release(e)
	w.Header().Set(HeaderRequestID, e.run.Journal.Generation.ID)
	from, err := s.firstIndex(q, e.run.Journal)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	if q.stream {
		s.streamAnswer(w, r, q, e.run.Journal, from)
		return
	}
	s.writeAnswer(w, r, q, e.run.Journal)
}

func (s *Server) acquireRun(ctx context.Context, q *request) (*sharedRun, error) {
	k := runKey{organisation: q.generation.Organisation, key: q.generation.Key}
	startContext := ctx
	if k.key != "" {
		// Other callers with the same key may wait for this start, so it must not end with this request.
		startContext = context.WithoutCancel(ctx)
	}
	e, err := s.runs.acquire(ctx, k, q.bodyHash, func() (*gladestream.Run, error) { return s.startRun(startContext, q) })
	if err != nil {
		return nil, err
	}
	s.countGeneration(q, e)
	if e.bodyHash != q.bodyHash {
		s.runs.release(e)
		return nil, keyReused()
	}
	return e, nil
}

func (s *Server) countGeneration(q *request, e *sharedRun) {
	if e.run.Journal.Generation == q.generation {
		s.meters.generations.Inc(1)
		return
	}
	s.meters.joined.Inc(1)
}

func keyReused() *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: http.StatusUnprocessableEntity, Code: gladeapi.CodeKeyReused,
		Message: "the idempotency key was used with another body", Field: HeaderIdempotencyKey, Ran: gladeapi.NotRun,
	}
}

func (s *Server) startRun(ctx context.Context, q *request) (*gladestream.Run, error) {
	g := q.generation
	if run, err := s.recoverRun(ctx, q); run != nil || err != nil {
		return run, err
	}
	release := func(gladeapi.Usage) {}
	if s.config.Admit != nil {
		var err error
		if release, err = s.config.Admit(ctx, g); err != nil {
			return nil, err
		}
	}
	s.config.Record.Add(g.ID, "entry", "admitted", "%s for %s, %d tokens at most", g.Target, g.Organisation, g.Sampling.MaxTokens)
	run := s.config.Start(g)
	go func() {
		<-run.Done
		release(run.Journal.Usage())
	}()
	return run, nil
}

func (s *Server) recoverRun(ctx context.Context, q *request) (*gladestream.Run, error) {
	if q.generation.Key == "" {
		return nil, nil
	}
	if s.config.Recover != nil {
		run, err := s.config.Recover(ctx, q.generation, q.position)
		if run != nil || err != nil {
			return run, err
		}
	}
	if q.position != nil {
		return nil, generationLost("no VM knows the generation of this key")
	}
	return nil, nil
}

func (s *Server) firstIndex(q *request, j *gladestream.Journal) (int, error) {
	if q.position == nil {
		return 0, nil
	}
	from, err := j.Verify(*q.position)
	if err != nil {
		return 0, generationLost(err.Error())
	}
	return from, nil
}

func generationLost(message string) *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: http.StatusGone, Code: gladeapi.CodeGenerationLost, Message: message, Ran: gladeapi.RanUnknown,
	}
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request, _ gladenote.Organisation) {
	state := s.config.State()
	list := ModelList{Object: "list", Data: []ModelEntry{}}
	for name := range state.Models {
		list.Data = append(list.Data, ModelEntry{ID: name, Object: "model", OwnedBy: "eelgrassglade"})
	}
	for name, a := range state.Adapters {
		list.Data = append(list.Data, ModelEntry{ID: name, Object: "model", OwnedBy: "eelgrassglade", Parent: a.Model})
	}
	slices.SortFunc(list.Data, func(a, b ModelEntry) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, list)
}
