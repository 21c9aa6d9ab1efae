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

// Backoff provides exponential, jittered waits between attempts. Its zero value is ready to use.
type Backoff struct {
	// First bounds the first wait. Zero means 50 ms.
	First time.Duration
	// Max bounds all waits. Zero means 2 s.
	Max time.Duration

	next time.Duration
}

// Wait sleeps for the next wait. It returns false at once if ctx is done.
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

// Next returns the next wait, which is random between half the current bound and the bound.
func (b *Backoff) Next() time.Duration {
	if b.next == 0 {
		b.next = orDuration(b.First, firstBackoff)
	}
	wait := b.next/2 + rand.N(b.next/2+1)
	b.next = min(2*b.next, orDuration(b.Max, maxBackoff))
	return wait
}

// Reset makes the next wait the shortest again.
func (b *Backoff) Reset() {
	b.next = 0
}

func orDuration(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// transient reports whether another attempt may succeed. Calls refused by the circuit breaker are not retried.
func transient(err error) bool {
	if errors.Is(err, ErrNotSent) {
		return false
	}
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited)
}

// retry repeats a read on transient errors, up to the configured number of attempts.
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
