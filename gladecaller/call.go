package gladecaller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeentry"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

// Call is a request to a plain service.
type Call struct {
	Route string `json:"route"`
	// Path is the part of the URL after the route, with its leading slash.
	Path string `json:"path,omitempty"`
	Body string `json:"body,omitempty"`
	// Key is the idempotency key.
	Key string `json:"key,omitempty"`
	// Entry is the name of the VM that receives the first try.
	Entry string `json:"entry,omitempty"`
	// Sends is the number of times that a call without an answer is sent; zero means once. A call that certainly did not
	// run is sent up to Config.Tries times, or Sends times if that is more.
	Sends int `json:"sends,omitempty"`
}

// CallAnswer is the result of a Call.
type CallAnswer struct {
	// Status is the HTTP status of the plain service, zero if its response was not received.
	Status  int
	Body    string
	Refusal *gladeapi.Refusal
	Err     error
	Tries   []Try
	Sent    time.Time
	Ended   time.Time
}

// Answered reports whether the response of the plain service was received.
func (a *CallAnswer) Answered() bool {
	return a.Err == nil && a.Refusal == nil
}

// Call sends a call, retries it at other VMs while that is allowed, and returns the result.
func (c *Caller) Call(ctx context.Context, q Call) *CallAnswer {
	a := &CallAnswer{Sent: time.Now()}
	defer func() { a.Ended = time.Now() }()
	for try := range max(q.Sends, c.config.Tries) {
		if try > 0 && !c.wait(ctx) {
			break
		}
		t := c.tryCall(ctx, &q, try, a)
		t.GaveUp = ctx.Err() != nil
		a.Tries = append(a.Tries, t)
		a.Refusal, a.Err = t.Refusal, t.Err
		if !q.shouldRetry(a, &t, try) {
			break
		}
	}
	return a
}

func (q *Call) shouldRetry(a *CallAnswer, t *Try, try int) bool {
	if a.Answered() {
		return false
	}
	if errors.Is(t.Err, ErrNotSent) || t.Refusal != nil && retryable(t.Refusal) {
		return true
	}
	return try+1 < q.Sends
}

func (c *Caller) tryCall(ctx context.Context, q *Call, n int, a *CallAnswer) Try {
	e, ok := c.pickEntry(q.Entry, n)
	if !ok {
		return Try{Err: ErrNotSent}
	}
	t := Try{Entry: e.Name}
	header := http.Header{}
	header.Set(headerAuthorization, "Bearer "+c.config.APIKey)
	if q.Key != "" {
		header.Set(gladeentry.HeaderIdempotencyKey, q.Key)
	}
	response, err := c.send(ctx, e, "/services/"+q.Route+q.Path, []byte(q.Body), header)
	if err != nil {
		t.Err = sendError(err)
		return t
	}
	defer func() { _ = response.Body.Close() }()
	t.Status = response.StatusCode
	t.RequestID = response.Header.Get(gladeentry.HeaderRequestID)
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxCallAnswerBytes))
	if err != nil {
		t.Err = eris.Wrap(ErrIncomplete, err.Error())
		return t
	}
	var body gladeentry.ErrorBody
	if response.StatusCode != http.StatusOK && json.Unmarshal(raw, &body) == nil && body.Error.Code != "" {
		t.Refusal = refusalOf(response.StatusCode, &body)
		return t
	}
	a.Status, a.Body = response.StatusCode, string(raw)
	return t
}

// isDialError reports whether err occurred before any byte was sent.
func isDialError(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, gladewire.ErrUnreachable)
}
