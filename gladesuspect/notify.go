package gladesuspect

import "time"

// ServerDeath receives the time at which the server died during the run, once another run there has shown that, here or at another VM.
func (v *TrackedRun) ServerDeath() <-chan time.Time {
	if v == nil {
		return nil
	}
	return v.serverDeath
}

// notifyDeath tells the holder of a run that its server died; only the first death counts.
func (v *TrackedRun) notifyDeath(at time.Time) {
	select {
	case v.serverDeath <- at:
	default:
	}
}
