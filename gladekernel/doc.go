// Package gladekernel provides the service registry and the life cycle of a process.
//
// A service is any value registered under a name. Actors run until the first of them ends;
// then all are interrupted, and the clean-up functions run in reverse order.
package gladekernel
