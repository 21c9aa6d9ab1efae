package gladefront

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladefeed"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladeview"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

const (
	// minWait bounds how long a watch waits for a change, whatever the bounds say.
	minWait = 500 * time.Millisecond
	// noticeTime is what is left of a bound when a watch that hears nothing any more has been noticed: for its slack, a
	// list, and the way to the other VMs.
	noticeTime = 1100 * time.Millisecond
	// watchSlack is how much longer an answer may take; a slow store needs a quarter of a second.
	watchSlack = 400 * time.Millisecond
	// wantedEvery is how often a VM looks whether it has to read the servers itself.
	wantedEvery = 100 * time.Millisecond
	// callTimeout bounds a call to the store beyond the time that it may wait; answers take milliseconds.
	callTimeout = 700 * time.Millisecond
	// lapseGrace is how long after the store's return entries that expired meanwhile may still come back.
	lapseGrace = 1500 * time.Millisecond
)

// entry is an object of the store, decoded, or what was wrong with it.
type entry[T any] struct {
	value T
	err   error
}

// follow keeps the release and the backend servers up to date.
func (f *Front) follow() {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{MaxIdleConnsPerHost: storeIdle}
	store := &gladeplatform.Store{Address: f.config.Settings.StoreAddress, Client: &http.Client{Transport: transport}}
	var tasks sync.WaitGroup
	tasks.Go(func() { f.readForDomain(ctx, store) })
	f.cleanup(func() {
		cancel()
		tasks.Wait()
		transport.CloseIdleConnections()
	})
}

// watchWait is how long a watch waits for a change: one that hears nothing any more is noticed in time for the bounds on
// releases and leaving servers.
func (f *Front) watchWait() time.Duration {
	s := f.config.Settings
	return max(minWait, min(s.ReleaseBound, s.DrainBound)-noticeTime)
}

// readForDomain follows the release and the servers closely while this VM reads them for its failure domain.
func (f *Front) readForDomain(ctx context.Context, store *gladeplatform.Store) {
	wait := f.watchWait()
	servers := followConfig(f, store, gladeplatform.KindServers, wait, gladeplatform.DecodeServer, f.onServers, f.onServerChanges)
	releases := followConfig(f, store, gladeplatform.KindConfig, wait, decodeRelease, f.onReleases, f.onReleaseChanges)
	for ctx.Err() == nil {
		if !f.feed.Wanted(false, time.Now()) {
			select {
			case <-ctx.Done():
			case <-time.After(wantedEvery):
			}
			continue
		}
		f.log.Info("Reading the store for the failure domain.", "rank", f.rank())
		f.setReading(true)
		reading, cancel := context.WithCancel(ctx)
		var tasks sync.WaitGroup
		tasks.Go(func() { gladeview.Follow(reading, servers) })
		tasks.Go(func() { gladeview.Follow(reading, releases) })
		for reading.Err() == nil && f.feed.Wanted(true, time.Now()) {
			select {
			case <-reading.Done():
			case <-time.After(wantedEvery):
			}
		}
		cancel()
		tasks.Wait()
		f.setReading(false)
		f.log.Info("Another VM reads the store for the failure domain.")
	}
}

func (f *Front) setReading(reading bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reading = reading
	clear(f.lost)
}

func (f *Front) setLost(kind string, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost[kind] = lost
}

func decodeRelease(o gladeplatform.Object) (*gladerelease.Release, error) {
	return gladeplatform.DecodeRelease(o.Spec)
}

// followConfig joins the platform's calls to a Follow of one kind.
func followConfig[T any](
	f *Front, store *gladeplatform.Store, kind string, wait time.Duration, decode func(gladeplatform.Object) (T, error),
	onList func([]gladeview.Item[entry[T]], int64), onChanges func([]gladeview.Change[entry[T]], int64),
) gladeview.FollowConfig[entry[T]] {
	item := func(o gladeplatform.Object) gladeview.Item[entry[T]] {
		v, err := decode(o)
		return gladeview.Item[entry[T]]{Name: o.Meta.Name, Value: entry[T]{value: v, err: err}}
	}
	return gladeview.FollowConfig[entry[T]]{
		List: func(ctx context.Context) ([]gladeview.Item[entry[T]], int64, error) {
			var items []gladeview.Item[entry[T]]
			for after := ""; ; {
				p, err := f.listPage(ctx, store, kind, after)
				if err != nil {
					return nil, 0, err
				}
				for _, o := range p.Items {
					items = append(items, item(o))
					after = o.Meta.Name
				}
				if !p.More || len(p.Items) == 0 {
					return items, p.Revision, nil
				}
			}
		},
		Watch: func(ctx context.Context, revision int64) ([]gladeview.Change[entry[T]], int64, error) {
			ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
			defer cancel()
			f.count("store.watch." + kind)
			c, err := store.Watch(ctx, kind, revision, wait)
			if errors.Is(err, gladeview.ErrHistoryGone) {
				f.log.Warn("The store has lost its history; listing anew.", "kind", kind, "revision", revision)
			}
			changes := make([]gladeview.Change[entry[T]], 0, len(c.Events))
			for _, e := range c.Events {
				changes = append(changes, gladeview.Change[entry[T]]{Item: item(e.Object), Deleted: e.Deleted})
			}
			return changes, c.Revision, err
		},
		OnList: onList, OnChanges: onChanges,
		OnLost: func(err error) {
			f.log.Warn("Lost the store.", "kind", kind, "reason", err)
			f.setLost(kind, true)
		},
		OnRegained: func(outage time.Duration) {
			f.log.Info("Regained the store.", "kind", kind, "outage", outage)
			f.setLost(kind, false)
		},
	}
}

