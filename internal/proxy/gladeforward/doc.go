// Package gladeforward forwards callers' requests to backend servers and returns their answers.
//
// A request that is not repeatable is sent again only if no server has run it.  A caller is told that its request did
// not run only if that is certain.  The events of a stream reach the caller in order and once each, and come from one
// run or from runs that resumed after the last event.  A request ends at the earlier of the caller's and the route's
// time limit.
package gladeforward
