// Package gladerefusal tells VMs which requests the others refuse because they crash their servers.
//
// The refusals are a fact of the VMs that publish them, so that a VM that starts later receives them with the membership.
// They expire at the same time everywhere.
package gladerefusal
