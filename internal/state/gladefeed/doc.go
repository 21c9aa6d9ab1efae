// Package gladefeed lets one VM of a failure domain read the store for all of them.
//
// The reader is the live VM with the fastest link, of equal ones the one that comes first in rendezvous hashing. It sends each
// change of the backend servers and of the release to its neighbours by datagram, and its state at short intervals. A VM that
// misses a change requests what is missing. A VM that receives nothing from a reader for a while, whose reader says that it lost
// the store, or that knows of a newer release without getting it, reads the store itself. A VM that reads stops for one that
// precedes it. The number of calls to the store thus grows with the failure domains and the changes, not with the product of VMs
// and changes. Two readers at once cost more calls and do no other harm.
package gladefeed
