package gladefront

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladefeed"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladeprogress"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladeview"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

const (
	// minWatchWait is the shortest time that a watch waits for a change, even if the settings' bounds are shorter.
	minWatchWait = 500 * time.Millisecond
	// watchLossMargin is subtracted from the bounds on releases and leaving servers to get the wait of a watch.  It covers
	// watchSlack, a new list and the distribution to the other VMs after a watch has stopped receiving.
	watchLossMargin = 1100 * time.Millisecond
	// watchSlack is added to a watch's wait for its answer to arrive; a slow store needs 250 ms.
	watchSlack = 400 * time.Millisecond
	// readerCheckInterval is how often a VM checks whether it has to read the servers from the store itself.
	readerCheckInterval = 100 * time.Millisecond
	// takeoverPause is the time between the two looks after which a VM begins to read the store.
	takeoverPause = 20 * time.Millisecond
	// callTimeout bounds a call to the store or a peer, beyond any wait that the call asks for; answers take milliseconds.  Of a list of the
	// store it bounds the pauses in which nothing arrives.
	callTimeout = 700 * time.Millisecond
	// maxFirstWait is the longest time until the answer to a list begins if the store answers no other call.
	maxFirstWait = 5 * time.Second
	// answerTime is how long an answer of the store may arrive; it doubles while that is too short.
	answerTime = 20 * time.Second
	// lapsedServerGrace is the extra time for which servers are kept whose entries may have expired during a store outage:
	// their entries may be written again after the outage.
	lapsedServerGrace = 1500 * time.Millisecond
)

// entry is a decoded object of the store, or the error of decoding it.
type entry[T any] struct {
	value T
	err   error
}

// openStore prepares the calls to the platform's store.
func (f *Front) openStore() {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleStoreConns, MaxResponseHeaderBytes: maxResponseHeaderBytes}
	f.cleanup(transport.CloseIdleConnections)
	f.store = &gladeplatform.Store{Address: f.config.Settings.StoreAddress, Client: &http.Client{Transport: &gladeprogress.Transport{Base: transport}}}
	f.releases = followConfig(f, gladeplatform.KindConfig, f.watchWait(), decodeRelease, f.onReleases, f.onReleaseChanges, f.confirmRelease)
}

// startFollowing starts the task that keeps the release and the backend servers up to date.
func (f *Front) startFollowing() {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { f.readForDomain(ctx) })
	f.cleanup(func() {
		cancel()
		tasks.Wait()
	})
}

// watchWait returns how long a watch waits for a change.  It is short enough that a watch that has stopped receiving is
// detected within the bounds on releases and leaving servers.
func (f *Front) watchWait() time.Duration {
	s := f.config.Settings
	return max(minWatchWait, min(s.ReleaseBound, s.DrainBound)-watchLossMargin)
}

// readForDomain follows the release and the servers in the store while this VM is the reader of its failure domain.
func (f *Front) readForDomain(ctx context.Context) {
	servers := followConfig(f, gladeplatform.KindServers, f.watchWait(), f.decodeServer, f.onServers, f.onServerChanges, f.recordStoreReached)
	var start sync.WaitGroup
	defer start.Wait()
	released := f.readAtStart(ctx, &start, servers.List)
	for ctx.Err() == nil {
		if !shouldTakeOver(ctx, func() bool { return f.feed.ShouldRead(false, time.Now()) }) {
			select {
			case <-ctx.Done():
			case <-time.After(readerCheckInterval):
			}
			continue
		}
		f.log.Info("Reading the store for the failure domain.", "rank", f.rank(), "linkRate", f.config.Settings.LinkRate)
		f.setReading(true)
		reading, cancel := context.WithCancel(ctx)
		var tasks sync.WaitGroup
		tasks.Go(func() { gladeview.Follow(reading, servers) })
		tasks.Go(func() {
			select {
			case <-released: // two lists of a large release at once would each take twice as long
				gladeview.Follow(reading, f.releases)
			case <-reading.Done():
			}
		})
		if f.rollouts != nil {
			tasks.Go(func() { gladeview.Follow(reading, f.rollouts.follow) })
		}
		tasks.Go(func() { f.checkStoreConnection(reading) })
		for reading.Err() == nil && f.feed.ShouldRead(true, time.Now()) {
			select {
			case <-reading.Done():
			case <-time.After(readerCheckInterval):
			}
		}
		cancel()
		tasks.Wait()
		f.setReading(false)
		f.log.Info("Another VM reads the store for the failure domain.")
	}
}

