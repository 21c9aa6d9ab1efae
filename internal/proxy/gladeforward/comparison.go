package gladeforward

import (
	"errors"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

const (
	// maxTimerDelay is how late a timer may fire in a process that runs.  A later one says that the process stood still, so that the
	// connection may have been opened in time.
	maxTimerDelay = 10 * time.Millisecond
	// lastLookTime is the time in which connections that were opened during a standstill are noticed after it.
	lastLookTime = 15 * time.Millisecond
	// minCompareTime is the least time that a server has to accept a connection once another one has, and compareFactor how many times as
	// long as that one it has.
	minCompareTime = 40 * time.Millisecond
	compareFactor  = 3
	// compareTimeout is the time limit of a comparison.  It leaves room for the longest wait, the one after a server that took probeTimeout
	// to accept, and for a few timers that fire late.
	compareTimeout = (2 + compareFactor) * probeTimeout
)

// connectAttempt is the outcome of an attempt to connect to a server.
type connectAttempt struct {
	// id is the identifier of the server, or empty if it is none.
	id   string
	err  error
	took time.Duration
}

// reached reports that the server accepted or refused the connection.
func (a connectAttempt) reached() bool { return a.err == nil || errors.Is(a.err, gladesend.ErrRefused) }

// verdict is what a comparison says of a server.
type verdict int

const (
	verdictOpen        verdict = iota // the comparison goes on
	verdictNone                       // it is not known whether the server is at fault
	verdictReachable                  // the server accepted the connection
	verdictUnreachable                // the server refused it, or others were reached and it was not
)

// comparison decides, from attempts to connect to a server and to others that began at the same time, whether the server is at fault.
//
// It is if another one was reached and it was not for some time after, in which this process ran.  The zero value has seen no attempt.
type comparison struct {
	server string
	// due is the time at which the wait ends, zero before another server was reached.
	due time.Time
	// lastLook reports that the wait is the one for connections that this process has not looked at yet.
	lastLook bool
}

// wait extends the comparison from now on; the returned duration is the wait.
func (c *comparison) wait(d time.Duration, now time.Time) time.Duration {
	c.due = now.Add(d)
	return d
}

// attemptEnded records the end of an attempt, and whether the time limit of the comparison has passed.  A wait that begins now is returned,
// otherwise zero.
func (c *comparison) attemptEnded(a connectAttempt, expired bool, now time.Time) (verdict, time.Duration) {
	switch {
	case a.id == c.server && a.err == nil:
		return verdictReachable, 0
	case a.id == c.server && a.reached():
		return verdictUnreachable, 0
	case a.id == c.server && (expired || errors.Is(a.err, gladesend.ErrLocal)):
		return verdictNone, 0 // the time limit has passed before the wait ended, or this VM could not attempt it
	case a.reached() && a.took <= probeTimeout && c.due.IsZero():
		return verdictOpen, c.wait(max(minCompareTime, compareFactor*a.took), now)
	}
	return verdictOpen, 0
}

// controlTimeEnded is called probeTimeout after the start.  A comparison in which no other server was reached by then ends without a verdict.
func (c *comparison) controlTimeEnded() verdict {
	if c.due.IsZero() {
		return verdictNone
	}
	return verdictOpen
}

// waitEnded is called when a wait has ended; now is the time of the call.  The next wait is returned if the comparison goes on.
func (c *comparison) waitEnded(now time.Time) (verdict, time.Duration) {
	switch late := now.Sub(c.due) > maxTimerDelay; {
	case late: // the process stood still
		c.lastLook = false
		return verdictOpen, c.wait(minCompareTime, now)
	case c.lastLook:
		return verdictUnreachable, 0
	}
	c.lastLook = true // timers come before connections in a process that goes on after a standstill
	return verdictOpen, c.wait(lastLookTime, now)
}
