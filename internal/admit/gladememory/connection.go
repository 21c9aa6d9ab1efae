package gladememory

import "time"

// Connection is the state of a caller's connection.
type Connection struct {
	// Idle reports that no request has begun on it.
	Idle bool
	// Waiting reports that this VM waits for the caller: for the rest of a request, or until it reads its answer.
	Waiting bool
	// Since is when that began.
	Since time.Time
	// Unsent is the number of bytes of answers that the caller has not taken; negative if it is not known.
	Unsent int
	// TakenAt is when the caller last took bytes, if Unsent is positive.
	TakenAt time.Time
	// Arrived reports that bytes of the caller wait to be read.
	Arrived bool
}

// stalledSince returns since when the caller has done nothing that this VM waits for, and false if this VM does not wait for it.
//
// A connection with unsent bytes is not idle: closing it could discard an answer that was written whole.
func (c Connection) stalledSince() (time.Time, bool) {
	switch {
	case c.Idle && c.Unsent > 0:
		return c.TakenAt, true
	case c.Idle || !c.Waiting:
		return time.Time{}, false
	case c.Unsent > 0 && c.TakenAt.After(c.Since):
		return c.TakenAt, true
	}
	return c.Since, true
}

// ConnectionToClose returns the index of the connection that is closed for a new one, or -1 if the new one is closed.  It is the one
// that has been idle for longest, or else the one whose caller has kept this VM waiting for longest, StallTime at least.  stalled
// reports the latter: its unsent bytes may be discarded.
func ConnectionToClose(connections []Connection, now time.Time) (index int, stalled bool) {
	best, stalled := -1, false
	var first time.Time
	for i, c := range connections {
		if c.Arrived && c.Idle {
			continue // a request has begun to arrive
		}
		since, waits := c.stalledSince()
		switch {
		case waits && now.Sub(since) < StallTime, !waits && !c.Idle:
			continue
		case !waits:
			since = c.Since
		}
		if best < 0 || stalled && !waits || stalled == waits && since.Before(first) {
			best, stalled, first = i, waits, since
		}
	}
	return best, stalled
}
