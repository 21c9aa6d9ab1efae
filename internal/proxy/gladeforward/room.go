package gladeforward

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladeline"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

const (
	// waitShare is the share of a route's target for which a new generation waits for room; the rest is needed to read
	// its prompt, and to come back after a refusal.
	waitShare = 0.125
	// resumeShare is the same for a generation that has begun: it has no other way on.
	resumeShare = 1.0
	// unreadShare is the share of a route's target in which a server should have read all prompts that it was given.
	unreadShare = 0.6
	// returnShare is the share of a route's target after which a refused caller should come back: a place is free and
	// its prompt can be read in time.  Callers are spread over half as much more or less.
	returnShare = 0.25
	// turnEvery is how often a waiting request looks for room, which other VMs' requests may have left.
	turnEvery = 20 * time.Millisecond
	// claimTime is how long a claim takes to reach the other VMs: they hear of it after some 15 ms.
	claimTime = 40 * time.Millisecond
	// maxUrgency is the largest number that tells engines how urgent a request is; zero is most urgent.
	maxUrgency = 9
)

// line returns the line of a service.
func (f *Forwarder) line(service string) *gladeline.Line {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.lines[service]
	if l == nil {
		l = gladeline.New()
		f.lines[service] = l
	}
	return l
}

// tokens returns the room that the run takes up at its end.
func (s *stream) tokens() int {
	output := s.call.OutputTokens
	if s.call.OutputHint > 0 {
		output = min(output, s.call.OutputHint)
	}
	return s.call.PromptTokens + output
}

// room returns what a server may hold to get the stream.
func (s *stream) room() gladefleet.Room {
	engine := s.release.Services[s.service].Engine
	if engine == nil {
		return gladefleet.Room{}
	}
	return gladefleet.Room{
		Memory: engine.KVTokens,
		Unread: int(s.config.Fleet.Speed(s.service) * unreadShare * s.route.Target.Seconds()),
	}
}

// wait returns how long the stream may wait for room.
func (s *stream) wait() time.Duration {
	share := waitShare
	if s.ran {
		share = resumeShare
	}
	return min(time.Duration(share*float64(s.route.Target)), time.Until(s.deadline))
}

// place takes room for a run and its copy, after waiting for it if there is none.
func (s *stream) place(need gladefleet.Need) (*gladefleet.Taken, error) {
	line, now := s.line(s.service), time.Now()
	// What has begun goes before what has not, within its priority.
	r := gladeline.Request{Rank: 2 * s.rank(), Organisation: s.organisation, Cost: need.Tokens}
	if s.ran {
		r.Rank--
	}
	if line.Empty() || s.ran {
		if place, err := s.choose(need); !errors.Is(err, gladefleet.ErrFull) {
			return place, err
		}
	}
	wait := s.wait()
	if !s.ran && line.Hopeless(r, wait, now) {
		return nil, gladefleet.ErrFull
	}
	s.count("waiting")
	s.log("Waiting for room.", "rank", r.Rank, "waiting", line.Len(), "upToMs", wait.Milliseconds())
	w := line.Join(r, now)
	served := false
	defer func() {
		w.Leave(served, time.Now())
		s.observe("wait", time.Since(now))
	}()
	tick := time.NewTicker(turnEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return nil, s.ctx.Err()
		case <-tick.C:
		}
		if w.First() {
			if place, err := s.claim(need); !errors.Is(err, gladefleet.ErrFull) {
				served = err == nil
				return place, err
			}
		}
		if time.Since(now) < wait {
			continue
		}
		if !s.ran {
			return nil, gladefleet.ErrFull
		}
		need.Room = gladefleet.Room{} // its caller has a part of the answer
		return s.choose(need)
	}
}

// claim takes room that others may see and take at the same moment; it gives it up again if too many did.
func (s *stream) claim(need gladefleet.Need) (*gladefleet.Taken, error) {
	place, err := s.choose(need)
	if err != nil {
		return nil, err
	}
	s.config.Changed()
	time.Sleep(claimTime)
	if s.config.Fleet.Crowded(place, need.Room) {
		place.Release()
		s.dropCopy()
		s.config.Changed()
		return nil, gladefleet.ErrFull
	}
	return place, nil
}

// choose takes a server, and room for a copy on another one if crashes are to be expected.
func (s *stream) choose(need gladefleet.Need) (*gladefleet.Taken, error) {
	now := time.Now()
	place, err := s.config.Fleet.Choose(need, now)
	if err != nil {
		return nil, err
	}
	s.copyFor(place, need.Room)
	if s.copy == nil && s.copies() && need.Room.Memory > 0 && s.config.Fleet.Crashing(s.service, now) &&
		s.config.Fleet.CopyPlaces(place.Server, s.avoid, now) {
		place.Release()
		return nil, gladefleet.ErrFull
	}
	return place, nil
}

// copyFor chooses where the copy of a run is kept.
func (s *stream) copyFor(place *gladefleet.Taken, room gladefleet.Room) {
	if !s.copies() {
		return
	}
	if s.copy = s.config.Fleet.ChooseCopy(place.Server, s.tokens(), room, s.avoid, time.Now()); s.copy != nil {
		s.from = s.config.CopyOf(s.copy.Address, s.call.ID)
	}
}

// rank is the priority of a request, 0 for the highest: its organisation's goes before its route's.
func (j *job) rank() int {
	if o := j.release.Organisations[j.call.Key]; o.Prioritised {
		return o.Priority
	}
	return j.route.Priority
}

// urgency tells engines how urgent a request is.
func (j *job) urgency() int {
	return min(maxUrgency, max(0, j.rank()))
}

// returnAfter is when the caller of a request that found no room should come back.
func (j *job) returnAfter() time.Duration {
	after := returnShare * float64(j.route.Target) * (0.5 + rand.Float64())
	return time.Duration(after).Round(time.Millisecond)
}
