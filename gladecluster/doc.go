// Package gladecluster runs complete daemons and stand-ins in one process, on loopback TCP or an in-memory network.
//
// The demonstration, the load tool, replays and end-to-end tests use it.
package gladecluster
