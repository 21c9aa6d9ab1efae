package gladerelay

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

// releaseQuestion asks for the release in force.
type releaseQuestion struct {
	// Have is the version in force at the asking VM. The answer may hold only the changes since.
	Have int64 `json:"have"`
	// Large reports that a large answer is wanted, because the asking VM cannot read the store.
	Large bool `json:"large,omitempty"`
}

// releaseAnswer holds a release, or the changes that lead to it, or neither if the asking VM has it.
type releaseAnswer struct {
	Release json.RawMessage       `json:"release,omitempty"`
	Changes []gladerelease.Change `json:"changes,omitempty"`
	// Large reports that the release is not sent because of its size, Busy that other large answers are being sent.
	Large bool `json:"large,omitempty"`
	Busy  bool `json:"busy,omitempty"`
}

// serversAnswer holds a list of servers.
type serversAnswer struct {
	List Servers `json:"list"`
	// Busy reports that other large answers are being sent.
	Busy bool `json:"busy,omitempty"`
}

// serveRelease answers a peer that asks for the release.
func (r *Relay) serveRelease(q releaseQuestion) (releaseAnswer, error) {
	release := r.config.Release()
	if release == nil || release.Version <= q.Have {
		return releaseAnswer{}, nil
	}
	if changes := r.config.History.Since(q.Have); len(changes) > 0 {
		raw, err := json.Marshal(changes)
		if err != nil {
			return releaseAnswer{}, eris.Wrap(err, "encoding changes of the release")
		}
		if len(raw) <= r.smallAnswer() {
			return releaseAnswer{Changes: changes}, nil
		}
	}
	raw, err := r.encode(release)
	switch {
	case err != nil:
		return releaseAnswer{}, err
	case len(raw) > r.smallAnswer() && !q.Large:
		return releaseAnswer{Large: true}, nil
	case !r.mayAnswer(len(raw), time.Now()):
		return releaseAnswer{Busy: true}, nil
	}
	return releaseAnswer{Release: raw}, nil
}

// encode returns a release encoded for peers.
func (r *Relay) encode(release *gladerelease.Release) (json.RawMessage, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.encoded == nil || r.encodedVersion != release.Version {
		raw, err := json.Marshal(release)
		if err != nil {
			return nil, eris.Wrap(err, "encoding the release")
		}
		r.encoded, r.encodedVersion = raw, release.Version
	}
	return r.encoded, nil
}

// serveServers answers a peer that asks for the list of servers.
func (r *Relay) serveServers() (serversAnswer, error) {
	s := r.config.Servers()
	raw, err := json.Marshal(s.Servers)
	if err != nil {
		return serversAnswer{}, eris.Wrap(err, "encoding the servers")
	}
	if !r.mayAnswer(len(raw), time.Now()) {
		return serversAnswer{Busy: true}, nil
	}
	return serversAnswer{List: s}, nil
}

// smallAnswer returns the size up to which an answer is sent to every VM that asks: all VMs of the failure domain may.
func (r *Relay) smallAnswer() int {
	self := r.config.Node.Self()
	vms := 1
	for _, m := range r.config.Node.Members() {
		if m.FailureDomain == self.FailureDomain {
			vms++
		}
	}
	return max(minSmallAnswer, min(maxSmallAnswer, LinkBudget/vms))
}

// mayAnswer reports whether an answer of a size may be sent now: a small one always, a large one if those before have passed the
// link. Answers that share the link would all come too late.
func (r *Relay) mayAnswer(size int, now time.Time) bool {
	if size <= r.smallAnswer() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.largeUntil) {
		return false
	}
	r.largeUntil = now.Add(time.Duration(size) * time.Second / minLinkRate)
	return true
}

// callRelease asks a peer for its release. It returns nil if this VM has it by now.
func (r *Relay) callRelease(ctx context.Context, vm string) (*gladerelease.Release, error) {
	base := r.config.Release()
	q := releaseQuestion{}
	if base != nil {
		q.Have = base.Version
	}
	a, err := r.askRelease(ctx, vm, q, callTimeout)
	if err == nil && a.Large {
		if r.readStore(ctx) {
			return nil, nil
		}
		q.Large = true
		a, err = r.askRelease(ctx, vm, q, largeTimeout)
	}
	if err == nil && len(a.Changes) > 0 {
		release, applyErr := applyAll(base, a.Changes)
		if applyErr == nil {
			return release, nil
		}
		r.config.Log.Warn("Changes of the release do not lead on from this VM's; the whole is requested.", "peer", vm, "have", q.Have,
			"reason", applyErr)
		q.Have, q.Large = 0, true
		a, err = r.askRelease(ctx, vm, q, largeTimeout)
	}
	switch {
	case err != nil:
		return nil, err
	case a.Busy:
		return nil, eris.Wrap(errBusy, vm)
	case a.Release == nil:
		return nil, nil
	}
	release := &gladerelease.Release{}
	if err := json.Unmarshal(a.Release, release); err != nil {
		return nil, eris.Wrapf(err, "release of %s", vm)
	}
	release.Index()
	return release, nil
}

func (r *Relay) askRelease(ctx context.Context, vm string, q releaseQuestion, timeout time.Duration) (releaseAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return gladepeer.Call[releaseQuestion, releaseAnswer](ctx, r.config.Node, vm, methodRelease, q)
}

// readStore reads the release from the store, and reports whether that was done or is being done.
func (r *Relay) readStore(ctx context.Context) bool {
	if r.config.State().Lost {
		return false
	}
	if !r.readingStore.TryLock() {
		return true
	}
	defer r.readingStore.Unlock()
	if err := r.config.ReadRelease(ctx); err != nil {
		r.config.Log.Warn("Large release cannot be read from the store; a peer is asked for it.", "reason", err)
		return false
	}
	return true
}

// applyAll returns the release after changes that follow each other.
func applyAll(r *gladerelease.Release, changes []gladerelease.Change) (*gladerelease.Release, error) {
	for _, c := range changes {
		next, err := r.Apply(c)
		if err != nil {
			return nil, err
		}
		r = next
	}
	return r, nil
}

// callServers asks a peer for its list of servers.
func (r *Relay) callServers(ctx context.Context, vm string) (Servers, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := gladepeer.Call[struct{}, serversAnswer](ctx, r.config.Node, vm, methodServers, struct{}{})
	if err == nil && a.Busy {
		err = eris.Wrap(errBusy, vm)
	}
	return a.List, err
}
