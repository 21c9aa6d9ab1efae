package gladestream

import "github.com/rotisserie/eris"

// The errors of a Journal.
var (
	ErrStaleAttempt = eris.New("event of an attempt that is no longer current")
	ErrGap          = eris.New("token index skips")
	ErrRepeat       = eris.New("token index repeats")
	ErrExcess       = eris.New("more tokens than asked for")
	ErrEnded        = eris.New("generation has ended")
	ErrPosition     = eris.New("position does not match the journal")
	// ErrElsewhere ends a journal whose generation may go on at another VM; callers are cut off, so that they ask there.
	ErrElsewhere = eris.New("generation goes on at another VM, if it does")
)

// The errors by which whoever opens attempts tells a Runner what to do next.
var (
	// ErrNotOpened means that the engine cannot have begun the attempt.
	ErrNotOpened = eris.New("attempt not opened")
	// ErrRejected means that the engine refuses the request itself, as any other engine would.
	ErrRejected = eris.New("request rejected by the engine")
	// ErrNotResumable means that the tokens so far cannot be given to another engine exactly.
	ErrNotResumable = eris.New("generation cannot be resumed")
	// ErrForeign means that an event belongs to another attempt.
	ErrForeign = eris.New("engine event of another attempt")
)

// The reasons for which a Runner leaves an engine.
var (
	// ErrStalled means that an engine sent no token for longer than the timeout.
	ErrStalled = eris.New("engine stalled")
	// ErrMoved means that the engine is about to leave.
	ErrMoved = eris.New("engine is leaving")
)
