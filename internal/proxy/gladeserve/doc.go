// Package gladeserve reads callers' requests from kept connections and writes the answers.
//
// It promises that a request is handed on only if its framing allows one reading, that nothing of a refused or
// half-read request reaches the handler, that an answer broken off never looks whole, and that a connection is
// closed by this side only between requests.  Requests of one connection are served one after another.
package gladeserve
