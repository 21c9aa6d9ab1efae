package gladeorder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

// Errors that Client.Send wraps.
var (
	// ErrFenced means that the engine has seen a higher fencing number.
	ErrFenced = eris.New("order refused: old fencing number")
	// ErrRefused means that the engine refused the order for another reason.
	ErrRefused = eris.New("order refused")
	// ErrNoAnswer means that no response arrived; the engine may still have executed the order.
	ErrNoAnswer = eris.New("no answer to order")
)

// Kind is the operation that an order requests.
type Kind string

// The kinds of order. Each value is also the last element of the engine's request path.
const (
	LoadModel     Kind = "load_model"
	UnloadModel   Kind = "unload_model"
	LoadAdapter   Kind = "load_lora_adapter"
	UnloadAdapter Kind = "unload_lora_adapter"
)

// Order tells an engine to load or unload weights. It is idempotent: an order that is already fulfilled changes nothing.
type Order struct {
	Kind    Kind
	Model   string
	Version string
	// Adapter is the adapter's name and version in the form of gladeapi.Target; it is empty for a model version.
	Adapter string
	Weights string
}

// String returns the kind and the target of the order, as shown in logs and reports.
func (o Order) String() string {
	if o.Adapter != "" {
		return string(o.Kind) + " " + o.Model + "+" + o.Adapter
	}
	return string(o.Kind) + " " + o.Model + "@" + o.Version
}

// ModelOrder is the body of /v1/load_model and /v1/unload_model.
type ModelOrder struct {
	Model         string `json:"model"`
	Version       string `json:"version"`
	Weights       string `json:"weights,omitempty"`
	FencingNumber int64  `json:"fencingNumber"`
}

// AdapterOrder is the body of /v1/load_lora_adapter and /v1/unload_lora_adapter.
type AdapterOrder struct {
	Name          string `json:"lora_name"`
	Path          string `json:"lora_path,omitempty"`
	Base          string `json:"base_model_name"`
	FencingNumber int64  `json:"fencingNumber"`
}

// Client sends orders to engines.
type Client struct {
	http *http.Client
}

// NewClient returns a client and its clean-up function. If dial is set, it replaces the default dialer.
func NewClient(dial gladeapi.Dial) (*Client, func()) {
	transport := &http.Transport{DialContext: dial}
	return &Client{http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Send sends an order with a fencing number to an engine and waits for its response.
// The error wraps ErrFenced, ErrRefused or ErrNoAnswer if the engine did not confirm the order.
func (c *Client) Send(ctx context.Context, b gladeapi.BackendServer, o Order, fencingNumber int64) error {
	var body any = ModelOrder{Model: o.Model, Version: o.Version, Weights: o.Weights, FencingNumber: fencingNumber}
	if o.Adapter != "" {
		body = AdapterOrder{Name: o.Adapter, Path: o.Weights, Base: o.Model, FencingNumber: fencingNumber}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Address+"/v1/"+string(o.Kind), bytes.NewReader(raw))
	if err != nil {
		return eris.Wrap(err, "order")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := gladestatus.Do(c.http, request)
	if err != nil {
		return eris.Wrapf(ErrNoAnswer, "%s at %s: %v", o, b.ID, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return eris.Wrapf(ErrFenced, "%s at %s: %s", o, b.ID, text)
	}
	return eris.Wrapf(ErrRefused, "%s at %s: status %d: %s", o, b.ID, response.StatusCode, text)
}
