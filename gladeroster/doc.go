// Package gladeroster shares the platform's list of VMs among the VMs of the system.
//
// A few VMs of each failure domain, chosen by rendezvous hash, read the list from the platform, and the
// others ask them for what has changed.  A failure domain that is cut off from the platform asks the
// readers of others.
//
// It promises that the list never goes back to an older version, that an empty list in an outage removes
// nobody, and that a backend server which leaves keeps leaving as long as its incarnation lasts.
// It does not promise that a VM on the list is alive, nor that all VMs hold the same version.
package gladeroster
