// Package gladebudget bounds how many requests of a service are sent once more, over all VMs together.
//
// VMs that hear each other pool their shares: a part of the requests that they have seen in a sliding window, and their
// part of a common reserve.  A VM that hears no other keeps to its own share.  What VMs repeat before they have told each
// other is covered by a margin.  Times are arguments.
package gladebudget
