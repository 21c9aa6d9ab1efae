// Package gladeorder makes the engines of one failure domain hold what release notes ask.
//
// A Giver works for the time of one grant of a lease.  It reads what each engine holds, compares
// that with the state in force, and orders the difference; it keeps no state of its own, so a
// successor goes on wherever it stopped.  Each order carries the grant's fencing number and is
// idempotent.
//
// The package promises that it never orders away the last ready copy of a version that is in
// force or in use, and that loads stay within the given rate.  It does not promise that engines
// which ignore fencing numbers never act on a late order of an earlier holder; there the giver
// waits before its first order and afterwards mends what late orders changed.
package gladeorder
