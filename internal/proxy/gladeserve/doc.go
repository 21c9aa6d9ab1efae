// Package gladeserve reads callers' HTTP/1.1 requests from persistent connections and writes the answers.
//
// A request reaches the handler only if its body's framing is unambiguous and it has arrived whole.  An answer that is
// broken off never looks complete to the caller.  Unless a request is refused or its answer broken off, the server closes
// a connection only between requests.  The requests of one connection are served one after another.
package gladeserve
