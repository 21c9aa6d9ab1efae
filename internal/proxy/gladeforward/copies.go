package gladeforward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladequota"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

const (
	// copyTimeout is the time limit of a call that copies a run.  A copy is hundreds of megabytes on a fast link and
	// may queue behind others.
	copyTimeout = 700 * time.Millisecond
	// copyInterval is how often a copy made by call is updated.  The tokens that it lacks are recomputed in
	// milliseconds.
	copyInterval = 500 * time.Millisecond
	// heldTimeout is the time limit of a query for an engine's cached prompts; recomputing a prompt takes a second.
	heldTimeout = 80 * time.Millisecond
	// heldMaxAge is how long the answer of an engine to such a query is used.
	heldMaxAge = time.Second
	// maxHeldQueries is the largest number of engines that are asked for the cached prompt of one request, those first on which its
	// session is probably cached.  Each VM would otherwise ask every engine of a large failure domain once per second.
	maxHeldQueries = 12
	// minHeldShare is the share of a prompt that an engine must have cached to be chosen for it.
	minHeldShare = 0.5
)

// Engine holds the platform's functions that call model engines.
type Engine struct {
	// Copy copies the memory of a request's run from source to target and returns the name of the copy.
	Copy func(ctx context.Context, source, requestID, target string) (string, error)
	// Free releases the memory of a copy made by Copy.
	Free func(ctx context.Context, name string) error
	// CachedTokens returns the number of cached tokens for each prompt part on an engine.
	CachedTokens func(ctx context.Context, address string) (map[string]int, error)
}

// copyResult is the result of an Engine.Copy call.
type copyResult struct {
	copy *gladefleet.CopyReservation
	from string
	err  error
}

// copies reports whether the engines of the stream's service keep copies of each other's runs.
func (s *stream) copies() bool {
	engine := s.release.Services[s.service].Engine
	return engine != nil && engine.Copies && s.route.Retryable()
}

// maintainCopy replaces a copy whose server is gone or of a version that stops, and updates a copy made by call.
func (a *attempt) maintainCopy(now time.Time) {
	if a.received == 0 || !a.canCopy || a.copying || now.Before(a.nextCopy) {
		return
	}
	rule := a.repeatRule()
	lost := a.copy == nil || a.config.Fleet.Unavailable(a.copy.ID, now) || !rule.Permits(a.copy.Version)
	// At the end of a roll-out the servers of both the run and its copy stop at once.
	stops := !lost && !rule.Prefers(a.copy.Version) && !rule.Prefers(a.place.Version)
	if !lost && !stops && !a.copiedByCall {
		return
	}
	target := a.copy
	if lost {
		a.copy.Release()
		a.copy, a.copyName = nil, ""
		a.recordCopyVersion()
	}
	if lost || stops {
		rule.Fallback = rule.Fallback && lost
		target = a.config.Fleet.ChooseCopy(
			a.place.Server, a.maxTokens(), a.roomLimits(), rule, slices.Concat(a.avoid, a.copyRefusedBy), now,
		)
	}
	a.nextCopy = now.Add(copyInterval)
	if target == nil {
		return
	}
	a.copying = true
	a.count("copies.called")
	fresh := target != a.copy
	go func() {
		ctx, cancel := context.WithTimeout(a.attemptContext, copyTimeout)
		defer cancel()
		from, err := "", a.acquire(ctx, a.place.Server, gladequota.Request{Repeat: true})
		if err == nil {
			from, err = a.config.Engine.Copy(ctx, a.place.Address, a.call.ID, target.Address)
		}
		select {
		case a.copyDone <- copyResult{copy: target, from: from, err: err}:
		case <-a.attemptContext.Done():
			if fresh {
				target.Release()
			}
		}
	}()
}

// handleCopyResult records the result of an Engine.Copy call.
func (a *attempt) handleCopyResult(c copyResult) {
	a.copying = false
	if c.err != nil {
		a.log("Copy failed.", "server", a.place.ID, "target", c.copy.ID, "reason", c.err)
		if !errors.Is(c.err, gladequota.ErrLimited) && !errors.Is(c.err, gladefleet.ErrNoServer) {
			a.copyRefusedBy = append(a.copyRefusedBy, c.copy.ID)
		}
		if c.copy != a.copy {
			c.copy.Release()
		}
		return
	}
	if c.copy != a.copy {
		a.log("Copy replaced.", "server", a.place.ID, "target", c.copy.ID, "last", a.lastEvent)
		a.freeCopy()
		a.copy.Release()
	}
	a.copy, a.copyName, a.copiedByCall = c.copy, c.from, true
	a.recordCopyVersion()
}

