// Package gladeorder makes the engines of one failure domain load the models and adapters that the release notes specify.
//
// Run is a reconciliation loop that lasts as long as one grant of a lease.  It reads which targets
// each engine holds, compares them with the current state, and sends orders for the difference.  It
// stores no state, so that a successor continues wherever its predecessor stopped.  Each order
// carries the grant's fencing number and is idempotent.
//
// The package never unloads the last ready copy of a version that is in force or in use, and keeps
// loads within the given rate.  It can't prevent an engine that ignores fencing numbers from
// executing a late order of an earlier holder.  For such engines, Run waits before its first order
// until late orders should have taken effect, and later corrects what they changed.
package gladeorder
