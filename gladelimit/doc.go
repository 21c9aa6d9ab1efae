// Package gladelimit holds organisations to their limits and keeps a VM from being overloaded.
package gladelimit
