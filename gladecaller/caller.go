package gladecaller

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeentry"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

// The errors of a request without a complete answer.
var (
	// ErrIncomplete means that the connection closed before the end of the answer.
	ErrIncomplete = eris.New("answer was cut")
	// ErrNotSent means that the request was not sent, as no VM was reachable.
	ErrNotSent = eris.New("no VM was reached")
)

const (
	defaultPause        = 100 * time.Millisecond
	defaultTries        = 20
	defaultSilence      = 15 * time.Second
	idleConnsPerVM      = 4096
	maxCallAnswerBytes  = 1 << 20
	headerAuthorization = "Authorization"
)

// Entry is the name and the URL of a VM.
type Entry struct {
	Name string
	URL  string
}

// Config configures a Caller.
type Config struct {
	// APIKey is the API key of the organisation.
	APIKey string
	// Entries returns the VMs that the balancer knows, in the order in which they are tried.
	Entries func() []Entry
	// Dial replaces the network, if set.
	Dial gladeapi.Dial
	// RetryDelay is the delay before a request is sent again; zero means 100 ms.
	RetryDelay time.Duration
	// Tries is the maximum number of times that a request is sent; zero means 20.
	Tries int
	// EventTimeout is the timeout for the next event of a stream; zero means 15 s.
	EventTimeout time.Duration
}

// Caller sends requests to VMs and retries them at other VMs.
type Caller struct {
	config Config
	http   *http.Client
}

// New returns a Caller and a function that closes its idle connections.
func New(c Config) (*Caller, func()) {
	c.RetryDelay = cmp.Or(c.RetryDelay, defaultPause)
	c.Tries = cmp.Or(c.Tries, defaultTries)
	c.EventTimeout = cmp.Or(c.EventTimeout, defaultSilence)
	transport := &http.Transport{DialContext: c.Dial, MaxIdleConnsPerHost: idleConnsPerVM, DisableCompression: true}
	return &Caller{config: c, http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Try is the result of sending a request to one VM once.
type Try struct {
	Entry     string
	RequestID string
	Status    int
	// From is the number of tokens that the caller had received before the try.
	From    int
	Refusal *gladeapi.Refusal
	Err     error
	// GaveUp is set if the caller cancelled the try because no event arrived in time or its context ended.
	GaveUp bool
}

// pickEntry returns the VM for a try: first the wanted one, then the others in order.
func (c *Caller) pickEntry(wanted string, try int) (Entry, bool) {
	entries := c.config.Entries()
	if len(entries) == 0 {
		return Entry{}, false
	}
	first := 0
	for i, e := range entries {
		if e.Name == wanted {
			first = i
		}
	}
	return entries[(first+try)%len(entries)], true
}

func (c *Caller) send(ctx context.Context, e Entry, path string, body []byte, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header = header.Clone()
	request.Header.Set("Content-Type", "application/json")
	// Without GetBody, the transport cannot repeat the request by itself.
	request.GetBody = nil
	return gladestatus.Do(c.http, request)
}

func (c *Caller) wait(ctx context.Context) bool {
	select {
	case <-time.After(c.config.RetryDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

func readRefusal(status int, body io.Reader) (*gladeapi.Refusal, error) {
	var e gladeentry.ErrorBody
	if err := json.NewDecoder(io.LimitReader(body, maxCallAnswerBytes)).Decode(&e); err != nil {
		return nil, eris.Wrapf(ErrIncomplete, "refusal with status %d: %v", status, err)
	}
	return refusalOf(status, &e), nil
}

func refusalOf(status int, e *gladeentry.ErrorBody) *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: status, Code: e.Error.Code, Message: e.Error.Message, Field: e.Error.Field, Ran: e.Error.Ran,
	}
}

// retryable reports whether a caller may repeat a refused request: the request did not run, and its status is 429 or 503.
func retryable(r *gladeapi.Refusal) bool {
	if r.Ran != gladeapi.NotRun {
		return false
	}
	return r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
}
