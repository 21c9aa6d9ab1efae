package gladestore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

// Errors of calls to the platform.
var (
	ErrNotFound = eris.New("object not found")
	ErrConflict = eris.New("object version conflict")
	// ErrUnavailable means that no usable response arrived. A write with this error may have taken effect.
	ErrUnavailable = eris.New("platform unavailable")
	ErrRateLimited = eris.New("platform rate limit")
	ErrTooLarge    = eris.New("object too large")
	// ErrNotSent accompanies ErrUnavailable if the call was not sent.
	ErrNotSent = eris.New("platform call not sent")
)

// MaxObjectBytes is the largest size of an object's value, in bytes.
const MaxObjectBytes = 1 << 20

// HeaderFailureDomain is the request header with the caller's failure domain.
const HeaderFailureDomain = "Glade-Failure-Domain"

const (
	defaultTimeout   = 2 * time.Second
	defaultAttempts  = 3
	breakerThreshold = 5
	breakerCoolDown  = time.Second
	idleConnsPerHost = 16
	maxResponseBytes = 64 << 20
)

// Object is a versioned value.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// List holds the objects of one kind at one version of the store.
type List struct {
	Version int64    `json:"version"`
	Objects []Object `json:"objects"`
}

// Config configures a Client.
type Config struct {
	// Address is the platform's base URL.
	Address string
	// Dial replaces the default dialer of net/http, if set.
	Dial gladeapi.Dial
	// Timeout bounds each call and the opening of a watch. Zero means 2 s.
	Timeout time.Duration
	// Attempts bounds the attempts of a read, CreateOnce or UpdateOnce. Zero means 3.
	Attempts int
	// FailureDomain is sent in HeaderFailureDomain with each call, if set.
	FailureDomain string
	// Metrics is the registry of the counters of calls, if set.
	Metrics metrics.Registry
}

// Client calls the platform.
type Client struct {
	config  Config
	http    *http.Client
	breaker *breaker
}

// New returns a client and its clean-up function, which closes idle connections.
func New(c Config) (*Client, func()) {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.Attempts == 0 {
		c.Attempts = defaultAttempts
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	transport := &http.Transport{DialContext: c.Dial, MaxIdleConnsPerHost: idleConnsPerHost}
	client := &Client{
		config:  c,
		http:    &http.Client{Transport: transport},
		breaker: &breaker{threshold: breakerThreshold, coolDown: breakerCoolDown},
	}
	return client, transport.CloseIdleConnections
}

// Get returns the named object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	o := Object{Kind: kind, Name: name}
	err := c.retry(ctx, func() error {
		body, header, err := c.call(ctx, "get", http.MethodGet, objectPath(kind, name), nil, nil)
		if err != nil {
			return err
		}
		o.Value = body
		o.Version, err = versionOf(header)
		return err
	})
	return o, err
}

// Create writes a new object and returns its version. An existing object gives ErrConflict.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (int64, error) {
	return c.put(ctx, "create", kind, name, value, http.Header{"If-None-Match": {"*"}})
}

// Update writes an object and returns its new version. A version other than the given one gives ErrConflict.
func (c *Client) Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error) {
	return c.put(ctx, "update", kind, name, value, http.Header{"If-Match": {etag(version)}})
}

// Delete removes an object. A version other than the given one gives ErrConflict; zero matches any version.
func (c *Client) Delete(ctx context.Context, kind, name string, version int64) error {
	h := http.Header{}
	if version != 0 {
		h.Set("If-Match", etag(version))
	}
	_, _, err := c.call(ctx, "delete", http.MethodDelete, objectPath(kind, name), nil, h)
	return err
}

// List returns all objects of a kind whose names start with prefix.
func (c *Client) List(ctx context.Context, kind, prefix string) (List, error) {
	var l List
	path := "/objects/" + url.PathEscape(kind) + "?prefix=" + url.QueryEscape(prefix)
	err := c.read(ctx, "list", path, &l)
	return l, err
}

