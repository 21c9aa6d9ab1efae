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

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

// Errors that end a watch. After each of them the objects must be listed again.
var (
	// ErrCompacted means that the platform no longer holds the changes after the requested version.
	ErrCompacted = eris.New("watch version compacted")
	// ErrChangeSkipped means that the watch left out a change.
	ErrChangeSkipped = eris.New("watch skipped a change")
	// ErrWatchEnded means that the connection ended or sent an invalid line.
	ErrWatchEnded = eris.New("watch cut")
)

// Event is one line of a watch. It is a bookmark if Object has no name, and otherwise a change.
type Event struct {
	// Version is the store's version after the change.
	Version int64 `json:"version"`
	// Previous is the version of the preceding change of the same kind, or zero if the platform does not send it.
	Previous int64  `json:"previous,omitempty"`
	Object   Object `json:"object,omitzero"`
	Deleted  bool   `json:"deleted,omitempty"`
}

const (
	maxLineBytes     = 2 * MaxObjectBytes
	initialLineBytes = 4 << 10
	// watchIdleTimeout bounds the time between two lines of a watch.
	watchIdleTimeout = 15 * time.Second
)

// Watch calls f for each change and bookmark of a kind after version until the watch ends.
//
// It always returns an error, including that of f. If no line arrives for 15 s, the watch ends with ErrWatchEnded.
func (c *Client) Watch(ctx context.Context, kind string, version int64, f func(Event) error) error {
	if !c.breaker.allow() {
		return notSent("watch " + kind)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(c.config.Timeout, cancel)
	defer idleTimer.Stop()
	response, err := c.openWatch(ctx, kind, version)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	idleTimer.Reset(watchIdleTimeout)
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	for scanner.Scan() {
		idleTimer.Reset(watchIdleTimeout)
		c.countBytes("received", len(scanner.Bytes()))
		if version, err = c.handleLine(scanner.Bytes(), version, f); err != nil {
			return err
		}
	}
	return eris.Wrapf(ErrWatchEnded, "%s after version %d", kind, version)
}

func (c *Client) openWatch(ctx context.Context, kind string, version int64) (*http.Response, error) {
	path := "/objects/" + url.PathEscape(kind) + "?watch=true&from=" + strconv.FormatInt(version, 10)
	request, err := c.request(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	c.count("watch")
	response, err := gladestatus.Do(c.http, request)
	c.record(err != nil)
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "watch %s: %v", kind, err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	_ = response.Body.Close()
	switch status := response.StatusCode; {
	case status == http.StatusGone:
		return nil, eris.Wrapf(ErrCompacted, "%s from version %d", kind, version)
	case status < http.StatusMultipleChoices: // a success without the lines of a watch
		return nil, eris.Wrapf(ErrUnavailable, "watch %s: status %d", kind, status)
	default:
		return nil, statusError(status, http.MethodGet, path)
	}
}

// handleLine passes the event on a line to f and returns the new version. Events that are not newer than version
// are dropped, and changes among them are counted.
func (c *Client) handleLine(line []byte, version int64, f func(Event) error) (int64, error) {
	var e Event
	if err := json.Unmarshal(line, &e); err != nil {
		return version, eris.Wrapf(ErrWatchEnded, "invalid line: %v", err)
	}
	if e.Previous > version {
		return version, eris.Wrapf(ErrChangeSkipped, "change %d is missing before %d", e.Previous, e.Version)
	}
	if e.Version <= version {
		if e.Object.Name != "" {
			c.count("watchBackwards")
		}
		return version, nil
	}
	return e.Version, f(e)
}

// Follower receives the objects of one kind from Follow. Versions never decrease.
type Follower struct {
	Kind string
	// Prefix restricts the lists to names that start with it, but not the events.
	Prefix string
	// OnList is called with all objects at the start and after each end of the watch.
	OnList func(List) error
	// OnEvent is called with each change after the last list.
	OnEvent func(Event) error
	// OnError, if set, is called with the error that ended the list or watch.
	OnError func(error)
	// RelistInterval bounds the time between lists, because a watch may leave out changes without an error. Zero
	// means 1 min.
	RelistInterval time.Duration
}

const defaultRelistInterval = time.Minute

// Follow lists and watches the objects of a kind until ctx is done. It lists again whenever the watch ends.
func (c *Client) Follow(ctx context.Context, f Follower) {
	var backoff Backoff
	var version int64
	for ctx.Err() == nil {
		reached, err := c.followOnce(ctx, &f, version)
		if reached > version {
			version = reached
			backoff.Reset()
		}
		if f.OnError != nil && ctx.Err() == nil {
			f.OnError(err)
		}
		if !backoff.Wait(ctx) {
			return
		}
	}
}

// followOnce lists and then watches until the watch ends or the relist interval is over.
// It returns the last version delivered.
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
	ctx, cancel := context.WithTimeout(ctx, orDuration(f.RelistInterval, defaultRelistInterval))
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
