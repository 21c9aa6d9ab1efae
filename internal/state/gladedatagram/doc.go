// Package gladedatagram sends values of one type to other VMs, each in one datagram.
//
// Datagrams get lost, cross and repeat.  Their senders repeat what matters and number what must not go back.
package gladedatagram
