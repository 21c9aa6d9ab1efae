// Package gladerecord records the events and decisions of each recent request, with their reasons.
//
// Records are kept in the memory of the VM that handled the request and are lost with it.
package gladerecord
