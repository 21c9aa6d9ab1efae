// Package gladerollout decides how a service's traffic moves to servers of another software version.
//
// A Recorder counts what a VM sees of each version. Decide judges the reports of all VMs and returns the status that
// the order is to have: the share of the target version, or the end of the order. A Selector applies the status to each
// request of a VM. It guarantees:
//   - Before its answers are known, a target gets no more requests than the budget of the order permits.
//   - A VM that does not know the state of the order uses the old version only, unless all traffic had moved.
//   - A notice to stop can only reduce what the target gets.
//
// The package uses no network and no clock: times are arguments.
package gladerollout
