package gladesend

import "context"

// Cause is why a connection to a backend server is opened.
type Cause string

// The causes of connections, as metrics name them.
const (
	CauseRequest     Cause = "request"
	CauseRetry       Cause = "retry"
	CauseProbe       Cause = "probe"
	CauseCopyCall    Cause = "copyCall"
	CauseEngineCall  Cause = "engineCall"
	CauseHealthCheck Cause = "healthCheck"
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CauseRequest, CauseRetry, CauseProbe, CauseCopyCall, CauseEngineCall, CauseHealthCheck}
}

type causeKey struct{}

// WithCause returns a context for a call that opens a connection for a cause if it needs one.
func WithCause(ctx context.Context, c Cause) context.Context {
	return context.WithValue(ctx, causeKey{}, c)
}

// CauseOf returns the cause that WithCause has set, CauseRequest without one.
func CauseOf(ctx context.Context) Cause {
	if c, ok := ctx.Value(causeKey{}).(Cause); ok {
		return c
	}
	return CauseRequest
}
