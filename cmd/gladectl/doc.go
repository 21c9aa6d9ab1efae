// Gladectl submits release notes, explains requests and prints the state of VMs for operators.
package main