// shouldTakeOver reports whether a VM should read the store, if a second look after a pause in which this process ran confirms it.  After a
// standstill the first look may come before the messages that the reader has sent meanwhile are received.
func shouldTakeOver(ctx context.Context, shouldRead func() bool) bool {
	for shouldRead() {
		began := time.Now()
		select {
		case <-ctx.Done():
			return false
		case <-time.After(takeoverPause):
		}
		if time.Since(began) < 2*takeoverPause {
			return shouldRead()
		}
	}
	return false
}

// announceState tells the failure domain at once whether this VM reads the store.
func (f *Front) announceState() {
	if u, ok := f.readState(); ok {
		f.feed.Publish(u)
	}
}

func (f *Front) setReading(reading bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reading, f.storeRefused = reading, false
	clear(f.unreachable)
	if f.rollouts != nil {
		f.rollouts.followed.Store(false)
	}
}

func decodeRelease(o gladeplatform.Object) (*gladerelease.Release, error) {
	return gladeplatform.DecodeRelease(o.Spec)
}

// followConfig returns the configuration of a Follow of one kind over the platform's store.
func followConfig[T any](
	f *Front, kind string, wait time.Duration, decode func(gladeplatform.Object) (T, error),
	onList func([]gladeview.Item[entry[T]], int64), onChanges func([]gladeview.Change[entry[T]], int64), onCurrent func(),
) gladeview.FollowConfig[entry[T]] {
	item := func(o gladeplatform.Object) gladeview.Item[entry[T]] {
		v, err := decode(o)
		return gladeview.Item[entry[T]]{Name: o.Meta.Name, Value: entry[T]{value: v, err: err}}
	}
	return gladeview.FollowConfig[entry[T]]{
		List: func(ctx context.Context) ([]gladeview.Item[entry[T]], int64, error) {
			var items []gladeview.Item[entry[T]]
			revision := int64(0)
			for after := ""; ; {
				p, err := f.listPage(ctx, kind, after)
				if err != nil {
					return nil, 0, err
				}
				if after == "" {
					revision = p.Revision // the watch repeats what changes until the last page; later it would miss changes of the first
				}
				for _, o := range p.Items {
					items = append(items, item(o))
					after = o.Meta.Name
				}
				if !p.More || len(p.Items) == 0 {
					return items, revision, nil
				}
			}
		},
		Watch: func(ctx context.Context, revision int64) ([]gladeview.Change[entry[T]], int64, error) {
			call := "watch " + kind
			limits := f.watchLimits(call, wait)
			ctx, cancel := gladeprogress.WithLimits(ctx, limits)
			defer cancel()
			f.countStoreCall(ctx, "watch", kind)
			began := time.Now()
			c, err := f.store.Watch(ctx, kind, revision, wait)
			f.widening.Record(call, began, err)
			switch {
			case errors.Is(err, gladeview.ErrHistoryGone):
				f.log.Warn("The store has lost its history; listing anew.", "kind", kind, "revision", revision)
			case errors.Is(err, gladeview.ErrTooManyChanges):
				f.log.Warn("The changes do not fit into an answer; listing anew.", "kind", kind, "revision", revision, "reason", err)
			}
			changes := make([]gladeview.Change[entry[T]], 0, len(c.Events))
			for _, e := range c.Events {
				changes = append(changes, gladeview.Change[entry[T]]{Item: item(e.Object), Deleted: e.Deleted})
			}
			return changes, c.Revision, err
		},
		OnList: onList, OnChanges: onChanges, OnCurrent: onCurrent,
		OnLost: func(err error) {
			f.log.Warn("Lost the store.", "kind", kind, "reason", err)
			f.setUnreachable(kind, true)
			f.announceState()
			f.store.Client.CloseIdleConnections() // they may be as silent as the one that the call was on
		},
		OnRecovered: func(outage time.Duration) {
			f.log.Info("Regained the store.", "kind", kind, "outage", outage)
			f.setUnreachable(kind, false)
		},
	}
}

