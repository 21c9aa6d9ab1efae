// Package gladelease grants a lease on an object of the platform to one holder at a time.
//
// Each grant has a fencing number that is higher than that of all grants before.  The holder
// stops by its own clocks well before others may take the lease, also when the platform is out,
// and a lost answer is read back by nonce.
//
// The package promises that no two grants have the same fencing number, and that no two holders
// believe in their grants at the same time as long as clocks differ in rate by less than a third.
// It does not promise that a process which is paused between its check and its next step has not
// lost the lease meanwhile: whoever takes orders must compare fencing numbers, or the next holder
// must wait out the longest life of an order.  The object must never be deleted.
package gladelease
