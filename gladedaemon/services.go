package gladedaemon

import (
	"context"
	"net/http"
	"strings"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeentry"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladeonce"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladeservice"
)

const maxKeyBytes = 255

// IssuedKey is the response body of POST /services/{route}/keys.
type IssuedKey struct {
	Key string `json:"key"`
}

// Serve handles requests to /services/{route}/... from an authenticated organisation.
func (c *Calls) Serve(w http.ResponseWriter, r *http.Request, o gladenote.Organisation) {
	id := w.Header().Get(gladeentry.HeaderRequestID)
	if err := c.serve(w, r, &o, id); err != nil {
		f := gladeapi.AsRefusal(err)
		c.daemon.record.Add(id, "calls", "refused", "%d %s %s: %s", f.Status, f.Code, f.Ran, f.Message)
		gladeentry.WriteRefusal(w, id, f)
	}
}

func (c *Calls) serve(w http.ResponseWriter, r *http.Request, o *gladenote.Organisation, id string) error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"), "/")
	route, ok := c.notes.State().Routes[name]
	if !ok {
		return refuse(http.StatusNotFound, gladeapi.CodeNotFound, "no such route: "+name)
	}
	if rest == "keys" && r.Method == http.MethodPost && !route.Idempotent {
		return c.serveKey(w, o, &route)
	}
	q, err := c.request(w, r, id, o, &route)
	if err != nil {
		return err
	}
	q.Path = "/" + rest
	if r.URL.RawQuery != "" {
		q.Path += "?" + r.URL.RawQuery
	}
	outcome, err := c.admitAndRun(r.Context(), q, o)
	if err != nil {
		return err
	}
	writeOutcome(w, outcome)
	return nil
}

func (c *Calls) serveKey(w http.ResponseWriter, o *gladenote.Organisation, route *gladenote.Route) error {
	if c.daemon.stopping.Load() {
		f := refuse(http.StatusServiceUnavailable, gladeapi.CodeStopping, "the VM is stopping; ask another for a key")
		f.RetryAfter = memberRefreshInterval
		return f
	}
	writeJSON(w, IssuedKey{Key: c.Issue(o.Name, route.Name)})
	return nil
}

// Issue returns a new idempotency key, issued by this VM, for one call of an organisation to a route.
func (c *Calls) Issue(organisation, route string) string {
	return c.issuer.Issue(organisation, route)
}

func (c *Calls) request(
	w http.ResponseWriter, r *http.Request, id string, o *gladenote.Organisation, route *gladenote.Route,
) (*callRequest, error) {
	body, err := gladeentry.ReadBody(w, r, c.daemon.settings.Entry.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	q := &callRequest{
		ID: id, Organisation: o.Name, Route: *route, Key: r.Header.Get(gladeentry.HeaderIdempotencyKey),
		Method: r.Method, Header: r.Header, Body: body,
	}
	if !route.Idempotent && q.Key == "" {
		return nil, invalidKey("a call to this route needs the header")
	}
	if len(q.Key) > maxKeyBytes {
		return nil, invalidKey("the key is too long")
	}
	return q, nil
}

func (c *Calls) admitAndRun(ctx context.Context, q *callRequest, o *gladenote.Organisation) (*gladeonce.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, gladeservice.Timeout(&q.Route))
	defer cancel()
	release, err := c.limits.admitCall(ctx, o)
	if err != nil {
		return nil, err
	}
	defer release(0)
	return c.run(ctx, q)
}

func (c *Calls) run(ctx context.Context, q *callRequest) (*gladeonce.Outcome, error) {
	if q.Route.Idempotent {
		return c.send(ctx, q)
	}
	key, issued := gladeonce.ParseKey(q.Key)
	self := c.node.Self()
	switch {
	case !issued:
		c.daemon.record.Add(q.ID, "calls", "claim", "caller's key %q", q.Key)
		return c.once.Do(ctx, q.call(), func(ctx context.Context) (*gladeonce.Outcome, error) { return c.send(ctx, q) })
	case key.VM == self.Name && key.Incarnation == self.Incarnation:
		return c.runIssued(ctx, q)
	}
	return c.forward(ctx, &key, q)
}

