// Package gladeage tells how old a VM's release may be.
//
// Whoever reads the store confirms that a version was the newest at some time; other VMs learn of that in the reader's
// updates. The age of the release in force is the time since it was last known to be the newest. The release is behind while
// a newer version is known.
package gladeage
