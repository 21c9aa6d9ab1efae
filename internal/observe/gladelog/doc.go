// Package gladelog writes the decision log: structured lines whose writing never blocks the work that they report.
//
// Lines wait in a bounded queue for a writing goroutine.  A line that does not fit is dropped and counted; the next line
// written is preceded by the count.
package gladelog
