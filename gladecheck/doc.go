// Package gladecheck asserts invariants inside the running program.
//
// A violation is logged and counted. In tests, the OnBroken function of a Checker also fails the test.
package gladecheck
