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

	// tokenOverheadBytes is the estimated memory of a held token besides its text and log probabilities.
	tokenOverheadBytes = 64
)

// heldJournal is a journal that this VM holds as a standby for another VM.
type heldJournal struct {
	// batch merges all batches received so far.
	batch   gladeapi.JournalBatch
	bytes   int
	expires time.Time
}

// HoldAnswer is the answer of a standby to a batch.
type HoldAnswer struct {
	// Have is the number of tokens that the standby holds; the owner sends the next batch from there.
	Have int `json:"have"`
	// Full means that the standby has no memory left for the journal.
	Full bool `json:"full,omitempty"`
	// Refused means that another VM owns the generation in the same or a later epoch; Owner and Epoch identify it.
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
		h = &heldJournal{batch: gladeapi.JournalBatch{Generation: b.Generation, Request: b.Request}}
		s.held[b.Request] = h
		s.addBytes(h, len(b.Generation.Prompt)+len(b.Generation.Messages)+4*len(b.Generation.PromptTokens))
	}
	s.mergeBatch(h, &b)
	return HoldAnswer{Have: len(h.batch.Tokens)}, nil
}

// mergeBatch adds a batch to a held journal. The first batch of a new epoch replaces the tokens from its first index.
func (s *Service) mergeBatch(h *heldJournal, b *gladeapi.JournalBatch) {
	newEpoch := b.Epoch > h.batch.Epoch
	h.batch.Owner, h.batch.Epoch = b.Owner, b.Epoch
	h.batch.Attempt, h.batch.Backend, h.batch.Base = b.Attempt, b.Backend, b.Base
	if len(b.PromptTokens) > 0 && len(h.batch.PromptTokens) == 0 {
		h.batch.PromptTokens = b.PromptTokens
		s.addBytes(h, 4*len(b.PromptTokens))
	}
	for _, t := range b.Tokens {
		if newEpoch && t.Index < len(h.batch.Tokens) {
			h.batch.Tokens = h.batch.Tokens[:t.Index:t.Index]
		}
		if t.Index != len(h.batch.Tokens) {
			continue
		}
		h.batch.Tokens = append(h.batch.Tokens, t)
		s.addBytes(h, tokenOverheadBytes+len(t.Text)+len(t.Logprobs))
	}
	if b.Finish != "" {
		h.batch.Finish = b.Finish
	}
	h.expires = h.batch.Generation.Deadline.Add(s.config.Retention)
	if h.batch.Finish != "" {
		h.expires = time.Now().Add(s.config.Retention)
	}
}

func (s *Service) addBytes(h *heldJournal, n int) {
	h.bytes += n
	s.heldBytes += n
}

// dropHeld removes a held journal. The caller holds s.mu.
func (s *Service) dropHeld(request string) {
	if h := s.held[request]; h != nil {
		s.heldBytes -= h.bytes
		delete(s.held, request)
	}
}

// TakeRequest asks a standby for a journal whose owner is lost.
type TakeRequest struct {
	Request string `json:"request"`
	// Owner is the owner that the successor found lost.
	Owner string `json:"owner"`
	// Position is the position of the caller, if it has one.
	Position *gladeapi.Position `json:"position,omitempty"`
}

// TakeAnswer is the answer of a standby to a successor.
type TakeAnswer struct {
	Found bool `json:"found"`
	// Moved means that another successor, named by Owner, took the journal first.
	Moved bool   `json:"moved,omitempty"`
	Owner string `json:"owner,omitempty"`
	// Differs means that the tokens of the caller do not match the journal.
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

// HandOver sends the journals and claims that this VM holds to other VMs before it leaves; it logs failures.
func (s *Service) HandOver(ctx context.Context) {
	s.mu.Lock()
	var batches []gladeapi.JournalBatch
	for _, h := range s.held {
		batches = append(batches, h.batch)
	}
	claims := map[runKey]Claim{}
	for _, k := range s.claims.Keys() {
		if c, ok := s.claims.Peek(k); ok {
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
	for _, name := range s.rankedVMs(b.Request, domain) {
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
