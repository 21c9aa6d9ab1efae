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

// Call asks for one call of a plain service.
type Call struct {
	Route string `json:"route"`
	// Path follows the route in the URL, with its leading slash.
	Path string `json:"path,omitempty"`
	Body string `json:"body,omitempty"`
	// Key is the idempotency key.
	Key string `json:"key,omitempty"`
	// Entry is the VM to ask first.
	Entry string `json:"entry,omitempty"`
	// Sends is how often the caller sends the call at most; zero means once unless it was refused as not run.
	Sends int `json:"sends,omitempty"`
}

// CallAnswer is all that a caller got for one Call.
type CallAnswer struct {
	// Status is the plain service's own, zero if its answer did not arrive.
	Status  int
	Body    string
	Refusal *gladeapi.Refusal
	Err     error
	Tries   []Try
	Sent    time.Time
	Ended   time.Time
}

// Answered reports whether the plain service's own answer arrived.
func (a *CallAnswer) Answered() bool {
	return a.Err == nil && a.Refusal == nil
}

// Call sends a call, again at other VMs while it may be, and returns what came of it.
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
		if !q.again(a, &t, try) {
			break
		}
	}
	return a
}

func (q *Call) again(a *CallAnswer, t *Try, try int) bool {
	if a.Answered() {
		return false
	}
	if errors.Is(t.Err, ErrNotSent) || t.Refusal != nil && repeatable(t.Refusal) {
		return true
	}
	return try+1 < q.Sends
}

func (c *Caller) tryCall(ctx context.Context, q *Call, n int, a *CallAnswer) Try {
	e, ok := c.entry(q.Entry, n)
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
		t.Err = eris.Wrap(ErrCut, err.Error())
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

// isDial reports whether err came before any byte was sent.
func isDial(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, gladewire.ErrUnreachable)
}
