package gladestore

import (
	"context"
	"errors"
)

// CreateOnce creates an object and settles a lost answer by reading the object back.
//
// The function mine tells whether a value is the one that this caller wrote, by its nonce.
// With ErrConflict the returned object is the one that another caller created.
func (c *Client) CreateOnce(ctx context.Context, kind, name string, value []byte, mine func([]byte) bool) (Object, error) {
	write := func() (int64, error) { return c.Create(ctx, kind, name, value) }
	return c.once(ctx, Object{Kind: kind, Name: name, Value: value}, write, mine)
}

// UpdateOnce is CreateOnce for an update of the given version.
func (c *Client) UpdateOnce(ctx context.Context, kind, name string, value []byte, version int64, mine func([]byte) bool) (Object, error) {
	write := func() (int64, error) { return c.Update(ctx, kind, name, value, version) }
	return c.once(ctx, Object{Kind: kind, Name: name, Value: value}, write, mine)
}

// once writes and reads back until it knows whose write took effect or gives up with ErrUnavailable.
func (c *Client) once(ctx context.Context, o Object, write func() (int64, error), mine func([]byte) bool) (Object, error) {
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
		if readErr == nil && mine(found.Value) {
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
