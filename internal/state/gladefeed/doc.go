// Package gladefeed lets one VM of a failure domain read the backend servers for all of it.
//
// The reader is the live VM that rendezvous hashing puts first.  It tells its neighbours each change by datagram and
// says at short intervals how far it has read.  A VM that misses a change asks the reader for the whole list, and one
// that hears no reader for a while reads the store itself.  So the calls to the store grow with the failure domains
// and the changes, not with VMs times changes.  Who reads is a matter of cost alone: two readers do no harm.
package gladefeed
