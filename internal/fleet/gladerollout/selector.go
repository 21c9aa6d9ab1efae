package gladerollout

import "github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"

// Selector decides for each request which versions it may use. Its methods are safe for concurrent use.
type Selector struct {
	random func() float64
}

// NewSelector returns a selector without roll-outs. The random numbers, from 0 to 1, are the initial phases.
func NewSelector(random func() float64) *Selector { return &Selector{random: random} }

// Set replaces the known roll-outs. Current reports that they were confirmed recently.
func (s *Selector) Set(rollouts []Rollout, current bool) {}

// Stop ends the use of a target, as the decider's notice says.
func (s *Selector) Stop(service, target string) {}

// Choose returns the versions that a request may use. Repeat marks repeats, second sends and resumed runs.
func (s *Selector) Choose(service, route string, repeat bool) gladefleet.VersionRule {
	return gladefleet.VersionRule{}
}
