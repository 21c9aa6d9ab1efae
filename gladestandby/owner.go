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
	// idleInterval is the longest time between two messages to the standbys of a run.
	idleInterval = time.Second
	// claimInterval is the time between two refreshes of a key at its homes.
	claimInterval = 5 * time.Second
	// failedTime is how long a VM that did not answer is not chosen as a standby.
	failedTime = 5 * time.Second
	// followTime is how long a run goes on after another VM last asked for its tokens.
	followTime = 5 * time.Second
	// rankInterval is how long a choice of standbys holds while they answer.
	rankInterval = 250 * time.Millisecond
	// sendPause is the wait before a standby that failed early is asked again; links wait 50 ms after a failure.
	sendPause = 60 * time.Millisecond
	// maxBatchTokens bounds the tokens of one batch.
	maxBatchTokens = 4096
)

// owned is a run of this VM.
type owned struct {
	generation *gladeapi.Generation
	run        *gladestream.Run
	epoch      int
	stop       context.CancelFunc
	// copies are the numbers of tokens that each standby holds.
	copies map[string]int
	// followed is when another VM last asked for the tokens.
	followed time.Time
	// unwanted is set once the last caller at this VM has gone.
	unwanted bool
	claimed  time.Time
	homes    []string
	// ranked are the VMs of the failure domain by rendezvous, as of rankedAt; only the replicating task uses them.
	ranked   []string
	rankedAt time.Time
}

// OnStart replicates a run from now on, if it has a key; it is meant for the Runner's hook of the same name.
func (s *Service) OnStart(run *gladestream.Run) {
	g := run.Journal.Generation
	if g.Key == "" {
		return
	}
	o := &owned{generation: g, run: run, stop: run.Stop, copies: map[string]int{}, claimed: time.Now()}
	run.Stop = func() { s.unwant(o) }
	s.mu.Lock()
	o.epoch = s.taken[g.ID]
	delete(s.taken, g.ID)
	delete(s.pending, keyOf(g))
	s.owned[keyOf(g)] = o
	s.mu.Unlock()
	if !s.config.ReleaseAtOnce && s.config.ProtectTokens == 0 && s.config.ProtectAfter == 0 {
		run.Journal.Gate()
	}
	s.tasks.Go(func() {
		s.replicate(o)
		s.retain(o)
	})
}

// unwant stops a run unless another VM follows it.
func (s *Service) unwant(o *owned) {
	s.mu.Lock()
	o.unwanted = true
	followed := time.Since(o.followed) < followTime
	s.mu.Unlock()
	if !followed {
		o.stop()
	}
}

// retain keeps an ended run, so that others can read it to its end.
func (s *Service) retain(o *owned) {
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
	if k := keyOf(o.generation); s.owned[k] == o {
		delete(s.owned, k)
	}
}

// replicate sends the journal to the standbys until the run ends.
func (s *Service) replicate(o *owned) {
	j := o.run.Journal
	s.awaitThreshold(j)
	if !s.config.ReleaseAtOnce {
		j.Gate()
	}
	sent := 0
	// last is when the last batch was sent.
	var last time.Time
	for {
		ctx, cancel := context.WithTimeout(s.ctx, idleInterval)
		tokens, end, err := j.ReadAll(ctx, sent)
		cancel()
		if s.ctx.Err() != nil {
			return
		}
		if err == nil && !end.Ended() && s.hasStandby(o) {
			s.gather(time.Until(last.Add(s.config.BatchInterval)))
			tokens, end, _ = j.ReadAll(s.ctx, sent)
		}
		s.refreshClaim(o)
		if s.abandonUnwanted(o); end.Err != nil {
			s.dropCopies(o)
			j.Release(-1)
			return
		}
		sent += len(tokens)
		last = time.Now()
		if !s.send(o, sent, end.Finish) {
			s.takenOver(o)
			return
		}
		j.Release(sent)
		if end.Ended() && sent == j.Len() {
			j.Release(-1)
			return
		}
	}
}

// awaitThreshold waits until a run is worth protecting or has ended.
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

