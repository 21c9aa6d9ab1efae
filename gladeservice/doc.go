// Package gladeservice calls plain services.
//
// It promises that a non-idempotent call is written to at most one connection, that a call refused
// as not run reached no server that could have run it, and that an answer is only handed on if it
// echoes the identifier of its own attempt.  It does not remember calls: two calls of Do are two
// calls.  Package gladeonce adds that.
package gladeservice
