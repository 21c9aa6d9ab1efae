// Package gladesend sends requests to backend servers over kept connections and tells what is known of each send.
//
// It promises that a send which fails with ErrNotSent reached no server, that an answer is of the request it was
// sent for, and that an answer whose end was not seen is never taken for complete.  A connection that gave anything
// beyond one whole answer is not used again.  The package chooses no server and repeats nothing.
package gladesend
