// Package gladeroute chooses the backend server that runs a request.
//
// A Table knows the servers, what this VM runs on each, what they reported of late and which failed.
// It promises that a server which it knows to leave gets no new work, that a fresh failure outranks
// any report, and that requests with the same leading blocks meet on one server while that is not
// loaded beyond its share.  It does not promise that two VMs choose alike, or that a report is true.
package gladeroute