// VMs returns the platform's list of live and leaving VMs, which may be out of date.
func (c *Client) VMs(ctx context.Context) (gladeapi.VMList, error) {
	var l gladeapi.VMList
	err := c.read(ctx, "vms", "/vms", &l)
	return l, err
}

// Available reports whether the circuit breaker is closed, which needs fewer than five failed calls in a row.
func (c *Client) Available() bool {
	return !c.breaker.isOpen()
}

func (c *Client) read(ctx context.Context, operation, path string, v any) error {
	return c.retry(ctx, func() error {
		body, _, err := c.call(ctx, operation, http.MethodGet, path, nil, nil)
		if err != nil {
			return err
		}
		return eris.Wrapf(json.Unmarshal(body, v), "platform response to GET %s", path)
	})
}

func (c *Client) put(ctx context.Context, operation, kind, name string, value []byte, h http.Header) (int64, error) {
	if len(value) > MaxObjectBytes {
		return 0, eris.Wrapf(ErrTooLarge, "%s/%s has %d bytes", kind, name, len(value))
	}
	_, header, err := c.call(ctx, operation, http.MethodPut, objectPath(kind, name), value, h)
	if err != nil {
		return 0, err
	}
	return versionOf(header)
}

func (c *Client) call(ctx context.Context, operation, method, path string, body []byte, h http.Header) ([]byte, http.Header, error) {
	if !c.breaker.allow() {
		return nil, nil, notSent(method + " " + path)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	request, err := c.request(callCtx, method, path, body, h)
	if err != nil {
		return nil, nil, err
	}
	c.count(operation)
	c.countBytes("sent", len(body))
	answer, response, err := c.send(request)
	if err == nil {
		err = statusError(response.StatusCode, method, path)
	}
	c.record(errors.Is(err, ErrUnavailable) && ctx.Err() == nil)
	if err != nil {
		c.count("errors")
		return nil, nil, err
	}
	return answer, response.Header, nil
}

func (c *Client) request(ctx context.Context, method, path string, body []byte, h http.Header) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.config.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "platform request")
	}
	for name, values := range h {
		request.Header[name] = values
	}
	if c.config.FailureDomain != "" {
		request.Header.Set(HeaderFailureDomain, c.config.FailureDomain)
	}
	return request, nil
}

func (c *Client) send(request *http.Request) ([]byte, *http.Response, error) {
	target := request.Method + " " + request.URL.Path
	response, err := gladestatus.Do(c.http, request)
	if err != nil {
		return nil, nil, eris.Wrapf(ErrUnavailable, "%s: %v", target, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, eris.Wrapf(ErrUnavailable, "%s: %v", target, err)
	}
	c.countBytes("received", len(body))
	return body, response, nil
}

func (c *Client) record(failed bool) {
	if c.breaker.record(failed) {
		c.count("outages")
	}
}

func (c *Client) count(counter string) {
	metrics.GetOrRegisterCounter("platform."+counter, c.config.Metrics).Inc(1)
}

func (c *Client) countBytes(direction string, n int) {
	metrics.GetOrRegisterCounter("platform.bytes."+direction, c.config.Metrics).Inc(int64(n))
}

func notSent(request string) error {
	return fmt.Errorf("%s: %w: %w", request, ErrUnavailable, ErrNotSent)
}

func statusError(status int, method, path string) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return eris.Wrap(ErrNotFound, path)
	case status == http.StatusPreconditionFailed || status == http.StatusConflict:
		return eris.Wrap(ErrConflict, path)
	case status == http.StatusTooManyRequests:
		return eris.Wrap(ErrRateLimited, path)
	case status == http.StatusRequestEntityTooLarge:
		return eris.Wrap(ErrTooLarge, path)
	}
	return eris.Wrapf(ErrUnavailable, "%s %s: status %d", method, path, status)
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func etag(version int64) string {
	return fmt.Sprintf("%q", strconv.FormatInt(version, 10))
}

func versionOf(h http.Header) (int64, error) {
	v, err := strconv.ParseInt(strings.Trim(h.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return 0, eris.Wrap(err, "platform response without a valid ETag")
	}
	return v, nil
}
