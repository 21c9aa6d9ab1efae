// Package gladedaemon creates the services of one entry VM and runs them in a kernel.
package gladedaemon
