package gladestore

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Backoff yields growing, jittered waits between attempts; its zero value is ready to use.
type Backoff struct {
	// First and Max bound the waits; zero means 50 ms and 2 s.
	First time.Duration
	Max   time.Duration

	next time.Duration
}

// Wait sleeps for the next wait and reports whether ctx is still live.
func (b *Backoff) Wait(ctx context.Context) bool {
	timer := time.NewTimer(b.Next())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Next returns the next wait, between half and all of the current bound.
func (b *Backoff) Next() time.Duration {
	if b.next == 0 {
		b.next = orDuration(b.First, firstBackoff)
	}
	wait := b.next/2 + rand.N(b.next/2+1)
	b.next = min(2*b.next, orDuration(b.Max, maxBackoff))
	return wait
}

// Reset starts again from the shortest wait.
func (b *Backoff) Reset() {
	b.next = 0
}

func orDuration(d, or time.Duration) time.Duration {
	if d == 0 {
		return or
	}
	return d
}

// transient reports whether a read with this error is worth another attempt.
func transient(err error) bool {
	if errors.Is(err, ErrNotSent) {
		return false
	}
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited)
}

// retry makes a read up to the configured number of times.
func (c *Client) retry(ctx context.Context, read func() error) error {
	var backoff Backoff
	for attempt := 1; ; attempt++ {
		err := read()
		if err == nil || !transient(err) || attempt == c.config.Attempts {
			return err
		}
		if !backoff.Wait(ctx) {
			return err
		}
		c.count("retries")
	}
}
