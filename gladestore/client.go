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
)

// The errors of the platform; ErrUnavailable leaves open whether a write took effect.
var (
	ErrNotFound    = eris.New("object not found")
	ErrConflict    = eris.New("object version conflict")
	ErrUnavailable = eris.New("platform unavailable")
	ErrRateLimited = eris.New("platform rate limit")
	ErrTooLarge    = eris.New("object too large")
	// ErrNotSent comes with ErrUnavailable when the call was not sent at all.
	ErrNotSent = eris.New("platform call not sent")
)

// MaxObjectBytes is the largest value that the platform holds, in bytes.
const MaxObjectBytes = 1 << 20

// HeaderFailureDomain tells the platform where a call comes from.
const HeaderFailureDomain = "Glade-Failure-Domain"

const (
	defaultTimeout   = 2 * time.Second
	defaultAttempts  = 3
	outageThreshold  = 5
	outageCoolDown   = time.Second
	idleConnsPerHost = 16
	maxAnswerBytes   = 64 << 20
)

// Object is one versioned value.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// List is the objects of one kind at one version of the store.
type List struct {
	Version int64    `json:"version"`
	Objects []Object `json:"objects"`
}

// Config configures a Client.
type Config struct {
	// Address is the platform's base URL.
	Address string
	// Dial replaces the network, if set.
	Dial gladeapi.Dial
	// Timeout bounds each call but watches; zero means 2 s.
	Timeout time.Duration
	// Attempts bounds how often a read is tried; zero means 3.
	Attempts int
	// FailureDomain is sent along with each call, if set.
	FailureDomain string
	// Metrics receives the counters of calls, if set.
	Metrics metrics.Registry
}

// Client calls the platform.
type Client struct {
	config Config
	http   *http.Client
	outage *outage
}

// New returns a client and its clean-up function.
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
		config: c,
		http:   &http.Client{Transport: transport},
		outage: &outage{threshold: outageThreshold, coolDown: outageCoolDown},
	}
	return client, transport.CloseIdleConnections
}

// Get returns one object.
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

// Create writes an object that must not exist and returns its version.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (int64, error) {
	return c.put(ctx, "create", kind, name, value, http.Header{"If-None-Match": {"*"}})
}

// Update writes an object that must have the given version and returns the new one.
func (c *Client) Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error) {
	return c.put(ctx, "update", kind, name, value, http.Header{"If-Match": {etag(version)}})
}

// Delete removes an object that must have the given version; zero stands for any.
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

// VMs returns the platform's lagging list of live and leaving VMs.
func (c *Client) VMs(ctx context.Context) (gladeapi.VMList, error) {
	var l gladeapi.VMList
	err := c.read(ctx, "vms", "/vms", &l)
	return l, err
}

// Available reports whether the last calls got answers.
func (c *Client) Available() bool {
	return !c.outage.open()
}

func (c *Client) read(ctx context.Context, what, path string, v any) error {
	return c.retry(ctx, func() error {
		body, _, err := c.call(ctx, what, http.MethodGet, path, nil, nil)
		if err != nil {
			return err
		}
		return eris.Wrap(json.Unmarshal(body, v), "platform answer")
	})
}

func (c *Client) put(ctx context.Context, what, kind, name string, value []byte, h http.Header) (int64, error) {
	if len(value) > MaxObjectBytes {
		return 0, eris.Wrapf(ErrTooLarge, "%s/%s has %d bytes", kind, name, len(value))
	}
	_, header, err := c.call(ctx, what, http.MethodPut, objectPath(kind, name), value, h)
	if err != nil {
		return 0, err
	}
	return versionOf(header)
}

func (c *Client) call(ctx context.Context, what, method, path string, body []byte, h http.Header) ([]byte, http.Header, error) {
	if !c.outage.allow() {
		return nil, nil, notSent(method + " " + path)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	request, err := c.request(callCtx, method, path, body, h)
	if err != nil {
		return nil, nil, err
	}
	c.count(what)
	c.countBytes("sent", len(body))
	answer, response, err := c.exchange(request)
	if err == nil {
		err = statusError(response.StatusCode, method, path)
	}
	c.observe(errors.Is(err, ErrUnavailable) && ctx.Err() == nil)
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

func (c *Client) exchange(request *http.Request) ([]byte, *http.Response, error) {
	what := request.Method + " " + request.URL.Path
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, eris.Wrapf(ErrUnavailable, "%s: %v", what, err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, eris.Wrapf(ErrUnavailable, "%s: %v", what, err)
	}
	c.countBytes("received", len(answer))
	return answer, response, nil
}

func (c *Client) observe(failed bool) {
	if c.outage.observe(failed) {
		c.count("outages")
	}
}

func (c *Client) count(what string) {
	metrics.GetOrRegisterCounter("platform."+what, c.config.Metrics).Inc(1)
}

func (c *Client) countBytes(what string, n int) {
	metrics.GetOrRegisterCounter("platform.bytes."+what, c.config.Metrics).Inc(int64(n))
}

func notSent(what string) error {
	return fmt.Errorf("%s: %w: %w", what, ErrUnavailable, ErrNotSent)
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
		return 0, eris.Wrap(err, "platform answer without version")
	}
	return v, nil
}
