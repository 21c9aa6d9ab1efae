package gladeservice

import (
	"context"
	"errors"
	"net/http"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// doOnce writes a call to at most one connection. It tries another server only if no connection was established,
// because then nothing of the call has been sent.
func (c *Client) doOnce(ctx context.Context, r *Request) (*Answer, error) {
	var avoid []string
	for number := 1; ; number++ {
		choice, err := c.config.Choose(r.Route.Pool, gladeapi.Requirements{Pool: r.Route.Pool, Avoid: avoid})
		if err != nil {
			return nil, c.refusal(http.StatusServiceUnavailable, gladeapi.CodeNoBackend, gladeapi.NotRun, err)
		}
		a := c.newAttempt(r, number, choice)
		answer, err := a.do(ctx, c.single)
		switch {
		case err == nil:
			return answer, nil
		case a.sent():
			return nil, c.onceRefusal(err)
		case ctx.Err() != nil:
			return nil, c.refusal(http.StatusGatewayTimeout, gladeapi.CodeDeadline, gladeapi.NotRun, err)
		case number >= c.config.MaxAttempts || !c.config.Retry():
			return nil, c.refusal(http.StatusBadGateway, gladeapi.CodeBackendFailed, gladeapi.NotRun, err)
		}
		avoid = append(avoid, choice.Backend.ID)
	}
}

func (c *Client) onceRefusal(err error) error {
	switch {
	case errors.Is(err, ErrRefusedBeforeRunning):
		return c.refusal(http.StatusServiceUnavailable, gladeapi.CodeBackendFailed, gladeapi.NotRun, err)
	case errors.Is(err, ErrAnswerTooLarge):
		return c.refusal(http.StatusBadGateway, gladeapi.CodeTooLarge, gladeapi.DidRun, err)
	case errors.Is(err, context.DeadlineExceeded):
		return c.refusal(http.StatusGatewayTimeout, gladeapi.CodeOutcomeUnknown, gladeapi.RanUnknown, err)
	}
	return c.refusal(http.StatusBadGateway, gladeapi.CodeOutcomeUnknown, gladeapi.RanUnknown, err)
}
