// Package gladestatus holds the rule on statuses that no server may answer with.
//
// Such a response is broken: what follows it on the connection may be the rest of it, a later response or nothing.
package gladestatus
