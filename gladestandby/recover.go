package gladestandby

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

const (
	// maxMoves bounds how often a search for a run is sent on to another VM.
	maxMoves = 8
	// pendingWait is how long a second request waits for the first to begin, and pendingPause the time between looks.
	pendingWait  = 5 * time.Second
	pendingPause = 50 * time.Millisecond
	// nearStandbys is the number of VMs asked for a journal before all are.
	nearStandbys = 3
)

var errGone = eris.New("no VM holds the generation")

// Recover returns the run of a caller's key that this or another VM has, or nil if there is none to go on with.
//
// A nil run without error means that a new run is safe unless the caller holds a position.
func (s *Service) Recover(ctx context.Context, g *gladeapi.Generation, p *gladeapi.Position) (*gladestream.Run, error) {
	run, err := s.recover(ctx, g, p)
	if err != nil || run == nil {
		return nil, err
	}
	if !same(run.Journal.Generation, g) {
		return nil, keyReused()
	}
	return run, s.reachPosition(ctx, run, p)
}

func (s *Service) recover(ctx context.Context, g *gladeapi.Generation, p *gladeapi.Position) (*gladestream.Run, error) {
	k := keyOf(g)
	if run := s.own(k); run != nil {
		return run, nil
	}
	mine := s.newClaim(g)
	s.expect(k, mine.Request)
	standing, err := s.claim(ctx, k, mine, "")
	switch {
	case err != nil:
		s.config.Log.Warn("Key not claimed.", "request", g.ID, "error", err)
		standing = mine
	case standing.Owner == mine.Owner && standing.Incarnation == mine.Incarnation:
		// This VM claimed the key before for a run that was refused or has ended.
		standing = mine
	}
	if standing.Request == mine.Request {
		return s.unclaimed(ctx, g, p)
	}
	run, err := s.reach(ctx, k, standing, p)
	if eris.Is(err, errGone) {
		return s.replaceLost(ctx, g, p, standing)
	}
	s.unexpect(k)
	return run, err
}

// unclaimed looks everywhere for the run of a caller who holds a position, though the homes know of none.
func (s *Service) unclaimed(ctx context.Context, g *gladeapi.Generation, p *gladeapi.Position) (*gladestream.Run, error) {
	if p == nil {
		return nil, nil
	}
	c, found := s.search(ctx, keyOf(g), g.ID)
	if found {
		run, err := s.reach(ctx, keyOf(g), c, p)
		if !eris.Is(err, errGone) {
			return run, err
		}
	}
	s.counters.lost.Inc(1)
	s.unexpect(keyOf(g))
	return nil, nil
}

// replaceLost claims the key for a new run, which only a caller without a position may have.
func (s *Service) replaceLost(ctx context.Context, g *gladeapi.Generation, p *gladeapi.Position, lost Claim) (*gladestream.Run, error) {
	k := keyOf(g)
	if p != nil {
		s.counters.lost.Inc(1)
		s.unexpect(k)
		return nil, nil
	}
	s.expect(k, g.ID)
	standing, err := s.claim(ctx, k, s.newClaim(g), lost.Request)
	if err != nil {
		s.config.Log.Warn("Key not claimed.", "request", g.ID, "error", err)
	}
	if err != nil || standing.Request == g.ID {
		return nil, nil //nolint:nilerr // without a home the run begins unclaimed, which is safe without a position
	}
	run, err := s.reach(ctx, k, standing, p)
	if eris.Is(err, errGone) {
		return nil, nil
	}
	s.unexpect(k)
	return run, err
}

// reach returns a run that follows the owner of a claim, or one taken over from a standby.
func (s *Service) reach(ctx context.Context, k runKey, c Claim, p *gladeapi.Position) (*gladestream.Run, error) {
	began := time.Now()
	s.expect(k, c.Request)
	for moves := 0; moves < maxMoves; {
		if c.Owner == s.self() {
			if run := s.own(k); run != nil {
				return run, nil
			}
		}
		answer, err := s.follow(ctx, c, 0, 0)
		switch {
		case err == nil && answer.State == stateRunning && answer.Generation != nil:
			return s.mirror(c, &answer), nil
		case err == nil && answer.State == statePending:
			if time.Since(began) > pendingWait {
				return nil, conflict()
			}
			time.Sleep(pendingPause)
			continue
		}
		taken, err := s.take(ctx, c, p)
		if err != nil {
			return nil, err
		}
		if taken.Batch != nil {
			return s.succeed(k, c, taken.Batch), nil
		}
		c.Owner = taken.Owner
		moves++
	}
	return nil, conflict()
}

