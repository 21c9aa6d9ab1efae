package gladestandby

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

const (
	// idleInterval is the maximum time between two batches to the standbys of a run.
	idleInterval = time.Second
	// claimRefreshInterval is the time between two refreshes of a claim at its homes.
	claimRefreshInterval = 5 * time.Second
	// failedStandbyBackoff is how long a VM that failed is not chosen as a standby.
	failedStandbyBackoff = 5 * time.Second
	// followTimeout is how long a run without callers here continues after another VM last asked for its tokens.
	followTimeout = 5 * time.Second
	// rankInterval is how long a ranking of the standbys is reused.
	rankInterval = 250 * time.Millisecond
	// resendPause is the pause before a standby that failed early is retried. It exceeds the 50 ms that a link waits
	// after a failure.
	resendPause = 60 * time.Millisecond
	// maxBatchTokens limits the tokens of one batch.
	maxBatchTokens = 4096
)

// ownedRun is a run that this VM owns.
type ownedRun struct {
	generation *gladeapi.Generation
	run        *gladestream.Run
	epoch      int
	stop       context.CancelFunc
	// copies holds the number of tokens at each standby.
	copies map[string]int
	// followedAt is the time when another VM last asked for the tokens.
	followedAt time.Time
	// callersGone is set once the last caller at this VM has disconnected.
	callersGone bool
	claimedAt   time.Time
	homes       []string
	// ranked lists the VMs of the failure domain by rendezvous rank, as of rankedAt.
	// Only the goroutine that replicates the run uses both.
	ranked   []string
	rankedAt time.Time
}

// OnStart replicates a run that has a key. A run that starts after the service was closed is abandoned at once. OnStart is
// meant for gladestream.Config.OnStart.
func (s *Service) OnStart(run *gladestream.Run) {
	g := run.Journal.Generation
	if g.Key == "" {
		return
	}
	o := &ownedRun{generation: g, run: run, stop: run.Stop, copies: map[string]int{}, claimedAt: time.Now()}
	run.Stop = func() { s.handleCallersGone(o) }
	s.mu.Lock()
	o.epoch = s.takenEpochs[g.ID]
	delete(s.takenEpochs, g.ID)
	delete(s.pending, keyOf(g))
	closed := s.ctx.Err() != nil
	if !closed {
		s.owned[keyOf(g)] = o
		s.running[o] = struct{}{}
	}
	s.mu.Unlock()
	if closed {
		run.Journal.Abandon(ErrStopped)
		o.stop()
		return
	}
	if !s.config.ReleaseAtOnce && s.config.ProtectTokens == 0 && s.config.ProtectAfter == 0 {
		run.Journal.Gate()
	}
	s.tasks.Go(func() {
		s.replicate(o)
		s.retain(o)
	})
}

// handleCallersGone stops a run unless another VM follows it.
func (s *Service) handleCallersGone(o *ownedRun) {
	s.mu.Lock()
	o.callersGone = true
	followed := time.Since(o.followedAt) < followTimeout
	s.mu.Unlock()
	if !followed {
		o.stop()
	}
}

// retain keeps an ended run for Retention, so that other VMs can read it to its end; a failed run is removed at once.
func (s *Service) retain(o *ownedRun) {
	retention := s.config.Retention
	if o.run.Journal.End().Err != nil {
		retention = 0
	}
	select {
	case <-time.After(retention):
	case <-s.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, o)
	if k := keyOf(o.generation); s.owned[k] == o {
		delete(s.owned, k)
	}
}

