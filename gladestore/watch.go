package gladestore

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// The errors that end a watch; after each of them the objects must be listed again.
var (
	ErrCompacted = eris.New("watch version compacted")
	ErrSkipped   = eris.New("watch skipped a change")
	ErrWatchCut  = eris.New("watch cut")
)

// Event is one line of a watch: a change, or a bookmark if Object has no name.
type Event struct {
	// Version is the store's version after the change.
	Version int64 `json:"version"`
	// Previous is the version of the change of the same kind before, zero if the platform does not tell.
	Previous int64  `json:"previous,omitempty"`
	Object   Object `json:"object,omitzero"`
	Deleted  bool   `json:"deleted,omitempty"`
}

const (
	maxLineBytes   = 2 * MaxObjectBytes
	firstLineBytes = 4 << 10
	watchSilence   = 15 * time.Second
)

// Watch calls f for each change of a kind after version until the watch ends, which is always an error.
func (c *Client) Watch(ctx context.Context, kind string, version int64, f func(Event) error) error {
	if !c.outage.allow() {
		return notSent("watch " + kind)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(c.config.Timeout, cancel)
	defer silence.Stop()
	response, err := c.openWatch(ctx, kind, version)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	silence.Reset(watchSilence)
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, firstLineBytes), maxLineBytes)
	for scanner.Scan() {
		silence.Reset(watchSilence)
		c.countBytes("received", len(scanner.Bytes()))
		if version, err = c.deliver(scanner.Bytes(), version, f); err != nil {
			return err
		}
	}
	return eris.Wrapf(ErrWatchCut, "%s after version %d", kind, version)
}

func (c *Client) openWatch(ctx context.Context, kind string, version int64) (*http.Response, error) {
	path := "/objects/" + url.PathEscape(kind) + "?watch=true&from=" + strconv.FormatInt(version, 10)
	request, err := c.request(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	c.count("watch")
	response, err := c.http.Do(request)
	c.observe(err != nil)
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "watch %s: %v", kind, err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusGone {
		return nil, eris.Wrapf(ErrCompacted, "%s from version %d", kind, version)
	}
	return nil, statusError(response.StatusCode, http.MethodGet, path)
}

// deliver hands on one line and returns the version reached; lines that go back are dropped and counted.
func (c *Client) deliver(line []byte, version int64, f func(Event) error) (int64, error) {
	var e Event
	if err := json.Unmarshal(line, &e); err != nil {
		return version, eris.Wrapf(ErrWatchCut, "line: %v", err)
	}
	if e.Previous > version {
		return version, eris.Wrapf(ErrSkipped, "change %d is missing before %d", e.Previous, e.Version)
	}
	if e.Version <= version {
		if e.Object.Name != "" {
			c.count("watchBackwards")
		}
		return version, nil
	}
	return e.Version, f(e)
}

// Follower receives the objects of one kind; versions never go back.
type Follower struct {
	Kind   string
	Prefix string
	// OnList receives all objects, at first and after each break of the watch.
	OnList func(List) error
	// OnEvent receives each change after the last list.
	OnEvent func(Event) error
	// OnBreak is told why the list or watch ended, if set.
	OnBreak func(error)
	// Relist is the longest time without a list, against changes that a watch never tells; zero means 1 min.
	Relist time.Duration
}

const defaultRelist = time.Minute

// Follow lists and watches until ctx is done, listing again whenever the watch ends.
func (c *Client) Follow(ctx context.Context, f Follower) {
	var backoff Backoff
	var version int64
	for ctx.Err() == nil {
		reached, err := c.followOnce(ctx, &f, version)
		if reached > version {
			version = reached
			backoff.Reset()
		}
		if f.OnBreak != nil && ctx.Err() == nil {
			f.OnBreak(err)
		}
		if !backoff.Wait(ctx) {
			return
		}
	}
}

func (c *Client) followOnce(ctx context.Context, f *Follower, version int64) (int64, error) {
	list, err := c.List(ctx, f.Kind, f.Prefix)
	if err != nil {
		return version, err
	}
	if list.Version < version {
		c.count("staleLists")
		return version, eris.Wrapf(ErrUnavailable, "list of %s is stale: version %d after %d", f.Kind, list.Version, version)
	}
	if err := f.OnList(list); err != nil {
		return version, err
	}
	version = list.Version
	ctx, cancel := context.WithTimeout(ctx, orDuration(f.Relist, defaultRelist))
	defer cancel()
	err = c.Watch(ctx, f.Kind, version, func(e Event) error {
		version = e.Version
		if e.Object.Name == "" {
			return nil
		}
		return f.OnEvent(e)
	})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return version, ctx.Err()
	}
	return version, err
}
