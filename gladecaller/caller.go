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
)

// The errors of a request that got no whole answer.
var (
	// ErrCut means that the connection ended before the answer did.
	ErrCut = eris.New("answer was cut")
	// ErrNotSent means that no VM could be reached.
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

// Entry is a VM as callers reach it.
type Entry struct {
	Name string
	URL  string
}

// Config configures a Caller.
type Config struct {
	// APIKey is the organisation's key.
	APIKey string
	// Entries returns the VMs that the balancer knows, in the order in which to try them.
	Entries func() []Entry
	// Dial replaces the network, if set.
	Dial gladeapi.Dial
	// Pause is the wait before a request is sent again; zero means 100 ms.
	Pause time.Duration
	// Tries is how often a request is sent at most; zero means 20.
	Tries int
	// Silence is the longest wait for an event of a stream; zero means 15 s.
	Silence time.Duration
}

// Caller sends requests to whichever VM answers.
type Caller struct {
	config Config
	http   *http.Client
}

// New returns a Caller and its clean-up function.
func New(c Config) (*Caller, func()) {
	c.Pause = cmp.Or(c.Pause, defaultPause)
	c.Tries = cmp.Or(c.Tries, defaultTries)
	c.Silence = cmp.Or(c.Silence, defaultSilence)
	transport := &http.Transport{DialContext: c.Dial, MaxIdleConnsPerHost: idleConnsPerVM, DisableCompression: true}
	return &Caller{config: c, http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Try is one sending of a request to one VM.
type Try struct {
	Entry     string
	RequestID string
	Status    int
	// From is the number of tokens that the caller held when it sent.
	From    int
	Refusal *gladeapi.Refusal
	Err     error
	// GaveUp is set if the caller left by itself, because of silence or its own deadline.
	GaveUp bool
}

// entry picks the VM of the given try: the wanted one first, then the others in turn.
func (c *Caller) entry(wanted string, try int) (Entry, bool) {
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
	// A nil GetBody keeps the transport from sending the request again on its own.
	request.GetBody = nil
	return c.http.Do(request)
}

func (c *Caller) wait(ctx context.Context) bool {
	select {
	case <-time.After(c.config.Pause):
		return true
	case <-ctx.Done():
		return false
	}
}

func readRefusal(status int, body io.Reader) (*gladeapi.Refusal, error) {
	var e gladeentry.ErrorBody
	if err := json.NewDecoder(io.LimitReader(body, maxCallAnswerBytes)).Decode(&e); err != nil {
		return nil, eris.Wrapf(ErrCut, "refusal with status %d: %v", status, err)
	}
	return refusalOf(status, &e), nil
}

func refusalOf(status int, e *gladeentry.ErrorBody) *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: status, Code: e.Error.Code, Message: e.Error.Message, Field: e.Error.Field, Ran: e.Error.Ran,
	}
}

// repeatable reports whether a caller may send a refused request again: it did not run, and not for a fault of its own.
func repeatable(r *gladeapi.Refusal) bool {
	if r.Ran != gladeapi.NotRun {
		return false
	}
	return r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
}
