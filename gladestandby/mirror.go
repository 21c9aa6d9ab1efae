package gladestandby

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

const (
	methodFollow = "standby.follow"

	// followWaitMillis is how long an owner waits for tokens before it answers, in milliseconds.
	followWaitMillis = 200
	maxFollowWait    = 400 * time.Millisecond
)

// FollowState is the state of a run at the VM that claimed it.
type FollowState string

// The states of a run in a FollowAnswer.
const (
	stateRunning FollowState = "running"
	statePending FollowState = "pending"
	stateUnknown FollowState = "unknown"
)

// FollowRequest asks the owner of a run for its tokens from an index.
type FollowRequest struct {
	Request    string `json:"request"`
	From       int    `json:"from"`
	WaitMillis int    `json:"waitMillis,omitempty"`
}

// FollowAnswer holds released tokens of a run and, after its last token, its end.
type FollowAnswer struct {
	State        FollowState           `json:"state"`
	Generation   *gladeapi.Generation  `json:"generation,omitempty"`
	PromptTokens []int32               `json:"promptTokens,omitempty"`
	Tokens       []gladeapi.Token      `json:"tokens,omitempty"`
	Finish       gladeapi.FinishReason `json:"finish,omitempty"`
	Refusal      *gladeapi.Refusal     `json:"refusal,omitempty"`
}

func (s *Service) serveFollow(ctx context.Context, _ string, q FollowRequest) (FollowAnswer, error) {
	o, state := s.findRun(q.Request)
	if o == nil {
		return FollowAnswer{State: state}, nil
	}
	s.followers.Add(1)
	defer s.followers.Add(-1)
	j := o.run.Journal
	answer := FollowAnswer{State: stateRunning}
	if q.From == 0 {
		answer.Generation = o.generation
	}
	answer.PromptTokens = j.PromptTokens()
	if q.From > 0 && q.WaitMillis > 0 {
		answer.PromptTokens = nil
	}
	wait := min(time.Duration(q.WaitMillis)*time.Millisecond, maxFollowWait)
	ctx, cancel := context.WithTimeout(ctx, max(wait, time.Millisecond))
	defer cancel()
	tokens, end, err := j.Read(ctx, max(q.From, 0))
	if err != nil {
		return answer, nil
	}
	if j.Abandoned() {
		return FollowAnswer{State: stateUnknown}, nil
	}
	answer.Tokens = tokens[:min(len(tokens), maxBatchTokens)]
	if len(answer.Tokens) == len(tokens) && end.Ended() {
		answer.Finish = end.Finish
		if end.Err != nil {
			answer.Refusal = gladeapi.AsRefusal(end.Err)
		}
	}
	return answer, nil
}

// Followers returns the number of calls by other VMs that currently wait for tokens of this VM's runs.
func (s *Service) Followers() int {
	return int(s.followers.Load())
}

// findRun returns the run of a request at this VM, or whether one may begin.
func (s *Service) findRun(request string) (*ownedRun, FollowState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.owned {
		if o.generation.ID == request && !o.run.Journal.Abandoned() {
			o.followedAt = time.Now()
			return o, stateRunning
		}
	}
	for _, p := range s.pending {
		if p.request == request && time.Now().Before(p.until) {
			return nil, statePending
		}
	}
	return nil, stateUnknown
}

func (s *Service) follow(ctx context.Context, c Claim, from, waitMillis int) (FollowAnswer, error) {
	return call(ctx, s, c.Owner, methodFollow, s.serveFollow, FollowRequest{Request: c.Request, From: from, WaitMillis: waitMillis})
}

// startMirror returns a run that copies the tokens of another VM's run.
func (s *Service) startMirror(c Claim, first *FollowAnswer) *gladestream.Run {
	s.counters.mirrors.Inc(1)
	s.config.Record.Add(c.Request, "standby", "follow", "the run goes on at %s", c.Owner)
	// The owner has already applied the stop strings.
	g := *first.Generation
	g.Sampling.Stop = nil
	j := gladestream.NewJournal(&g)
	ctx, cancel := context.WithDeadline(s.ctx, g.Deadline)
	done := make(chan struct{})
	m := &mirror{service: s, journal: j, claim: c, attempt: gladeapi.Attempt{Request: g.ID, Nonce: "mirror"}}
	j.Begin(m.attempt, gladeapi.BackendServer{})
	m.append(first)
	s.tasks.Go(func() {
		defer close(done)
		defer cancel()
		m.run(ctx)
	})
	return &gladestream.Run{Journal: j, Stop: cancel, Done: done}
}

