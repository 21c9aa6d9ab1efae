package gladeservice

import (
	"context"
	"errors"
	"net/http"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// once sends a call to at most one server; a server that could not be connected to is no sending.
func (c *Client) once(ctx context.Context, r *Request) (*Answer, error) {
	var avoid []string
	for number := 1; ; number++ {
		choice, err := c.config.Choose(r.Route.Pool, gladeapi.Need{Pool: r.Route.Pool, Avoid: avoid})
		if err != nil {
			return nil, c.refusal(http.StatusServiceUnavailable, gladeapi.CodeNoBackend, gladeapi.NotRun, err)
		}
		a := c.newAttempt(r, number, choice)
		answer, err := a.do(ctx, c.single)
		switch {
		case err == nil:
			return answer, nil
		case a.sent():
			return nil, c.onceFailed(err)
		case ctx.Err() != nil:
			return nil, c.refusal(http.StatusGatewayTimeout, gladeapi.CodeDeadline, gladeapi.NotRun, err)
		case number >= c.config.MaxAttempts || !c.config.Retry():
			return nil, c.refusal(http.StatusBadGateway, gladeapi.CodeBackendFailed, gladeapi.NotRun, err)
		}
		avoid = append(avoid, choice.Backend.ID)
	}
}

func (c *Client) onceFailed(err error) error {
	switch {
	case errors.Is(err, ErrRefusedBeforeRunning):
		return c.refusal(http.StatusServiceUnavailable, gladeapi.CodeBackendFailed, gladeapi.NotRun, err)
	case errors.Is(err, ErrAnswerTooLarge):
		return c.refusal(http.StatusBadGateway, gladeapi.CodeTooLarge, gladeapi.DidRun, err)
	case errors.Is(err, context.DeadlineExceeded):
		return c.refusal(http.StatusGatewayTimeout, gladeapi.CodeOutcomeUnknown, gladeapi.Unknown, err)
	}
	return c.refusal(http.StatusBadGateway, gladeapi.CodeOutcomeUnknown, gladeapi.Unknown, err)
}
