// Package gladeclient sends calls to engines and matches their answers to the calls.
//
// It keeps connections, learns which engines name the call in an answer, and repeats a call whose answer may be that of another one.
package gladeclient
