// Package gladeservice calls plain services.
//
// It writes a non-idempotent call to at most one connection. It reports a call as notRun only if the call reached no
// server that could have run it. It returns an answer only if the answer echoes the identifier of its own attempt.
//
// The package does not remember calls, so calling Do twice makes two calls. Package gladeonce adds deduplication.
package gladeservice
