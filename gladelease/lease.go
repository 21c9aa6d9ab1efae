package gladelease

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// Kind is the platform's object kind for leases.
const Kind = "leases"

const (
	defaultDuration = 9 * time.Second
	releaseTimeout  = time.Second
	// A holder renews the lease every sixth of its duration and gives it up after two thirds without a renewal.
	renewalsPerLease = 6
	maxWallLag       = 500 * time.Millisecond
)

// errLost means that a grant ended because it was not renewed in time or another holder took the lease.
var errLost = eris.New("lease lost")

// Clock returns the current time of a monotonic clock and of the wall clock.
type Clock func() (monotonic time.Duration, wall time.Time)

// Grant is one uninterrupted period in which a holder has the lease.
type Grant struct {
	// FencingNumber is higher than that of every earlier grant.
	FencingNumber int64
	// PreviousUnreleased reports whether the previous holder did not release the lease.
	PreviousUnreleased bool
}

// Config configures a Lease.
type Config struct {
	Store *gladestore.Client
	// Name is the name of the lease.
	Name string
	// Holder is the name of this process in the lease.
	Holder string
	// Duration is the time without a renewal after which others may take the lease; zero means 9 s.
	Duration time.Duration
	// Candidate reports whether this process should try to take the lease now; nil means always.
	Candidate func() bool
	// Lead is called for each grant, if set. Its ctx is cancelled when the grant ends.
	Lead func(ctx context.Context, g Grant)
	// Clock replaces the system clocks, if set.
	Clock Clock
	Log   hclog.Logger
}

// record is the value of the lease's object.
type record struct {
	Holder string `json:"holder"`
	// Session identifies the Lease that holds it.
	Session string `json:"session"`
	// Nonce identifies the write.
	Nonce          string `json:"nonce"`
	FencingNumber  int64  `json:"fencingNumber"`
	DurationMillis int64  `json:"durationMillis"`
}

// Lease is one process's participation in a lease, as a candidate or as the holder.
type Lease struct {
	config  Config
	log     hclog.Logger
	session string

	mu        sync.Mutex
	held      bool
	grant     Grant
	renewedAt instant
}

// instant is a point in time on both clocks.
type instant struct {
	monotonic time.Duration
	wall      time.Time
}

// New starts to compete for a lease and returns a clean-up function, which releases the lease if it is held.
func New(c Config) (*Lease, func()) {
	c.Duration = cmp.Or(c.Duration, defaultDuration)
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	if c.Clock == nil {
		start := time.Now()
		c.Clock = func() (time.Duration, time.Time) { return time.Since(start), time.Now().Round(0) }
	}
	l := &Lease{config: c, log: c.Log, session: rand.Text()}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { l.run(ctx) })
	return l, func() {
		cancel()
		tasks.Wait()
	}
}

// Held returns the grant and whether it is valid now. The process may be paused right after the check, so the result is
// only safe for operations whose receiver checks the fencing number.
func (l *Lease) Held() (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant, l.held && l.remaining(l.renewedAt) > 0
}

func (l *Lease) now() instant {
	monotonic, wall := l.config.Clock()
	return instant{monotonic: monotonic, wall: wall}
}

// remaining returns for how much longer a write that was sent at an instant entitles its sender to hold the lease.
// It returns zero if the wall clock has fallen behind the monotonic clock by more than maxWallLag.
func (l *Lease) remaining(sent instant) time.Duration {
	now := l.now()
	elapsed := now.monotonic - sent.monotonic
	wallElapsed := now.wall.Sub(sent.wall)
	if wallElapsed < elapsed-maxWallLag {
		return 0
	}
	return l.config.Duration*2/3 - max(elapsed, wallElapsed)
}

func (l *Lease) run(ctx context.Context) {
	var seen observation
	for ctx.Err() == nil {
		if l.config.Candidate == nil || l.config.Candidate() {
			l.tryAcquire(ctx, &seen)
		}
		sleep(ctx, l.config.Duration/renewalsPerLease)
	}
}

// observation is the version of another holder's lease and the instant at which it was first read.
type observation struct {
	version int64
	at      instant
}

// tryAcquire takes the lease if it is free or expired, and then holds it until the grant ends.
func (l *Lease) tryAcquire(ctx context.Context, seen *observation) {
	o, r, err := l.read(ctx)
	if err != nil {
		l.log.Debug("Lease could not be read.", "error", err)
		return
	}
	if o.Version != seen.version {
		*seen = observation{version: o.Version, at: l.now()}
	}
	free := r.Holder == "" || r.Session == l.session
	if !free && !l.expired(&r, seen.at) {
		return
	}
	sent := l.now()
	g := Grant{FencingNumber: r.FencingNumber + 1, PreviousUnreleased: r.Holder != ""}
	version, err := l.write(ctx, l.record(l.config.Holder, g), o.Version)
	if err != nil {
		l.log.Debug("Lease could not be acquired.", "error", err)
		return
	}
	*seen = observation{}
	l.hold(ctx, g, sent, version)
}