// listPage lists a page of the objects of a kind.
func (f *Front) listPage(ctx context.Context, kind, after string) (gladeplatform.Page, error) {
	call := "list " + kind
	limits := f.listLimits(call, kind)
	ctx, cancel := gladeprogress.WithLimits(ctx, limits)
	defer cancel()
	f.countStoreCall(ctx, "list", kind)
	began := time.Now()
	page, err := f.store.List(ctx, kind, after)
	f.widening.Record(call, began, err)
	fields := []any{"kind", kind, "cause", string(storeCauseOf(ctx)), "tookMs", time.Since(began).Milliseconds(), "firstMs", limits.First.Milliseconds(),
		"totalMs", limits.Total.Milliseconds()}
	if err == nil {
		f.log.Info("Listed a page of the store.", append(fields, "after", after, "items", len(page.Items), "more", page.More, "revision", page.Revision)...)
	} else {
		f.log.Info("No list of the store.", append(fields, "reason", err)...)
	}
	h := metrics.GetOrRegisterHistogram("store.latency."+kind, f.metrics, metrics.NewUniformSample(latencySampleSize))
	h.Update(time.Since(began).Microseconds())
	return page, err
}

const (
	// maxPageBytes is the size of the largest page of a list: one object of the largest size.
	maxPageBytes = 1 << 20
	// slowestLink is the rate in bytes a second of a link whose rate is not known.
	slowestLink = 10_000_000 / 8
	// maxListDoublings bounds how often the limit until the answer to a list begins doubles if the store answers no other call.  A list that
	// waits on a connection which is silent for good delays the next one.
	maxListDoublings = 2
)

// listLimits returns the limits of a list.  The release may come as one large object, of which a store may send nothing before it has all
// of it.
func (f *Front) listLimits(call, kind string) gladeprogress.Limits {
	first := callTimeout
	if kind == gladeplatform.KindConfig {
		rate := cmp.Or(f.config.Settings.LinkRate, slowestLink)
		first += time.Duration(maxPageBytes * int64(time.Second) / rate)
	}
	l := f.widening.Limits(call, gladeprogress.Limits{First: first, Pause: callTimeout, Total: answerTime})
	l.First = max(l.First, min(first<<min(f.widening.Timeouts(call), maxListDoublings), maxFirstWait))
	return l
}

// watchLimits returns the limits of a watch that waits for changes.
func (f *Front) watchLimits(call string, wait time.Duration) gladeprogress.Limits {
	l := f.widening.Limits(call, gladeprogress.Limits{First: watchSlack, Pause: watchSlack, Total: answerTime})
	l.First += wait
	l.Total += wait
	return l
}

// latencySampleSize is the number of values kept in the histogram of the store's latency.
const latencySampleSize = 256

func (f *Front) countCall(name string) {
	metrics.GetOrRegisterCounter(name, f.metrics).Inc(1)
}

func (f *Front) onReleases(items []gladeview.Item[entry[*gladerelease.Release]], _ int64) {
	for _, i := range items {
		f.onReleaseItem(i)
	}
}

func (f *Front) onReleaseChanges(changes []gladeview.Change[entry[*gladerelease.Release]], _ int64) {
	for _, c := range changes {
		if !c.Deleted {
			f.onReleaseItem(c.Item)
		}
	}
}

// onReleaseItem applies an object of the store that holds a release.
func (f *Front) onReleaseItem(i gladeview.Item[entry[*gladerelease.Release]]) {
	if i.Name != gladeplatform.ConfigName {
		return
	}
	if i.Value.err != nil {
		f.log.Error("Cannot decode the release; the current one stays in force.", "reason", i.Value.err)
		return
	}
	r := i.Value.value
	f.mu.Lock()
	f.storeRelease = r.Version
	f.mu.Unlock()
	f.applyRelease(r, nil, fromStore)
}

