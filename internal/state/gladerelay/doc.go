// Package gladerelay passes data from the platform's store on to VMs that cannot reach the store.
//
// Each VM publishes the version of its release and the revision of its list of backend servers. A VM asks a peer for
// its release if that is newer. A VM that cannot reach the store also asks for the servers. The data is only as new as
// what the peers know. The receiver compares versions, so that older data never replaces newer data.
package gladerelay
