package gladeapi

import (
	"errors"
	"time"
)

// Ran reports whether a refused or failed request ran.
type Ran string

// The values of Ran.
const (
	// NotRun is reported only if no byte of the request reached a backend server that could have run it.
	NotRun Ran = "notRun"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "unknown"
	// DidRun means that the request ran.
	DidRun Ran = "ran"
)

// Code is the machine-readable code of a Refusal.
type Code string

// The codes returned to callers.
const (
	CodeBadRequest       Code = "badRequest"
	CodeUnauthorized     Code = "unauthorized"
	CodeNotFound         Code = "notFound"
	CodeConflict         Code = "conflict"
	CodeKeyReused        Code = "keyReused"
	CodeTooLarge         Code = "tooLarge"
	CodeRateLimited      Code = "rateLimited"
	CodeOverloaded       Code = "overloaded"
	CodeNoBackend        Code = "noBackend"
	CodeDeadline         Code = "deadlineExceeded"
	CodePoison           Code = "poisonRequest"
	CodeGenerationLost   Code = "generationLost"
	CodeOutcomeUnknown   Code = "outcomeUnknown"
	CodePlatformDown     Code = "platformUnavailable"
	CodeBackendFailed    Code = "backendFailed"
	CodeRetriesExhausted Code = "retryBudgetExhausted"
	CodeStopping         Code = "stopping"
	CodeInternal         Code = "internal"
)

// Refusal is an error that is returned to a caller.
type Refusal struct {
	// Status is the HTTP status.
	Status  int
	Code    Code
	Message string
	// Field is the name of the invalid field of the request, if there is one.
	Field string
	Ran   Ran
	// RetryAfter is the time after which the caller may repeat the request, zero if it should not.
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// AsRefusal returns the Refusal that err wraps, or one with CodeInternal and RanUnknown if there is none.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Status: 500, Code: CodeInternal, Message: err.Error(), Ran: RanUnknown}
}
