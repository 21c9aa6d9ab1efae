// Package gladesuspect finds the requests that crash the backend servers that run them.
//
// A Tracker is told which requests run on which server and which servers have died.  It promises that
// a request under which the set number of servers died, one after another and apart from other suspects,
// with little progress on each, is refused until the memory expires, also when it is sent again, and that servers lost together with
// much of their failure domain incriminate nobody.  It does not promise to tell a guilty request from an
// innocent one at the first death, nor to see deaths under requests that only other VMs run.
package gladesuspect
