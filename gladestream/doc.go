// Package gladestream runs a generation to completion across engine failures.
//
// A Journal holds the tokens generated so far. It accepts a token only as the next index of the current attempt.
// A Runner opens attempts one after another, each with the journal's tokens as its prefix.
//
// It guarantees that a reader of a Journal sees each token once and in order, that every attempt continues from the
// tokens of the attempts before it, and that a generation ends with a finish reason or one error.
// If an engine does not number its events, repeated or missing tokens are not detected.
// A journal does not outlive its process; a replicator reads it with ReadAll and restores it with RestoreJournal.
package gladestream
