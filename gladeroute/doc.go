// Package gladeroute chooses the backend server that runs a request.
//
// A Table holds the servers with the requests that this VM runs on them, their last load reports and their failures.
// A server that is known to be leaving gets no new work, and a recent failure outweighs any load report. Requests with
// the same leading blocks go to the same server while its load is within a bound. Two VMs may choose differently, and
// load reports are not verified.
package gladeroute