// recordCopyVersion records the version of the server that holds a copy of the run.
func (a *attempt) recordCopyVersion() {
	if a.copy == nil {
		a.versionRun.setCopy("")
	} else {
		a.versionRun.setCopy(a.copy.Version)
	}
}

// freeCopy releases the memory of a copy made by call, on both servers, once the run no longer needs it.
//
// Copies that the engines maintain themselves end with their run.
func (a *attempt) freeCopy() {
	if !a.copiedByCall || a.copyName == "" {
		return
	}
	name := a.copyName
	a.count("copies.freed")
	a.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		err := a.acquire(ctx, a.place.Server, gladequota.Request{Repeat: true})
		if err == nil {
			err = a.config.Engine.Free(ctx, name)
		}
		if err != nil { // the engines free it themselves after some time
			a.log("Copy not freed.", "copy", name, "reason", err)
		}
	})
}

// heldCache holds the cached prompts that engines reported, by server.
type heldCache struct {
	mu      sync.Mutex
	answers map[string]heldAnswer
}

type heldAnswer struct {
	at    time.Time
	parts map[string]int
}

// findHolder returns a place on the server that has cached most of the prompt, or nil.  It looks only before
// the first send, and only for resumed streams or soon after the start of this VM.
func (s *stream) findHolder() *gladefleet.Reservation {
	if s.call.Session == "" || s.sends > 0 || s.call.LastEvent < 0 && time.Since(s.started) > restartWindow {
		return nil
	}
	now := time.Now()
	rule := s.versionRule()
	servers := slices.DeleteFunc(s.config.Fleet.LocalServers(s.service, s.sessionHash(), maxHeldQueries, now), func(o gladefleet.Server) bool {
		return !rule.Permits(o.Version) || !rule.Prefers(o.Version)
	})
	var group sync.WaitGroup
	for _, o := range servers {
		group.Go(func() { s.refreshHeld(o) })
	}
	group.Wait()
	best, most := "", int(minHeldShare*float64(s.call.PromptTokens))
	s.heldPrompts.mu.Lock()
	for _, o := range servers {
		if n := s.heldPrompts.answers[o.ID].parts[s.call.Session]; n > most {
			best, most = o.ID, n
		}
	}
	s.heldPrompts.mu.Unlock()
	if best == "" {
		return nil
	}
	place, err := s.config.Fleet.Reserve(best, s.maxTokens(), now)
	if err != nil {
		return nil // the server went down in the meantime; the caller chooses another
	}
	if err := s.acquireAt(place, gladequota.Request{Resumed: s.mayHaveRun}); err != nil {
		place.Release()
		return nil
	}
	s.count("sessions.found")
	place.Reason = "has cached the prompt"
	return place
}

// restartWindow is how long after its start a VM expects requests that were cut off when it and other VMs went down;
// clients retry at once.
const restartWindow = 4 * time.Second

// refreshHeld queries the prompts that a server has cached, unless a recent answer is known.
func (s *stream) refreshHeld(o gladefleet.Server) {
	f := s.Forwarder
	f.heldPrompts.mu.Lock()
	known := time.Since(f.heldPrompts.answers[o.ID].at) < heldMaxAge
	f.heldPrompts.mu.Unlock()
	if known {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), heldTimeout)
	defer cancel()
	var parts map[string]int
	err := s.acquire(ctx, o, gladequota.Request{Repeat: true})
	if err == nil {
		parts, err = f.config.Engine.CachedTokens(ctx, o.Address)
	}
	if err != nil {
		f.config.Log.Info("Query for cached prompts failed.", "server", o.ID, "reason", err)
	}
	f.heldPrompts.mu.Lock()
	defer f.heldPrompts.mu.Unlock()
	f.heldPrompts.answers[o.ID] = heldAnswer{at: time.Now(), parts: parts}
}
