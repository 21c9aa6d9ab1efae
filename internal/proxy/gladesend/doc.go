// Package gladesend sends requests to backend servers over pooled connections and reports the outcome of each send.
//
// A send that fails with ErrNotSent reached no server.  A returned answer belongs to the request that was sent.  An
// answer whose end was not received is never reported as complete.  A connection on which a server sent anything beyond
// one complete answer is not reused.  The package does not choose servers and does not retry.
package gladesend
