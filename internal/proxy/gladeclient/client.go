package gladeclient

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

// maxSilentEngines is the number of engines and kinds of calls of which it is remembered whether answers name the call; at more all
// are learned anew.
const maxSilentEngines = 1024

// errOtherAnswer means that an answer does not certainly belong to the call that was sent.
var errOtherAnswer = eris.New("answer of another call")

// Config configures a Client.
type Config struct {
	// Transport opens and keeps the connections; nil means a new one with net/http's defaults.
	Transport *http.Transport
	// OnAnswer is called with the head of each answer and the address that it came from; nil means that nobody listens.
	OnAnswer func(address string, h gladesend.AnswerHead)
	// Identify sets the identifier of a call in its header, and Decode reads the header of an answer, which it may change.
	Identify func(h http.Header, id string)
	Decode   func(h http.Header) gladesend.AnswerInfo
}

// Client sends calls to engines, each once, and once more if the answer may be another call's.
//
// A late second answer to an earlier call may arrive where the next answer is expected, also after the next call was sent, so that a
// look at the connection before the call does not find it.  Taken for the answer to a copy call it gives a run the copy of another
// run.  Each call therefore has an identifier, which engines echo.  An answer without one belongs to the call for certain only if
// it is the first on its connection.  A new connection for every call would need no identifiers, but the copy calls of all runs come
// together, twice a second each, when a failure domain crashes.  Engines that echo nothing in answers of a kind get a connection for
// each call of that kind, apart from two: all calls on the copies of a run on the same engine share one, as a late answer there belongs
// to the same run, and so do all queries for the parts that an engine keeps, as a late answer is another answer to the same query.
type Client struct {
	config Config
	// kept reuses its connections, and fresh opens one for each call.
	kept, fresh *http.Client

	mu sync.Mutex
	// silent holds, by engine and kind of call, whether the answers name no call, and lastSilent what was learned last of a kind.
	silent     map[callKind]bool
	lastSilent map[gladesend.Cause]bool
	// groups holds the clients of calls to silent engines that share a connection.
	groups map[string]*groupClient
}

// callKind is a kind of call to an engine.
type callKind struct {
	address string
	cause   gladesend.Cause
}

// groupClient keeps the connection of a group of calls, whose answers need not be told apart.
type groupClient struct {
	http.Client

	close func()
	// busy is the number of calls in progress, used the time of the last one, and idleTimeout how long the connection may stay idle.
	busy        int
	used        time.Time
	idleTimeout time.Duration
	// result is what SetResult was called with last.
	result string
}

// groupLife is the least time without a call after which the client of a group is removed; a copy is updated twice a second.
const groupLife = 2 * time.Second

// New returns a Client and a function that closes its idle connections.
func New(c Config) (*Client, func()) {
	if c.Transport == nil {
		c.Transport = &http.Transport{}
	}
	fresh := c.Transport.Clone()
	fresh.DisableKeepAlives = true
	l := &Client{
		config: c, kept: &http.Client{Transport: c.Transport}, fresh: &http.Client{Transport: fresh}, silent: map[callKind]bool{},
		lastSilent: map[gladesend.Cause]bool{}, groups: map[string]*groupClient{},
	}
	return l, func() {
		c.Transport.CloseIdleConnections()
		l.closeGroups(time.Time{})
	}
}

