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
	// Compressed reports that the asking VM accepts a compressed answer, also a large one from a VM with a fast link.
	Compressed bool `json:"compressed,omitempty"`
}

// releaseAnswer holds a release, or the changes that lead to it, or neither if the asking VM has it.
type releaseAnswer struct {
	Release json.RawMessage       `json:"release,omitempty"`
	Changes []gladerelease.Change `json:"changes,omitempty"`
	// Compressed is a compressed releaseAnswer instead of both.
	Compressed []byte `json:"compressed,omitempty"`
	// Large reports that the release is not sent because of its size, Busy that other large answers are being sent.
	Large bool `json:"large,omitempty"`
	Busy  bool `json:"busy,omitempty"`
}

// serversQuestion asks for the list of servers.
type serversQuestion struct {
	// Compressed reports that the asking VM accepts a compressed answer.
	Compressed bool `json:"compressed,omitempty"`
}

// serversAnswer holds a list of servers.
type serversAnswer struct {
	List Servers `json:"list"`
	// Compressed is a compressed list instead of List.
	Compressed []byte `json:"compressed,omitempty"`
	// Busy reports that other large answers are being sent.
	Busy bool `json:"busy,omitempty"`
}

// serveRelease answers a peer that asks for the release.
func (r *Relay) serveRelease(q releaseQuestion) (releaseAnswer, error) {
	release := r.config.Release()
	if release == nil || release.Version <= q.Have {
		return releaseAnswer{}, nil
	}
	changes := r.config.History.Since(q.Have)
	p, err := r.prepare(q, release, changes)
	switch {
	case err != nil:
		return releaseAnswer{}, err
	case p.changeBytes > 0 && p.changeBytes <= r.smallAnswer():
		return releaseAnswer{Changes: changes}, nil
	case p.compressed != nil && (q.Large || r.hasFastLink() || sentSize(p.compressed) <= r.smallAnswer()):
		if !r.mayAnswer(sentSize(p.compressed), time.Now()) {
			r.metrics.busy.Inc(1)
			return releaseAnswer{Busy: true}, nil
		}
		r.metrics.compressed.Inc(1)
		r.metrics.compressedBytes.Inc(int64(sentSize(p.compressed)))
		return releaseAnswer{Compressed: p.compressed}, nil
	}
	raw, err := r.encode(release)
	switch {
	case err != nil:
		return releaseAnswer{}, err
	case len(raw) > r.smallAnswer() && !q.Large:
		r.metrics.large.Inc(1)
		return releaseAnswer{Large: true}, nil
	case !r.mayAnswer(len(raw), time.Now()):
		r.metrics.busy.Inc(1)
		return releaseAnswer{Busy: true}, nil
	}
	return releaseAnswer{Release: raw}, nil
}

// prepared is what is sent to the VMs that have the same release; many ask at once.
type prepared struct {
	// changeBytes is the size of the changes in JSON, zero if they are not known.
	changeBytes int
	// compressed is the compressed answer, nil if it is not needed, or not useful.
	compressed []byte
}

// prepare encodes the answer to a question once for all VMs that ask the same.
func (r *Relay) prepare(q releaseQuestion, release *gladerelease.Release, changes []gladerelease.Change) (prepared, error) {
	r.preparing.Lock()
	defer r.preparing.Unlock()
	if r.preparedVersion != release.Version || len(r.prepared) >= maxPrepared {
		r.prepared, r.preparedVersion = map[releaseQuestion]prepared{}, release.Version
	}
	if len(changes) == 0 {
		q.Have = 0
	}
	if p, ok := r.prepared[q]; ok {
		return p, nil
	}
	p, err := r.encodeAnswer(q, release, changes)
	if err != nil {
		return prepared{}, err
	}
	r.prepared[q] = p
	return p, nil
}

// encodeAnswer encodes the answer to a question: the changes, or the release if there are none or they take more bytes.
func (r *Relay) encodeAnswer(q releaseQuestion, release *gladerelease.Release, changes []gladerelease.Change) (prepared, error) {
	p := prepared{}
	if len(changes) > 0 {
		raw, err := json.Marshal(changes)
		if err != nil {
			return p, eris.Wrap(err, "encoding changes of the release")
		}
		p.changeBytes = len(raw)
	}
	if !q.Compressed || p.changeBytes > 0 && p.changeBytes <= r.smallAnswer() {
		return p, nil
	}
	raw, err := r.encode(release)
	if err != nil {
		return p, err
	}
	answer, size := releaseAnswer{Release: raw}, len(raw)
	if p.changeBytes > 0 && p.changeBytes < size {
		answer, size = releaseAnswer{Changes: changes}, p.changeBytes
	}
	if !r.isWorthCompressing(size, q.Large) {
		return p, nil
	}
	p.compressed, err = compress(answer)
	return p, err
}

