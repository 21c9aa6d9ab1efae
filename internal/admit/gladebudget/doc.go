// Package gladebudget bounds how many requests of a service are sent once more, over all VMs together.
//
// A VM's share is a part of the requests that it has seen in a sliding window, and its part of a common reserve.  The
// sum of the shares stays within the bound whatever the VMs know of each other.  Times are arguments.
package gladebudget
