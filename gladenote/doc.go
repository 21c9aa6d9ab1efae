// Package gladenote implements release notes, the state that results from them, and their distribution to all VMs.
//
// Notes are numbered, applied in order and never undone.  A State is immutable and safe to share.
//
// A Log accepts notes on the platform.  Of several notes written against the same base it accepts
// exactly one.  If the answer to a write is lost, the object is read back.
//
// A Replica holds the state on one VM.  A few VMs in each failure domain watch the platform and
// push new notes to the others.  A VM that is cut off from the platform fetches notes from any VM
// that it can reach.
//
// A Replica never goes back to an older note and never skips one, whatever the source.  A Replica
// that can reach the platform or an up-to-date VM becomes up to date.  Two VMs need not hold the
// same note at the same time, and a VM that can reach no other does not learn of new notes.
package gladenote
