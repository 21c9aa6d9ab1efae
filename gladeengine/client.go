package gladeengine

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

// Errors of a Client.
var (
	// ErrUnreachable means that no connection was established, so the engine cannot have read the request.
	ErrUnreachable = eris.New("engine unreachable")
	// ErrRefused means that the engine answered the request with an error status.
	ErrRefused = eris.New("engine refused the request")
	// ErrStreamBroken means that the stream ended without its end event or could not be read.
	ErrStreamBroken = eris.New("engine stream broken")
	// ErrForeignEvent means that an event belongs to another attempt or to another prompt.
	ErrForeignEvent = gladestream.ErrForeignEvent
)

const (
	defaultDialTimeout    = 500 * time.Millisecond
	maxIdleConnsPerEngine = 256
	maxAnswerBytes        = 8 << 20
	maxErrorBytes         = 1 << 10
	// drainTimeout limits the time for reading the rest of a finished stream, which lets its connection be reused.
	drainTimeout = 100 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	// Dial opens connections; nil means net.Dialer.
	Dial gladeapi.Dial
	// DialTimeout limits the wait for a connection; zero means 500 ms.
	DialTimeout time.Duration
}

// Client calls engines. One Client serves any number of engine addresses.
type Client struct {
	http *http.Client
}

// New returns a client and its clean-up function.
func New(c Config) (*Client, func()) {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	timeout := cmp.Or(c.DialTimeout, defaultDialTimeout)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return c.Dial(ctx, network, address)
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerEngine,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Open starts an attempt on an engine and returns its stream of events.
func (c *Client) Open(ctx context.Context, o gladestream.OpenRequest) (*gladestream.Source, error) {
	if err := c.retokenize(ctx, &o); err != nil {
		return nil, err
	}
	body, err := json.Marshal(completionRequest(&o))
	if err != nil {
		return nil, eris.Wrap(err, "completion request")
	}
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.post(ctx, o.Backend.Address, "/v1/completions", body)
	if err != nil {
		cancel()
		return nil, classifyOpenError(err)
	}
	return c.newSource(response, cancel, o), nil
}

// classifyOpenError wraps the error of a refused request in gladestream.ErrRejected if any other engine would refuse it
// too, and in gladestream.ErrNotOpened if another engine may accept it.
func classifyOpenError(err error) error {
	var refused *statusError
	if !errors.As(err, &refused) {
		return err
	}
	switch refused.status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return fmt.Errorf("%w: %w", gladestream.ErrRejected, err)
	case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %w", gladestream.ErrNotOpened, err)
	}
	return err
}

// Probe checks whether an engine is alive. The error is gladestream.ErrNotOpened if no process listens at its address.
// It is ErrStreamBroken if the host does not answer at all, because then only the network may have failed.
func (c *Client) Probe(ctx context.Context, b gladeapi.BackendServer) error {
	response, err := c.do(ctx, http.MethodGet, b.Address, "/health", nil)
	if errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrapf(ErrStreamBroken, "no answer: %v", err)
	}
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Attach resumes the stream of an attempt that still runs on an engine, skipping the given number of its first tokens.
func (c *Client) Attach(ctx context.Context, o gladestream.OpenRequest, after int) (*gladestream.Source, error) {
	path := "/v1/completions/" + IDPrefix + o.Attempt.ID() + "?starting_after=" + strconv.Itoa(after)
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.do(ctx, http.MethodGet, o.Backend.Address, path, nil)
	if err != nil {
		cancel()
		return nil, err
	}
	return c.newSource(response, cancel, o), nil
}

