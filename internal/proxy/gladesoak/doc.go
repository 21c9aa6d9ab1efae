// Package gladesoak holds the randomised soak test of the entry role: real processes on loopback under seeded faults.
//
// Fakes of the store and the backend servers record what ran, and the callers record what was answered.  The tests check
// these records against the entry role's invariants.  The package exports nothing.
//
// The tests of answers to uploads, late readers and series of releases use callers that keep their connections; recorder.outcome says
// which of their requests may end without a whole answer.
package gladesoak
