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

// held is a claim that this VM holds, or the outcome that it found instead.
type held struct {
	claim   Claim
	version int64
	outcome *Outcome
}

// claim takes the key, or finds what came of it.
func (o *Once) claim(ctx context.Context, name string, c *Call, e *entry) (*held, error) {
	claimCtx, cancel := context.WithTimeout(ctx, o.config.ClaimTimeout)
	defer cancel()
	mine := o.newClaim(ctx, c)
	version, theirs, err := o.write(claimCtx, name, mine, 0)
	if err != nil {
		o.table.abandon(e, mine.Nonce)
		return nil, o.outage(ctx, name, e)
	}
	if theirs == nil {
		return &held{claim: mine, version: version}, nil
	}
	o.table.markSeen(e)
	return o.follow(ctx, name, c, e, theirs)
}

func (o *Once) newClaim(ctx context.Context, c *Call) Claim {
	until, ok := ctx.Deadline()
	if !ok {
		until = time.Now().Add(o.config.SettleTimeout)
	}
	return Claim{
		State: StateClaimed, Nonce: newNonce(), VM: o.config.VM, Incarnation: o.config.Incarnation,
		Body: c.Body, Claimed: time.Now(), Until: until,
	}
}

// found is a claim as the platform holds it.
type found struct {
	Claim
	version int64
}

// write creates the claim, or replaces the one of the given version, until it is there or another one is.
func (o *Once) write(ctx context.Context, name string, c Claim, version int64) (int64, *found, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return 0, nil, eris.Wrap(err, "claim")
	}
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		at, err := o.put(ctx, name, value, version)
		if err == nil {
			return at, nil, nil
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
		case <-time.After(pause):
		case <-ctx.Done():
			return 0, nil, eris.Wrap(err, "claim")
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

func (o *Once) read(ctx context.Context, name string) (*found, error) {
	o.reads.Inc(1)
	object, err := o.config.Store.Get(ctx, KindClaims, name)
	if err != nil {
		return nil, err
	}
	f := &found{version: object.Version}
	if err := json.Unmarshal(object.Value, &f.Claim); err != nil {
		return nil, eris.Wrap(err, "claim "+name)
	}
	return f, nil
}

// follow waits for the outcome of a claim that another call holds, and takes it over if it was released.
func (o *Once) follow(ctx context.Context, name string, c *Call, e *entry, f *found) (*held, error) {
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		if f.Body != c.Body {
			return nil, elsewhere{keyReused()}
		}
		s, outcome := o.stateOfClaim(ctx, name, f)
		switch s {
		case StateDone:
			return &held{outcome: outcome}, nil
		case StateReleased:
			h, next, err := o.takeOver(ctx, name, c, e, f)
			if h != nil || err != nil {
				return h, err
			}
			f = next
			continue
		case StateUnknown:
			return nil, elsewhere{unknown("the call was claimed by " + f.VM + " and may have run")}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, elsewhere{unknown("the call was claimed by " + f.VM + " and has not ended")}
		}
		if next, err := o.read(ctx, name); err == nil {
			f = next
		}
	}
}

// stateOfClaim returns what the claim and its holder say.
func (o *Once) stateOfClaim(ctx context.Context, name string, f *found) (State, *Outcome) {
	if f.State != StateClaimed {
		return f.State, f.Outcome
	}
	q := AskRequest{Name: name, Nonce: f.Nonce, Incarnation: f.Incarnation}
	if f.VM == o.config.VM {
		return o.own(q)
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := o.config.Ask(askCtx, f.VM, q)
	switch {
	case err == nil && a.State != StateNone:
		return a.State, a.Outcome
	case err == nil || time.Now().After(f.Until):
		return StateUnknown, nil
	}
	return StateClaimed, nil
}

// own returns the state of a claim that this VM made earlier.
func (o *Once) own(q AskRequest) (State, *Outcome) {
	a := o.Look(q)
	if a.State != StateReleased {
		return StateUnknown, nil
	}
	return a.State, nil
}

// takeOver replaces a released claim by a new one of this VM.
func (o *Once) takeOver(ctx context.Context, name string, c *Call, e *entry, f *found) (*held, *found, error) {
	claimCtx, cancel := context.WithTimeout(ctx, o.config.ClaimTimeout)
	defer cancel()
	mine := o.newClaim(ctx, c)
	version, theirs, err := o.write(claimCtx, name, mine, f.version)
	if err != nil {
		o.table.abandon(e, mine.Nonce)
		return nil, nil, o.outage(ctx, name, e)
	}
	if theirs != nil {
		o.table.abandon(e, mine.Nonce)
		return nil, theirs, nil
	}
	return &held{claim: mine, version: version}, nil, nil
}

// release tells all that the call was not sent; nobody may send under its nonce from now on.
func (o *Once) release(name string, e *entry, h *held) {
	o.table.abandon(e, h.claim.Nonce)
	h.claim.State = StateReleased
	o.settle(name, h)
}

// settle writes the end of a claim in the background, for as long as the settle timeout.
func (o *Once) settle(name string, h *held) {
	o.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, o.config.SettleTimeout)
		defer cancel()
		_, theirs, err := o.write(ctx, name, h.claim, h.version)
		if err != nil {
			o.config.Log.Warn("Outcome not written.", "claim", name, "error", err)
			return
		}
		taken := theirs != nil && h.claim.State != StateReleased
		o.config.Check.That(!taken, gladecheck.AtMostOnce, "claim %s was taken from its holder", name)
	})
}

// outage returns the refusal for a key that could not be claimed.
func (o *Once) outage(ctx context.Context, name string, e *entry) error {
	peers, complete := o.config.Peers()
	complete = complete && !o.table.wasSeen(e)
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	answers := make(chan bool, len(peers))
	for _, vm := range peers {
		go func() {
			a, err := o.config.Ask(askCtx, vm, AskRequest{Name: name})
			answers <- err == nil && (a.State == StateNone || a.State == StateReleased)
		}()
	}
	for range peers {
		complete = <-answers && complete
	}
	if !complete {
		return elsewhere{&gladeapi.Refusal{
			Status: http.StatusServiceUnavailable, Code: gladeapi.CodePlatformDown, Ran: gladeapi.Unknown,
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