// take returns the client of a group until put, and removes the clients that have not been used for long.
func (l *Client) take(group string) *groupClient {
	now := time.Now()
	l.closeGroups(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.groups[group]
	if c == nil {
		transport := l.kept.Transport.(*http.Transport).Clone()
		transport.IdleConnTimeout = 0 // the server's own timeout applies
		c = &groupClient{
			Client: http.Client{Transport: transport}, close: transport.CloseIdleConnections, used: now,
			idleTimeout: gladesend.DefaultIdleTimeout,
		}
		l.groups[group] = c
	}
	if now.Sub(c.used) >= c.idleTimeout {
		c.close() // the server may be closing the connection
	}
	c.busy++
	return c
}

// put records the end of a call; the response is nil if there was none.
func (l *Client) put(c *groupClient, response *http.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.busy--
	c.used = time.Now()
	if response != nil {
		c.idleTimeout = gladesend.IdleTimeout(response.Header.Get("Keep-Alive"), c.idleTimeout)
	}
}

// closeGroups removes the clients that have not been used for so long that their connections are not reused; the zero time means all.
func (l *Client) closeGroups(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for group, c := range l.groups {
		if now.IsZero() || c.busy == 0 && now.Sub(c.used) >= max(groupLife, c.idleTimeout) {
			delete(l.groups, group)
			c.close()
		}
	}
}

// SetResult records the name that a call of a group returned, so that a later call about that name finds the group's connection.
func (l *Client) SetResult(group, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.groups[group]; c != nil {
		c.result = name
	}
}

// GroupOf returns the group whose last result was a name, empty if it is not known.
func (l *Client) GroupOf(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for group, c := range l.groups {
		if c.result == name {
			return group
		}
	}
	return ""
}

// Do sends a request and returns the answer that certainly belongs to it, or to an earlier call of the same group; group is empty for
// calls that share no connection.
func (l *Client) Do(request *http.Request, group string) (*http.Response, error) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	l.config.Identify(request.Header, id)
	switch {
	case !l.isSilent(kindOf(request)):
		response, err := l.send(l.kept, request, id, false)
		if !errors.Is(err, errOtherAnswer) {
			return response, err
		}
	case group != "":
		c := l.take(group)
		response, err := l.send(&c.Client, request, id, true)
		l.put(c, response)
		if !errors.Is(err, errOtherAnswer) {
			return response, err
		}
	}
	if request.GetBody != nil {
		body, err := request.GetBody()
		if err != nil {
			return nil, eris.Wrap(err, "repeating the call")
		}
		request.Body = body
	}
	return l.send(l.fresh, request, id, false)
}

// send sends a request through an HTTP client and reports the head of its answer; it fails with errOtherAnswer if the answer does not
// certainly belong to the request.  sameGroup reports that all calls on the client's connections are of one group.
func (l *Client) send(client *http.Client, request *http.Request, id string, sameGroup bool) (*http.Response, error) {
	kept := false
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { kept = c.Reused }}
	sentAt := time.Now()
	response, err := gladestatus.Do(client, request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if errors.Is(err, gladestatus.ErrInvalid) && kept && !sameGroup {
		return nil, eris.Wrapf(errOtherAnswer, "%s: %v", request.URL.Host, err) // it may be the rest of an earlier answer
	}
	if err != nil {
		return nil, err
	}
	address := request.URL.Host
	head := gladesend.AnswerHead{Status: response.StatusCode, Info: l.config.Decode(response.Header.Clone()), SentAt: sentAt, At: time.Now()}
	belongs := head.Info.ID == id || head.Info.ID == "" && (!kept || sameGroup)
	if !belongs {
		head.SentAt = time.Time{} // it is not known to which call it belongs
	}
	if l.config.OnAnswer != nil {
		l.config.OnAnswer(address, head)
	}
	if !belongs {
		_ = response.Body.Close()
		return nil, eris.Wrapf(errOtherAnswer, "%s answered call %q", address, head.Info.ID)
	}
	l.setSilent(kindOf(request), head.Info.ID == "")
	return response, nil
}

func kindOf(request *http.Request) callKind {
	return callKind{request.URL.Host, gladesend.CauseOf(request.Context())}
}

// isSilent reports whether answers to calls of a kind name no call.  An engine that is not known yet is taken to be like the last one.
func (l *Client) isSilent(k callKind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if silent, known := l.silent[k]; known {
		return silent
	}
	return l.lastSilent[k.cause]
}

func (l *Client) setSilent(k callKind, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.silent) >= maxSilentEngines {
		clear(l.silent)
	}
	l.silent[k], l.lastSilent[k.cause] = silent, silent
}
