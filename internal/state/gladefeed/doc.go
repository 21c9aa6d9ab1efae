// Package gladefeed lets one VM of a failure domain read the list of backend servers from the store for all of them.
//
// The reader is the live VM that comes first in rendezvous hashing. It sends each change to its neighbours by datagram,
// and its revision at short intervals. A VM that misses a change asks the reader for the whole list. A VM that receives
// nothing from a reader for a while reads the store itself. The number of calls to the store thus grows with the
// failure domains and the changes, not with the product of VMs and changes. Two readers at once cost more calls and do
// no other harm.
package gladefeed
