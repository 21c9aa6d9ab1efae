// Package gladelease implements leases on objects of the platform, each with at most one holder at a time.
//
// Each grant has a fencing number that is higher than that of every earlier grant.  The holder
// gives the lease up by its own clocks well before others may take it, also while the platform is
// unavailable.  If the answer to a write is lost, the object is read back and its nonce compared.
//
// No two grants have the same fencing number.  No two holders consider their grants valid at the
// same time, as long as the rates of their clocks differ by less than a third.
//
// A process that is paused between its check of the grant and its next step may lose the lease in
// between.  Receivers of orders must therefore compare fencing numbers, or the next holder must
// wait for the longest lifetime of an order.  The object must never be deleted, since its fencing
// number would start again from 1.
package gladelease
