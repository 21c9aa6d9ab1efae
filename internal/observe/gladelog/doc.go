// Package gladelog writes the decision log: structured lines that never hold up the work they tell of.
//
// Lines wait in a bounded queue for a writer of their own.  What does not fit is left out and counted, and the
// next line that is written says how much was left out.
package gladelog
