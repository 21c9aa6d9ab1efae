package gladestandby

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const (
	methodClaim = "standby.claim"
	methodFind  = "standby.find"

	// pendingTimeout is how long a key counts as pending before its run begins.
	pendingTimeout = 10 * time.Second
)

// Claim records which VM runs the generation of a key.
type Claim struct {
	Owner         string `json:"owner"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failureDomain"`
	Request       string `json:"request"`
	// Epoch increases with each takeover.
	Epoch   int       `json:"epoch"`
	Expires time.Time `json:"expires"`
}

// ClaimRequest asks a home VM to record a claim; the home refuses it if another claim is valid.
type ClaimRequest struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Claim        Claim  `json:"claim"`
	// Replaces is the request whose claim may be replaced because its run is lost.
	Replaces string `json:"instead,omitempty"`
}

// FindRequest asks a VM for the claim of a key without making one.
type FindRequest struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
}

// FindAnswer is the claim that a VM knows as the owner, a standby or a home of the key.
type FindAnswer struct {
	Found bool  `json:"found"`
	Claim Claim `json:"claim"`
}

// homes returns the VMs that record the claim of a key.
func (s *Service) homes(k runKey) []string {
	all := s.rankedVMs(k.organisation+"\x00"+k.key, "")
	return all[:min(len(all), homesPerKey)]
}

// serveClaim records a claim and returns it, or returns the valid claim that it conflicts with.
func (s *Service) serveClaim(_ context.Context, _ string, q ClaimRequest) (Claim, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := runKey{organisation: q.Organisation, key: q.Key}
	old, known := s.claims.Get(k)
	c := q.Claim
	switch {
	case !known, time.Now().After(old.Expires), q.Replaces != "" && q.Replaces == old.Request:
	case old.Request == c.Request && c.Epoch >= old.Epoch:
	case old.Owner == c.Owner && old.Incarnation == c.Incarnation && neverTakenOver(old, c):
	default:
		return old, nil
	}
	s.claims.Add(k, c)
	return c, nil
}

// neverTakenOver reports whether two claims of one owner are both for runs that it began itself.  An owner claims a key
// again only if it has no run under it, so that the run of the older claim was refused or has ended.
func neverTakenOver(old, c Claim) bool {
	return old.Epoch == 0 && c.Epoch == 0
}

func (s *Service) serveFind(_ context.Context, _ string, q FindRequest) (FindAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := runKey{organisation: q.Organisation, key: q.Key}
	if o := s.owned[k]; o != nil {
		return FindAnswer{Found: true, Claim: s.claimForRun(o)}, nil
	}
	for _, h := range s.held {
		if g := h.batch.Generation; keyOf(g) == k {
			c := Claim{
				Owner: h.batch.Owner, Request: h.batch.Request, Epoch: h.batch.Epoch, Expires: h.expires,
				FailureDomain: s.config.Peers.Self().FailureDomain,
			}
			return FindAnswer{Found: true, Claim: c}, nil
		}
	}
	c, ok := s.claims.Get(k)
	return FindAnswer{Found: ok && time.Now().Before(c.Expires), Claim: c}, nil
}

func (s *Service) claimForRun(o *ownedRun) Claim {
	c := s.newClaim(o.generation)
	c.Epoch = o.epoch
	return c
}

func (s *Service) newClaim(g *gladeapi.Generation) Claim {
	self := s.config.Peers.Self()
	return Claim{
		Owner: self.Name, Incarnation: self.Incarnation, FailureDomain: self.FailureDomain,
		Request: g.ID, Expires: g.Deadline.Add(s.config.Retention),
	}
}

// claimKey records this VM as the owner of a key, or returns the valid claim of another run.
func (s *Service) claimKey(ctx context.Context, k runKey, c Claim, instead string) (Claim, error) {
	q := ClaimRequest{Organisation: k.organisation, Key: k.key, Claim: c, Replaces: instead}
	homes := s.homes(k)
	var failure error
	for i, home := range homes {
		standing, err := call(ctx, s, home, methodClaim, s.serveClaim, q)
		if err != nil {
			failure = err
			s.config.Log.Debug("Claim at home VM failed.", "home", home, "error", err)
			continue
		}
		if standing.Request == c.Request && standing.Owner == c.Owner {
			others := slices.Delete(slices.Clone(homes), i, i+1)
			s.tasks.Go(func() { s.copyClaim(s.ctx, k, c, others) })
		}
		return standing, nil
	}
	return c, eris.Wrap(failure, "no home VM of the key answers")
}

func (s *Service) copyClaim(ctx context.Context, k runKey, c Claim, homes []string) {
	q := ClaimRequest{Organisation: k.organisation, Key: k.key, Claim: c}
	for _, home := range homes {
		if _, err := call(ctx, s, home, methodClaim, s.serveClaim, q); err != nil {
			s.config.Log.Debug("Claim copy to home VM failed.", "home", home, "error", err)
		}
	}
}

// searchAll asks all live VMs for the claim of a key whose request is not the excluded one.
// It is needed when the homes know the key only by the excluded request.
func (s *Service) searchAll(ctx context.Context, k runKey, excluded string) (Claim, bool) {
	names := s.rankedVMs(k.key, "")
	answers := make(chan FindAnswer, len(names))
	slots := make(chan struct{}, maxConcurrentSearches)
	for _, name := range names {
		s.tasks.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			answer, err := call(ctx, s, name, methodFind, s.serveFind, FindRequest{Organisation: k.organisation, Key: k.key})
			if err != nil {
				answer = FindAnswer{}
			}
			answers <- answer
		})
	}
	var best FindAnswer
	for range names {
		if a := <-answers; a.Found && a.Claim.Request != excluded && (!best.Found || a.Claim.Epoch > best.Claim.Epoch) {
			best = a
		}
	}
	return best.Claim, best.Found
}

// maxConcurrentSearches limits the VMs that are asked for a key at the same time.
const maxConcurrentSearches = 32
