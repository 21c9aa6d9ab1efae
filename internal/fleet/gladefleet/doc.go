// Package gladefleet tracks the backend servers and chooses those that run a request and hold its copy.
//
// A Table receives the servers that the store lists, the load that this VM and its peers place on each of them, and the
// outcomes of requests. It guarantees:
//   - A server known to be leaving or gone gets no new request.
//   - A server known to be down is chosen only if no other is left.
//   - A run and its copy are in different failure domains while two can be reached, and one of them is in the VM's own.
//
// The package uses no network and no clock: times are arguments.
package gladefleet