// confirmRelease records that the store has just said that the release that it gave last is the newest.
func (f *Front) confirmRelease() {
	now := bootTime()
	f.mu.Lock()
	version := f.storeRelease
	f.confirmedAt = now
	f.mu.Unlock()
	f.age.Confirm(version, now, now)
}

// observeRelease records what a reader's update says of the newest release.
func (f *Front) observeRelease(u gladefeed.Update) {
	now := bootTime()
	if u.Reading {
		f.age.Confirm(u.Release, now.Add(-time.Duration(u.AgeMillis)*time.Millisecond), now)
	} else {
		f.age.Learn(u.Release, now)
	}
}

// checkRelease logs when the release may be out of date.
func (f *Front) checkRelease() {
	f.age.Check(bootTime(), func() []any {
		f.mu.Lock()
		defer f.mu.Unlock()
		heard := int64(-1)
		if f.feed != nil {
			heard = time.Since(f.feed.LastHeard()).Milliseconds()
		}
		return []any{
			"reading", f.reading, "storeRefused", f.storeRefused, "unreachable", f.unreachable[gladeplatform.KindConfig], "rank", f.rank(),
			"readerHeardMs", heard,
		}
	})
}

// fromStore is the source of a release that this VM has read from the store itself.
const fromStore = "store"

// applyRelease puts a release in force unless the one in force is as new, and tells the failure domain of it unless the domain
// did so.  The change that led to the release may be nil.
func (f *Front) applyRelease(r *gladerelease.Release, change *gladerelease.Change, from string) {
	f.releaseMu.Lock()
	defer f.releaseMu.Unlock()
	old := f.release.Load()
	if old != nil && old.Version >= r.Version {
		return
	}
	if old != nil && (change == nil || change.Before != old.Version) {
		change = nil
		if c, ok := gladerelease.Diff(old, r); ok {
			change = &c
		}
	}
	if change != nil {
		f.history.Add(*change)
	} else {
		f.history.Reset()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	u := gladefeed.Update{
		Before: f.revision, Revision: f.revision, Release: r.Version, Reading: f.reading && from == fromStore, ReleaseChange: change,
	}
	f.release.Store(r)
	f.releaseSince = time.Now()
	f.age.Apply(r.Version, bootTime())
	close(f.releaseChanged)
	f.releaseChanged = make(chan struct{})
	if f.feed != nil && !f.inDomain(from) { // the feed opens after the relay, which may already deliver a release
		go f.feed.Publish(u)
	}
	f.log.Info("Release in force.", "release", r.Version, "from", from, "routes", len(r.Routes), "organisationKeys", len(r.Organisations))
}

// inDomain reports whether a VM is another one of this failure domain.
func (f *Front) inDomain(vm string) bool {
	return slices.ContainsFunc(f.node.Members(), func(m gladepeer.Member) bool {
		return m.Name == vm && m.FailureDomain == f.config.Settings.FailureDomain
	})
}

// readRelease reads the release from the store once.
func (f *Front) readRelease(ctx context.Context) error {
	items, revision, err := f.releases.List(ctx)
	if err == nil {
		f.onReleases(items, revision)
	}
	return err
}

const (
	// maxReleaseWait is the longest time for which a request waits for a release that is known to exist.
	maxReleaseWait = 300 * time.Millisecond
	// behindTooLong is the time after which requests no longer wait for such a release: whoever had it may be lost.
	behindTooLong = 2 * time.Second
)

// awaitRelease waits until the newest release that is known to exist is in force, for a limited time.  It returns the release in
// force, and false if that is older.
func (f *Front) awaitRelease(ctx context.Context, limit time.Duration) (*gladerelease.Release, bool) {
	age := f.age.State(bootTime())
	newest := age.Newest
	if age.Behind > behindTooLong {
		limit = 0
	}
	timer := time.NewTimer(min(limit, maxReleaseWait))
	defer timer.Stop()
	for {
		f.mu.Lock()
		r, changed := f.release.Load(), f.releaseChanged
		f.mu.Unlock()
		if r.Version >= newest {
			return r, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return r, false
		case <-ctx.Done():
			return r, false
		}
	}
}
