package gladeforward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

const (
	// copyTimeout bounds a call that copies a run: hundreds of megabytes on a fast link, behind others.
	copyTimeout = 700 * time.Millisecond
	// copyEvery is how often a copy made by call is brought up to date; what it lacks is read again in milliseconds.
	copyEvery = 500 * time.Millisecond
	// heldTimeout bounds the question what an engine keeps; a prompt takes a second to read again.
	heldTimeout = 80 * time.Millisecond
	// heldFor is how long an engine's answer is used.
	heldFor = time.Second
	// heldShare is the share of a prompt that an engine must keep to be chosen for it.
	heldShare = 0.5
)

// Engine calls model engines; its functions are the platform's.
type Engine struct {
	// Copy copies the memory of the run of a request to the target and returns the name of the copy.
	Copy func(ctx context.Context, source, requestID, target string) (string, error)
	// Free gives the room of such a copy back.
	Free func(ctx context.Context, name string) error
	// Held returns the tokens that an engine keeps of each part of prompts.
	Held func(ctx context.Context, address string) (map[string]int, error)
}

// copied is the outcome of a call that copied a run.
type copied struct {
	copy *gladefleet.Copy
	from string
	err  error
}

// keepCopy replaces a copy whose server has gone, and brings one made by call up to date.
func (a *attempt) keepCopy(now time.Time) {
	if a.got == 0 || !a.copies || a.copying || now.Before(a.nextCopy) {
		return
	}
	lost := a.copy == nil || a.config.Fleet.Out(a.copy.ID, now)
	if !lost && !a.called {
		return
	}
	target := a.copy
	if lost {
		a.copy.Release()
		a.copy, a.from = nil, ""
		target = a.config.Fleet.ChooseCopy(a.place.Server, a.tokens(), a.room(), slices.Concat(a.avoid, a.refused), now)
	}
	a.nextCopy = now.Add(copyEvery)
	if target == nil {
		return
	}
	a.copying = true
	a.count("copies.called")
	go func() {
		ctx, cancel := context.WithTimeout(a.attemptContext, copyTimeout)
		defer cancel()
		from, err := a.config.Engine.Copy(ctx, a.place.Address, a.call.ID, target.Address)
		select {
		case a.done <- copied{copy: target, from: from, err: err}:
		case <-a.attemptContext.Done():
			if lost {
				target.Release()
			}
		}
	}()
}

// copied takes over the outcome of a call that copied the run.
func (a *attempt) copied(c copied) {
	a.copying = false
	if c.err != nil {
		a.log("Copy failed.", "server", a.place.ID, "target", c.copy.ID, "reason", c.err)
		a.refused = append(a.refused, c.copy.ID)
		if c.copy != a.copy {
			c.copy.Release()
		}
		return
	}
	if c.copy != a.copy {
		a.log("Copy replaced.", "server", a.place.ID, "target", c.copy.ID, "last", a.last)
	}
	a.copy, a.from, a.called = c.copy, c.from, true
}

// free gives the room of a copy made by call back, on both servers, when the run needs it no more.
//
// A copy that the engines keep by themselves ends with its run.
func (a *attempt) free() {
	if !a.called || a.from == "" {
		return
	}
	name := a.from
	a.count("copies.freed")
	a.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		if err := a.config.Engine.Free(ctx, name); err != nil {
			a.log("Copy not freed.", "copy", name, "reason", err)
		}
	})
}

// held remembers what engines keep.
type held struct {
	mu      sync.Mutex
	answers map[string]heldAnswer
}

type heldAnswer struct {
	at    time.Time
	parts map[string]int
}

// holder returns the server that keeps most of a prompt that was read before, or nil.
func (s *stream) holder() *gladefleet.Taken {
	if s.call.Session == "" || s.sends > 0 || s.call.LastEvent < 0 && time.Since(s.began) > restartTime {
		return nil
	}
	now := time.Now()
	servers := s.config.Fleet.Near(s.service, now)
	var group sync.WaitGroup
	for _, o := range servers {
		group.Go(func() { s.ask(o) })
	}
	group.Wait()
	best, most := "", int(heldShare*float64(s.call.PromptTokens))
	s.held.mu.Lock()
	for _, o := range servers {
		if n := s.held.answers[o.ID].parts[s.call.Session]; n > most {
			best, most = o.ID, n
		}
	}
	s.held.mu.Unlock()
	if best == "" {
		return nil
	}
	place, err := s.config.Fleet.Take(best, s.tokens(), now)
	if err != nil {
		return nil // it went down meanwhile; the best server will do
	}
	s.count("sessions.found")
	place.Reason = "keeps the prompt"
	return place
}

// restartTime is how long after its start a VM expects requests that others lost with it: clients come back at once.
const restartTime = 4 * time.Second

// ask finds out what a server keeps, unless that is known.
func (f *Forwarder) ask(s gladefleet.Server) {
	f.held.mu.Lock()
	known := time.Since(f.held.answers[s.ID].at) < heldFor
	f.held.mu.Unlock()
	if known {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), heldTimeout)
	defer cancel()
	parts, err := f.config.Engine.Held(ctx, s.Address)
	if err != nil {
		f.config.Log.Info("Server did not tell what it keeps.", "server", s.ID, "reason", err)
	}
	f.held.mu.Lock()
	defer f.held.mu.Unlock()
	f.held.answers[s.ID] = heldAnswer{at: time.Now(), parts: parts}
}
