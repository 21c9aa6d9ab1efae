package gladeonce

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// claimResult is a claim that this VM holds, or the outcome of an earlier claim.
type claimResult struct {
	claim   Claim
	version int64
	outcome *Outcome
}

// claim claims the key, or returns the outcome of an earlier claim.
func (o *Once) claim(ctx context.Context, name string, c *Call, e *entry) (*claimResult, error) {
	claimCtx, cancel := context.WithTimeout(ctx, o.config.ClaimTimeout)
	defer cancel()
	own := o.newClaim(ctx, c)
	version, other, err := o.write(claimCtx, name, own, 0)
	if err != nil {
		o.table.abandonNonce(e, own.Nonce)
		return nil, o.platformDown(ctx, name, e)
	}
	if other == nil {
		return &claimResult{claim: own, version: version}, nil
	}
	o.table.markClaimedElsewhere(e)
	return o.awaitClaim(ctx, name, c, e, other)
}

func (o *Once) newClaim(ctx context.Context, c *Call) Claim {
	until, ok := ctx.Deadline()
	if !ok {
		until = time.Now().Add(o.config.OutcomeTimeout)
	}
	return Claim{
		State: StateClaimed, Nonce: newNonce(), VM: o.config.VM, Incarnation: o.config.Incarnation,
		Body: c.Body, Claimed: time.Now(), Until: until,
	}
}

// storedClaim is a claim on the platform and its version.
type storedClaim struct {
	Claim
	version int64
}

// write creates the claim, or replaces the one of the given version. It retries until this claim is stored, and returns
// its version, or until it finds another claim, which it returns.
func (o *Once) write(ctx context.Context, name string, c Claim, version int64) (int64, *storedClaim, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return 0, nil, eris.Wrapf(err, "encode claim %q", name)
	}
	for delay := firstRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		stored, err := o.put(ctx, name, value, version)
		if err == nil {
			return stored, nil, nil
		}
		f, readErr := o.read(ctx, name)
		switch {
		case readErr == nil && f.Nonce == c.Nonce && f.State == c.State:
			return f.version, nil, nil
		case readErr == nil && f.version != version:
			return 0, f, nil
		case errors.Is(readErr, gladestore.ErrNotFound) && version != 0:
			version = 0
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return 0, nil, eris.Wrapf(err, "store claim %q", name)
		}
	}
}

func (o *Once) put(ctx context.Context, name string, value []byte, version int64) (int64, error) {
	o.writes.Inc(1)
	if version == 0 {
		return o.config.Store.Create(ctx, KindClaims, name, value)
	}
	return o.config.Store.Update(ctx, KindClaims, name, value, version)
}

func (o *Once) read(ctx context.Context, name string) (*storedClaim, error) {
	o.reads.Inc(1)
	object, err := o.config.Store.Get(ctx, KindClaims, name)
	if err != nil {
		return nil, err
	}
	f := &storedClaim{version: object.Version}
	if err := json.Unmarshal(object.Value, &f.Claim); err != nil {
		return nil, eris.Wrapf(err, "decode claim %q", name)
	}
	return f, nil
}

// awaitClaim waits for the outcome of a claim that another call holds, and takes over the claim if it is released.
func (o *Once) awaitClaim(ctx context.Context, name string, c *Call, e *entry, f *storedClaim) (*claimResult, error) {
	for delay := firstRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		if f.Body != c.Body {
			return nil, heldElsewhere{keyReused()}
		}
		s, outcome := o.claimState(ctx, name, f)
		switch s {
		case StateDone:
			return &claimResult{outcome: outcome}, nil
		case StateReleased:
			h, next, err := o.takeOver(ctx, name, c, e, f)
			if h != nil || err != nil {
				return h, err
			}
			f = next
			continue
		case StateUnknown:
			return nil, heldElsewhere{unknownOutcome("the call was claimed by " + f.VM + " and may have run")}
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, heldElsewhere{unknownOutcome("the call was claimed by " + f.VM + " and has not ended")}
		}
		if next, err := o.read(ctx, name); err == nil {
			f = next
		}
	}
}

