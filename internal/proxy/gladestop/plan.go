package gladestop

import "time"

const (
	// deregisterTime is how long a stopping VM may still get new connections: two failed readiness checks, 1 s apart.
	deregisterTime = 2500 * time.Millisecond
	// exitMargin is the part of the grace period left for the process to exit by itself.
	exitMargin = 400 * time.Millisecond
	// answerMargin is the time between the last answers and the exit, in which they are written.
	answerMargin = 200 * time.Millisecond
)

// Plan holds the times of a planned stop.
type Plan struct {
	// Began is when the signal to stop arrived.
	Began time.Time
	// Grace is the time from then until the platform kills the process.
	Grace time.Duration
}

// DeregisteredAt returns when the platform sends no new connections any more, unless it has no other VM.
func (p Plan) DeregisteredAt() time.Time { return p.Began.Add(deregisterTime) }

// AnswerBy returns the time by which each request must have its answer.
func (p Plan) AnswerBy() time.Time { return p.Began.Add(max(0, p.Grace-exitMargin-answerMargin)) }

// ExitAt returns when the process exits even if requests are in progress.
func (p Plan) ExitAt() time.Time { return p.Began.Add(max(0, p.Grace-exitMargin)) }

// CanFinish reports whether a request that takes the given time from now on has its answer in time.  Without a plan, which
// means that the VM is not stopping, every request has.
func (p *Plan) CanFinish(now time.Time, takes time.Duration) bool {
	return p == nil || !now.Add(takes).After(p.AnswerBy())
}
