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
}

// ConnectionToClose returns the index of the connection that is closed for a new one, or -1 if the new one is closed.  It is the one
// that has been idle for longest, or else the one whose caller has kept this VM waiting for longest.
func ConnectionToClose(connections []Connection, now time.Time) int {
	best := -1
	var chosen Connection
	for i, c := range connections {
		if !c.Idle && (!c.Waiting || now.Sub(c.Since) < StallTime) {
			continue
		}
		if best < 0 || c.Idle && !chosen.Idle || c.Idle == chosen.Idle && c.Since.Before(chosen.Since) {
			best, chosen = i, c
		}
	}
	return best
}