func (f *Front) listPage(ctx context.Context, store *gladeplatform.Store, kind, after string) (gladeplatform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.count("store.list." + kind)
	began := time.Now()
	page, err := store.List(ctx, kind, after)
	h := metrics.GetOrRegisterHistogram("store.latency."+kind, f.metrics, metrics.NewUniformSample(latencySample))
	h.Update(time.Since(began).Microseconds())
	return page, err
}

// latencySample bounds the values kept of the times of the store's answers.
const latencySample = 256

func (f *Front) count(name string) {
	metrics.GetOrRegisterCounter(name, f.metrics).Inc(1)
}

func (f *Front) onReleases(items []gladeview.Item[entry[*gladerelease.Release]], _ int64) {
	for _, i := range items {
		f.take(i)
	}
}

func (f *Front) onReleaseChanges(changes []gladeview.Change[entry[*gladerelease.Release]], _ int64) {
	for _, c := range changes {
		if !c.Deleted {
			f.take(c.Item)
		}
	}
}

// take takes over an object that holds a release.
func (f *Front) take(i gladeview.Item[entry[*gladerelease.Release]]) {
	if i.Name != gladeplatform.MainConfig {
		return
	}
	if i.Value.err != nil {
		f.log.Error("Cannot read the release; the one before stays in force.", "reason", i.Value.err)
		return
	}
	r := i.Value.value
	f.put(r, "store")
}

// put puts a release in force unless it or a newer one is.
func (f *Front) put(r *gladerelease.Release, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.release.Load()
	if old != nil && old.Version >= r.Version {
		return
	}
	f.release.Store(r)
	f.inForce = time.Now()
	if f.feed != nil { // a peer may tell a release before the feed is open
		go f.feed.Tell(gladefeed.Update{Before: f.revision, Revision: f.revision, Release: r.Version})
	}
	f.log.Info("Release in force.", "release", r.Version, "from", from, "routes", len(r.Routes), "organisationKeys", len(r.Organisations))
}

func (f *Front) onServers(items []gladeview.Item[entry[gladefleet.Server]], revision int64) {
	var servers []gladefleet.Server
	for _, i := range items {
		if f.readable(i) {
			servers = append(servers, i.Value.value)
		}
	}
	f.mu.Lock()
	stale := f.listed && revision < f.revision
	f.mu.Unlock()
	if stale {
		return // a peer has told more; the watch brings the rest
	}
	f.replace(servers, time.Now())
	f.mu.Lock()
	f.listed, f.revision = true, revision
	f.mu.Unlock()
	f.feed.Tell(gladefeed.Update{Before: revision, Revision: revision})
}

func (f *Front) onServerChanges(changes []gladeview.Change[entry[gladefleet.Server]], revision int64) {
	now := time.Now()
	update := gladefeed.Update{Revision: revision}
	for _, c := range changes {
		if c.Deleted || !f.readable(c.Item) {
			f.remove(c.Name, now, false)
			update.Changes = append(update.Changes, gladefeed.Change{Gone: c.Name})
			continue
		}
		f.list(c.Value.value, now)
		update.Changes = append(update.Changes, gladefeed.Change{Server: &c.Value.value})
	}
	f.mu.Lock()
	update.Before, f.revision = f.revision, max(f.revision, revision)
	f.mu.Unlock()
	f.feed.Tell(update)
}

// readable reports whether an entry names a backend server.
func (f *Front) readable(i gladeview.Item[entry[gladefleet.Server]]) bool {
	if i.Value.err != nil {
		f.log.Warn("Entry names no backend server.", "entry", i.Name, "reason", i.Value.err)
	}
	return i.Value.err == nil
}

// list takes in a listed server.
func (f *Front) list(s gladefleet.Server, now time.Time) {
	if f.fleet.Put(s, now) {
		f.log.Info("Backend server listed.", "server", s.ID, "service", s.Service, "address", s.Address, "domain", s.FailureDomain,
			"leaving", s.Leaving, "started", s.Started)
	}
}

// remove takes note that the store no longer lists a server; lapsed tells that this may be a mistake.
func (f *Front) remove(id string, now time.Time, lapsed bool) {
	grace := time.Duration(0)
	if lapsed {
		grace = lapseGrace
	}
	f.log.Info("Backend server gone.", "server", id, "grace", grace)
	f.fleet.Remove(id, now, grace)
}
