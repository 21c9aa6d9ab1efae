// Package gladepeer keeps the membership of entry VMs and carries typed calls between them.
//
// Each VM exchanges digests with a few random members of its failure domain at each interval;
// a few VMs of each failure domain exchange with the others.  A digest holds two bytes for each
// member while both sides know the same members, and whole rows are sent only where they differ.
// Links are jsonrpc2 over TCP, shared by both directions.
//
// It promises that a live, reachable VM and its facts are known to all others in the end, that an
// incarnation that has left never counts as staying again, that an empty list removes nobody, and that
// a call which fails with ErrUnreachable was not sent.  It does not promise that any two VMs agree at
// any moment, that a VM shown as live is, or that a call which fails with ErrNoAnswer was not carried out.
package gladepeer