// isWorthCompressing reports whether an answer of a size may be sent compressed; large reports that a large one is wanted.
func (r *Relay) isWorthCompressing(size int, large bool) bool {
	return size > compressBytes && size <= maxExpandedBytes/2 && (large || r.hasFastLink() || size <= maxRatio*r.smallAnswer())
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
func (r *Relay) serveServers(q serversQuestion) (serversAnswer, error) {
	s := r.config.Servers()
	raw, err := json.Marshal(s.Servers)
	if err != nil {
		return serversAnswer{}, eris.Wrap(err, "encoding the servers")
	}
	answer, size := serversAnswer{List: s}, len(raw)
	if q.Compressed && size > compressBytes && size <= maxExpandedBytes/2 {
		compressed, err := compress(s)
		if err != nil {
			return serversAnswer{}, err
		}
		answer, size = serversAnswer{Compressed: compressed}, sentSize(compressed)
	}
	if !r.mayAnswer(size, time.Now()) {
		r.metrics.busy.Inc(1)
		return serversAnswer{Busy: true}, nil
	}
	if answer.Compressed != nil {
		r.metrics.compressed.Inc(1)
		r.metrics.compressedBytes.Inc(int64(size))
	}
	return answer, nil
}

// linkRate returns the rate of this VM's link in bytes a second, that of the slowest link if it is not known.
func (r *Relay) linkRate() int64 {
	if r.config.LinkRate > 0 {
		return r.config.LinkRate
	}
	return minLinkRate
}

// hasFastLink reports whether this VM sends compressed releases to VMs that could read the store.
func (r *Relay) hasFastLink() bool { return isFast(r.config.LinkRate) }

// smallAnswer returns the size up to which an answer is sent to every VM that asks: all VMs of the failure domain may.
func (r *Relay) smallAnswer() int {
	self := r.config.Node.Self()
	vms := 1
	for _, m := range r.config.Node.Members() {
		if m.FailureDomain == self.FailureDomain {
			vms++
		}
	}
	return max(minSmallAnswer, min(maxSmallAnswer, int(r.linkRate()/budgetPart)/vms))
}

// mayAnswer reports whether an answer of a size may be sent now: a small one always, a large one if those before have passed the
// link, or nearly so if the link is fast. Answers that share a slow link would all come too late.
func (r *Relay) mayAnswer(size int, now time.Time) bool {
	if size <= r.smallAnswer() {
		return true
	}
	backlog := time.Duration(0)
	if r.hasFastLink() {
		backlog = maxBacklog
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.largeUntil.Add(-backlog)) {
		return false
	}
	if r.largeUntil.Before(now) {
		r.largeUntil = now
	}
	r.largeUntil = r.largeUntil.Add(time.Duration(size) * time.Second / time.Duration(r.linkRate()))
	return true
}

// callRelease asks a peer for its release. It returns nil if this VM has it by now. If the peer has a fast link, a large release comes
// from it; the store is read if that does not succeed at once.
func (r *Relay) callRelease(ctx context.Context, vm string) (*gladerelease.Release, error) {
	base := r.config.Release()
	q := releaseQuestion{Compressed: true}
	if base != nil {
		q.Have = base.Version
	}
	fast := r.isFastPeer(vm)
	began := time.Now()
	a, err := r.askFirst(ctx, vm, q, fast)
	switch {
	case ctx.Err() != nil:
		return nil, eris.Wrap(ctx.Err(), vm)
	case err != nil && fast && time.Since(began) >= fastTimeout, err == nil && a.Busy:
		r.readStore(ctx, q.Have, vm, a, err) // the peer is passed over for a while, whether that succeeds or not
	case err == nil && a.Large && !fast && r.fastCalls.Load() > 0 && !r.config.State().Lost:
		return nil, eris.Wrap(errBusy, vm) // the call to a VM with a fast link brings the release, or reads the store
	case err == nil && a.Large:
		if r.readStore(ctx, q.Have, vm, a, nil) {
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

// askFirst asks a peer for its release, with a time limit after which there is time enough to read the store.
func (r *Relay) askFirst(ctx context.Context, vm string, q releaseQuestion, fast bool) (releaseAnswer, error) {
	if !fast || r.config.State().Lost {
		return r.askRelease(ctx, vm, q, callTimeout)
	}
	r.fastCalls.Add(1)
	defer r.fastCalls.Add(-1)
	return r.askRelease(ctx, vm, q, fastTimeout)
}

func (r *Relay) askRelease(ctx context.Context, vm string, q releaseQuestion, timeout time.Duration) (releaseAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := gladepeer.Call[releaseQuestion, releaseAnswer](ctx, r.config.Node, vm, methodRelease, q)
	if err != nil || a.Compressed == nil {
		return a, err
	}
	var expanded releaseAnswer
	if err := expand(a.Compressed, &expanded); err != nil {
		return releaseAnswer{}, eris.Wrapf(err, "release of %s", vm)
	}
	return expanded, nil
}

// isFastPeer reports whether a peer has published the rate of a fast link.
func (r *Relay) isFastPeer(vm string) bool {
	for _, m := range r.config.Node.Members() {
		if m.Name == vm {
			return isFast(LinkOf(m))
		}
	}
	return false
}

// readStore reads the release from the store because a peer's answer does not hold it, and reports whether that was done or is being
// done, or is no longer needed because a newer release than that of a version has come meanwhile.
func (r *Relay) readStore(ctx context.Context, have int64, vm string, a releaseAnswer, reason error) bool {
	if release := r.config.Release(); release != nil && release.Version > have {
		return true
	}
	if r.config.State().Lost {
		return false
	}
	if !r.readingStore.TryLock() {
		return true
	}
	defer r.readingStore.Unlock()
	r.config.Log.Info("The release is read from the store.", "peer", vm, "have", have, "large", a.Large, "busy", a.Busy, "reason", reason)
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
	a, err := gladepeer.Call[serversQuestion, serversAnswer](ctx, r.config.Node, vm, methodServers, serversQuestion{Compressed: true})
	switch {
	case err != nil:
		return Servers{}, err
	case a.Busy:
		return Servers{}, eris.Wrap(errBusy, vm)
	case a.Compressed == nil:
		return a.List, nil
	}
	var s Servers
	if err := expand(a.Compressed, &s); err != nil {
		return Servers{}, eris.Wrapf(err, "servers of %s", vm)
	}
	return s, nil
}
