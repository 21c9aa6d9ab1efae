// Package gladerelay passes what one VM has learnt from the platform's store on to VMs that cannot reach it.
//
// Each VM publishes how new its release and its list of backend servers are.  A VM that sees a newer release with
// another asks it for that, and one that has lost the store asks for the servers too.  It promises no more than the
// peers know; the receiver keeps to versions, so nothing goes back.
package gladerelay
