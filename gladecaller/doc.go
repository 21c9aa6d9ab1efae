// Package gladecaller is a caller that checks every answer it gets.
//
// It streams and reads whole answers, repeats a request under its idempotency key at another VM with
// the identifier of the last event, and compares all tokens with those that the stand-in engine must give.
package gladecaller
