// Package gladedatagram sends values of one type to other VMs, each in one datagram.
//
// Datagrams may be lost, reordered or duplicated. Senders must repeat important values and number those that older ones
// must not overwrite.
package gladedatagram
