package gladeforward

import "time"

const (
	// maxFlowGap is the longest time between two events that arrive without a delay on the way.
	maxFlowGap = 300 * time.Millisecond
	// flowSettleTime is how long events have to arrive without such a gap until none of them can have been held up
	// before, by a cut link or while this VM did not run.
	flowSettleTime = 500 * time.Millisecond
	// maxEventDelay is the longest delay of an event that arrives in a steady flow.
	maxEventDelay = 300 * time.Millisecond
)

// eventFlow tells from the arrival of events when their server was certainly running.  All times count the time for which
// this VM is suspended.
type eventFlow struct {
	last time.Time
	// steadySince is when the last gap in the arrival of events ended.
	steadySince time.Time
}

// runningAt records the arrival of an event, and returns a time at which its server was certainly running, or the zero
// time if the event may have been on its way for long.
func (f *eventFlow) runningAt(now time.Time) time.Time {
	if now.Sub(f.last) > maxFlowGap {
		f.steadySince = now
	}
	f.last = now
	if now.Sub(f.steadySince) < flowSettleTime {
		return time.Time{}
	}
	return now.Add(-maxEventDelay)
}
