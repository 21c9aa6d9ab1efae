package gladeage

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// maxPending is the largest number of confirmations kept of versions that are not in force yet.
const maxPending = 64

// warnShare is the share of the bound from which an age is logged.
const warnShare = 0.75

// Config configures a Tracker.
type Config struct {
	// Bound is the time within which a release must be in force; zero logs nothing.
	Bound time.Duration
	Log   hclog.Logger
}

// Tracker holds what a VM knows of the age of its release. Its methods may be called concurrently.
type Tracker struct {
	config Config

	mu sync.Mutex
	// version is the version in force, zero for none, and newest the newest version known.
	version, newest int64
	// confirmedAt is the last time at which the version in force was the newest.
	// behindSince is when a newer version than the one in force was first known, zero for none.
	confirmedAt, behindSince time.Time
	// pending holds the confirmations of newer versions, in ascending order.
	pending []confirmation
	worst   time.Duration
	warned  bool
}

// confirmation says that a version was the newest at a time.
type confirmation struct {
	version int64
	at      time.Time
}

// State is the age of a release at a time.
type State struct {
	// Release is the version in force, zero for none, and Newest the newest version known.
	Release, Newest int64
	// Age is the time since the release was last known to be the newest, Worst the largest age so far.
	Age, Worst time.Duration
	// Behind is the time for which a newer version has been known, zero if none is.
	Behind time.Duration
}

// New returns a Tracker.
func New(c Config) *Tracker { return &Tracker{config: c} }

// Confirm records that a version was the newest in the store at a time.
func (t *Tracker) Confirm(version int64, at, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learn(version, now)
	switch last := len(t.pending) - 1; {
	case version < t.version || version == 0:
	case version == t.version:
		t.confirm(at)
	case last >= 0 && t.pending[last].version == version:
		t.pending[last].at = later(t.pending[last].at, at)
	case last < 0 || t.pending[last].version < version:
		if len(t.pending) == maxPending {
			t.pending = t.pending[1:]
		}
		t.pending = append(t.pending, confirmation{version, at})
	}
}

// Learn records that a version exists.
func (t *Tracker) Learn(version int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learn(version, now)
}

func (t *Tracker) learn(version int64, now time.Time) {
	t.newest = max(t.newest, version)
	if t.newest > t.version && t.behindSince.IsZero() {
		t.behindSince = now
	}
}

// Apply records that a version has been put in force.
func (t *Tracker) Apply(version int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version <= t.version {
		return
	}
	t.version = version
	if t.confirmedAt.IsZero() {
		t.confirmedAt = now // before the first release there is no age
	}
	for len(t.pending) > 0 && t.pending[0].version <= version {
		t.confirm(t.pending[0].at)
		t.pending = t.pending[1:]
	}
	t.behindSince = time.Time{}
	t.learn(version, now)
}

func (t *Tracker) confirm(at time.Time) { t.confirmedAt = later(t.confirmedAt, at) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// State returns the age at a time.
func (t *Tracker) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(now)
}

func (t *Tracker) state(now time.Time) State {
	s := State{Release: t.version, Newest: t.newest}
	if !t.confirmedAt.IsZero() {
		s.Age = max(0, now.Sub(t.confirmedAt))
	}
	if !t.behindSince.IsZero() {
		s.Behind = max(0, now.Sub(t.behindSince))
	}
	t.worst = max(t.worst, s.Age)
	s.Worst = t.worst
	return s
}

// Check logs when the age nears the bound and when that is over, once each, with the values that details returns.
func (t *Tracker) Check(now time.Time, details func() []any) {
	t.mu.Lock()
	s := t.state(now)
	old := t.config.Bound > 0 && float64(s.Age) >= warnShare*float64(t.config.Bound)
	changed := old != t.warned
	t.warned = old
	t.mu.Unlock()
	if !changed {
		return
	}
	values := append([]any{
		"release", s.Release, "newest", s.Newest, "ageMs", s.Age.Milliseconds(), "behindMs", s.Behind.Milliseconds(),
		"boundMs", t.config.Bound.Milliseconds(),
	}, details()...)
	if old {
		t.config.Log.Warn("Release may be out of date.", values...)
	} else {
		t.config.Log.Info("Release is known to be current.", values...)
	}
}
