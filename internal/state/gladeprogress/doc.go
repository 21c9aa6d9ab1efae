// Package gladeprogress limits HTTP calls by their progress instead of their duration.
//
// A call with a fixed time limit that is too short for its answer fails each time, and begins each time from nothing. A call of this
// package goes on for as long as its answer arrives, within a limit for all of it, and ends when nothing has arrived for a while. Time
// in which the process had no processor does not count as such a while.
package gladeprogress
