package gladeforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

// markDown records that a server accepts no connections, and probes the servers that this puts in doubt.
func (f *Forwarder) markDown(s gladefleet.Server, reason error) {
	f.config.Client.Pool.CloseIdle(s.Address)
	if errors.Is(reason, gladesend.ErrRefused) {
		f.config.Fleet.MarkEnded(s.ID)
	}
	fresh, doubtful := f.config.Fleet.MarkFailed(s.ID, time.Now())
	if fresh {
		f.config.Suspects.ServerFailed(backendServer(s))
		f.count("servers.down")
		f.config.Log.Warn("Backend server is down.", "server", s.ID, "address", s.Address, "domain", s.FailureDomain,
			"doubtful", len(doubtful), "reason", reason)
	}
	for _, o := range doubtful {
		f.probe(o, probeDoubtful)
	}
}

// handleNotRun records that a server answered that it did not run a request.
func (f *Forwarder) handleNotRun(s gladefleet.Server, status int, instance string) {
	if status == http.StatusMisdirectedRequest {
		f.recordInstance(s, instance)
		return
	}
	f.config.Fleet.MarkHeard(s.ID, time.Now())
	f.config.Fleet.RecordOutcome(s.ID, true)
}

// recordFailure records that an answer of a server was lost or unusable; a server that exceeded a limit is avoided.
func (f *Forwarder) recordFailure(s gladefleet.Server, err error) {
	if !errors.Is(err, gladesend.ErrLimit) {
		f.config.Fleet.RecordOutcome(s.ID, true)
		return
	}
	f.count("servers.overrun")
	if quarantine := f.config.Fleet.RecordOverrun(s.ID, time.Now()); quarantine > 0 {
		f.config.Log.Warn("Backend server is avoided.", "server", s.ID, "domain", s.FailureDomain, "forMs", quarantine.Milliseconds(),
			"reason", err)
	}
}

// recordInstance records that another server has the address of s; instance is its identifier, or empty if unknown.
func (f *Forwarder) recordInstance(s gladefleet.Server, instance string) {
	f.config.Client.Pool.CloseIdle(s.Address)
	successor, recognised := f.config.Fleet.RecordInstance(s.ID, instance)
	f.config.Log.Info("Another server has the address.", "server", s.ID, "address", s.Address, "instance", instance, "recognised", recognised)
	switch {
	case recognised:
		f.count("servers.recognised")
		f.config.OnSuccessor(successor)
	case instance == "":
		f.config.Fleet.MarkReplaced(s.ID)
	}
}

// identify asks the server at the address of a failed one who it is, and records it if it is another one.  It reports
// whether it may be s.
func (f *Forwarder) identify(ctx context.Context, s gladefleet.Server) bool {
	release := f.config.Release()
	if release == nil || f.config.Instance == nil || !f.config.Fleet.AwaitsSuccessor(s.ID) ||
		!f.config.Fleet.BackoffUntil(s.ID, time.Now()).IsZero() {
		return true
	}
	f.count("probes.identity")
	if f.config.Limits.Sent != nil {
		f.config.Limits.Sent(limitedServer(s))
	}
	instance, err := f.config.Instance(ctx, s.Address, release.Services[s.Service].HealthPath)
	if err != nil {
		f.config.Log.Info("Server not identified.", "server", s.ID, "address", s.Address, "reason", err)
		return true
	}
	if instance == s.ID {
		return true
	}
	f.recordInstance(s, instance)
	return false
}

// markReached records that a connection to a server was accepted, unless the server was down and another one has its address.
func (f *Forwarder) markReached(ctx context.Context, s gladefleet.Server) {
	switch {
	case f.config.Fleet.Unavailable(s.ID, time.Now()) && !f.identify(ctx, s):
	case f.config.Fleet.MarkHeard(s.ID, time.Now()):
		f.config.Log.Info("Backend server is back.", "server", s.ID, "domain", s.FailureDomain)
	}
}

// probe checks in the background whether a server accepts connections, and reports whether it does so now: not while another probe
// is in progress or if the limiter denies it.
func (f *Forwarder) probe(s gladefleet.Server, reason probeReason) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.probing[s.ID] || f.closed || !f.mayProbe(s, reason, time.Now()) {
		return false
	}
	f.probing[s.ID] = true
	f.count("probes")
	f.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		began := time.Now()
		err := f.config.Client.Pool.Probe(ctx, s.Address)
		switch {
		case err == nil:
			f.markReached(ctx, s)
		case f.isUnreachable(s, began, err):
			f.markDown(s, eris.Wrap(err, "no connection"))
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.probing, s.ID)
	})
	return true
}

// reach attempts a connection to a server in the background and records whether it was accepted.  It judges nothing, so that unlike a probe it
// may wait for as long as the connection of a request, or longer.
func (f *Forwarder) reach(s gladefleet.Server, timeout time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.count("probes")
	f.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if f.config.Client.Pool.Probe(ctx, s.Address) == nil {
			f.markReached(ctx, s)
		}
	})
}

// mayProbe reports whether the limiter permits a probe. It applies to services whose servers report how long work takes: elsewhere a
// server that falls silent just after a probe is found out later than before.
func (f *Forwarder) mayProbe(s gladefleet.Server, reason probeReason, now time.Time) bool {
	return !f.config.Fleet.ReportsWork(s.Service, now) || f.probeLimit.allow(s.ID, reason, now)
}
