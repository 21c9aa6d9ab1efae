// Package gladeroster distributes the platform's list of VMs among the entry VMs.
//
// A few VMs of each failure domain, selected by rendezvous hashing, read the list from the platform. The other
// VMs request the changes from these readers. A failure domain without access to the platform requests the
// changes from the readers of other failure domains.
//
// Guarantees:
//   - The list never reverts to an older version.
//   - An empty list, as in an outage, removes no VM.
//   - A leaving backend server stays leaving until its incarnation ends.
//
// Not guaranteed:
//   - A VM on the list may be dead.
//   - Two VMs may hold different versions of the list.
package gladeroster
