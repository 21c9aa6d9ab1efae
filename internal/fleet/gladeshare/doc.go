// Package gladeshare tells the VMs of a failure domain what each of them runs on which backend server.
//
// Shares go as datagrams when they change and at intervals.  A datagram may be lost or late: the next one holds all
// again, an older one is passed over, and a VM that falls silent counts for nothing after a while.  Nothing but the
// balance of load rests on it.
package gladeshare
