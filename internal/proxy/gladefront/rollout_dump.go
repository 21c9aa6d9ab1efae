package gladefront

import (
	"math"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedecider"
)

// RolloutState is a roll-out as this VM knows it.
type RolloutState struct {
	Service        string              `json:"service"`
	Target         string              `json:"target"`
	LimitSeconds   float64             `json:"limitSeconds"`
	ElapsedSeconds float64             `json:"elapsedSeconds"`
	Revision       int64               `json:"revision"`
	Status         gladerollout.Status `json:"status"`
	// Current reports that the state was confirmed recently; without it this VM uses the old version.
	Current bool `json:"current"`
	// Order is what a decider or candidate knows beyond that, and Seen the requests that this VM has sent, by version.
	Order *gladedecider.Status             `json:"order,omitempty"`
	Seen  map[string]gladedecider.Requests `json:"seen,omitempty"`
}

// rolloutDump returns the roll-outs for the dump.
func (f *Front) rolloutDump() []RolloutState {
	if f.rollouts == nil {
		return nil
	}
	now := bootTime()
	states, current := f.rollouts.registry.States(now), f.rollouts.registry.Current(now)
	f.rollouts.mu.Lock()
	decider := f.rollouts.decider
	f.rollouts.mu.Unlock()
	orders := decider.Statuses()
	all := make([]RolloutState, 0, len(states.Known))
	for _, k := range states.Known {
		r := k.Rollout
		seen := map[string]gladedecider.Requests{}
		e := f.rollouts.recorder.Evidence(r.Service, time.Now())
		for version := range e.Versions {
			begun, failed := e.Counts(version)
			seen[version] = gladedecider.Requests{Begun: begun, Failed: failed}
		}
		s := RolloutState{
			Service: r.Service, Target: r.Target, LimitSeconds: r.Duration.Seconds(), ElapsedSeconds: float64(k.ElapsedMillis) / 1000,
			Revision: r.Revision, Status: r.Status, Current: current, Seen: seen,
		}
		if o, ok := orders[r.Service]; ok {
			s.Order = &o
		}
		all = append(all, s)
	}
	return all
}

// rolloutGauges sets the gauges of roll-outs.
func (f *Front) rolloutGauges(gauge func(name string, v int64)) {
	if f.rollouts == nil {
		return
	}
	all, current := f.rollouts.registry.Rollouts(bootTime())
	pending := int64(0)
	for _, r := range all {
		if r.Pending() {
			pending++
		}
		gauge("rollout.sharePercent."+r.Service, int64(math.Round(100*r.Status.Share)))
	}
	gauge("rollout.pending", pending)
	gauge("rollout.current", map[bool]int64{true: 1}[current])
}
