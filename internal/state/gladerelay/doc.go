// Package gladerelay brings a VM the data of the platform's store that other VMs have and it lacks.
//
// Each VM publishes the version of its release and the revision of its list of backend servers; readers announce theirs. A VM
// asks a peer for its release if that is newer, and gets the changes since its own. A VM that cannot reach the store, or missed
// changes, also asks for the servers. Peers that do not answer delay nothing but their own call. A large release comes compressed
// from a VM with a fast link, or is read from the store, or sent by each VM to one other at a time. The data is only as new as
// what the peers know. The receiver compares versions, so that older data never replaces newer data.
package gladerelay
