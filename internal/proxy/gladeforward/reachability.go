package gladeforward

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

// maxControls is the number of others that a server is compared with.
const maxControls = 2

// control is another party to which a connection is attempted for comparison; id is empty if it is no server.
type control struct{ id, address string }

// controls returns the parties to compare a server with: other servers, and if there are too few of them, others that are known to be up.
func (f *Forwarder) controls(s gladefleet.Server) []control {
	var found []control
	for _, o := range f.config.Fleet.Controls(s.ID, maxControls, time.Now()) {
		found = append(found, control{o.ID, o.Address})
	}
	if len(found) == maxControls || f.config.Others == nil {
		return found
	}
	for _, address := range f.config.Others() {
		if address != s.Address && len(found) < maxControls {
			found = append(found, control{address: address})
		}
	}
	return found
}

// judgeUnsent judges a server, in the background, to which a request was not sent.  The send began at the given time.
func (f *Forwarder) judgeUnsent(s gladefleet.Server, began time.Time, reason error) {
	switch {
	case errors.Is(reason, context.Canceled) || errors.Is(reason, gladesend.ErrLocal): // it says nothing about the server
		return
	case !errors.Is(reason, gladesend.ErrNoConnection):
		f.markDown(s, reason)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.judging[s.ID] || f.closed {
		return
	}
	f.judging[s.ID] = true
	f.tasks.Go(func() {
		if f.isUnreachable(s, began, reason) {
			f.markDown(s, reason)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.judging, s.ID)
	})
}

// isUnreachable reports whether a server is at fault for a connection that was not opened.  The attempt began at the given time.
//
// A VM that gets no processor time, or whose link is full, opens no connection to any server.  If it took them for down, it would leave
// the runs on them, which go on.  So a time limit that has passed only leads to a comparison with others.
func (f *Forwarder) isUnreachable(s gladefleet.Server, began time.Time, reason error) bool {
	switch {
	case errors.Is(reason, context.Canceled) || errors.Is(reason, gladesend.ErrLocal) || f.heardSince(s, began):
		return false
	case !errors.Is(reason, gladesend.ErrNoConnection) || f.config.Fleet.Unavailable(s.ID, time.Now()): // or known to be down
		return true
	}
	controls := f.controls(s)
	if len(controls) == 0 { // there is nobody else whom this VM could reach
		return true
	}
	f.count("probes.compared")
	took := time.Since(began)
	unreachable, known := f.compare(s, controls)
	unreachable = unreachable && !f.heardSince(s, began)
	f.config.Log.Info("Compared a server that opened no connection with others.", "server", s.ID, "domain", s.FailureDomain, "tookMs", took.Milliseconds(),
		"others", len(controls), "servers", countServers(controls), "unreachable", unreachable, "known", known)
	if !known {
		f.count("probes.inconclusive")
	}
	return unreachable
}

// countServers returns how many of the parties are servers.
func countServers(controls []control) (n int) {
	for _, o := range controls {
		if o.id != "" {
			n++
		}
	}
	return n
}

// heardSince reports whether a server has sent anything since a time.
func (f *Forwarder) heardSince(s gladefleet.Server, since time.Time) bool {
	now := time.Now()
	return f.config.Fleet.SilentFor(s.ID, now) < now.Sub(since)
}

// connectAll attempts connections to a server and to others at the same time.  One to a server is kept for its next request.
func (f *Forwarder) connectAll(ctx context.Context, s gladefleet.Server, controls []control) <-chan connectAttempt {
	attempts := make(chan connectAttempt, 1+len(controls))
	began := time.Now()
	for _, o := range append([]control{{s.ID, s.Address}}, controls...) {
		connect := f.config.Client.Pool.Probe
		if o.id == "" {
			connect = f.config.Client.Pool.Reach
		}
		go func() {
			err := connect(ctx, o.address)
			attempts <- connectAttempt{id: o.id, err: err, took: time.Since(began)}
		}()
	}
	return attempts
}

// compare attempts connections to a server and to others at the same time.  It reports whether the server is unreachable, and whether that
// is known.
func (f *Forwarder) compare(s gladefleet.Server, controls []control) (unreachable, known bool) {
	ctx, cancel := context.WithTimeout(context.Background(), compareTimeout)
	defer cancel()
	attempts := f.connectAll(ctx, s, controls)
	c := comparison{server: s.ID}
	controlTime := time.After(probeTimeout)
	var waited <-chan time.Time
	result := verdictOpen
	for left := 1 + len(controls); result == verdictOpen && (left > 0 || waited != nil); {
		var wait time.Duration
		select {
		case a := <-attempts:
			left--
			if o, ok := f.config.Fleet.Server(a.id); ok && a.err == nil {
				f.markReached(ctx, o)
			}
			result, wait = c.attemptEnded(a, ctx.Err() != nil, time.Now())
		case <-controlTime:
			result = c.controlTimeEnded()
		case <-waited:
			result, wait = c.waitEnded(time.Now())
		}
		if wait > 0 {
			waited = time.After(wait)
		}
	}
	return result == verdictUnreachable, result == verdictReachable || result == verdictUnreachable
}
