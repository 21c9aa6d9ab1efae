// Package gladeload generates open-loop load on a cluster and measures latency and errors at the callers.
//
// Requests arrive as a Poisson process that does not wait for responses. Every response is compared with the expected
// tokens.
package gladeload
