// Package gladereplay runs traces of requests, faults, release notes and stops against real daemons with stand-ins.
//
// A trace is JSON lines: a header with the shape of the cluster, then one event a line with its time,
// then the stated outcomes.  A run checks the outcomes and all that must always hold, as seen by the
// callers, the stand-ins and the daemons' own checks.  It runs in virtual time inside a synctest bubble
// and in real time elsewhere; faults need the in-memory network of gladewire.
package gladereplay
