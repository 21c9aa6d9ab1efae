// Package gladereplay runs traces of requests, faults, release notes and stops against real daemons with stand-ins.
//
// A trace is a file of JSON lines: a header with the shape of the cluster, one event per line with its time, and
// the expected outcomes. A run checks the outcomes and the invariants, using the reports of the callers, the
// stand-ins and the daemons' own checks. Inside a synctest bubble a run uses virtual time, elsewhere real time.
// Faults need the in-memory network of gladewire.
package gladereplay