// gather waits, as for further tokens of a batch.
func (s *Service) gather(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

func (s *Service) hasStandby(o *owned) bool {
	return len(s.standbys(o)) > 0
}

// standbys returns the VMs that hold the copies of a run.
func (s *Service) standbys(o *owned) []string {
	if time.Since(o.rankedAt) >= rankInterval {
		self := s.config.Peers.Self()
		o.ranked = s.ranked(o.generation.ID, self.FailureDomain)
		o.ranked = slices.DeleteFunc(o.ranked, func(n string) bool { return n == self.Name })
		o.rankedAt = time.Now()
	}
	if len(o.ranked) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	names := slices.DeleteFunc(slices.Clone(o.ranked), func(n string) bool { return time.Now().Before(s.failed[n]) })
	return names[:min(len(names), s.config.Copies)]
}

// send brings all standbys to the first n tokens and reports whether this VM still owns the run.
func (s *Service) send(o *owned, n int, finish gladeapi.FinishReason) bool {
	for range s.config.Copies + 2 {
		done := 0
		names := s.standbys(o)
		if len(names) == 0 {
			break
		}
		for _, name := range names {
			refused, err := s.sendAgain(o, name, n, finish)
			if refused {
				return false
			}
			if err == nil {
				done++
				continue
			}
			s.config.Log.Debug("Standby failed.", "vm", name, "request", o.generation.ID, "error", err)
			s.mu.Lock()
			s.failed[name] = time.Now().Add(failedTime)
			s.mu.Unlock()
		}
		if done == len(names) {
			return true
		}
	}
	s.counters.unprotected.Inc(1)
	return true
}

// sendAgain is sendTo, repeated once if it fails early: the link to a living VM may have been replaced under it.
func (s *Service) sendAgain(o *owned, name string, n int, finish gladeapi.FinishReason) (refused bool, err error) {
	began := time.Now()
	refused, err = s.sendTo(o, name, n, finish)
	if err != nil && time.Since(began) < s.config.CallTimeout/2 {
		s.gather(sendPause)
		refused, err = s.sendTo(o, name, n, finish)
	}
	return refused, err
}

// sendTo brings one standby to the first n tokens.
func (s *Service) sendTo(o *owned, name string, n int, finish gladeapi.FinishReason) (refused bool, err error) {
	s.mu.Lock()
	have, known := o.copies[name]
	s.mu.Unlock()
	for range maxSends {
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
			return false, eris.New("standby is full")
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
	return false, eris.New("standby does not keep up")
}

const maxSends = 8

// batch returns the tokens from one index up to another, with the whole generation if the standby is new.
func (s *Service) batch(o *owned, from, to int, whole bool) gladeapi.JournalBatch {
	j := o.run.Journal
	p := j.Placement()
	b := gladeapi.JournalBatch{
		Request: o.generation.ID, Owner: s.self(), Epoch: o.epoch,
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

// refreshClaim tells the homes of a key from time to time, and new homes at once.
func (s *Service) refreshClaim(o *owned) {
	homes := s.homes(keyOf(o.generation))
	if time.Since(o.claimed) < claimInterval && (o.homes == nil || slices.Equal(homes, o.homes)) {
		return
	}
	o.claimed, o.homes = time.Now(), homes
	s.copyClaim(s.ctx, keyOf(o.generation), s.claimOf(o), homes)
}

// abandonUnwanted stops a run that neither a caller here nor another VM reads.
func (s *Service) abandonUnwanted(o *owned) {
	s.mu.Lock()
	stop := o.unwanted && time.Since(o.followed) >= followTime
	s.mu.Unlock()
	if stop {
		o.stop()
	}
}

func (s *Service) dropCopies(o *owned) {
	s.mu.Lock()
	var names []string
	for name := range o.copies {
		names = append(names, name)
	}
	s.mu.Unlock()
	b := gladeapi.JournalBatch{Request: o.generation.ID, Owner: s.self(), Epoch: o.epoch, Dropped: true}
	for _, name := range names {
		_, _ = call(s.ctx, s, name, methodHold, s.serveHold, b)
	}
}

// takenOver ends the run of a former owner, whose engine's stream now belongs to the successor.
func (s *Service) takenOver(o *owned) {
	s.counters.refused.Inc(1)
	s.config.Log.Warn("Generation taken over by another VM.", "request", o.generation.ID)
	s.config.Record.Add(o.generation.ID, "standby", "takenOver", "epoch %d was refused", o.epoch)
	o.run.Journal.Abandon(ErrTakenOver)
	s.config.Check.That(o.run.Journal.End().Ended(), gladecheck.OneGeneration, "%s goes on after it was taken over", o.generation.ID)
	o.stop()
}
