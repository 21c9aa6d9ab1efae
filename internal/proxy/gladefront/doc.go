// Package gladefront runs the entry role on the users' platform.
//
// It connects the packages of the entry role; the decisions are made in those packages.
package gladefront