func (q *callRequest) call() gladeonce.Call {
	return gladeonce.Call{
		Organisation: q.Organisation, Route: q.Route.Name, Key: q.Key,
		Body: gladeonce.HashBody(q.Method, q.Path, q.Body),
	}
}

func (c *Calls) send(ctx context.Context, q *callRequest) (*gladeonce.Outcome, error) {
	a, err := c.client.Do(ctx, &gladeservice.Request{
		ID: q.ID, Organisation: q.Organisation, Route: q.Route,
		Method: q.Method, Path: q.Path, Header: q.Header, Body: q.Body,
	})
	if err != nil {
		return nil, err
	}
	return &gladeonce.Outcome{Status: a.Status, Header: a.Header, Body: a.Body}, nil
}

func (c *Calls) runIssued(ctx context.Context, q *callRequest) (*gladeonce.Outcome, error) {
	c.daemon.record.Add(q.ID, "calls", "issuedKey", "made by this VM")
	return c.issuer.Do(ctx, q.call(), func(ctx context.Context) (*gladeonce.Outcome, error) { return c.send(ctx, q) })
}

// forward sends the call to the VM that issued the key, which runs it and returns the outcome.
func (c *Calls) forward(ctx context.Context, key *gladeonce.IssuedKey, q *callRequest) (*gladeonce.Outcome, error) {
	c.daemon.record.Add(q.ID, "calls", "forward", "key made by %s", key.VM)
	for _, m := range c.node.Members() {
		if m.Name == key.VM && m.Incarnation != key.Incarnation {
			return nil, unknownOutcome("the VM that made the key has been replaced")
		}
	}
	a, err := gladepeer.Call[callRequest, callResult](ctx, c.node, key.VM, methodRunCall, *q)
	switch {
	case err != nil:
		return nil, unknownOutcome("the VM that made the key did not answer: " + err.Error())
	case a.Refusal != nil:
		return nil, a.Refusal
	case a.Outcome == nil:
		return nil, unknownOutcome("the VM that made the key gave no outcome")
	}
	return a.Outcome, nil
}

// runForwarded runs a call that another VM has forwarded because this VM issued its key.
func (c *Calls) runForwarded(ctx context.Context, from string, q callRequest) (callResult, error) {
	c.forwarded.Add(1)
	defer c.forwarded.Add(-1)
	c.daemon.record.Add(q.ID, "calls", "forwarded", "by %s", from)
	ctx, cancel := context.WithTimeout(ctx, gladeservice.Timeout(&q.Route))
	defer cancel()
	o, err := c.runIssued(ctx, &q)
	if err != nil {
		return callResult{Refusal: gladeapi.AsRefusal(err)}, nil
	}
	return callResult{Outcome: o}, nil
}

func refuse(status int, code gladeapi.Code, message string) *gladeapi.Refusal {
	return &gladeapi.Refusal{Status: status, Code: code, Ran: gladeapi.NotRun, Message: message}
}

func invalidKey(message string) *gladeapi.Refusal {
	f := refuse(http.StatusBadRequest, gladeapi.CodeBadRequest, gladeentry.HeaderIdempotencyKey+": "+message)
	f.Field = gladeentry.HeaderIdempotencyKey
	return f
}

func unknownOutcome(message string) *gladeapi.Refusal {
	f := refuse(http.StatusConflict, gladeapi.CodeOutcomeUnknown, message)
	f.Ran = gladeapi.RanUnknown
	return f
}

func writeOutcome(w http.ResponseWriter, o *gladeonce.Outcome) {
	for name, values := range o.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(o.Status)
	_, _ = w.Write(o.Body)
}
