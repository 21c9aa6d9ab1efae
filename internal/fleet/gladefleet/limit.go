package gladefleet

import (
	"slices"
	"time"
)

// returnTime is the time over which a server gets its usual share again after its limit has ended.
const returnTime = 3 * time.Second

// SetLimited records that a server has begun or ceased to name a limit.
func (t *Table) SetLimited(id string, limited bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil {
		return
	}
	if e.limited && !limited {
		e.returningSince = now
	}
	e.limited, e.exhaustedUntil = limited, time.Time{}
}

// MarkExhausted records that the limit of a server leaves no room until a time.
func (t *Table) MarkExhausted(id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		e.exhaustedUntil = until
	}
}

// passedOver reports whether a server is left to other requests, because of its limit or because that has just ended. After
// the end its share grows, since all VMs learn of the end together.
func (t *Table) passedOver(e *entry, n Requirements, now time.Time) bool {
	if e.limited {
		return n.Unlimited
	}
	since := now.Sub(e.returningSince)
	return !e.returningSince.IsZero() && since < returnTime && t.config.Random() > since.Seconds()/returnTime.Seconds()
}

// OnlyExhausted reports whether the limits of the healthy servers of a service leave no room, of all of them.
func (t *Table) OnlyExhausted(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	full := false
	for _, e := range t.services[service] {
		switch rank, ok := t.healthRank(e, now); {
		case ok && rank < exhausted:
			return false
		case ok && rank == exhausted:
			full = true
		}
	}
	return full
}

// Server returns a known server.
func (t *Table) Server(id string) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		return e.Server, true
	}
	return Server{}, false
}

// ServerAt returns the server that has an address now.
func (t *Table) ServerAt(address string) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.servers {
		if e.Address == address && !e.replaced && !e.unlisted {
			return e.Server, true
		}
	}
	return Server{}, false
}

// Usable reports whether a server may get new requests.
func (t *Table) Usable(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	return e != nil && e.inService(now)
}

// BackoffError reports that the servers that could take a request have asked for a backoff. It wraps ErrNoServer.
type BackoffError struct {
	// Until is the end of the first backoff.
	Until time.Time
}

// Error returns the reason.
func (*BackoffError) Error() string { return "all backend servers have asked for a backoff" }

// Unwrap returns ErrNoServer.
func (*BackoffError) Unwrap() error { return ErrNoServer }

// backoffSpread is the largest part of a backoff by which it is extended at random, so that VMs do not return together.
const backoffSpread = 0.1

// BackOff keeps this VM's requests away from a server for some time. Its share grows afterwards, as after a limit. It returns whether
// a new backoff has begun.
func (t *Table) BackOff(id string, started int64, lasts time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	until := now.Add(lasts)
	if e == nil || e.Started > started || !until.After(e.backoffUntil) {
		return false
	}
	fresh := !now.Before(e.backoffUntil)
	e.backoffUntil = until.Add(time.Duration(backoffSpread * t.config.Random() * float64(lasts)))
	e.returningSince = e.backoffUntil
	return fresh
}

// BackoffUntil returns the end of a server's backoff, zero if it is in none.
func (t *Table) BackoffUntil(id string, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil && now.Before(e.backoffUntil) {
		return e.backoffUntil
	}
	return time.Time{}
}

// BackoffEnd returns the end of the first backoff of a service's servers, zero unless all of those that are up are in one.
func (t *Table) BackoffEnd(service string, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.services[service] {
		if e.eligible(now) && !e.failed {
			return time.Time{}
		}
	}
	return t.firstBackoffEnd(Requirements{Service: service}, now)
}

// firstBackoffEnd returns the end of the first backoff of the servers for a request, zero if none is in one.
func (t *Table) firstBackoffEnd(n Requirements, now time.Time) time.Time {
	var first time.Time
	for _, e := range t.services[n.Service] {
		if e.inService(now) && now.Before(e.backoffUntil) && !e.failed && !slices.Contains(n.Avoid, e.ID) && n.Versions.Permits(e.Version) &&
			(first.IsZero() || e.backoffUntil.Before(first)) {
			first = e.backoffUntil
		}
	}
	return first
}