// take asks the standbys of a lost owner for its journal, the nearest first.
func (s *Service) take(ctx context.Context, c Claim, p *gladeapi.Position) (TakeAnswer, error) {
	q := TakeRequest{Request: c.Request, Owner: c.Owner, Position: p}
	names := s.ranked(c.Request, c.FailureDomain)
	for i, name := range append(names, s.leaving(c.FailureDomain)...) {
		if name == c.Owner || p == nil && i >= nearStandbys {
			continue
		}
		answer, err := call(ctx, s, name, methodTake, s.serveTake, q)
		if err != nil || !answer.Found {
			continue
		}
		if answer.Differs {
			return answer, lost("the caller's tokens are not those of the journal")
		}
		return answer, nil
	}
	return TakeAnswer{}, errGone
}

// leaving returns the leaving VMs of a failure domain, which may still hold journals.
func (s *Service) leaving(domain string) []string {
	var names []string
	for _, m := range s.config.Peers.Members() {
		if m.Leaving && m.FailureDomain == domain {
			names = append(names, m.Name)
		}
	}
	return names
}

// succeed goes on with a journal that a standby gave to this VM.
func (s *Service) succeed(k runKey, c Claim, b *gladeapi.JournalBatch) *gladestream.Run {
	s.counters.takeovers.Inc(1)
	s.config.Log.Info("Generation taken over.", "request", b.Request, "from", c.Owner, "tokens", len(b.Tokens))
	s.config.Record.Add(b.Request, "standby", "takeover", "from %s in epoch %d after %d tokens", c.Owner, b.Epoch, len(b.Tokens))
	j := gladestream.RestoreJournal(b.Generation, b.PromptTokens, b.Tokens)
	if b.Finish != "" {
		j.Finish(b.Finish)
		done := make(chan struct{})
		close(done)
		return &gladestream.Run{Journal: j, Stop: func() {}, Done: done}
	}
	s.mu.Lock()
	s.taken[b.Request] = b.Epoch
	s.mu.Unlock()
	run := s.config.Continue(j, gladestream.Placement{Attempt: b.Attempt, Backend: b.Backend, Base: b.Base})
	claim := s.newClaim(b.Generation)
	claim.Epoch = b.Epoch
	s.tasks.Go(func() { s.copyClaim(s.ctx, k, claim, s.homes(k)) })
	return run
}

// reachPosition waits until the journal holds the caller's position, because a standby may have held less.
func (s *Service) reachPosition(ctx context.Context, run *gladestream.Run, p *gladeapi.Position) error {
	if p == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.CatchUp)
	defer cancel()
	for n := run.Journal.Len(); n <= p.Index; {
		tokens, end, err := run.Journal.ReadAll(ctx, n)
		if err != nil {
			return lost("the journal did not reach the caller's position in time")
		}
		if n += len(tokens); end.Ended() {
			return nil
		}
	}
	return nil
}

// own returns this VM's run of a key.
func (s *Service) own(k runKey) *gladestream.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.owned[k]; o != nil && !o.run.Journal.Abandoned() {
		o.unwanted = false
		return o.run
	}
	return nil
}

// expect notes that a run of a key may begin here.
func (s *Service) expect(k runKey, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[k] = pendingRun{request: request, until: time.Now().Add(pendingTime)}
}

func (s *Service) unexpect(k runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, k)
}

// Withdraw says that the run which Recover left to begin will not, because it was refused.
func (s *Service) Withdraw(g *gladeapi.Generation) {
	s.unexpect(keyOf(g))
}

// same reports whether two requests under one key ask for the same; a seed may have been drawn.
func same(a, b *gladeapi.Generation) bool {
	return a.Fingerprint == b.Fingerprint && a.Target == b.Target && a.Sampling.MaxTokens == b.Sampling.MaxTokens
}

func keyReused() error {
	return &gladeapi.Refusal{
		Status: http.StatusUnprocessableEntity, Code: gladeapi.CodeKeyReused,
		Message: "the idempotency key was used with another body", Ran: gladeapi.NotRun,
	}
}

func lost(message string) error {
	return &gladeapi.Refusal{
		Status: http.StatusGone, Code: gladeapi.CodeGenerationLost, Message: message, Ran: gladeapi.Unknown,
	}
}

func conflict() error {
	return &gladeapi.Refusal{
		Status: http.StatusConflict, Code: gladeapi.CodeConflict, Ran: gladeapi.Unknown, RetryAfter: time.Second,
		Message: "the generation of this key is beginning or moving at another VM",
	}
}
