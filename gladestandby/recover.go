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
	// maxOwnerChanges limits how many owners a search for a run tries.
	maxOwnerChanges = 8
	// pendingWait is how long a repeated request waits for the first one to begin.
	pendingWait = 5 * time.Second
	// pendingPause is the time between two checks of a pending run.
	pendingPause = 50 * time.Millisecond
	// nearStandbys is the number of VMs asked for a journal if the caller has no position; otherwise all are asked.
	nearStandbys = 3
)

var errNoHolder = eris.New("no VM holds the generation")

// Recover returns the run of a caller's key at this or another VM, or nil if there is none to continue.
//
// After nil without an error, a new run is safe unless the caller holds a position.
// The error is a *gladeapi.Refusal.
func (s *Service) Recover(ctx context.Context, g *gladeapi.Generation, p *gladeapi.Position) (*gladestream.Run, error) {
	run, err := s.recover(ctx, g, p)
	if err != nil || run == nil {
		return nil, err
	}
	if !sameRequest(run.Journal.Generation, g) {
		return nil, keyReusedError()
	}
	return run, s.reachPosition(ctx, run, p)
}

func (s *Service) recover(ctx context.Context, g *gladeapi.Generation, p *gladeapi.Position) (*gladestream.Run, error) {
	k := keyOf(g)
	if run := s.ownRun(k); run != nil {
		return run, nil
	}
	mine := s.newClaim(g)
	s.addPending(k, mine.Request)
	standing, err := s.claimKey(ctx, k, mine, "")
	switch {
	case err != nil:
		s.config.Log.Warn("Key not claimed.", "request", g.ID, "error", err)
		standing = mine
	case standing.Owner == mine.Owner && standing.Incarnation == mine.Incarnation:
		// This VM claimed the key earlier for a run that was refused or has ended.
		standing = mine
	}
	if standing.Request == mine.Request {
		return s.recoverUnclaimed(ctx, g, p)
	}
	run, err := s.followOrTakeOver(ctx, k, standing, p)
	if eris.Is(err, errNoHolder) {
		return s.replaceLostRun(ctx, g, p, standing)
	}
	s.removePending(k)
	return run, err
}

// recoverUnclaimed searches all VMs for the run of a caller that holds a position, because the homes know of none.
func (s *Service) recoverUnclaimed(ctx context.Context, g *gladeapi.Generation, p *gladeapi.Position) (*gladestream.Run, error) {
	if p == nil {
		return nil, nil
	}
	c, found := s.searchAll(ctx, keyOf(g), g.ID)
	if found {
		run, err := s.followOrTakeOver(ctx, keyOf(g), c, p)
		if !eris.Is(err, errNoHolder) {
			return run, err
		}
	}
	s.counters.lost.Inc(1)
	s.removePending(keyOf(g))
	return nil, nil
}

// replaceLostRun claims the key for a new run. Only a caller without a position may have one.
func (s *Service) replaceLostRun(ctx context.Context, g *gladeapi.Generation, p *gladeapi.Position, lost Claim) (*gladestream.Run, error) {
	k := keyOf(g)
	if p != nil {
		s.counters.lost.Inc(1)
		s.removePending(k)
		return nil, nil
	}
	s.addPending(k, g.ID)
	standing, err := s.claimKey(ctx, k, s.newClaim(g), lost.Request)
	if err != nil {
		s.config.Log.Warn("Key not claimed.", "request", g.ID, "error", err)
	}
	if err != nil || standing.Request == g.ID {
		return nil, nil //nolint:nilerr // without a home VM the run begins unclaimed, which is safe without a position
	}
	run, err := s.followOrTakeOver(ctx, k, standing, p)
	if eris.Is(err, errNoHolder) {
		return nil, nil
	}
	s.removePending(k)
	return run, err
}

// followOrTakeOver returns a run that follows the owner of a claim, or one taken over from a standby.
func (s *Service) followOrTakeOver(ctx context.Context, k runKey, c Claim, p *gladeapi.Position) (*gladestream.Run, error) {
	began := time.Now()
	s.addPending(k, c.Request)
	for ownerChanges := 0; ownerChanges < maxOwnerChanges; {
		if c.Owner == s.selfName() {
			if run := s.ownRun(k); run != nil {
				return run, nil
			}
		}
		answer, err := s.follow(ctx, c, 0, 0)
		switch {
		case err == nil && answer.State == stateRunning && answer.Generation != nil:
			return s.startMirror(c, &answer), nil
		case err == nil && answer.State == statePending:
			if time.Since(began) > pendingWait {
				return nil, conflictError()
			}
			time.Sleep(pendingPause)
			continue
		}
		taken, err := s.takeJournal(ctx, c, p)
		if err != nil {
			return nil, err
		}
		if taken.Batch != nil {
			return s.takeOver(k, c, taken.Batch), nil
		}
		c.Owner = taken.Owner
		ownerChanges++
	}
	return nil, conflictError()
}

