// Package gladeline keeps the requests that wait for room on backend servers in the order in which they get it.
//
// The lowest rank goes first.  Within a rank the organisations take turns by the tokens that they were given room
// for, so that one with many requests waits for itself, and an organisation's requests go in the order of their
// arrival.  The package has no clock and no tasks of its own.
package gladeline
