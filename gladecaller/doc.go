// Package gladecaller implements a caller that verifies the answers it receives.
//
// It sends requests with and without streaming. After an error it repeats a request at another VM, with the same
// idempotency key and the identifier of the last event. Verification compares all tokens with those that the stand-in
// engine generates for the request.
package gladecaller
