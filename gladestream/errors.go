package gladestream

import "github.com/rotisserie/eris"

// The errors of a Journal.
var (
	// ErrStaleAttempt means that an event belongs to an attempt that is no longer current.
	ErrStaleAttempt = eris.New("event of an attempt that is no longer current")
	// ErrTokenGap means that the index of a token is greater than the next one.
	ErrTokenGap = eris.New("token index skips")
	// ErrTokenRepeated means that the index of a token is less than the next one.
	ErrTokenRepeated = eris.New("token index repeats")
	// ErrTooManyTokens means that an event exceeds the token limit of the generation.
	ErrTooManyTokens = eris.New("more tokens than asked for")
	// ErrGenerationEnded means that the generation has already ended.
	ErrGenerationEnded = eris.New("generation has ended")
	// ErrPositionMismatch means that a caller's position does not match the journal's tokens.
	ErrPositionMismatch = eris.New("position does not match the journal")
	// ErrContinuedElsewhere ends a journal whose generation may continue at another VM.
	// Callers are disconnected, so that they retry and reach that VM.
	ErrContinuedElsewhere = eris.New("generation goes on at another VM, if it does")
)

// The errors that Config.Open and Config.Attach return to a Runner; they decide how it continues.
var (
	// ErrNotOpened means that the engine cannot have begun the attempt.
	ErrNotOpened = eris.New("attempt not opened")
	// ErrRejected means that the request itself is invalid and any other engine would reject it, too.
	ErrRejected = eris.New("request rejected by the engine")
	// ErrNotResumable means that the tokens so far cannot be passed exactly to another engine.
	ErrNotResumable = eris.New("generation cannot be resumed")
	// ErrForeignEvent means that an event belongs to another attempt.
	ErrForeignEvent = eris.New("engine event of another attempt")
)

// The reasons for which a Runner ends an attempt and continues on another engine.
var (
	// ErrStalled means that an engine sent no token for longer than the timeout.
	ErrStalled = eris.New("engine stalled")
	// ErrEngineLeaving means that the engine is about to shut down.
	ErrEngineLeaving = eris.New("engine is leaving")
)