// takeJournal asks the standbys of a lost owner for its journal, in the order of their rank.
func (s *Service) takeJournal(ctx context.Context, c Claim, p *gladeapi.Position) (TakeAnswer, error) {
	q := TakeRequest{Request: c.Request, Owner: c.Owner, Position: p}
	names := s.rankedVMs(c.Request, c.FailureDomain)
	for i, name := range append(names, s.leavingVMs(c.FailureDomain)...) {
		if name == c.Owner || p == nil && i >= nearStandbys {
			continue
		}
		answer, err := call(ctx, s, name, methodTake, s.serveTake, q)
		if err != nil || !answer.Found {
			continue
		}
		if answer.Differs {
			return answer, lostError("the caller's tokens are not those of the journal")
		}
		return answer, nil
	}
	return TakeAnswer{}, errNoHolder
}

// leavingVMs returns the leaving VMs of a failure domain, which may still hold journals.
func (s *Service) leavingVMs(domain string) []string {
	var names []string
	for _, m := range s.config.Peers.Members() {
		if m.Leaving && m.FailureDomain == domain {
			names = append(names, m.Name)
		}
	}
	return names
}

// takeOver continues the run of a journal that a standby handed to this VM.
func (s *Service) takeOver(k runKey, c Claim, b *gladeapi.JournalBatch) *gladestream.Run {
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
	s.takenEpochs[b.Request] = b.Epoch
	s.mu.Unlock()
	run := s.config.Continue(j, gladestream.Placement{Attempt: b.Attempt, Backend: b.Backend, Base: b.Base})
	claim := s.newClaim(b.Generation)
	claim.Epoch = b.Epoch
	s.tasks.Go(func() { s.copyClaim(s.ctx, k, claim, s.homes(k)) })
	return run
}

// reachPosition waits until the journal holds the caller's position, because a standby may have held fewer tokens.
func (s *Service) reachPosition(ctx context.Context, run *gladestream.Run, p *gladeapi.Position) error {
	if p == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.CatchUp)
	defer cancel()
	for n := run.Journal.Len(); n <= p.Index; {
		tokens, end, err := run.Journal.ReadAll(ctx, n)
		if err != nil {
			return lostError("the journal did not reach the caller's position in time")
		}
		if n += len(tokens); end.Ended() {
			return nil
		}
	}
	return nil
}

// ownRun returns this VM's run of a key, or nil.
func (s *Service) ownRun(k runKey) *gladestream.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.owned[k]; o != nil && !o.run.Journal.Abandoned() {
		o.callersGone = false
		return o.run
	}
	return nil
}

// addPending records that a run of a key may begin at this VM.
func (s *Service) addPending(k runKey, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[k] = pendingRun{request: request, until: time.Now().Add(pendingTimeout)}
}

func (s *Service) removePending(k runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, k)
}

// CancelPending reports that the run for which Recover returned nil was refused and will not begin.
func (s *Service) CancelPending(g *gladeapi.Generation) {
	s.removePending(keyOf(g))
}

// sameRequest reports whether two requests with one key are equal; the seed is ignored, because it may be generated.
func sameRequest(a, b *gladeapi.Generation) bool {
	return a.Fingerprint == b.Fingerprint && a.Target == b.Target && a.Sampling.MaxTokens == b.Sampling.MaxTokens
}

func keyReusedError() error {
	return &gladeapi.Refusal{
		Status: http.StatusUnprocessableEntity, Code: gladeapi.CodeKeyReused,
		Message: "the idempotency key was used with another body", Ran: gladeapi.NotRun,
	}
}

func lostError(message string) error {
	return &gladeapi.Refusal{
		Status: http.StatusGone, Code: gladeapi.CodeGenerationLost, Message: message, Ran: gladeapi.RanUnknown,
	}
}

func conflictError() error {
	return &gladeapi.Refusal{
		Status: http.StatusConflict, Code: gladeapi.CodeConflict, Ran: gladeapi.RanUnknown, RetryAfter: time.Second,
		Message: "the generation of this key is beginning or moving at another VM",
	}
}