// replicate sends the journal to the standbys until the run ends.
func (s *Service) replicate(o *ownedRun) {
	j := o.run.Journal
	s.awaitThreshold(j)
	if !s.config.ReleaseAtOnce {
		j.Gate()
	}
	sent := 0
	// last is the time of the last batch.
	var last time.Time
	for {
		ctx, cancel := context.WithTimeout(s.ctx, idleInterval)
		tokens, end, err := j.ReadAll(ctx, sent)
		cancel()
		if s.ctx.Err() != nil {
			return
		}
		if err == nil && !end.Ended() && s.hasStandby(o) {
			s.sleep(time.Until(last.Add(s.config.BatchInterval)))
			tokens, end, _ = j.ReadAll(s.ctx, sent)
		}
		s.refreshClaim(o)
		if s.stopIfUnread(o); end.Err != nil {
			s.dropCopies(o)
			j.Release(-1)
			return
		}
		sent += len(tokens)
		last = time.Now()
		if !s.send(o, sent, end.Finish) {
			s.handleTakenOver(o)
			return
		}
		j.Release(sent)
		if end.Ended() && sent == j.Len() {
			j.Release(-1)
			return
		}
	}
}

// awaitThreshold waits until a run reaches ProtectTokens or ProtectAfter, or has ended.
func (s *Service) awaitThreshold(j *gladestream.Journal) {
	if s.config.ProtectTokens == 0 && s.config.ProtectAfter == 0 {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	if s.config.ProtectAfter > 0 {
		defer time.AfterFunc(s.config.ProtectAfter, cancel).Stop()
	}
	for n := 0; s.config.ProtectTokens == 0 || n < s.config.ProtectTokens; {
		tokens, end, err := j.ReadAll(ctx, n)
		if err != nil || end.Ended() {
			return
		}
		n += len(tokens)
	}
}

// sleep waits for d or until the service is closed.
func (s *Service) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

func (s *Service) hasStandby(o *ownedRun) bool {
	return len(s.standbys(o)) > 0
}

// standbys returns the VMs that should hold copies of a run.
func (s *Service) standbys(o *ownedRun) []string {
	if time.Since(o.rankedAt) >= rankInterval {
		self := s.config.Peers.Self()
		o.ranked = s.rankedVMs(o.generation.ID, self.FailureDomain)
		o.ranked = slices.DeleteFunc(o.ranked, func(n string) bool { return n == self.Name })
		o.rankedAt = time.Now()
	}
	if len(o.ranked) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	names := slices.DeleteFunc(slices.Clone(o.ranked), func(n string) bool { return time.Now().Before(s.failedUntil[n]) })
	return names[:min(len(names), s.config.Copies)]
}

// send sends all standbys the journal up to n tokens and reports whether this VM still owns the run.
func (s *Service) send(o *ownedRun, n int, finish gladeapi.FinishReason) bool {
	for range s.config.Copies + 2 {
		done := 0
		names := s.standbys(o)
		if len(names) == 0 {
			break
		}
		for _, name := range names {
			refused, err := s.sendWithRetry(o, name, n, finish)
			if refused {
				return false
			}
			if err == nil {
				done++
				continue
			}
			s.config.Log.Debug("Replication to standby failed.", "vm", name, "request", o.generation.ID, "error", err)
			s.mu.Lock()
			s.failedUntil[name] = time.Now().Add(failedStandbyBackoff)
			s.mu.Unlock()
		}
		if done == len(names) {
			return true
		}
	}
	s.counters.unprotected.Inc(1)
	return true
}

// sendWithRetry calls sendTo and retries once after an early failure,
// because the link to a live VM may have been replaced during the call.
func (s *Service) sendWithRetry(o *ownedRun, name string, n int, finish gladeapi.FinishReason) (refused bool, err error) {
	began := time.Now()
	refused, err = s.sendTo(o, name, n, finish)
	if err != nil && time.Since(began) < s.config.CallTimeout/2 {
		s.sleep(resendPause)
		refused, err = s.sendTo(o, name, n, finish)
	}
	return refused, err
}

// sendTo sends one standby the journal up to n tokens. It reports whether the standby refused this VM as the owner.
func (s *Service) sendTo(o *ownedRun, name string, n int, finish gladeapi.FinishReason) (refused bool, err error) {
	s.mu.Lock()
	have, known := o.copies[name]
	s.mu.Unlock()
	for range maxBatchesPerSend {
		b := s.batch(o, have, n, !known)
		if b.Base = o.run.Journal.Placement().Base; have+len(b.Tokens) == n {
			b.Finish = finish
		}
		answer, err := call(s.ctx, s, name, methodHold, s.serveHold, b)
		switch {
		case err != nil:
			return false, err
		case answer.Refused:
			return true, nil
		case answer.Full:
			return false, eris.Errorf("standby %s has no memory for the journal", name)
		}
		s.counters.batches.Inc(1)
		s.counters.tokens.Inc(int64(len(b.Tokens)))
		s.mu.Lock()
		o.copies[name] = answer.Have
		s.mu.Unlock()
		if answer.Have >= n {
			return false, nil
		}
		known, have = answer.Have > have, answer.Have
	}
	return false, eris.Errorf("standby %s holds %d of %d tokens after %d batches", name, have, n, maxBatchesPerSend)
}

// maxBatchesPerSend limits the batches that one call of sendTo sends.
const maxBatchesPerSend = 8

// batch returns the tokens between two indexes, at most maxBatchTokens, and the generation itself if whole is set.
func (s *Service) batch(o *ownedRun, from, to int, whole bool) gladeapi.JournalBatch {
	j := o.run.Journal
	p := j.Placement()
	b := gladeapi.JournalBatch{
		Request: o.generation.ID, Owner: s.selfName(), Epoch: o.epoch,
		Attempt: p.Attempt, Backend: p.Backend, Base: p.Base,
	}
	if whole {
		b.Generation = o.generation
	}
	if from == 0 {
		b.PromptTokens = j.PromptTokens()
	}
	if from < to {
		tokens, _, _ := j.ReadAll(s.ctx, from)
		b.Tokens = tokens[:min(len(tokens), to-from, maxBatchTokens)]
	}
	return b
}

// refreshClaim sends the claim to the homes of the key every claimRefreshInterval, and at once if the homes change.
func (s *Service) refreshClaim(o *ownedRun) {
	homes := s.homes(keyOf(o.generation))
	if time.Since(o.claimedAt) < claimRefreshInterval && (o.homes == nil || slices.Equal(homes, o.homes)) {
		return
	}
	o.claimedAt, o.homes = time.Now(), homes
	s.copyClaim(s.ctx, keyOf(o.generation), s.claimForRun(o), homes)
}

// stopIfUnread stops a run that neither a caller at this VM nor another VM reads.
func (s *Service) stopIfUnread(o *ownedRun) {
	s.mu.Lock()
	stop := o.callersGone && time.Since(o.followedAt) >= followTimeout
	s.mu.Unlock()
	if stop {
		o.stop()
	}
}

// dropCopies tells the standbys to drop their copies of a run; failures are ignored, because copies expire.
func (s *Service) dropCopies(o *ownedRun) {
	s.mu.Lock()
	var names []string
	for name := range o.copies {
		names = append(names, name)
	}
	s.mu.Unlock()
	b := gladeapi.JournalBatch{Request: o.generation.ID, Owner: s.selfName(), Epoch: o.epoch, Dropped: true}
	for _, name := range names {
		_, _ = call(s.ctx, s, name, methodHold, s.serveHold, b)
	}
}

// handleTakenOver ends the run of a former owner, whose attempt on the engine now belongs to the successor.
func (s *Service) handleTakenOver(o *ownedRun) {
	s.counters.refused.Inc(1)
	s.config.Log.Warn("Generation taken over by another VM.", "request", o.generation.ID)
	s.config.Record.Add(o.generation.ID, "standby", "takenOver", "epoch %d was refused", o.epoch)
	o.run.Journal.Abandon(ErrTakenOver)
	s.config.Check.That(o.run.Journal.End().Ended(), gladecheck.OneGeneration, "%s goes on after it was taken over", o.generation.ID)
	o.stop()
}
