// Package gladefleet knows the backend servers and chooses those that run a request and hold its copy.
//
// A Table is told what the store lists, what this VM and its peers run on each server, and what went well or wrong
// there.  It promises that a server known to leave or to be gone gets nothing new, that a server known to be down
// is chosen only if no other is left, and that a run and its copy are in different failure domains while two
// can be reached, one of them in the VM's own.  It uses no network and no clock: times are arguments.
package gladefleet
