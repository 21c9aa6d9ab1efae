// Package gladeforward answers callers' requests with the work of backend servers.
//
// It promises that a request which may not be repeated is sent again only if no server has run it, that "not run" is
// said only when that is known, that a stream's events reach the caller in order, each once and of one run or of runs
// that went on where the last event was, and that a request ends at the caller's and at the route's time limit.
package gladeforward
