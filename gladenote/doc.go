// Package gladenote holds release notes, the state that they add up to, and what spreads them.
//
// Notes are numbered, applied in order and never undone; a State is immutable and safe to share.
// A Log accepts notes on the platform: of notes written against the same base exactly one is
// accepted, and a lost answer is read back.  A Replica holds the state on one VM: a few VMs in
// each failure domain watch the platform and tell the rest, and a VM that is cut off from the
// platform learns notes from any VM that it reaches.
//
// The package promises that a Replica never goes back and never leaves out a note, from whatever
// source, and that one which can reach the platform or an up-to-date VM becomes up to date.  It
// does not promise that two VMs hold the same note at any moment, nor that a VM that reaches
// nobody learns anything.
package gladenote
