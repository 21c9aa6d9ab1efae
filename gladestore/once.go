package gladestore

import (
	"context"
	"errors"
)

// CreateOnce creates an object and, if the response is lost, reads the object back.
//
// The function isOwn reports whether a value was written by this caller, for example by its nonce.
// With ErrConflict, CreateOnce returns the object that another caller created.
func (c *Client) CreateOnce(ctx context.Context, kind, name string, value []byte, isOwn func([]byte) bool) (Object, error) {
	write := func() (int64, error) { return c.Create(ctx, kind, name, value) }
	return c.writeOnce(ctx, Object{Kind: kind, Name: name, Value: value}, write, isOwn)
}

// UpdateOnce updates an object of the given version and otherwise behaves like CreateOnce.
func (c *Client) UpdateOnce(ctx context.Context, kind, name string, value []byte, version int64, isOwn func([]byte) bool) (Object, error) {
	write := func() (int64, error) { return c.Update(ctx, kind, name, value, version) }
	return c.writeOnce(ctx, Object{Kind: kind, Name: name, Value: value}, write, isOwn)
}

// writeOnce writes and reads back until it knows whose write took effect or has used all attempts.
func (c *Client) writeOnce(ctx context.Context, o Object, write func() (int64, error), isOwn func([]byte) bool) (Object, error) {
	var backoff Backoff
	for attempt := 1; ; attempt++ {
		version, err := write()
		if err == nil {
			o.Version = version
			return o, nil
		}
		if !transient(err) && !errors.Is(err, ErrConflict) {
			return Object{}, err
		}
		found, readErr := c.Get(ctx, o.Kind, o.Name)
		if readErr == nil && isOwn(found.Value) {
			c.count("lostAnswers")
			return found, nil
		}
		if errors.Is(err, ErrConflict) && readErr == nil {
			return found, err
		}
		if attempt == c.config.Attempts || !backoff.Wait(ctx) {
			return Object{}, err
		}
		c.count("retries")
	}
}
