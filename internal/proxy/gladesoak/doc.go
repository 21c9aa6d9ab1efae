// Package gladesoak holds the randomised soak of the entry role: real processes on loopback under seeded faults.
//
// Stand-ins of the store, the backend servers and the callers keep books of what ran and what was answered; the tests
// compare them with what must always hold.  There is nothing here to import.
package gladesoak
