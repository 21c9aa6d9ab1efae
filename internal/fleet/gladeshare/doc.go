// Package gladeshare exchanges load reports between VMs: the share of each backend server that each VM uses.
//
// VMs send their shares as datagrams, when they change and at intervals. A full datagram makes up for lost ones, older
// datagrams are ignored, and the shares of a VM that stays silent are dropped after a timeout. Only the balance of load
// depends on this exchange.
package gladeshare