// Cancel asks an engine to stop an attempt.
func (c *Client) Cancel(ctx context.Context, b gladeapi.BackendServer, a gladeapi.Attempt) error {
	response, err := c.post(ctx, b.Address, "/v1/completions/"+IDPrefix+a.ID()+"/cancel", nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Tokenize returns the tokens into which the engine splits a prompt or chat messages.
func (c *Client) Tokenize(ctx context.Context, b gladeapi.BackendServer, r TokenizeRequest) ([]int32, error) {
	answer, err := c.tokenize(ctx, b, r)
	return answer.Tokens, err
}

func (c *Client) tokenize(ctx context.Context, b gladeapi.BackendServer, r TokenizeRequest) (TokenizeResponse, error) {
	var answer TokenizeResponse
	body, err := json.Marshal(r)
	if err != nil {
		return answer, eris.Wrap(err, "tokenize request")
	}
	response, err := c.post(ctx, b.Address, "/tokenize", body)
	if err != nil {
		return answer, err
	}
	return answer, decode(response, &answer)
}

// Load returns an engine's load report.
func (c *Client) Load(ctx context.Context, b gladeapi.BackendServer) (gladeapi.LoadReport, error) {
	var report gladeapi.LoadReport
	response, err := c.do(ctx, http.MethodGet, b.Address, "/load", nil)
	if err != nil {
		return report, err
	}
	return report, decode(response, &report)
}

func (c *Client) post(ctx context.Context, address, path string, body []byte) (*http.Response, error) {
	return c.do(ctx, http.MethodPost, address, path, body)
}

func (c *Client) do(ctx context.Context, method, address, path string, body []byte) (*http.Response, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "engine request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := gladestatus.Do(c.http, request)
	if err != nil {
		if !connected {
			return nil, fmt.Errorf("%w: %w: %s %s: %w", ErrUnreachable, gladestream.ErrNotOpened, method, path, err)
		}
		return nil, fmt.Errorf("%w: %s %s: %w", ErrStreamBroken, method, path, err)
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		_ = response.Body.Close()
		return nil, fmt.Errorf("%s %s: %w", method, path, &statusError{
			status: response.StatusCode, text: string(bytes.TrimSpace(text)), retryAfter: response.Header.Values("Retry-After"),
		})
	}
	return response, nil
}

// statusError is a response with an error status. It wraps ErrRefused.
type statusError struct {
	status int
	text   string
	// retryAfter holds the values of the header of that name.
	retryAfter []string
}

// RetryAfter returns the backoff that an engine asked for when it refused a request for its load, zero for other errors. It returns
// gladeapi.ErrRetryAfter for a value that cannot be used.
func RetryAfter(err error) (time.Duration, error) {
	refused, ok := errors.AsType[*statusError](err)
	if !ok || refused.status != http.StatusTooManyRequests && refused.status != http.StatusServiceUnavailable {
		return 0, nil
	}
	return gladeapi.ParseRetryAfter(refused.retryAfter)
}

// Error returns the status and the text of the response.
func (e *statusError) Error() string {
	return fmt.Sprintf("engine refused the request: status %d: %s", e.status, e.text)
}

// Unwrap returns ErrRefused.
func (e *statusError) Unwrap() error {
	return ErrRefused
}

func decode(response *http.Response, v any) error {
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(v); err != nil {
		return eris.Wrap(err, "engine answer")
	}
	return nil
}

func completionRequest(o *gladestream.OpenRequest) CompletionRequest {
	s := &o.Generation.Sampling
	r := CompletionRequest{
		Model:            o.Generation.Target.String(),
		Prompt:           encodePrompt(o),
		MaxTokens:        s.MaxTokens - len(o.Delivered),
		Temperature:      s.Temperature,
		TopP:             s.TopP,
		PresencePenalty:  s.PresencePenalty,
		FrequencyPenalty: s.FrequencyPenalty,
		Seed:             &s.Seed,
		IgnoreEOS:        s.IgnoreEOS,
		Stream:           true,
		Priority:         o.Priority,
		RequestID:        o.Attempt.ID(),
		ReturnTokenIDs:   true,
	}
	if s.Logprobs > 0 {
		r.Logprobs = &s.Logprobs
	}
	return r
}

func encodePrompt(o *gladestream.OpenRequest) json.RawMessage {
	var v any = o.Generation.Prompt
	if len(o.PromptTokens) > 0 {
		v = slices.Concat(o.PromptTokens, o.Delivered)
	}
	raw, _ := json.Marshal(v)
	return raw
}

func attemptID(id string) string {
	return strings.TrimPrefix(id, IDPrefix)
}
