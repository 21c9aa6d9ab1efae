// Package gladeload sends open-loop load with the users' shapes and measures what callers see.
//
// Arrivals are a Poisson process that never waits for answers.  Every answer is compared with the
// right one.
package gladeload
