package gladeonce

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// KindClaims is the platform's kind of the objects that hold claims.
const KindClaims = "claims"

// shardDigits is the number of leading hexadecimal digits of a claim's name that identify its shard.
const shardDigits = 3

// Call identifies a call by its key, which is specific to an organisation and a route.
type Call struct {
	Organisation string
	Route        string
	Key          string
	// Body is the hash of the call's method, path and body, as HashBody returns it.
	Body string
}

// HashBody returns the hash of a call's method, path and body.
func HashBody(method, path string, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(method + "\n" + path + "\n"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Name returns the name of the call's claim on the platform.
func (c *Call) Name() string {
	h := sha256.Sum256([]byte(c.Organisation + "\x00" + c.Route + "\x00" + c.Key))
	return hex.EncodeToString(h[:])
}

// Outcome is the answer of a call that ran.
type Outcome struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// BodyDropped is set if the body was too large to be kept.
	BodyDropped bool `json:"dropped,omitempty"`
}

// Send sends the call. A Refusal that it returns says whether the call ran.
type Send func(context.Context) (*Outcome, error)

// State is the state of the call of a key, as reported by a VM or stored in a claim.
type State string

// The states of a key.
const (
	// StateNone means that the key is not known.
	StateNone State = "none"
	// StateClaimed means that the holder may be sending the call.
	StateClaimed State = "claimed"
	// StateReleased means that the call was not sent under this nonce and will not be.
	StateReleased State = "released"
	// StateDone means that the call ran and its outcome is known.
	StateDone State = "done"
	// StateUnknown means that the call may have run.
	StateUnknown State = "unknown"
)

// Claim is the value of a claim's object on the platform.
type Claim struct {
	State State  `json:"state"`
	Nonce string `json:"nonce"`
	// VM is the name of the holder.
	VM string `json:"vm"`
	// Incarnation is the holder's incarnation.
	Incarnation string `json:"incarnation"`
	Body        string `json:"body"`
	// Claimed is the time of the claim, by the holder's wall clock.
	Claimed time.Time `json:"claimed"`
	// Until is the latest time at which the call ends, by the holder's wall clock.
	Until   time.Time `json:"until"`
	Outcome *Outcome  `json:"outcome,omitempty"`
}

func unknownOutcome(message string) *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: http.StatusConflict, Code: gladeapi.CodeOutcomeUnknown, Ran: gladeapi.RanUnknown, Message: message,
	}
}

func keyReused() *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: http.StatusUnprocessableEntity, Code: gladeapi.CodeKeyReused, Ran: gladeapi.NotRun,
		Message: "the idempotency key was used with another body", Field: "Idempotency-Key",
	}
}

func bodyTooLarge() *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: http.StatusConflict, Code: gladeapi.CodeTooLarge, Ran: gladeapi.DidRun,
		Message: "the call ran, but its answer was too large to be kept",
	}
}

// replay returns the answer to a repeat: the kept outcome, or a refusal if it was not kept.
func replay(o *Outcome) (*Outcome, error) {
	if o == nil {
		return nil, unknownOutcome("the call ran or failed; its answer was not kept")
	}
	if o.BodyDropped {
		return nil, bodyTooLarge()
	}
	return o, nil
}

// withoutLargeBody returns the outcome, without its body if that is larger than limit.
func withoutLargeBody(o *Outcome, limit int) *Outcome {
	if o == nil || len(o.Body) <= limit {
		return o
	}
	return &Outcome{Status: o.Status, Header: o.Header, BodyDropped: true}
}
