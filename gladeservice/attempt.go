package gladeservice

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

// unforwardedHeaders are the hop-by-hop headers and the headers of this system.
var unforwardedHeaders = map[string]bool{
	"Authorization":       true,
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	HeaderRequestID:       true,
	HeaderOrganisation:    true,
	HeaderRan:             true,
}

// attempt is a single attempt to send a call to one server.
type attempt struct {
	client  *Client
	request *Request
	choice  gladeapi.Choice
	id      string
	// connCount is the number of connections that the attempt was written to.
	connCount atomic.Int32
	conn      atomic.Pointer[net.Conn]
}

func (c *Client) newAttempt(r *Request, number int, choice gladeapi.Choice) *attempt {
	c.counts.attempts.Inc(1)
	a := &attempt{client: c, request: r, choice: choice, id: r.ID + "." + strconv.Itoa(number)}
	c.config.Record.Add(r.ID, "service", "attempt", "%s on %s: %s", a.id, choice.Backend.ID, choice.Reason)
	return a
}

// sent reports whether any byte of the call may have reached the server.
func (a *attempt) sent() bool {
	return a.connCount.Load() > 0
}

// do sends the call, releases the choice and returns the answer. It rejects an answer to another attempt.
func (a *attempt) do(ctx context.Context, t *http.Transport) (*Answer, error) {
	started := time.Now()
	answer, err := a.exchange(ctx, t)
	a.choice.Release(outcome(ctx, err))
	if err != nil {
		a.client.config.Record.Add(a.request.ID, "service", "attemptFailed", "%s: %v", a.id, err)
		return nil, err
	}
	a.client.latency(a.request.Route.Name).add(time.Since(started))
	a.client.config.Record.Add(a.request.ID, "service", "answered", "%s with %d", a.id, answer.Status)
	return answer, nil
}

func outcome(ctx context.Context, err error) gladeapi.Outcome {
	switch {
	case err == nil || errors.Is(err, ErrRefusedBeforeRunning) || errors.Is(err, ErrAnswerTooLarge):
		return gladeapi.OutcomeDone
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return gladeapi.OutcomeStalled
	case ctx.Err() != nil:
		return gladeapi.OutcomeCancelled
	}
	return gladeapi.OutcomeFailed
}

func (a *attempt) exchange(ctx context.Context, t *http.Transport) (*Answer, error) {
	q, err := a.newRequest(ctx)
	if err != nil {
		return nil, err
	}
	response, err := t.RoundTrip(q)
	if err != nil {
		return nil, eris.Wrap(err, a.choice.Backend.ID)
	}
	defer func() { _ = response.Body.Close() }()
	if echoed := response.Header.Get(HeaderRequestID); echoed != a.id {
		a.closeConn()
		a.client.counts.foreign.Inc(1)
		return nil, eris.Wrapf(ErrForeignAnswer, "%s: %q echoed for %q", a.choice.Backend.ID, echoed, a.id)
	}
	if err := gladestatus.Check(response.StatusCode); err != nil {
		a.closeConn() // after 101 the body has no end, and reading it outlasts the time limit
		return nil, eris.Wrap(err, a.choice.Backend.ID)
	}
	if response.Header.Get(HeaderRan) == string(gladeapi.NotRun) && response.StatusCode >= http.StatusBadRequest {
		a.request.refused.Add(1)
		return nil, eris.Wrapf(ErrRefusedBeforeRunning, "%s: status %d", a.choice.Backend.ID, response.StatusCode)
	}
	return a.readAnswer(response)
}

func (a *attempt) newRequest(ctx context.Context) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		a.connCount.Add(1)
		a.request.sent.Add(1)
		a.conn.Store(&i.Conn)
	}})
	url := "http://" + a.choice.Backend.Address + a.request.Path
	q, err := http.NewRequestWithContext(ctx, a.request.Method, url, bytes.NewReader(a.request.Body))
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	q.Header = endToEnd(a.request.Header)
	q.Header.Set(HeaderRequestID, a.id)
	q.Header.Set(HeaderOrganisation, a.request.Organisation)
	if q.Header.Get("User-Agent") == "" {
		q.Header.Set("User-Agent", "")
	}
	return q, nil
}

func (a *attempt) readAnswer(response *http.Response) (*Answer, error) {
	limit := a.client.config.MaxAnswerBytes
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, a.choice.Backend.ID)
	}
	if int64(len(body)) > limit {
		a.closeConn()
		return nil, eris.Wrapf(ErrAnswerTooLarge, "%s: more than %d bytes", a.choice.Backend.ID, limit)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && a.request.Method != http.MethodHead {
		if err := a.checkEnd(); err != nil {
			return nil, err
		}
	}
	header := endToEnd(response.Header)
	header.Del("Content-Length")
	return &Answer{Status: response.StatusCode, Header: header, Body: body, Backend: a.choice.Backend.ID}, nil
}

// checkEnd is called at the end of an answer that ends with its connection, and returns ErrCutOff unless the server ended it in order.
func (a *attempt) checkEnd() error {
	conn, ok := (*a.conn.Load()).(*serverConn)
	if !ok {
		return eris.Wrapf(ErrCutOff, "%s: connection of another dialer", a.choice.Backend.ID)
	}
	if err := conn.endWrites(); err != nil {
		return eris.Wrapf(ErrCutOff, "%s: %v", a.choice.Backend.ID, err)
	}
	return nil
}

func (a *attempt) closeConn() {
	if c := a.conn.Load(); c != nil {
		_ = (*c).Close()
	}
}

// endToEnd returns a copy of the headers without unforwardedHeaders and the headers that Connection names.
func endToEnd(h http.Header) http.Header {
	kept := h.Clone()
	if kept == nil {
		kept = http.Header{}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(textproto.TrimString(name))
		}
	}
	for name := range unforwardedHeaders {
		kept.Del(name)
	}
	return kept
}
