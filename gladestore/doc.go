// Package gladestore is a client of the platform's object API and of its lagging list of VMs.
//
// It promises that reads are retried within bounds, that a write is sent at most once per call, and
// that CreateOnce and UpdateOnce settle a write whose answer was lost by reading it back.  A Follow
// never delivers a version below one that it has delivered.  The package does not promise that a
// write with the error ErrUnavailable took no effect; only ErrNotSent says so.
package gladestore