// expired reports whether another holder's lease was not renewed for its duration. It uses only the monotonic clock, so
// that a step of the wall clock can't shorten the wait.
func (l *Lease) expired(r *record, seen instant) bool {
	return l.now().monotonic-seen.monotonic >= time.Duration(r.DurationMillis)*time.Millisecond
}

func (l *Lease) read(ctx context.Context) (gladestore.Object, record, error) {
	var r record
	o, err := l.config.Store.Get(ctx, Kind, l.config.Name)
	if errors.Is(err, gladestore.ErrNotFound) {
		return o, r, nil
	}
	if err != nil {
		return o, r, err
	}
	return o, r, eris.Wrap(json.Unmarshal(o.Value, &r), "lease")
}

func (l *Lease) record(holder string, g Grant) record {
	return record{
		Holder:         holder,
		Session:        l.session,
		Nonce:          rand.Text(),
		FencingNumber:  g.FencingNumber,
		DurationMillis: l.config.Duration.Milliseconds(),
	}
}

// write replaces the given version of the lease's object, or creates the object if version is zero.
// If the answer is lost, it reads the object back and compares the nonce.
func (l *Lease) write(ctx context.Context, r record, version int64) (int64, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return 0, eris.Wrap(err, "lease")
	}
	sameNonce := func(found []byte) bool {
		var f record
		return json.Unmarshal(found, &f) == nil && f.Nonce == r.Nonce
	}
	var o gladestore.Object
	if version == 0 {
		o, err = l.config.Store.CreateOnce(ctx, Kind, l.config.Name, raw, sameNonce)
	} else {
		o, err = l.config.Store.UpdateOnce(ctx, Kind, l.config.Name, raw, version, sameNonce)
	}
	return o.Version, err
}

// hold renews a grant until it is lost or ctx is done. In the second case it releases the lease.
func (l *Lease) hold(ctx context.Context, g Grant, sent instant, version int64) {
	l.setGrant(true, g, sent)
	l.log.Info("Lease acquired.", "name", l.config.Name, "fencingNumber", g.FencingNumber)
	leadCtx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	if l.config.Lead != nil {
		tasks.Go(func() { l.config.Lead(leadCtx, g) })
	}
	var err error
	for err == nil {
		sent, version, err = l.renew(ctx, g, sent, version)
	}
	l.setGrant(false, Grant{}, sent)
	l.log.Info("Lease ended.", "name", l.config.Name, "fencingNumber", g.FencingNumber, "reason", err)
	cancel()
	tasks.Wait()
	if ctx.Err() != nil {
		l.release(g, version)
	}
}

// renew waits until the next renewal is due and repeats it until it succeeds or the grant runs out.
func (l *Lease) renew(ctx context.Context, g Grant, sent instant, version int64) (instant, int64, error) {
	sleep(ctx, l.config.Duration/renewalsPerLease)
	for ctx.Err() == nil {
		remaining := l.remaining(sent)
		if remaining <= 0 {
			return sent, version, eris.Wrap(errLost, "not renewed in time")
		}
		next := l.now()
		call, cancel := context.WithTimeout(ctx, remaining)
		renewed, err := l.write(call, l.record(l.config.Holder, g), version)
		cancel()
		if err == nil {
			l.setGrant(true, g, next)
			return next, renewed, nil
		}
		if errors.Is(err, gladestore.ErrConflict) {
			if version, err = l.findOwnVersion(ctx, g, version); err != nil {
				return sent, version, err
			}
		}
		sleep(ctx, min(remaining, l.config.Duration/(2*renewalsPerLease)))
	}
	return sent, version, ctx.Err()
}

// findOwnVersion returns the version of the lease's object if an earlier write of this grant created it.
// Such a write does not count as a renewal.
func (l *Lease) findOwnVersion(ctx context.Context, g Grant, version int64) (int64, error) {
	o, r, err := l.read(ctx)
	if err != nil {
		return version, nil //nolint:nilerr // an outage does not mean that the lease is lost; the grant ends by time
	}
	if r.Session != l.session || r.FencingNumber != g.FencingNumber {
		return version, eris.Wrap(errLost, "taken by another")
	}
	return o.Version, nil
}

func (l *Lease) setGrant(held bool, g Grant, renewedAt instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.grant, l.renewedAt = held, g, renewedAt
}

// release removes the holder from the lease, so that others can take it at once.
func (l *Lease) release(g Grant, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := l.write(ctx, l.record("", g), version); err != nil {
		l.log.Debug("Lease could not be released.", "error", err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