// claimState returns the state in the claim, or asks its holder if the claim has not ended.
func (o *Once) claimState(ctx context.Context, name string, f *storedClaim) (State, *Outcome) {
	if f.State != StateClaimed {
		return f.State, f.Outcome
	}
	q := LookupRequest{Name: name, Nonce: f.Nonce, Incarnation: f.Incarnation}
	if f.VM == o.config.VM {
		return o.ownClaimState(q)
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := o.config.LookupPeer(askCtx, f.VM, q)
	switch {
	case err == nil && a.State != StateNone:
		return a.State, a.Outcome
	case err == nil || time.Now().After(f.Until):
		return StateUnknown, nil
	}
	return StateClaimed, nil
}

// ownClaimState returns StateReleased for an earlier claim of this VM whose nonce was abandoned, else StateUnknown.
func (o *Once) ownClaimState(q LookupRequest) (State, *Outcome) {
	a := o.Lookup(q)
	if a.State != StateReleased {
		return StateUnknown, nil
	}
	return a.State, nil
}

// takeOver replaces a released claim by a new one of this VM, or returns the claim that another VM stored first.
func (o *Once) takeOver(ctx context.Context, name string, c *Call, e *entry, f *storedClaim) (*claimResult, *storedClaim, error) {
	claimCtx, cancel := context.WithTimeout(ctx, o.config.ClaimTimeout)
	defer cancel()
	own := o.newClaim(ctx, c)
	version, other, err := o.write(claimCtx, name, own, f.version)
	if err != nil {
		o.table.abandonNonce(e, own.Nonce)
		return nil, nil, o.platformDown(ctx, name, e)
	}
	if other != nil {
		o.table.abandonNonce(e, own.Nonce)
		return nil, other, nil
	}
	return &claimResult{claim: own, version: version}, nil, nil
}

// release marks a claim whose call was not sent as released. From now on no one may send under its nonce.
func (o *Once) release(name string, e *entry, h *claimResult) {
	o.table.abandonNonce(e, h.claim.Nonce)
	h.claim.State = StateReleased
	o.storeClaimEnd(name, h)
}

// storeClaimEnd writes the final state of a claim in the background, for no longer than OutcomeTimeout.
func (o *Once) storeClaimEnd(name string, h *claimResult) {
	o.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, o.config.OutcomeTimeout)
		defer cancel()
		_, other, err := o.write(ctx, name, h.claim, h.version)
		if err != nil {
			o.config.Log.Warn("Claim outcome not stored.", "claim", name, "error", err)
			return
		}
		replaced := other != nil && h.claim.State != StateReleased
		o.config.Check.That(!replaced, gladecheck.AtMostOnce, "claim %s was replaced while this VM held it", name)
	})
}

// platformDown returns the refusal for a key that could not be claimed. The call has not run if no other VM's claim was
// found before, the list of peers is complete, and each peer answers that it never sent the call.
func (o *Once) platformDown(ctx context.Context, name string, e *entry) error {
	peers, complete := o.config.Peers()
	complete = complete && !o.table.wasClaimedElsewhere(e)
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	answers := make(chan bool, len(peers))
	for _, vm := range peers {
		go func() {
			a, err := o.config.LookupPeer(askCtx, vm, LookupRequest{Name: name})
			answers <- err == nil && (a.State == StateNone || a.State == StateReleased)
		}()
	}
	for range peers {
		complete = <-answers && complete
	}
	if !complete {
		return heldElsewhere{&gladeapi.Refusal{
			Status: http.StatusServiceUnavailable, Code: gladeapi.CodePlatformDown, Ran: gladeapi.RanUnknown,
			Message:    "the platform is out; whether an earlier call with this key ran is not known; repeat with the same key",
			RetryAfter: defaultRetryAfter,
		}}
	}
	return &gladeapi.Refusal{
		Status: http.StatusServiceUnavailable, Code: gladeapi.CodePlatformDown, Ran: gladeapi.NotRun,
		Message:    "the platform is out, so the key could not be claimed; repeat with the same key",
		RetryAfter: defaultRetryAfter,
	}
}