// mirror copies a run of another VM and, if that VM is lost, of its successor, which may be this VM.
type mirror struct {
	service *Service
	journal *gladestream.Journal
	claim   Claim
	attempt gladeapi.Attempt
}

func (m *mirror) run(ctx context.Context) {
	for !m.journal.End().Ended() {
		answer, err := m.service.follow(ctx, m.claim, m.journal.Len(), followWaitMillis)
		if err == nil && answer.State == stateRunning {
			m.append(&answer)
			continue
		}
		if err == nil && answer.State == statePending && waitPending(ctx) {
			continue
		}
		if ctx.Err() != nil {
			m.journal.Fail(lostError("the caller left"))
			return
		}
		m.replaceOwner(ctx)
	}
}

// waitPending pauses while a run is pending at another VM. It needs no limit, because the pending state expires there.
func waitPending(ctx context.Context) bool {
	select {
	case <-time.After(pendingPause):
		return true
	case <-ctx.Done():
		return false
	}
}

// append adds the tokens and the end of an answer. The generation fails if they do not continue the journal.
func (m *mirror) append(a *FollowAnswer) {
	var tokens []gladestream.EventToken
	for _, t := range a.Tokens {
		tokens = append(tokens, gladestream.EventToken{ID: t.ID, Text: t.Text, Logprobs: t.Logprobs})
	}
	e := gladestream.Event{First: m.journal.Len(), Tokens: tokens, PromptTokens: a.PromptTokens}
	if err := m.journal.Append(m.attempt, e); err != nil {
		m.journal.Fail(lostError(err.Error()))
		return
	}
	if n := len(a.Tokens); n > 0 {
		last := a.Tokens[n-1]
		if _, err := m.journal.Verify(gladeapi.Position{Index: last.Index, Prefix: last.Prefix}); err != nil {
			m.journal.Fail(lostError(err.Error()))
			return
		}
	}
	if a.Refusal != nil {
		m.journal.Fail(a.Refusal)
	}
	if a.Finish != "" {
		m.journal.Finish(a.Finish)
	}
}

// replaceOwner finds the successor of a lost owner, or takes the run over.
func (m *mirror) replaceOwner(ctx context.Context) {
	s := m.service
	k := keyOf(m.journal.Generation)
	s.addPending(k, m.claim.Request)
	defer s.removePending(k)
	taken, err := s.takeJournal(ctx, m.claim, m.position())
	if err != nil {
		if eris.Is(err, errNoHolder) {
			err = eris.Wrapf(gladestream.ErrContinuedElsewhere, "owner %s was lost: %v", m.claim.Owner, err)
		}
		m.journal.Fail(err)
		return
	}
	if taken.Batch == nil {
		m.claim.Owner = taken.Owner
		return
	}
	run := s.takeOver(k, m.claim, taken.Batch)
	m.claim.Owner = s.selfName()
	if err := s.reachPosition(ctx, run, m.position()); err != nil {
		m.journal.Fail(err)
		return
	}
	if p := m.position(); p != nil {
		if _, err := run.Journal.Verify(*p); err != nil {
			m.journal.Fail(lostError(err.Error()))
			return
		}
	}
	m.copyRun(ctx, run.Journal)
	if ctx.Err() != nil {
		run.Stop()
	}
}

// copyRun copies the tokens and the end of a run of this VM.
func (m *mirror) copyRun(ctx context.Context, j *gladestream.Journal) {
	for !m.journal.End().Ended() {
		tokens, end, err := j.Read(ctx, m.journal.Len())
		if err != nil {
			m.journal.Fail(lostError("the caller left"))
			return
		}
		answer := FollowAnswer{Tokens: tokens, PromptTokens: j.PromptTokens()}
		if end.Ended() && m.journal.Len()+len(tokens) == j.Len() {
			answer.Finish = end.Finish
			if end.Err != nil {
				answer.Refusal = gladeapi.AsRefusal(end.Err)
			}
		}
		m.append(&answer)
	}
}

// position returns the position of the last token, or nil without tokens.
func (m *mirror) position() *gladeapi.Position {
	n := m.journal.Len()
	if n == 0 {
		return nil
	}
	tokens, _, err := m.journal.ReadAll(context.Background(), n-1)
	if err != nil || len(tokens) == 0 {
		return nil
	}
	return &gladeapi.Position{Index: tokens[0].Index, Prefix: tokens[0].Prefix}
}
