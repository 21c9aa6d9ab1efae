package gladestandby

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
)

const (
	methodHold = "standby.hold"
	methodTake = "standby.take"

	// tokenBytes is what a held token takes besides its text.
	tokenBytes = 64
)

// held is a journal that this VM keeps for another one.
type held struct {
	// batch gathers all batches.
	batch   gladeapi.JournalBatch
	bytes   int
	expires time.Time
}

// HoldAnswer is a standby's answer to a batch.
type HoldAnswer struct {
	// Have is the number of tokens that the standby holds; the owner goes on from there.
	Have int `json:"have"`
	// Full means that the standby has no room for the journal.
	Full bool `json:"full,omitempty"`
	// Refused means that another VM owns the generation, in a later epoch.
	Refused bool   `json:"refused,omitempty"`
	Owner   string `json:"owner,omitempty"`
	Epoch   int    `json:"epoch,omitempty"`
}

func (s *Service) serveHold(_ context.Context, _ string, b gladeapi.JournalBatch) (HoldAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[b.Request]
	if h != nil && (h.batch.Epoch > b.Epoch || h.batch.Epoch == b.Epoch && h.batch.Owner != b.Owner) {
		return HoldAnswer{Refused: true, Owner: h.batch.Owner, Epoch: h.batch.Epoch}, nil
	}
	if b.Dropped {
		s.dropHeld(b.Request)
		return HoldAnswer{}, nil
	}
	if h == nil {
		if b.Generation == nil {
			return HoldAnswer{}, nil
		}
		if s.heldBytes > s.config.MaxHeldBytes {
			return HoldAnswer{Full: true}, nil
		}
		h = &held{batch: gladeapi.JournalBatch{Generation: b.Generation, Request: b.Request}}
		s.held[b.Request] = h
		s.grow(h, len(b.Generation.Prompt)+len(b.Generation.Messages)+4*len(b.Generation.PromptTokens))
	}
	s.add(h, &b)
	return HoldAnswer{Have: len(h.batch.Tokens)}, nil
}

// add joins a batch to a held journal; a batch of a new epoch replaces the tokens from its first on.
func (s *Service) add(h *held, b *gladeapi.JournalBatch) {
	newEpoch := b.Epoch > h.batch.Epoch
	h.batch.Owner, h.batch.Epoch = b.Owner, b.Epoch
	h.batch.Attempt, h.batch.Backend, h.batch.Base = b.Attempt, b.Backend, b.Base
	if len(b.PromptTokens) > 0 && len(h.batch.PromptTokens) == 0 {
		h.batch.PromptTokens = b.PromptTokens
		s.grow(h, 4*len(b.PromptTokens))
	}
	for _, t := range b.Tokens {
		if newEpoch && t.Index < len(h.batch.Tokens) {
			h.batch.Tokens = h.batch.Tokens[:t.Index:t.Index]
		}
		if t.Index != len(h.batch.Tokens) {
			continue
		}
		h.batch.Tokens = append(h.batch.Tokens, t)
		s.grow(h, tokenBytes+len(t.Text)+len(t.Logprobs))
	}
	if b.Finish != "" {
		h.batch.Finish = b.Finish
	}
	h.expires = h.batch.Generation.Deadline.Add(s.config.Retention)
	if h.batch.Finish != "" {
		h.expires = time.Now().Add(s.config.Retention)
	}
}

func (s *Service) grow(h *held, n int) {
	h.bytes += n
	s.heldBytes += n
}

// dropHeld forgets a journal; s.mu is held.
func (s *Service) dropHeld(request string) {
	if h := s.held[request]; h != nil {
		s.heldBytes -= h.bytes
		delete(s.held, request)
	}
}

// TakeRequest asks a standby for a journal whose owner is lost.
type TakeRequest struct {
	Request string `json:"request"`
	// Owner and Epoch are those that the successor found lost; an epoch of zero means any of this owner.
	Owner string `json:"owner"`
	// Position is the caller's, if it has one.
	Position *gladeapi.Position `json:"position,omitempty"`
}

// TakeAnswer is a standby's answer to a successor.
type TakeAnswer struct {
	Found bool `json:"found"`
	// Moved means that another successor was first; Owner is its name.
	Moved bool   `json:"moved,omitempty"`
	Owner string `json:"owner,omitempty"`
	// Differs means that the caller's tokens are not those of the journal.
	Differs bool                   `json:"differs,omitempty"`
	Batch   *gladeapi.JournalBatch `json:"batch,omitempty"`
}

func (s *Service) serveTake(_ context.Context, from string, q TakeRequest) (TakeAnswer, error) {
	if from == "" {
		return TakeAnswer{}, eris.New("successor has no name")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[q.Request]
	if h == nil {
		return TakeAnswer{}, nil
	}
	if h.batch.Owner != q.Owner {
		return TakeAnswer{Found: true, Moved: true, Owner: h.batch.Owner}, nil
	}
	if p := q.Position; p != nil && p.Index < len(h.batch.Tokens) && h.batch.Tokens[max(p.Index, 0)].Prefix != p.Prefix {
		return TakeAnswer{Found: true, Differs: true}, nil
	}
	epoch := h.batch.Epoch
	h.batch.Epoch++
	h.batch.Owner = from
	s.config.Check.That(h.batch.Epoch > epoch, gladecheck.OneGeneration, "%s: epoch %d after %d", q.Request, h.batch.Epoch, epoch)
	b := h.batch
	return TakeAnswer{Found: true, Batch: &b}, nil
}

// HandOver gives the journals and keys that this VM keeps for others to other VMs, because it leaves.
func (s *Service) HandOver(ctx context.Context) {
	s.mu.Lock()
	var batches []gladeapi.JournalBatch
	for _, h := range s.held {
		batches = append(batches, h.batch)
	}
	claims := map[runKey]Claim{}
	for _, k := range s.keys.Keys() {
		if c, ok := s.keys.Peek(k); ok {
			claims[k] = c
		}
	}
	s.mu.Unlock()
	self := s.config.Peers.Self()
	for _, b := range batches {
		s.handOver(ctx, self.FailureDomain, &b)
	}
	for k, c := range claims {
		s.copyClaim(ctx, k, c, s.homes(k))
	}
	if len(batches)+len(claims) > 0 {
		s.config.Log.Info("Journals and keys handed over.", "journals", len(batches), "keys", len(claims))
	}
}

func (s *Service) handOver(ctx context.Context, domain string, b *gladeapi.JournalBatch) {
	for _, name := range s.ranked(b.Request, domain) {
		if name == b.Owner {
			continue
		}
		answer, err := call(ctx, s, name, methodHold, s.serveHold, *b)
		if err == nil && !answer.Full {
			return
		}
	}
	s.config.Log.Warn("Journal not handed over.", "request", b.Request)
}
