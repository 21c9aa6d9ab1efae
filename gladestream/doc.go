// Package gladestream brings one generation to its end through the deaths of engines.
//
// A Journal holds the tokens so far; a token enters only as the next index of the current attempt.
// A Runner opens attempts one after another, each with the journal's tokens as its prefix.
//
// It promises that a reader of a Journal sees each token once and in order, that all tokens come from attempts that
// went on from the same prefix, and that a generation ends with a finish reason or one clear error.  It does not
// promise to notice a token that an engine without numbered events repeats or leaves out, nor to keep a journal
// beyond its process; whoever replicates it reads it with ReadAll and restores it with RestoreJournal.
package gladestream
